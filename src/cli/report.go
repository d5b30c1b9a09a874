package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/config"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "show the burn rate of the service levels' error budgets at a box",
		Flags: append(boxFlags(), &cli.StringFlag{Name: "plot", Usage: "also write a plot to a PNG `FILE`"}),
		Action: operationsAction(func(ctx context.Context, ops pb.OperationsClient, c *cli.Command) error {
			r, err := ops.Burn(ctx, &pb.BurnRequest{})
			if err != nil {
				return err
			}
			if f := c.String("plot"); f != "" {
				if err := plotBurn(r, f); err != nil {
					return err
				}
			}
			if c.Bool("json") {
				return printJSON(r)
			}
			w := table()
			fmt.Fprintln(w, "LEVEL\tCLASS\tWINDOW\tGOOD\tTOTAL\tOBJECTIVE\tBURN")
			for _, b := range r.GetWindows() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f%%\t%.2f\n", b.GetLevel(), b.GetClass(), b.GetWindow().AsDuration(), b.GetGood(), b.GetTotal(), 100*b.GetObjective(), b.GetBurn())
			}
			return w.Flush()
		}),
	}
}

func exampleCommand() *cli.Command {
	return &cli.Command{
		Name: "example", Usage: "print an example configuration: pageworks, giftenregister, or target (the intended deployment size)", ArgsUsage: "NAME",
		Action: func(_ context.Context, c *cli.Command) error {
			makers := map[string]func() *config.Document{
				"pageworks": config.ExamplePageworks, "giftenregister": config.ExampleGiftenregister, "target": config.ExampleTarget,
			}
			maker := makers[c.Args().First()]
			if maker == nil {
				return eris.Errorf("unknown example %q", c.Args().First())
			}
			raw, err := config.Marshal(maker())
			if err != nil {
				return eris.Wrap(err, "example")
			}
			_, err = os.Stdout.Write(raw)
			return err
		},
	}
}
