package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/load"
	"github.com/stilemast/stilemast/src/local"
	"github.com/stilemast/stilemast/src/standin"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both example workloads for some seconds on an embedded deployment and verify every call",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "time", Value: 6 * time.Second, Usage: "`DURATION` of each workload"},
			&cli.FloatFlag{Name: "rate", Value: 40, Usage: "requests a second"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the boxes' logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			clean := true
			for _, name := range []string{"pageworks", "giftenregister"} {
				ok, err := runDemo(ctx, os.Stdout, name, c.Float("rate"), c.Duration("time"), c.Bool("verbose"))
				if err != nil {
					return err
				}
				clean = clean && ok
			}
			if !clean {
				return errAlreadyReported
			}
			return nil
		},
	}
}

// exampleDocument returns the example configuration of a workload and the number of its boxes.
func exampleDocument(name string) (*config.Document, int) {
	if name == "giftenregister" {
		return config.ExampleGiftenregister(), 7
	}
	return config.ExamplePageworks(), 6
}

// runDemo runs one workload on an embedded deployment, writes a report and returns whether all checks passed.
func runDemo(ctx context.Context, w io.Writer, name string, rate float64, length time.Duration, verbose bool) (bool, error) {
	doc, boxes := exampleDocument(name)
	log := slog.New(slog.DiscardHandler)
	if verbose {
		log = newLogger("info")
	}
	set := &local.Deployment{Document: doc, Boxes: boxes, Log: log, Release: Release}
	defer set.Close()
	fmt.Fprintf(w, "== %s: %d boxes, %d backend servers, %d failure domains\n", name, boxes, len(doc.BackendServers), len(doc.FailureDomains))
	if err := set.Start(); err != nil {
		return false, err
	}
	settle := set.BoxSettings("", 0).AtMostOnce.Window() + time.Second
	fmt.Fprintf(w, "up; waiting %s until each box can be sure which keys it owns\n", settle)
	time.Sleep(settle)
	conf, err := load.ParseDocument(doc)
	if err != nil {
		return false, err
	}
	plan := load.Plan(load.Workloads[name], conf, workspacesForAnyBox(doc), rate, length, boxes, 1)
	run := &load.Run{Boxes: set.Addresses(), Plan: plan, Duplicates: 0.1}
	results, err := run.Do(ctx)
	if err != nil {
		return false, err
	}
	report := load.Evaluate(results, set.Ran())
	report.Write(w)
	kinds := writeCallCounts(w, set.Ran())
	ok := report.Clean() && report.Complete > 0 && kinds["encode"] > 0 && kinds["retrieve"] > 0 && kinds["rerank"] > 0 && kinds["generate"] > 0
	verdict := "no request lost, run twice or answered with another's result"
	if !ok {
		verdict = "FAILED: see the counts above"
	}
	fmt.Fprintf(w, "%s: %s\n\n", name, verdict)
	return ok, nil
}

// workspacesForAnyBox lists the workspaces that may enter in every failure domain, so that any box can take their
// requests.
func workspacesForAnyBox(d *config.Document) []string {
	var out []string
	for _, w := range d.Workspaces {
		if len(w.EntryIn) == len(d.FailureDomains) {
			out = append(out, w.Name)
		}
	}
	return out
}

// writeCallCounts prints and returns the number of calls that the stand-ins recorded, by kind.
func writeCallCounts(w io.Writer, ran []standin.Execution) map[string]int {
	kinds := map[string]int{}
	for _, r := range ran {
		kinds[r.Kind]++
	}
	var parts []string
	for k, n := range kinds {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(parts)
	fmt.Fprintf(w, "\ncalls recorded by the stand-ins: %s\n", strings.Join(parts, ", "))
	return kinds
}
