package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stilemast/stilemast/src/policy"
)

const gatewayFile = `mode = "gateway"
box = "a"
failure_domain = "z"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
`

func TestGatewaySettingsNameWhatIsWrong(t *testing.T) {
	if _, err := ParseGatewaySettings([]byte(gatewayFile)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, field string }{
		{"no name", `box = "a"`, ``, "box"},
		{"no domain", `failure_domain = "z"`, ``, "failure_domain"},
		{"another mode", `"gateway"`, `"gate"`, "mode"},
		{"an address without a port", `callers = "127.0.0.1:1"`, `callers = "127.0.0.1"`, "listen.callers"},
		{"a host name", `address = "127.0.0.1:4"`, `address = "store:4"`, "platform.address"},
		{"no peers", `peers = "127.0.0.1:3"`, ``, "listen.peers"},
		{"a bad seed", `[platform]`, "[fleet]\nseeds = [\"x\"]\n[platform]", "fleet.seeds[0]"},
		{"a ratio over one", `[platform]`, "[retry]\nratio = 1.5\n[platform]", "retry.ratio"},
		{"negative slack", `[platform]`, "[retry]\nslack = -1.0\n[platform]", "retry.slack"},
		{"no window", `[platform]`, "[retry]\nwindow = \"0s\"\n[platform]", "retry.window"},
		{"too little memory", `[listen]`, "memory_mb = 10\n[listen]", "memory_mb"},
		{"too few descriptors", `[listen]`, "[machine]\ndescriptors = 10\n[listen]", "machine.descriptors"},
		{"an unknown value of a switch", `[listen]`, "[policy]\nserver_speeds = \"maybe\"\n[listen]", "policy.server_speeds"},
		{"an unknown level", `[listen]`, "log_level = \"loud\"\n[listen]", "log_level"},
		{"an unknown key", `[listen]`, "colour = 1\n[listen]", "colour"},
	} {
		_, err := ParseGatewaySettings([]byte(strings.Replace(gatewayFile, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v does not name the field %s", c.name, err, c.field)
		}
	}
}

// Guards against switches that the settings file sets but that are not read.
func TestPolicySwitchesAreRead(t *testing.T) {
	s, err := ParseGatewaySettings([]byte(gatewayFile + "[policy]\nyielding = \"off\"\nadmission = false\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Policy.Yielding != policy.Off || s.Policy.Admission || !s.Policy.SharedBatches {
		t.Errorf("read %+v", s.Policy)
	}
}

func TestModeOfSettingsFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.toml")
	for text, want := range map[string]string{gatewayFile: ModeGateway, "box = \"a\"\n": "", "not TOML": ""} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := ReadMode(path); got != want || err != nil {
			t.Errorf("%q has mode %q, %v", text, got, err)
		}
	}
	if _, err := ReadMode(filepath.Join(dir, "none")); err == nil {
		t.Error("no error for a missing file")
	}
}
