package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"

	"github.com/stilemast/stilemast/src/node"
)

func TestPlotBurnWritesPNG(t *testing.T) {
	r := &pb.BurnReply{}
	for _, level := range []string{"a", "b", "c"} {
		for _, w := range []time.Duration{time.Minute, time.Hour} {
			r.Windows = append(r.Windows, &pb.BurnWindow{Level: level, Window: durationpb.New(w), Burn: 1.5})
		}
	}
	file := filepath.Join(t.TempDir(), "burn.png")
	if err := plotBurn(r, file); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(file)
	if err != nil || len(b) < 1000 || string(b[1:4]) != "PNG" {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

func TestCommandLineExitCodes(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("version = 1\nbogus = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(good)
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = out
	code := Main([]string{"stilemast", "example", "pageworks"}, node.Adapter{})
	os.Stdout = stdout
	if err := out.Close(); err != nil || code != exitOK {
		t.Fatalf("example: %d, %v", code, err)
	}
	for file, want := range map[string]int{good: exitOK, bad: exitFailed, filepath.Join(dir, "none"): exitFailed} {
		if got := Main([]string{"stilemast", "validate", file}, node.Adapter{}); got != want {
			t.Errorf("validate %s: exit code %d, want %d", file, got, want)
		}
	}
}
