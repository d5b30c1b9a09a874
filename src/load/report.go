package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/standin"
)

// Report summarizes a run.
type Report struct {
	Requests           int              `json:"requests"`
	Complete           int              `json:"whole"`               // complete and correct answers
	InTime             int              `json:"in_time"`             // of them, within the deadline
	WeightedAttainment float64          `json:"attainment_weighted"` // share of requests in time, weighted by pipeline
	Lost               int              `json:"lost"`                // accepted requests without a final answer, or answered without having run
	Doubled            int              `json:"doubled"`             // non-repeatable calls that ran more than once
	Misplaced          int              `json:"misplaced"`           // answers that belong to another request
	RanAfterNotRun     int              `json:"ran_after_not_run"`   // reported as not run, although something ran
	ByPipeline         []PipelineReport `json:"by_pipeline"`
	ByStage            []StageReport    `json:"by_stage"`
	Refusals           map[string]int   `json:"refusals"`
}

// PipelineReport summarizes one pipeline. Latencies are those of complete answers.
type PipelineReport struct {
	Pipeline      string  `json:"pipeline"`
	Requests      int     `json:"requests"`
	InTime        int     `json:"in_time"`
	Late          int     `json:"late"`
	P50           float64 `json:"p50_ms"`
	P95           float64 `json:"p95_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
}

// StageReport summarizes one stage over all pipelines: the resources it consumed and how long its calls waited.
type StageReport struct {
	Stage     string  `json:"stage"`
	Calls     int     `json:"calls"`
	Seconds   float64 `json:"seconds"`
	Computed  uint64  `json:"computed_tokens"`
	Cached    uint64  `json:"cached_tokens"`
	Generated uint64  `json:"generated_tokens"`
	WaitP95   float64 `json:"wait_p95_ms"`
}

// histogram covers 1 µs to 1 h with three significant digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000_000, 3) }

func milliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(1, d.Microseconds())) }

// Evaluate summarizes results and checks them against the calls that the stand-ins ran; Report describes the violations
// that it counts.
func Evaluate(results []Result, ran []standin.Execution) Report {
	r := Report{Refusals: map[string]int{}}
	onceRuns, anyRuns := countRuns(ran)
	kinds := map[string]*kindTotals{}
	stages := map[string]*stageTotals{}
	var totalWeight, earnedWeight float64
	counted := map[string]bool{} // keys counted as Doubled
	for _, x := range results {
		r.Requests++
		k := totalsOf(kinds, x.Arrival.Pipeline.Name())
		k.requests++
		w := x.Arrival.Pipeline.Weight()
		totalWeight += w
		switch {
		case x.Code == code.OK && x.WrongAnswer:
			r.Misplaced++
		case x.Code == code.OK:
			r.Complete++
			k.add(x)
			if !x.Late {
				r.InTime++
				earnedWeight += w
			}
			addStages(stages, x)
		default:
			r.Refusals[x.Code.String()]++
			if x.Code == code.AnswerInterrupted {
				r.Lost++
			}
		}
		if x.Ran == code.RanNo && !x.Duplicate && anyRuns[x.Key] > 0 && x.Arrival.Pipeline.Once() {
			r.RanAfterNotRun++
		}
		if onceRuns[x.Key] > 1 && !counted[x.Key] {
			r.Doubled++
			counted[x.Key] = true
		}
		if x.Code == code.OK && x.Arrival.Pipeline.Once() && onceRuns[x.Key] == 0 {
			r.Lost++
		}
	}
	if totalWeight > 0 {
		r.WeightedAttainment = earnedWeight / totalWeight
	}
	r.ByPipeline, r.ByStage = kindReports(kinds), stageReports(stages)
	return r
}

// countRuns counts the non-repeatable calls and all calls of each request key.
func countRuns(ran []standin.Execution) (once, all map[string]int) {
	once, all = map[string]int{}, map[string]int{}
	for _, x := range ran {
		key, _, _ := strings.Cut(x.Attempt, "/")
		all[key]++
		if x.Once {
			once[key]++
		}
	}
	return once, all
}

type kindTotals struct {
	requests, inTime, late int
	took, first            *hdrhistogram.Histogram
}

func totalsOf(m map[string]*kindTotals, name string) *kindTotals {
	if m[name] == nil {
		m[name] = &kindTotals{took: histogram(), first: histogram()}
	}
	return m[name]
}

func (k *kindTotals) add(x Result) {
	record(k.took, x.Took)
	record(k.first, x.FirstToken)
	if x.Late {
		k.late++
		return
	}
	k.inTime++
}

type stageTotals struct {
	calls                       int
	seconds                     float64
	computed, cached, generated uint64
	waits                       *hdrhistogram.Histogram
}

func addStages(m map[string]*stageTotals, x Result) {
	for _, u := range x.Stages {
		s := m[u.GetStage()]
		if s == nil {
			s = &stageTotals{waits: histogram()}
			m[u.GetStage()] = s
		}
		s.calls += int(u.GetAttempts())
		s.seconds += u.GetServed().AsDuration().Seconds()
		s.computed += u.GetComputedTokens()
		s.cached += u.GetCachedTokens()
		s.generated += u.GetGeneratedTokens()
		record(s.waits, u.GetWaited().AsDuration())
	}
}

func kindReports(m map[string]*kindTotals) []PipelineReport {
	out := make([]PipelineReport, 0, len(m))
	for n, k := range m {
		out = append(out, PipelineReport{
			Pipeline: n, Requests: k.requests, InTime: k.inTime, Late: k.late,
			P50: milliseconds(k.took, 50), P95: milliseconds(k.took, 95), FirstTokenP95: milliseconds(k.first, 95),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pipeline < out[j].Pipeline })
	return out
}

func stageReports(m map[string]*stageTotals) []StageReport {
	out := make([]StageReport, 0, len(m))
	for n, s := range m {
		out = append(out, StageReport{
			Stage: n, Calls: s.calls, Seconds: s.seconds, Computed: s.computed, Cached: s.cached,
			Generated: s.generated, WaitP95: milliseconds(s.waits, 95),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Stage < out[j].Stage })
	return out
}

// Clean reports whether no violation was found: nothing lost, doubled, misplaced or falsely reported as not run.
func (r Report) Clean() bool { return r.Lost+r.Doubled+r.Misplaced+r.RanAfterNotRun == 0 }

// Write prints the report as text.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d requests: %d whole, %d in time, weighted attainment %.1f%%\n", r.Requests, r.Complete, r.InTime, 100*r.WeightedAttainment)
	fmt.Fprintf(w, "lost %d, doubled %d, misplaced %d, ran after \"not run\" %d\n\n", r.Lost, r.Doubled, r.Misplaced, r.RanAfterNotRun)
	fmt.Fprintf(w, "%-18s %8s %8s %6s %9s %9s %12s\n", "pipeline", "requests", "in time", "late", "p50 ms", "p95 ms", "first p95 ms")
	for _, k := range r.ByPipeline {
		fmt.Fprintf(w, "%-18s %8d %8d %6d %9.1f %9.1f %12.1f\n", k.Pipeline, k.Requests, k.InTime, k.Late, k.P50, k.P95, k.FirstTokenP95)
	}
	fmt.Fprintf(w, "\n%-18s %8s %9s %10s %10s %10s %12s\n", "stage", "calls", "seconds", "computed", "cached", "generated", "wait p95 ms")
	for _, s := range r.ByStage {
		fmt.Fprintf(w, "%-18s %8d %9.1f %10d %10d %10d %12.1f\n", s.Stage, s.Calls, s.Seconds, s.Computed, s.Cached, s.Generated, s.WaitP95)
	}
	names := make([]string, 0, len(r.Refusals))
	for n := range r.Refusals {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "refused %-20s %d\n", n, r.Refusals[n])
	}
}
