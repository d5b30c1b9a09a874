package experiment

import (
	"fmt"
	"io"
	"math"
	"time"
)

// Row holds the runs of one policy under one workload, load and fault, one run per seed.
type Row struct {
	Workload string    `json:"workload"`
	Load     float64   `json:"load"`
	Fault    string    `json:"fault"`
	Policy   string    `json:"policy"`
	Runs     []Figures `json:"runs"`
}

// Spread returns the mean of a figure and half the difference between its maximum and minimum.
func (r Row) Spread(get func(Figures) float64) (mean, halfRange float64) {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, f := range r.Runs {
		v := get(f)
		mean += v / float64(len(r.Runs))
		lo, hi = min(lo, v), max(hi, v)
	}
	return mean, (hi - lo) / 2
}

// Mean returns the mean of a figure.
func (r Row) Mean(get func(Figures) float64) float64 {
	m, _ := r.Spread(get)
	return m
}

// Weighted returns the weighted attainment, the main figure of the example workload.
func Weighted(f Figures) float64 { return f.Weighted }

// WriteTable prints rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| workload | load | fault | policy | weighted attainment | prompt | may wait | accepted must-finish done | goodput/s | wasted | cached | s/request | first token p95 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		mean, half := r.Spread(Weighted)
		pc := func(get func(Figures) float64) float64 { return 100 * r.Mean(get) }
		fmt.Fprintf(w, "| %s | %.0f%% | %s | %s | %.1f ± %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.1f | %.1f%% | %.1f%% | %.3f | %s |\n",
			r.Workload, 100*r.Load, r.Fault, r.Policy, 100*mean, 100*half,
			pc(func(f Figures) float64 { return f.Prompt }), pc(func(f Figures) float64 { return f.MayWait }),
			pc(func(f Figures) float64 { return f.MustFinished }), r.Mean(func(f Figures) float64 { return f.Goodput }),
			pc(func(f Figures) float64 { return f.Wasted }), pc(func(f Figures) float64 { return f.Cached }),
			r.Mean(func(f Figures) float64 { return f.SecondsEach }),
			time.Duration(r.Mean(func(f Figures) float64 { return float64(f.First95) })).Round(time.Millisecond))
	}
}
