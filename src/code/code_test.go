package code

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/rotisserie/eris"
)

var update = flag.Bool("update", false, "write docs/CODES.md")

const page = "../../docs/CODES.md"

const head = `# Result codes

Every refusal and failure has a number. A gRPC error carries it in a ` + "`stilemast.v1.Result`" + ` among its
details, with:

- **ran**: what is known of the request. *no*: nothing ran and, for a pipeline that may not be repeated,
  nothing will under this key, whichever box other copies reached; for other pipelines the word is on
  this copy. *unknown*: it may have run. *yes*: something ran.
- **same_key**: coming back with the same key can help. It is always safe to.
- **may_repeat**: making the request again under a *new* key doubles no call that may not be repeated.
- **retry_after**: when to come back, where that can be told.

The table gives what a code usually says of running; the answer itself may say otherwise, since the
request knows. This page is written by ` + "`make codes`" + `, and a test fails when it is not current.

| number | name | ran | same key | gRPC | meaning |
|---|---|---|---|---|---|
`

func TestPageIsCurrent(t *testing.T) {
	var b bytes.Buffer
	b.WriteString(head)
	for _, e := range Table {
		same := "no"
		if e.SameKey {
			same = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Code, e.Name, e.Ran, same, e.GRPC, e.Meaning)
	}
	if *update {
		if err := os.WriteFile(page, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(page)
	if err != nil || !bytes.Equal(have, b.Bytes()) {
		t.Errorf("docs/CODES.md is not current (%v); run: make codes", err)
	}
}

func TestTableIsWhole(t *testing.T) {
	names := map[string]bool{}
	last := Code(0)
	for i, e := range Table {
		if e.Name == "" || e.Meaning == "" || e.Ran == 0 || names[e.Name] {
			t.Errorf("entry %d is not whole or not its own: %+v", e.Code, e)
		}
		if i > 0 && e.Code <= last {
			t.Errorf("%d comes after %d", e.Code, last)
		}
		names[e.Name], last = true, e.Code
	}
}

func TestOfFindsTheNumberInAChain(t *testing.T) {
	e := New(QueueFull, "field", "text %d", 1).WithRan(RanYes)
	if got := Of(eris.Wrap(e, "outer")); got != e || got.DidRun() != RanYes {
		t.Errorf("Of = %v", got)
	}
	if got := Of(eris.New("other")); got.Code != Internal {
		t.Errorf("Of a foreign error = %v", got)
	}
}
