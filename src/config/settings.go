package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stilemast/stilemast/src/code"
)

// Settings are the startup settings of a process. They do not change while it runs.
type Settings struct {
	Box           string           `toml:"box"`
	FailureDomain string           `toml:"failure_domain"`
	Listen        ListenSettings   `toml:"listen"`
	Platform      PlatformSettings `toml:"platform"`
	AtMostOnce    OnceSettings     `toml:"at_most_once"`
	Answers       AnswerSettings   `toml:"answers"`
	Policy        PolicySettings   `toml:"policy"`
	TLS           TLSSettings      `toml:"tls"`
	Callers       CallerSettings   `toml:"callers"`
	Operators     OperatorSettings `toml:"operators"`
	StopWithin    Duration         `toml:"stop_within"`
	LogLevel      string           `toml:"log_level"`
}

// ListenSettings are the addresses of the box, each an IP address with a port.
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Metrics   string `toml:"metrics"`
	Advertise string `toml:"advertise_peers"`
}

// PlatformSettings describe how to read published configurations.
type PlatformSettings struct {
	Addresses   []string `toml:"addresses"`
	PollEvery   Duration `toml:"poll_every"`
	CallTimeout Duration `toml:"call_timeout"`
	// Watch is the longest time that a read waits at the service for the next configuration; 0 polls
	// instead. A confirmation counts from the start of its call, so a long watch makes boxes unsettled as
	// homes of keys.
	Watch Duration `toml:"watch"`
}

// OnceSettings are the clock and staleness bounds behind at-most-once calls. A box is settled as a key's home
// only after the window FreshWithin + ListLag + ClockSkew.
type OnceSettings struct {
	ListLag     Duration `toml:"list_lag"`
	FreshWithin Duration `toml:"fresh_within"`
	ClockSkew   Duration `toml:"clock_skew"`
	LedgerKeep  Duration `toml:"ledger_keep"`
}

// AnswerSettings limit the finished answers kept for callers that attach again.
type AnswerSettings struct {
	Keep     Duration `toml:"keep"`
	MaxBytes int      `toml:"max_bytes"`
}

// PolicySettings select how backend servers are picked. Placements other than "expected_finish" are baselines
// for comparison.
type PolicySettings struct {
	Placement    string `toml:"placement"`
	NoAdmission  bool   `toml:"no_admission"`
	WaitingRoom  int    `toml:"waiting_room"`
	WatchServers int    `toml:"watch_servers"`
}

// TLSSettings name PEM files. Without them listeners use plain TCP.
type TLSSettings struct {
	Certificate   string `toml:"certificate"`
	Key           string `toml:"key"`
	Authority     string `toml:"authority"`
	RequireClient bool   `toml:"require_client"`
	// PeerNames are the certificate names of boxes. The peers' listener rejects all other certificates,
	// including those of callers.
	PeerNames []string `toml:"peer_names"`
	// Backends makes calls to backend servers use TLS with the same certificate authority.
	Backends bool `toml:"backends"`
}

// MinCallerBytes is the least that callers.max_bytes may be: room for two of the largest messages.
const MinCallerBytes = 8 << 20

// CallerSettings control calls without credentials.
type CallerSettings struct {
	// Anyone lets callers without credentials use workspaces that list none. For testing only.
	Anyone bool `toml:"anyone"`
	// MaxBytes bounds the messages that are arriving, of all callers together.
	MaxBytes int `toml:"max_bytes"`
	// MessageTime is how long a message may take to arrive.
	MessageTime Duration `toml:"message_time"`
}

// OperatorSettings list who may call Operations. They are settings rather than configuration so that an
// operator can inspect a box that has no configuration.
type OperatorSettings struct {
	TokensSHA256     []string `toml:"tokens_sha256"`
	CertificateNames []string `toml:"certificate_names"`
	Anyone           bool     `toml:"anyone"`
}

// Window returns how long a box must have ranked first for a key before it acts as its home.
func (o OnceSettings) Window() time.Duration {
	return time.Duration(o.FreshWithin) + time.Duration(o.ListLag) + time.Duration(o.ClockSkew)
}

// DefaultSettings returns the values of absent settings.
func DefaultSettings() Settings {
	return Settings{
		Platform: PlatformSettings{
			PollEvery:   Duration(2 * time.Second),
			CallTimeout: Duration(time.Second),
		},
		AtMostOnce: OnceSettings{
			ListLag:     Duration(5 * time.Second),
			FreshWithin: Duration(4 * time.Second),
			ClockSkew:   Duration(time.Second),
			LedgerKeep:  Duration(10 * time.Minute),
		},
		Answers:    AnswerSettings{Keep: Duration(2 * time.Minute), MaxBytes: 16 << 20},
		Callers:    CallerSettings{MaxBytes: 32 << 20, MessageTime: Duration(30 * time.Second)},
		Policy:     PolicySettings{Placement: "expected_finish", WaitingRoom: 2000, WatchServers: 80},
		StopWithin: Duration(time.Minute),
		LogLevel:   "info",
	}
}

