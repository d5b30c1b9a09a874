package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/stilemast/stilemast/src/code"
)

// runAccount runs `why --account`: it reports how much of the requests' total value was lost, by cause.
func runAccount(c *cli.Command) error {
	values, err := parseAnswerValues(c.StringSlice("worth"))
	if err != nil {
		return err
	}
	lines, err := readLogs(c.StringSlice("log"), func(l *logLine) bool {
		return slices.Contains([]string{"stage made", "request ended"}, l.text("msg"))
	})
	if err != nil {
		return err
	}
	writeLossReport(os.Stdout, outcomes(lines), values)
	return nil
}

// answerValue is the value of one answer of a pipeline when it is in time and when it is late.
type answerValue struct{ inTime, late float64 }

// parseAnswerValues parses values of the form PIPELINE=IN_TIME or PIPELINE=IN_TIME:LATE, keyed by pipeline.
func parseAnswerValues(list []string) (map[string]answerValue, error) {
	out := map[string]answerValue{}
	for _, text := range list {
		name, figures, ok := strings.Cut(text, "=")
		inTime, late, hasLate := strings.Cut(figures, ":")
		w := answerValue{}
		var err, errLate error
		w.inTime, err = strconv.ParseFloat(inTime, 64)
		if hasLate {
			w.late, errLate = strconv.ParseFloat(late, 64)
		}
		if !ok || name == "" || err != nil || errLate != nil || w.inTime < 0 || w.late < 0 {
			return nil, code.New(code.BadField, "worth", "%q is not PIPELINE=FIGURE or PIPELINE=FIGURE:FIGURE", text)
		}
		out[name] = w
	}
	return out, nil
}

// outcome says how one request ended and, if it was late, which part took longest.
type outcome struct {
	pipeline string
	cause    string
	inTime   bool
	late     bool
}

// outcomes extracts the outcomes of requests from the log lines of all boxes. A late answer is attributed to the
// part that took longest: a stage including its queueing time, or the remaining time until the first output.
func outcomes(lines []*logLine) []outcome {
	longest, slowestPart, stageTime := map[string]float64{}, map[string]string{}, map[string]float64{}
	updateLongest := func(id, name string, ms float64) {
		if ms > longest[id] {
			longest[id], slowestPart[id] = ms, name
		}
	}
	var out []outcome
	for _, l := range lines {
		id := l.text("request")
		switch l.text("msg") {
		case "stage made":
			took := l.number("took_ms") + l.number("held_ms")
			stageTime[id] += took
			updateLongest(id, "stage in "+l.text("pool"), took)
		case "request ended":
			if l.text("pipeline") == "" || l.text("result") == "UNAUTHENTICATED" {
				continue // rejected before it became a request of a pipeline
			}
			f := outcome{pipeline: l.text("pipeline")}
			switch {
			case l.text("result") != "answered":
				f.cause = l.text("result") + ": " + maskNumbers(l.text("cause"))
			case l.number("first_ms") <= l.number("objective_ms"):
				f.inTime = true
				f.cause = "in time"
			default:
				updateLongest(id, "first output", l.number("first_ms")-stageTime[id])
				f.late = true
				f.cause = "late, longest: " + slowestPart[id]
			}
			out = append(out, f)
		}
	}
	return out
}

// number returns the number stored under key, or 0 if there is none.
func (l *logLine) number(key string) float64 {
	v, _ := l.fields[key].(float64)
	return v
}

// writeLossReport writes the share of the requests' total value that was lost, by pipeline and cause. The earned share
// and the lost shares sum to 100 %.
func writeLossReport(w io.Writer, all []outcome, values map[string]answerValue) {
	type row struct {
		outcome
		count  int
		earned float64
		lost   float64
	}
	rows, total := map[outcome]*row{}, 0.0
	for _, f := range all {
		v, ok := values[f.pipeline]
		if !ok {
			v = answerValue{inTime: 1}
		}
		r := rows[f]
		if r == nil {
			r = &row{outcome: f}
			rows[f] = r
		}
		r.count++
		total += v.inTime
		switch {
		case f.inTime:
			r.earned += v.inTime
		case f.late:
			r.earned += v.late
			r.lost += v.inTime - v.late
		default:
			r.lost += v.inTime
		}
	}
	list, earned := make([]*row, 0, len(rows)), 0.0
	for _, r := range rows {
		list = append(list, r)
		earned += r.earned
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.lost != b.lost {
			return a.lost > b.lost
		}
		return a.pipeline+a.cause < b.pipeline+b.cause
	})
	share := func(x float64) float64 { return 100 * x / max(total, 1e-9) }
	fmt.Fprintf(w, "requests %d  earned %.2f%% of what they were worth\n", len(all), share(earned))
	fmt.Fprintln(w, "   lost   count  pipeline      cause")
	for _, r := range list {
		if r.lost > 0 {
			fmt.Fprintf(w, "%6.2f%%  %6d  %-12s  %s\n", share(r.lost), r.count, r.pipeline, r.cause)
		}
	}
}
