package cli

import (
	"context"
	"encoding/json"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/stilemast/stilemast/src/experiment"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "compare policies in virtual time with the same arrivals, seeds and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workloads", Value: "pageworks,giftenregister", Usage: "comma-separated `LIST`"},
			&cli.StringFlag{Name: "loads", Value: "50,80,100,130,200", Usage: "comma-separated `LIST` of loads in percent of capacity"},
			&cli.StringFlag{Name: "faults", Value: "quiet", Usage: "comma-separated `LIST`, or all"},
			&cli.StringFlag{Name: "policies", Value: "all", Usage: "comma-separated `LIST`, or all"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds for each combination"},
			&cli.IntFlag{Name: "boxes", Usage: "number of boxes instead of the workload's own"},
			&cli.Uint64Flag{Name: "first-seed", Value: 1, Usage: "the first seed"},
			&cli.DurationFlag{Name: "time", Value: 30 * time.Second, Usage: "virtual `DURATION` of the arrivals"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, cases, err := experimentCases(c)
			if err != nil {
				return err
			}
			figures, err := experiment.RunAll(cases, runtime.GOMAXPROCS(0))
			if err != nil {
				return err
			}
			seeds := c.Int("seeds")
			for i := range rows {
				rows[i].Runs = figures[i*seeds : (i+1)*seeds]
			}
			if c.Bool("json") {
				return eris.Wrap(json.NewEncoder(os.Stdout).Encode(rows), "rows")
			}
			experiment.WriteTable(os.Stdout, rows)
			return nil
		},
	}
}

// experimentCases returns the result rows and the cases to run: for each row one case per seed, in the same order.
func experimentCases(c *cli.Command) ([]experiment.Row, []experiment.Case, error) {
	var rows []experiment.Row
	var cases []experiment.Case
	for _, w := range strings.Split(c.String("workloads"), ",") {
		for _, l := range strings.Split(c.String("loads"), ",") {
			percent, err := strconv.ParseFloat(l, 64)
			if err != nil || percent <= 0 {
				return nil, nil, eris.Errorf("loads: %q is not a percentage", l)
			}
			for _, f := range experiment.Faults() {
				if !listContains(c.String("faults"), f.Name) {
					continue
				}
				for _, p := range experiment.Policies() {
					if !listContains(c.String("policies"), p.Name) {
						continue
					}
					rows = append(rows, experiment.Row{Workload: w, Load: percent / 100, Fault: f.Name, Policy: p.Name})
					for i := range c.Int("seeds") {
						doc, boxes := exampleDocument(w)
						if n := c.Int("boxes"); n > 0 {
							boxes = n
						}
						cases = append(cases, experiment.Case{
							Workload: w, Document: doc, Boxes: boxes, Load: percent / 100, Duration: c.Duration("time"),
							Fault: f, Seed: c.Uint64("first-seed") + uint64(i), Policy: p,
						})
					}
				}
			}
		}
	}
	return rows, cases, nil
}

// listContains reports whether name is in the comma-separated list, or the list is "all".
func listContains(list, name string) bool {
	return list == "all" || slices.Contains(strings.Split(list, ","), name)
}