// ReadSettings reads and validates a settings file.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "could not read settings")
	}
	return ParseSettings(b)
}

// ParseSettings decodes settings over the defaults and validates them. An unknown key or an invalid value is
// an error.
func ParseSettings(b []byte) (*Settings, error) {
	s := DefaultSettings()
	if fs := decode(b, &s); len(fs) > 0 {
		return nil, fs
	}
	if fs := s.Check(); len(fs) > 0 {
		return nil, fs
	}
	return &s, nil
}

// Check validates the settings.
func (s *Settings) Check() Faults {
	k := &checker{}
	if s.Box == "" {
		k.bad("box", "is missing")
	}
	if s.FailureDomain == "" {
		k.bad("failure_domain", "is missing")
	}
	k.address("listen.callers", s.Listen.Callers, true)
	k.address("listen.peers", s.Listen.Peers, true)
	k.address("listen.metrics", s.Listen.Metrics, false)
	k.address("listen.advertise_peers", s.Listen.Advertise, false)
	if len(s.Platform.Addresses) == 0 {
		k.bad("platform.addresses", "is missing")
	}
	for i, a := range s.Platform.Addresses {
		k.address(entryPath("platform.addresses", i), a, true)
	}
	k.positive("platform.poll_every", s.Platform.PollEvery)
	k.positive("platform.call_timeout", s.Platform.CallTimeout)
	if w := s.Platform.Watch; w < 0 || 2*w > s.AtMostOnce.FreshWithin {
		k.bad("platform.watch", "must be 0 or at most half of at_most_once.fresh_within")
	}
	k.positive("at_most_once.list_lag", s.AtMostOnce.ListLag)
	k.positive("at_most_once.fresh_within", s.AtMostOnce.FreshWithin)
	k.positive("at_most_once.clock_skew", s.AtMostOnce.ClockSkew)
	k.positive("at_most_once.ledger_keep", s.AtMostOnce.LedgerKeep)
	if time.Duration(s.AtMostOnce.LedgerKeep) < 2*s.AtMostOnce.Window() {
		k.bad("at_most_once.ledger_keep", "must be at least twice the window of %s", s.AtMostOnce.Window())
	}
	k.positive("answers.keep", s.Answers.Keep)
	k.positive("callers.message_time", s.Callers.MessageTime)
	if s.Callers.MaxBytes < MinCallerBytes {
		k.bad("callers.max_bytes", "must be at least %d", MinCallerBytes)
	}
	if s.Answers.MaxBytes < 1<<20 {
		k.bad("answers.max_bytes", "must be at least %d", 1<<20)
	}
	k.policy(s.Policy)
	k.positive("stop_within", s.StopWithin)
	k.tls(s.TLS)
	k.logLevel(s.LogLevel)
	return k.faults
}

func (k *checker) logLevel(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		k.bad("log_level", "%q is not debug, info, warn or error", level)
	}
}

func (k *checker) address(field, a string, needed bool) {
	if a == "" && !needed {
		return
	}
	if _, err := netip.ParseAddrPort(a); err != nil {
		k.bad(field, "%q is not an IP address with a port", a)
	}
}

func (k *checker) positive(field string, d Duration) {
	if d <= 0 {
		k.bad(field, "must be above 0")
	}
}

func (k *checker) policy(p PolicySettings) {
	switch p.Placement {
	case "expected_finish", "round_robin", "least_in_flight", "two_choices":
	default:
		k.bad("policy.placement", "%q is not expected_finish, round_robin, least_in_flight or two_choices", p.Placement)
	}
	if p.WaitingRoom < 1 {
		k.bad("policy.waiting_room", "must be at least 1")
	}
	if p.WatchServers < 1 {
		k.bad("policy.watch_servers", "must be at least 1")
	}
}

func (k *checker) tls(t TLSSettings) {
	if (t.Certificate == "") != (t.Key == "") {
		k.fault(code.ConfigBadValue, "tls.key", "certificate and key must be set together")
	}
	if len(t.PeerNames) > 0 && !t.RequireClient {
		k.bad("tls.peer_names", "requires require_client")
	}
	if t.Backends && t.Authority == "" {
		k.bad("tls.backends", "requires an authority")
	}
	if t.RequireClient && (t.Authority == "" || t.Certificate == "") {
		k.fault(code.ConfigBadValue, "tls.require_client", "requires a certificate, a key and an authority")
	}
}
