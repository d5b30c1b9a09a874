package batch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests; -rapid.seed and -rapid.checks override it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
