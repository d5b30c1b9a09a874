package local

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
	"github.com/stilemast/stilemast/src/backend"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/load"
	"github.com/stilemast/stilemast/src/port"
)

// BenchmarkAddedTime measures the latency that a box adds to each stage, by comparing calls of the stages directly at
// the stand-ins with the same pipeline run through a box.
func BenchmarkAddedTime(b *testing.B) {
	s := &Deployment{Document: config.ExamplePageworks(), Boxes: 1, Log: slog.New(slog.DiscardHandler), Release: "bench"}
	defer s.Close()
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	for _, v := range s.Services {
		v.CallTime = 2 * time.Millisecond
	}
	conf := s.Nodes[0].Box().Config()
	client := backend.NewClient(nil)
	conn, err := load.Dial(s.Addresses()[0], nil, "")
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	callers := pb.NewPipelinesClient(conn)
	ctx := context.Background()
	direct, through := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	stages := conf.Pipeline("proof-approval").Stages()
	n := 0
	for b.Loop() {
		input := []byte(fmt.Sprint("input ", n))
		n++
		begun := time.Now()
		for _, st := range stages {
			r := port.CallRequest{Attempt: fmt.Sprint("direct/", n), Kind: string(st.Kind()), Input: input, Once: st.Once()}
			if _, cerr := client.Call(ctx, conf.Pool(st.Pool())[0], r, func(int, []byte) {}); cerr != nil {
				b.Fatal(cerr)
			}
		}
		_ = direct.RecordValue(time.Since(begun).Microseconds())
		tickets, err := callers.IssueTickets(ctx, &pb.IssueTicketsRequest{Workspace: "lakeside", Count: 1})
		if err != nil {
			b.Fatal(err)
		}
		begun = time.Now()
		if _, err := runOnce(ctx, callers, &pb.RunRequest{Workspace: "lakeside", Pipeline: "proof-approval", Key: tickets.GetTickets()[0], Input: input}); err != nil {
			b.Fatal(err)
		}
		_ = through.RecordValue(time.Since(begun).Microseconds())
	}
	for _, q := range []float64{50, 99} {
		d, t := float64(direct.ValueAtQuantile(q)), float64(through.ValueAtQuantile(q))
		b.ReportMetric((t-d)/float64(len(stages)), fmt.Sprintf("added_us_p%.0f", q))
		b.ReportMetric(t/d, fmt.Sprintf("ratio_p%.0f", q))
	}
}
