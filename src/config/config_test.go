package config

import (
	"strings"
	"testing"

	"github.com/stilemast/stilemast/src/code"
)

func mustMarshal(t testing.TB, d *Document) []byte {
	t.Helper()
	raw, err := Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestExamplesAreValid(t *testing.T) {
	for name, maker := range map[string]func() *Document{"pageworks": ExamplePageworks, "giftenregister": ExampleGiftenregister, "target": ExampleTarget} {
		raw := mustMarshal(t, maker())
		if _, faults := Parse(raw); len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
		}
		if len(raw) > MaxBytes {
			t.Errorf("%s: %d bytes, more than the platform's limit", name, len(raw))
		}
	}
}

func TestFaultsNameTheirField(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Document)
		field  string
		code   code.Code
	}{
		{"version", func(d *Document) { d.Version = 0 }, "version", code.ConfigBadValue},
		{"address", func(d *Document) { d.BackendServers[1].Address = "host:1" }, "backend_servers[1].address", code.ConfigBadValue},
		{"domain", func(d *Document) { d.BackendServers[0].FailureDomain = "x" }, "backend_servers[0].failure_domain", code.ConfigDangling},
		{"model", func(d *Document) { d.BackendServers[0].Model = "x" }, "backend_servers[0].model", code.ConfigDangling},
		{"stages", func(d *Document) { d.Pipelines[0].Stages = d.Pipelines[0].Stages[:2] }, "pipelines[0].stages", code.ConfigBadValue},
		{"pool", func(d *Document) { d.Pipelines[1].Stages[2].Pool = "x" }, "pipelines[1].stages[2].pool", code.ConfigDangling},
		{"once", func(d *Document) { d.Pipelines[0].Stages[3].Once = true }, "pipelines[0].stages[3].once", code.ConfigBadValue},
		{"twice", func(d *Document) { d.Workspaces[1].Name = d.Workspaces[0].Name }, "workspaces[1].name", code.ConfigBadValue},
		{"pipeline", func(d *Document) { d.Workspaces[0].Pipelines[0] = "x" }, "workspaces[0].pipelines[0]", code.ConfigDangling},
		{"entry", func(d *Document) {
			d.Workspaces[0].EntryIn, d.Workspaces[0].RestIn = []string{"nw-1"}, []string{"nw-2"}
		}, "workspaces[0].entry_in", code.ConfigNowhere},
		{"deadline", func(d *Document) { d.Pipelines[0].Deadline = 0 }, "pipelines[0].deadline", code.ConfigBadValue},
		{"token", func(d *Document) { d.Workspaces[0].TokensSHA256 = []string{"ab"} }, "workspaces[0].tokens_sha256[0]", code.ConfigBadValue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := ExamplePageworks()
			c.change(d)
			_, faults := Parse(mustMarshal(t, d))
			for _, f := range faults {
				if f.Field == c.field && f.Code == c.code {
					return
				}
			}
			t.Errorf("no fault %d at %s in %v", c.code, c.field, faults)
		})
	}
}

func TestStageWithNowhereToRunIsRefused(t *testing.T) {
	d := ExamplePageworks()
	d.Workspaces[0].RunIn = []string{"nw-1"}
	for i := range d.BackendServers {
		if d.BackendServers[i].Pool == "proofing" {
			d.BackendServers[i].FailureDomain = "nw-2"
		}
	}
	_, faults := Parse(mustMarshal(t, d))
	if len(faults) == 0 || faults[0].Code != code.ConfigNowhere || !strings.Contains(faults[0].Field, "district-north") {
		t.Errorf("faults = %v", faults)
	}
}

func TestUnknownKeysAreErrors(t *testing.T) {
	raw := append(mustMarshal(t, ExamplePageworks()), "\n[[workspaces]]\nnaem = \"x\"\n"...)
	_, faults := Parse(raw)
	if len(faults) != 1 || faults[0].Code != code.ConfigUnknownKey || faults[0].Field != "workspaces.naem" {
		t.Errorf("faults = %v", faults)
	}
	_, err := ParseSettings([]byte("box = \"a\"\nboks = 1\n"))
	if code.Of(err).Code != code.ConfigUnknownKey {
		t.Errorf("settings: %v", err)
	}
}

func TestBadSettingsNameTheirField(t *testing.T) {
	good := "box=\"a\"\nfailure_domain=\"x\"\n[listen]\ncallers=\"127.0.0.1:1\"\npeers=\"127.0.0.1:2\"\n[platform]\naddresses=[\"127.0.0.1:3\"]\n"
	if _, err := ParseSettings([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for field, text := range map[string]string{
		"listen.callers":           strings.Replace(good, "127.0.0.1:1", "localhost:1", 1),
		"policy.placement":         good + "[policy]\nplacement=\"x\"\n",
		"at_most_once.ledger_keep": good + "[at_most_once]\nledger_keep=\"1s\"\n",
		"platform.poll_every":      strings.Replace(good, "[platform]", "[platform]\npoll_every=\"-1s\"", 1),
		"tls.key":                  good + "[tls]\ncertificate=\"x\"\n",
	} {
		_, err := ParseSettings([]byte(text))
		if e := code.Of(err); err == nil || e.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(mustMarshal(f, ExamplePageworks()))
	f.Add([]byte("version = 1"))
	f.Add([]byte("[[pipelines]]\nname = \"a\"\ndeadline = \"x\""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, faults := Parse(raw)
		if (c == nil) == (len(faults) == 0) {
			t.Fatalf("got neither or both of a configuration and faults")
		}
		for _, e := range faults {
			if e.Code < 7000 || e.Code > 7999 {
				t.Fatalf("fault %v has a code outside 7000 to 7999", e)
			}
		}
	})
}
