package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stilemast/stilemast/src/node"
)

const logOfBoxA = `   1.25 edge-1 {"time":"2026-12-02T10:00:01Z","level":"INFO","msg":"admitted","box":"a","request":"r1","expected_ms":900}
not a line of ours
{"time":"2026-12-02T10:00:03Z","level":"INFO","msg":"request ended","box":"a","request":"r1","pipeline":"p","result":"CANNOT_FINISH","cause":"expected in 2.1s of 1.7s"}
{"time":"2026-12-02T10:00:04Z","level":"INFO","msg":"request ended","box":"a","request":"r2","pipeline":"p","result":"CANNOT_FINISH","cause":"expected in 3.4s of 1.7s"}
{"time":"2026-12-02T10:00:04Z","level":"INFO","msg":"request ended","box":"a","request":"r3","pipeline":"p","result":"answered"}
`

const logOfBoxB = `{"time":"2026-12-02T10:00:02Z","level":"INFO","msg":"batch ended","box":"b","requests":"r0 r1","pool":"x"}
`

func logFiles(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	for path, text := range map[string]string{a: logOfBoxA, b: logOfBoxB} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return []string{a, b}
}

func TestTimelineMergesLogsOfSeveralBoxes(t *testing.T) {
	lines, err := readLogs(logFiles(t), func(l *logLine) bool { return mentionsRequest(l, "r1") })
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	writeTimeline(&out, lines)
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != 3 || !strings.Contains(got[0], "admitted expected_ms=900") || !strings.Contains(got[1], "+1.000s b") || !strings.Contains(got[2], "CANNOT_FINISH") {
		t.Errorf("story:\n%s", out.String())
	}
}

func TestCausesDifferingInNumbersAreCountedTogether(t *testing.T) {
	lines, err := readLogs(logFiles(t), func(l *logLine) bool {
		return l.text("msg") == "request ended" && l.text("result") != "answered"
	})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	writeCauses(&out, lines)
	if want := "     2  CANNOT_FINISH      p            expected in # of #  (first: r1)\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

func TestTraceAndWhyExitCodes(t *testing.T) {
	files := logFiles(t)
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"trace", "--log", files[0], "r1"}, exitOK},
		{[]string{"trace", "--log", files[0], "nobody"}, exitFailed},
		{[]string{"trace", "--log", files[0]}, exitFailed},
		{[]string{"why", "--log", filepath.Join(t.TempDir(), "none")}, exitFailed},
		{[]string{"why", "--log", files[0], "--log", files[1]}, exitOK},
	} {
		if got := Main(append([]string{"stilemast"}, c.args...), node.Adapter{}); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
