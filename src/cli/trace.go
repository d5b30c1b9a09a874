package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/stilemast/stilemast/src/code"
)

// maxLogLine is the maximum length of a log line in bytes; a longer one is an error.
const maxLogLine = 1 << 20

// logLine is one parsed line of a JSON log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// text returns the value stored under key as text, or "" if there is none.
func (l *logLine) text(key string) string {
	if v, ok := l.fields[key]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// readLog parses a log of JSON lines and returns those that keep accepts. Text before the first brace of a line
// (prefixes of log collectors) and lines that are not JSON are ignored.
func readLog(r io.Reader, keep func(*logLine) bool) ([]*logLine, error) {
	var out []*logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		start := bytes.IndexByte(sc.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := &logLine{}
		if json.Unmarshal(sc.Bytes()[start:], &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at = at
		if keep(l) {
			out = append(out, l)
		}
	}
	return out, eris.Wrap(sc.Err(), "read log")
}

// readLogs reads several log files and returns their lines sorted by time.
func readLogs(paths []string, keep func(*logLine) bool) ([]*logLine, error) {
	var out []*logLine
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, code.New(code.BadField, "log", "%v", err)
		}
		lines, err := readLog(f, keep)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	return out, nil
}

// mentionsRequest reports whether a line concerns the request with this ID.
func mentionsRequest(l *logLine, id string) bool {
	return l.text("request") == id || strings.Contains(l.text("requests"), id)
}

// maxCallerTime is the time between two log lines of one content up to which they may belong to one caller: boxes remember
// a refused caller for 10 s.
const maxCallerTime = 30 * time.Second

// relatedRequests returns the request with this ID and the other attempts with the same content at about the same time,
// which are those of the same caller or of one that asked for the same. lines are sorted by time.
func relatedRequests(lines []*logLine, id string) map[string]bool {
	contents := map[string]time.Time{} // by content, when the request was logged with it
	for _, l := range lines {
		if c := l.text("content"); c != "" && l.text("request") == id {
			contents[c] = l.at
		}
	}
	out := map[string]bool{id: true}
	for _, l := range lines {
		if at, ok := contents[l.text("content")]; ok && l.text("request") != "" && l.at.Sub(at).Abs() <= maxCallerTime {
			out[l.text("request")] = true
		}
	}
	return out
}

// mentionsAny reports whether a line concerns one of the requests.
func mentionsAny(l *logLine, requests map[string]bool) bool {
	for id := range requests {
		if mentionsRequest(l, id) {
			return true
		}
	}
	return false
}

// writeTimeline writes lines as a timeline: the time since the first line, the box, the message and the remaining
// fields, the request among them if the lines are of several.
func writeTimeline(w io.Writer, lines []*logLine) {
	mainKeys := []string{"time", "level", "msg", "box"}
	requests := map[string]bool{}
	for _, l := range lines {
		if id := l.text("request"); id != "" {
			requests[id] = true
		}
	}
	if len(requests) < 2 {
		mainKeys = append(mainKeys, "request")
	}
	for _, l := range lines {
		fmt.Fprintf(w, "%+9.3fs %-16s %s", l.at.Sub(lines[0].at).Seconds(), l.text("box"), l.text("msg"))
		keys := make([]string, 0, len(l.fields))
		for k := range l.fields {
			if !slices.Contains(mainKeys, k) {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		for _, k := range keys {
			fmt.Fprintf(w, " %s=%s", k, l.text(k))
		}
		fmt.Fprintln(w)
	}
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the timeline of one request, and of the caller's other attempts, from the logs of any number of boxes",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{&cli.StringSliceFlag{Name: "log", Usage: "log `FILE`; may be repeated", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return code.New(code.BadField, "ID", "is missing")
			}
			attempts, err := readLogs(c.StringSlice("log"), func(l *logLine) bool { return l.text("content") != "" && l.text("request") != "" })
			if err != nil {
				return err
			}
			related := relatedRequests(attempts, id)
			lines, err := readLogs(c.StringSlice("log"), func(l *logLine) bool { return mentionsAny(l, related) })
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return code.New(code.NotFound, "ID", "no log line mentions %s", id)
			}
			writeTimeline(os.Stdout, lines)
			return nil
		},
	}
}

func whyCommand() *cli.Command {
	return &cli.Command{
		Name:  "why",
		Usage: "count failed requests in logs by result, pipeline and cause",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "log `FILE`; may be repeated", Required: true},
			&cli.BoolFlag{Name: "account", Usage: "show the share of the requests' value that was lost, including late answers"},
			&cli.StringSliceFlag{Name: "worth", Usage: "with --account: `PIPELINE=FIGURE[:FIGURE]`, the value of an answer in time and late; 1 and 0 by default"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("account") {
				return runAccount(c)
			}
			lines, err := readLogs(c.StringSlice("log"), func(l *logLine) bool {
				return l.text("msg") == "request ended" && l.text("result") != "answered"
			})
			if err != nil {
				return err
			}
			writeCauses(os.Stdout, lines)
			return nil
		},
	}
}

// writeCauses writes the number of lines for each result, pipeline and cause, most frequent first, with the first
// request of each.
func writeCauses(w io.Writer, lines []*logLine) {
	count, first := map[string]int{}, map[string]string{}
	for _, l := range lines {
		key := fmt.Sprintf("%-18s %-12s %s", l.text("result"), l.text("pipeline"), maskNumbers(l.text("cause")))
		if count[key]++; count[key] == 1 {
			first[key] = l.text("request")
		}
	}
	keys := make([]string, 0, len(count))
	for k := range count {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if count[keys[i]] != count[keys[j]] {
			return count[keys[i]] > count[keys[j]]
		}
		return keys[i] < keys[j]
	})
	for _, k := range keys {
		fmt.Fprintf(w, "%6d  %s  (first: %s)\n", count[k], k, first[k])
	}
}

// maskNumbers replaces every word that contains a digit by "#", so that causes which differ only in names and
// numbers are counted together.
func maskNumbers(text string) string {
	words := strings.Fields(text)
	for i, word := range words {
		if strings.ContainsAny(word, "0123456789") {
			words[i] = "#"
		}
	}
	return strings.Join(words, " ")
}
