package cli

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/load"
)

// boxFlags returns the flags that select the box a command talks to and the credentials to present.
func boxFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "box", Usage: "callers' `ADDRESS` of a box", Value: "127.0.0.1:7000"},
		&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN` to authenticate with", Sources: cli.EnvVars("STILEMAST_TOKEN")},
		&cli.StringFlag{Name: "ca", Usage: "PEM `FILE` of the certificate authority of the boxes"},
		&cli.StringFlag{Name: "cert", Usage: "PEM `FILE` of the client certificate"},
		&cli.StringFlag{Name: "key", Usage: "PEM `FILE` of the client key"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// operationsAction wraps do in a command action that connects to the operations API of a box.
func operationsAction(do func(context.Context, pb.OperationsClient, *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		cfg, err := clientTLS(c)
		if err != nil {
			return err
		}
		conn, err := load.Dial(c.String("box"), cfg, c.String("token"))
		if err != nil {
			return err
		}
		defer conn.Close()
		return do(ctx, pb.NewOperationsClient(conn), c)
	}
}

func printJSON(m proto.Message) error {
	b, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "marshal reply")
	}
	fmt.Println(string(b))
	return nil
}

func table() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }

func validateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check a configuration or settings file as a box would, without contacting one", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "settings", Usage: "the file contains the settings of a box"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("settings") {
				return validateSettings(c.Args().First())
			}
			raw, err := os.ReadFile(c.Args().First())
			if err != nil {
				return eris.Wrap(err, "configuration")
			}
			conf, faults := config.Parse(raw)
			for _, f := range faults {
				fmt.Println(f.Error())
			}
			if len(faults) > 0 {
				return errAlreadyReported
			}
			fmt.Printf("version %d is valid: %d pipelines, %d workspaces, %d backend servers, digest %s\n",
				conf.Version(), len(conf.Pipelines()), len(conf.Workspaces()), len(conf.BackendServers()), conf.Digest())
			return nil
		},
	}
}

// validateSettings checks a settings file of a box or a gateway, depending on its mode.
func validateSettings(path string) error {
	mode, err := config.ReadMode(path)
	if err != nil {
		return err
	}
	if mode == config.ModeGateway {
		_, err = config.ReadGatewaySettings(path)
	} else {
		_, err = config.ReadSettings(path)
	}
	return err
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what a configuration would change compared with the one active at a box", ArgsUsage: "FILE",
		Flags: boxFlags(),
		Action: operationsAction(func(ctx context.Context, ops pb.OperationsClient, c *cli.Command) error {
			raw, err := os.ReadFile(c.Args().First())
			if err != nil {
				return eris.Wrap(err, "configuration")
			}
			r, err := ops.Plan(ctx, &pb.PlanRequest{Configuration: raw})
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(r)
			}
			return printPlan(r)
		}),
	}
}

func printPlan(r *pb.PlanReply) error {
	for _, f := range r.GetFaults() {
		fmt.Printf("%d %s: %s\n", f.GetCode(), f.GetField(), f.GetMessage())
	}
	if len(r.GetFaults()) > 0 {
		return errAlreadyReported
	}
	fmt.Printf("version %d -> %d, %d changes\n", r.GetFromVersion(), r.GetToVersion(), len(r.GetChanges()))
	for _, ch := range r.GetChanges() {
		fmt.Printf("%s\n  - %s\n  + %s\n", ch.GetSubject(), ch.GetBefore(), ch.GetAfter())
	}
	return nil
}

func statusCommand() *cli.Command {
	ofBox := operationsAction(func(ctx context.Context, ops pb.OperationsClient, c *cli.Command) error {
		r, err := ops.Status(ctx, &pb.StatusRequest{})
		if err != nil {
			return err
		}
		if c.Bool("json") {
			return printJSON(r)
		}
		return printStatus(r)
	})
	return &cli.Command{
		Name: "status", Usage: "show the state that a box knows, with the age of each item",
		Flags: append(boxFlags(), &cli.StringFlag{Name: "gateway", Usage: "metrics address of a gateway to show instead"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if a := c.String("gateway"); a != "" {
				return showGatewayStatus(ctx, a, c.Bool("json"))
			}
			return ofBox(ctx, c)
		},
	}
}

func printStatus(r *pb.StatusReply) error {
	fmt.Printf("box %s (incarnation %d, release %s): ready %t, draining %t\n", r.GetBox(), r.GetIncarnation(), r.GetVersion(), r.GetReady(), r.GetDraining())
	fmt.Printf("configuration %d (%s), confirmed %s ago; box list confirmed %s ago\n", r.GetConfigVersion(), r.GetConfigDigest(),
		formatAge(r.GetConfigConfirmedAge().AsDuration()), formatAge(r.GetListConfirmedAge().AsDuration()))
	if v := r.GetConfigConflictVersion(); v > 0 {
		fmt.Printf("CONFLICT: version %d was published again with other content\n", v)
	}
	if why := r.GetConfigRefusal(); why != "" {
		fmt.Printf("REFUSED: the newest published configuration: %s\n", why)
	}
	fmt.Printf("running %d, waiting %d, keys remembered %d\n\n", r.GetRunning(), r.GetWaiting(), r.GetLedgerEntries())
	w := table()
	fmt.Fprintln(w, "BOX\tFAILURE DOMAIN\tSTATE\tLISTED\tHEARD\tVERSION")
	for _, m := range r.GetMembers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s ago\t%d\n", m.GetBox(), m.GetFailureDomain(), m.GetState(), m.GetListed(), formatAge(m.GetAge().AsDuration()), m.GetConfigVersion())
	}
	fmt.Fprintln(w, "\nBACKEND SERVER\tFAILURE DOMAIN\tSTATE\tIN FLIGHT\tWINDOW\tREPORT\tERRORS")
	for _, b := range r.GetBackendServers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s ago\t%.0f%%\n", b.GetBackendServer(), b.GetFailureDomain(), b.GetState(), b.GetInFlight(), b.GetWindow(), formatAge(b.GetReportAge().AsDuration()), 100*b.GetErrorShare())
	}
	return w.Flush()
}

// formatAge formats an age with millisecond precision; a negative age means that the event has not happened yet.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "start the graceful shutdown of a box", Flags: boxFlags(),
		Action: operationsAction(func(ctx context.Context, ops pb.OperationsClient, c *cli.Command) error {
			r, err := ops.Drain(ctx, &pb.DrainRequest{})
			if err != nil {
				return err
			}
			fmt.Printf("stopping; %d running requests will finish first\n", r.GetRunning())
			return nil
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show how each stage of a recent request was placed", ArgsUsage: "KEY", Flags: boxFlags(),
		Action: operationsAction(func(ctx context.Context, ops pb.OperationsClient, c *cli.Command) error {
			r, err := ops.Explain(ctx, &pb.ExplainRequest{Key: c.Args().First()})
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(r)
			}
			fmt.Printf("request %s on box %s: %s\n", r.GetKey(), r.GetBox(), r.GetOutcome())
			for _, p := range r.GetPlacements() {
				fmt.Printf("stage %s, attempt %d: %s, waited %s, took %s: %s\n", p.GetStage(), p.GetAttempt()+1, p.GetChosen(),
					formatAge(p.GetWaited().AsDuration()), formatAge(p.GetServed().AsDuration()), p.GetOutcome())
				for _, cand := range p.GetCandidates() {
					if cand.GetPassedOver() != "" {
						fmt.Printf("    not %s: %s\n", cand.GetBackendServer(), cand.GetPassedOver())
					}
				}
			}
			return nil
		}),
	}
}

func costCommand() *cli.Command {
	return &cli.Command{
		Name: "cost", Usage: "show the resources that each stage consumed at a box", Flags: boxFlags(),
		Action: operationsAction(func(ctx context.Context, ops pb.OperationsClient, c *cli.Command) error {
			r, err := ops.CostByStage(ctx, &pb.CostByStageRequest{})
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(r)
			}
			w := table()
			fmt.Fprintln(w, "PIPELINE\tCLASS\tSTAGE\tCALLS\tRETRIES\tSECONDS\tCOMPUTED\tCACHED\tGENERATED\tWASTED")
			for _, s := range r.GetStages() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\n", s.GetPipeline(), s.GetClass(), s.GetStage(), s.GetCalls(), s.GetRetries(),
					s.GetEngineSeconds(), s.GetComputedTokens(), s.GetCachedTokens(), s.GetGeneratedTokens(), s.GetWastedTokens())
			}
			return w.Flush()
		}),
	}
}
