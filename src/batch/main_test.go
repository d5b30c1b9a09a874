package batch

import (
	"flag"
	"os"
	"testing"
)

// The property tests draw the same histories on every run; -rapid.seed and -rapid.checks change that.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
