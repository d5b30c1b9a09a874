package config

import (
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/policy"
)

// ModeGateway is the mode of a process that proxies opaque requests.
const ModeGateway = "gateway"

// GatewaySettings are the startup settings of a process in ModeGateway.
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
	Regions       map[string]string     `toml:"regions"`   // region by failure domain
	MemoryMB      int                   `toml:"memory_mb"` // memory limit of the process, 0 for none
	StopWithin    Duration              `toml:"stop_within"`
	LogLevel      string                `toml:"log_level"`
}

// GatewayListen are the listen addresses of the process, each an IP address with a port.
type GatewayListen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	Metrics   string `toml:"metrics"`
}

// GatewayPlatform is the address of the platform's store.
type GatewayPlatform struct {
	Address string `toml:"address"`
}

// GatewayFleet lists boxes to contact first; some may no longer exist.
type GatewayFleet struct {
	Seeds []string `toml:"seeds"`
}

// GatewayMachine describes the capacity of the machine, 0 where unknown. Work that one box does for all of
// them goes to boxes with enough capacity.
type GatewayMachine struct {
	CPU      float64 `toml:"cpu"`       // cores available, may be fractional
	Speed    float64 `toml:"speed"`     // speed of a core relative to a reference core
	LinkMbps float64 `toml:"link_mbps"` // bandwidth of the network link

	Descriptors int `toml:"descriptors"` // that a process may have open
}

// GatewayRetry is the retry budget shared by all boxes.
type GatewayRetry struct {
	Ratio  float64  `toml:"ratio"`
	Slack  float64  `toml:"slack"`
	Window Duration `toml:"window"`
}

// GatewayPolicySettings can disable mechanisms, to compare runs without them.
type GatewayPolicySettings struct {
	Admission     bool `toml:"admission"`
	SharedBatches bool `toml:"shared_batches"`
	policy.Settings
}

// DefaultGatewaySettings returns the values of absent settings.
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

// ReadMode returns the mode of a settings file: ModeGateway or "".
func ReadMode(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "could not read settings")
	}
	return modeOf(b), nil
}

// modeOf reads the mode without validating the other settings.
func modeOf(b []byte) string {
	var m struct {
		Mode string `toml:"mode"`
	}
	_ = toml.Unmarshal(b, &m)
	return m.Mode
}

// ReadGatewaySettings reads and validates a settings file.
func ReadGatewaySettings(path string) (*GatewaySettings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "could not read settings")
	}
	return ParseGatewaySettings(b)
}

// ParseGatewaySettings decodes settings over the defaults and validates them. An unknown key or an invalid
// value is an error.
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

// Check validates the settings.
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
		k.address(entryPath("fleet.seeds", i), a, true)
	}
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		k.bad("retry.ratio", "%g is not from 0 to 1", s.Retry.Ratio)
	}
	if s.Retry.Slack < 0 {
		k.bad("retry.slack", "must not be negative")
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Regions)) {
		if s.Regions[domain] == "" {
			k.bad("regions."+domain, "is empty")
		}
	}
	k.positive("retry.window", s.Retry.Window)
	k.positive("stop_within", s.StopWithin)
	for _, n := range s.Policy.List() {
		if !n.Switch.Valid() {
			k.bad("policy."+n.Name, "%q is not auto, on or off", n.Switch)
		}
	}
	if s.MemoryMB < 0 || s.MemoryMB > 0 && s.MemoryMB < minMemoryMB {
		k.bad("memory_mb", "must be 0 or at least %d", minMemoryMB)
	}
	k.within("machine.cpu", s.Machine.CPU, maxCores)
	k.within("machine.speed", s.Machine.Speed, maxSpeed)
	k.within("machine.link_mbps", s.Machine.LinkMbps, maxLinkMbps)
	if s.Machine.Descriptors < 0 || s.Machine.Descriptors > 0 && s.Machine.Descriptors < minDescriptors {
		k.bad("machine.descriptors", "must be 0 or at least %d", minDescriptors)
	}
	k.logLevel(s.LogLevel)
	return k.faults
}

// Limits of settings.
const (
	minMemoryMB = 64

	minDescriptors = 100 // what a box that serves nobody has open, and some

	maxCores    = 4096 // more than any machine has; a larger value is probably in another unit
	maxSpeed    = 1000
	maxLinkMbps = 1e6
)

// within adds a fault unless v is from 0 to most.
func (k *checker) within(field string, v, most float64) {
	if !(v >= 0 && v <= most) {
		k.bad(field, "%g is not from 0 to %g", v, most)
	}
}
