package retry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run draws the same histories; -rapid.seed
// and -rapid.checks override that.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}
	os.Exit(m.Run())
}
