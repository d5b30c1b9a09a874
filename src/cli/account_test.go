package cli

import (
	"bytes"
	"strings"
	"testing"
)

const logOfOutcomes = `{"time":"2026-12-02T10:00:01Z","msg":"stage made","request":"r1","pool":"encode","took_ms":900,"held_ms":700}
{"time":"2026-12-02T10:00:01Z","msg":"stage made","request":"r1","pool":"rerank","took_ms":800,"held_ms":0}
{"time":"2026-12-02T10:00:02Z","msg":"request ended","request":"r1","pipeline":"draft","result":"answered","first_ms":2500,"objective_ms":2000}
{"time":"2026-12-02T10:00:02Z","msg":"request ended","request":"r2","pipeline":"draft","result":"answered","first_ms":1500,"objective_ms":2000}
{"time":"2026-12-02T10:00:03Z","msg":"request ended","request":"r3","pipeline":"tag","result":"CANNOT_FINISH","cause":"expected in 3s of 2s","objective_ms":2000}
{"time":"2026-12-02T10:00:03Z","msg":"request ended","request":"r4","pipeline":"","result":"UNKNOWN_PIPELINE","cause":"no pipeline there"}
{"time":"2026-12-02T10:00:03Z","msg":"request ended","request":"r5","pipeline":"tag","result":"UNAUTHENTICATED","cause":"the token is not known"}
`

// Earned and lost shares must sum to the total value of the requests; rejected callers do not count.
func TestLossReportSharesSumToTotal(t *testing.T) {
	lines, err := readLog(strings.NewReader(logOfOutcomes), func(*logLine) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	values, err := parseAnswerValues([]string{"draft=4:1", "tag=2"})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	writeLossReport(&out, outcomes(lines), values)
	want := `requests 3  earned 50.00% of what they were worth
   lost   count  pipeline      cause
 30.00%       1  draft         late, longest: stage in encode
 20.00%       1  tag           CANNOT_FINISH: expected in # of #
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

func TestInvalidAnswerValuesAreRejected(t *testing.T) {
	for _, bad := range []string{"draft", "=4", "draft=x", "draft=4:x", "draft=-1"} {
		if _, err := parseAnswerValues([]string{bad}); err == nil || !strings.Contains(err.Error(), "worth") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
