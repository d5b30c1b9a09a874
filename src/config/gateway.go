package config

import (
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// ModeGateway is the mode of a process that serves opaque requests.
const ModeGateway = "gateway"

// GatewaySettings are what a process that serves opaque requests is told at its start.
type GatewaySettings struct {
	Mode          string                `toml:"mode"`
	Box           string                `toml:"box"`
	FailureDomain string                `toml:"failure_domain"`
	Listen        GatewayListen         `toml:"listen"`
	Platform      GatewayPlatform       `toml:"platform"`
	Fleet         GatewayFleet          `toml:"fleet"`
	Retry         GatewayRetry          `toml:"retry"`
	Policy        GatewayPolicySettings `toml:"policy"`
	Machine       GatewayMachine        `toml:"machine"`
	Regions       map[string]string     `toml:"regions"`   // of the failure domains, by their names
	MemoryMB      int                   `toml:"memory_mb"` // that the process may use, 0 for no limit
	StopWithin    Duration              `toml:"stop_within"`
	LogLevel      string                `toml:"log_level"`
}

// GatewayListen are the process's own addresses, each an IP number with a port.
type GatewayListen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	Metrics   string `toml:"metrics"`
}

// GatewayPlatform says where the platform publishes.
type GatewayPlatform struct {
	Address string `toml:"address"`
}

// GatewayFleet names boxes to begin with; they may be gone.
type GatewayFleet struct {
	Seeds []string `toml:"seeds"`
}

// GatewayMachine tells what the process's machine can do, 0 where that is not known. Work that one box
// does for all goes to boxes that can carry it.
type GatewayMachine struct {
	CPU      float64 `toml:"cpu"`       // cores, as a part or a multiple of one
	Speed    float64 `toml:"speed"`     // of such a core against an ordinary one
	LinkMbps float64 `toml:"link_mbps"` // of its network link
}

// GatewayRetry bounds the repeated sends of all boxes together.
type GatewayRetry struct {
	Ratio  float64  `toml:"ratio"`
	Slack  float64  `toml:"slack"`
	Window Duration `toml:"window"`
}

// GatewayPolicySettings switch mechanisms off, for comparison.
type GatewayPolicySettings struct {
	Admission     bool `toml:"admission"`
	SharedBatches bool `toml:"shared_batches"`
}

// DefaultGatewaySettings are what an absent field means.
func DefaultGatewaySettings() GatewaySettings {
	return GatewaySettings{
		Mode:       ModeGateway,
		Retry:      GatewayRetry{Ratio: 0.1, Window: Duration(10 * time.Second)},
		Policy:     GatewayPolicySettings{Admission: true, SharedBatches: true},
		Machine:    GatewayMachine{Speed: 1},
		StopWithin: Duration(time.Minute),
		LogLevel:   "info",
	}
}

// ReadMode tells which settings a file holds: ModeGateway or "".
func ReadMode(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "settings can't be read")
	}
	return modeOf(b), nil
}

// modeOf reads the mode without judging the rest.
func modeOf(b []byte) string {
	var m struct {
		Mode string `toml:"mode"`
	}
	_ = toml.Unmarshal(b, &m)
	return m.Mode
}

// ReadGatewaySettings reads and checks a settings file.
func ReadGatewaySettings(path string) (*GatewaySettings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings can't be read")
	}
	return ParseGatewaySettings(b)
}

// ParseGatewaySettings decodes settings over the defaults; an unknown key or a bad value is an error.
func ParseGatewaySettings(b []byte) (*GatewaySettings, error) {
	s := DefaultGatewaySettings()
	if fs := decode(b, &s); len(fs) > 0 {
		return nil, fs
	}
	if fs := s.Check(); len(fs) > 0 {
		return nil, fs
	}
	return &s, nil
}

// Check faults each bad field.
func (s *GatewaySettings) Check() Faults {
	k := &checker{}
	if s.Mode != ModeGateway {
		k.bad("mode", "%q is not %q", s.Mode, ModeGateway)
	}
	if s.Box == "" {
		k.bad("box", "is missing")
	}
	if s.FailureDomain == "" {
		k.bad("failure_domain", "is missing")
	}
	k.address("listen.callers", s.Listen.Callers, true)
	k.address("listen.readiness", s.Listen.Readiness, true)
	k.address("listen.peers", s.Listen.Peers, true)
	k.address("listen.metrics", s.Listen.Metrics, false)
	k.address("platform.address", s.Platform.Address, true)
	for i, a := range s.Fleet.Seeds {
		k.address(at("fleet.seeds", i), a, true)
	}
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		k.bad("retry.ratio", "%g is not from 0 to 1", s.Retry.Ratio)
	}
	if s.Retry.Slack < 0 {
		k.bad("retry.slack", "must not be below 0")
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Regions)) {
		if s.Regions[domain] == "" {
			k.bad("regions."+domain, "is empty")
		}
	}
	k.positive("retry.window", s.Retry.Window)
	k.positive("stop_within", s.StopWithin)
	if s.MemoryMB < 0 || s.MemoryMB > 0 && s.MemoryMB < leastMemoryMB {
		k.bad("memory_mb", "must be 0 or at least %d", leastMemoryMB)
	}
	k.within("machine.cpu", s.Machine.CPU, mostCores)
	k.within("machine.speed", s.Machine.Speed, mostSpeed)
	k.within("machine.link_mbps", s.Machine.LinkMbps, mostLinkMbps)
	k.logLevel(s.LogLevel)
	return k.fs
}

// Bounds of the settings of a process.
const (
	leastMemoryMB = 64
	mostCores     = 4096 // above any machine; a larger figure is a wrong unit
	mostSpeed     = 1000
	mostLinkMbps  = 1e6
)

// within faults a figure that is not from 0 to a bound.
func (k *checker) within(field string, v, most float64) {
	if !(v >= 0 && v <= most) {
		k.bad(field, "%g is not from 0 to %g", v, most)
	}
}
