package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/load"
	"github.com/stilemast/stilemast/src/local"
)

// clientTLS builds the TLS configuration from the certificate flags; nil means plain TCP.
func clientTLS(c *cli.Command) (*tls.Config, error) {
	if c.String("ca") == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.String("ca"))
	if err != nil {
		return nil, eris.Wrap(err, "ca")
	}
	cfg := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, eris.New("ca: no certificate found in the file")
	}
	if c.String("cert") != "" {
		pair, err := tls.LoadX509KeyPair(c.String("cert"), c.String("key"))
		if err != nil {
			return nil, eris.Wrap(err, "cert")
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg, nil
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "call a pipeline with standard input and stream the answer to standard output",
		Description: "Exit codes: 0 complete answer, 1 failed, 2 refused before anything ran, 3 outcome unknown, 4 refused after something ran.",
		Flags: append(boxFlags(),
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "`NAME` of the workspace"},
			&cli.StringFlag{Name: "pipeline", Usage: "`NAME` of the pipeline"},
			&cli.StringFlag{Name: "request-key", Usage: "UUID version 7 or ticket"},
			&cli.DurationFlag{Name: "deadline", Usage: "`DURATION` within which the answer must be complete"},
			&cli.StringFlag{Name: "attach", Usage: "reattach to the request with this `TOKEN` instead of sending one"},
			&cli.Uint64Flag{Name: "offset", Usage: "with --attach: byte offset in the answer to start from"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := clientTLS(c)
			if err != nil {
				return err
			}
			conn, err := load.Dial(c.String("box"), cfg, c.String("token"))
			if err != nil {
				return err
			}
			defer conn.Close()
			return streamAnswer(ctx, pb.NewPipelinesClient(conn), c)
		},
	}
}

// streamAnswer writes the answer to standard output as it arrives, and its key and attach token to standard error.
func streamAnswer(ctx context.Context, client pb.PipelinesClient, c *cli.Command) error {
	s, err := openStream(ctx, client, c)
	if err != nil {
		return err
	}
	for {
		ev, err := s.Recv()
		if err != nil {
			return err
		}
		switch e := ev.GetEvent().(type) {
		case *pb.RunEvent_Accepted:
			fmt.Fprintf(os.Stderr, "key %s on %s, attach token %s\n", e.Accepted.GetKey(), e.Accepted.GetBox(), e.Accepted.GetAttachToken())
		case *pb.RunEvent_Chunk:
			_, _ = os.Stdout.Write(e.Chunk.GetData())
		case *pb.RunEvent_Finished:
			fmt.Println()
			return nil
		}
	}
}

// openStream starts a request, or reattaches to one if --attach is set.
func openStream(ctx context.Context, client pb.PipelinesClient, c *cli.Command) (grpc.ServerStreamingClient[pb.RunEvent], error) {
	if t := c.String("attach"); t != "" {
		return client.Attach(ctx, &pb.AttachRequest{Workspace: c.String("workspace"), AttachToken: t, Offset: c.Uint64("offset")})
	}
	input, err := io.ReadAll(io.LimitReader(os.Stdin, config.MaxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "input")
	}
	r := &pb.RunRequest{Workspace: c.String("workspace"), Pipeline: c.String("pipeline"), Key: c.String("request-key"), Input: input}
	if d := c.Duration("deadline"); d != 0 {
		r.Deadline = durationpb.New(d)
	}
	return client.Run(ctx, r)
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "drive boxes with a named open-loop workload and check every answer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "pageworks", Usage: "pageworks or giftenregister"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "requests a second"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second, Usage: "`DURATION` of the load, at most 10 minutes"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.FloatFlag{Name: "duplicates", Usage: "share of requests sent to two boxes"},
			&cli.StringFlag{Name: "policy", Value: "expected_finish", Usage: "placement policy of the embedded boxes"},
			&cli.StringFlag{Name: "boxes", Usage: "comma-separated `LIST` of callers' addresses of boxes to drive instead of embedded ones"},
			&cli.StringFlag{Name: "config", Usage: "with --boxes: the published configuration, a TOML `FILE`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, ok := load.Workloads[c.String("workload")]; !ok {
				return eris.Errorf("unknown workload %q", c.String("workload"))
			}
			if c.Duration("time") > 10*time.Minute || c.Float("rate") <= 0 {
				return eris.New("time must be at most 10m and rate above 0")
			}
			if c.String("boxes") != "" {
				return externalLoad(ctx, c)
			}
			return embeddedLoad(ctx, c)
		},
	}
}

// embeddedLoad drives a deployment that runs inside this process.
func embeddedLoad(ctx context.Context, c *cli.Command) error {
	name := c.String("workload")
	doc, boxes := exampleDocument(name)
	set := &local.Deployment{Document: doc, Boxes: boxes, Log: slog.New(slog.DiscardHandler), Release: Release}
	set.Adjust = func(s *config.Settings) { s.Policy.Placement = c.String("policy") }
	defer set.Close()
	if err := set.Start(); err != nil {
		return err
	}
	time.Sleep(set.BoxSettings("", 0).AtMostOnce.Window() + time.Second)
	conf, err := load.ParseDocument(doc)
	if err != nil {
		return err
	}
	plan := load.Plan(load.Workloads[name], conf, workspacesForAnyBox(doc), c.Float("rate"), c.Duration("time"), boxes, c.Uint64("seed"))
	run := &load.Run{Boxes: set.Addresses(), Plan: plan, Duplicates: c.Float("duplicates"), Progress: progress()}
	results, err := run.Do(ctx)
	if err != nil {
		return err
	}
	return writeReport(c, load.Evaluate(results, set.Ran()))
}

// externalLoad drives boxes of other processes. Their backend servers must be stand-ins, which report the calls
// that they ran.
func externalLoad(ctx context.Context, c *cli.Command) error {
	raw, err := os.ReadFile(c.String("config"))
	if err != nil {
		return eris.Wrap(err, "config")
	}
	conf, faults := config.Parse(raw)
	if len(faults) > 0 {
		return faults
	}
	boxes := strings.Split(c.String("boxes"), ",")
	var spaces []string
	for name := range conf.Workspaces() {
		spaces = append(spaces, name)
	}
	sort.Strings(spaces)
	plan := load.Plan(load.Workloads[c.String("workload")], conf, spaces, c.Float("rate"), c.Duration("time"), len(boxes), c.Uint64("seed"))
	run := &load.Run{Boxes: boxes, Plan: plan, Duplicates: c.Float("duplicates"), Progress: progress(), Retry: true}
	results, err := run.Do(ctx)
	if err != nil {
		return err
	}
	ran, err := load.FetchRan(ctx, conf)
	if err != nil {
		return err
	}
	return writeReport(c, load.Evaluate(results, ran))
}

// writeReport prints a report and returns an error if it is not clean.
func writeReport(c *cli.Command, report load.Report) error {
	if c.Bool("json") {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return eris.Wrap(err, "report")
		}
	} else {
		report.Write(os.Stdout)
	}
	if !report.Clean() {
		return errAlreadyReported
	}
	return nil
}

// progress returns a function that updates a progress line on standard error, or nil if that is not a terminal.
func progress() func(done, total int) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	last := time.Now()
	return func(done, total int) {
		if time.Since(last) < 200*time.Millisecond && done < total {
			return
		}
		last = time.Now()
		fmt.Fprintf(os.Stderr, "\r%d of %d answered", done, total)
		if done >= total {
			fmt.Fprintln(os.Stderr)
		}
	}
}
