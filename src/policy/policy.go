// Package policy holds the switches of mechanisms that the configuration can activate.
package policy

// Switch enables a mechanism always, never, or where the configuration calls for it.
type Switch string

// Values of a Switch. The zero value means Auto.
const (
	Auto Switch = "auto"
	On   Switch = "on"
	Off  Switch = "off"
)

// Valid reports whether s is one of the values.
func (s Switch) Valid() bool { return s == "" || s == Auto || s == On || s == Off }

// Enabled reports whether the mechanism is in force; called is whether the configuration calls for it.
func (s Switch) Enabled(called bool) bool { return s == On || s != Off && called }

// Settings are the switches of one box, named as in the settings file.
type Settings struct {
	ServerSpeeds     Switch `toml:"server_speeds"`     // learn how fast each server works
	StreamGaps       Switch `toml:"stream_gaps"`       // choose servers by the pauses within streams
	ReturningCallers Switch `toml:"returning_callers"` // remember callers that were refused
	LearnedAdmission Switch `toml:"learned_admission"` // correct the forecast of admission by what was observed
	Yielding         Switch `toml:"yielding"`          // end less urgent queued work for urgent work
	OverduePieces    Switch `toml:"overdue_pieces"`    // run pieces of overdue calls at another server too
	ConnectionShares Switch `toml:"connection_shares"` // keep connection limits as a sum over all boxes
}

// Named is a switch with its name in the settings file.
type Named struct {
	Name   string
	Switch Switch
}

// List returns all switches in the order of the settings file.
func (s *Settings) List() []Named {
	return []Named{
		{"server_speeds", s.ServerSpeeds}, {"stream_gaps", s.StreamGaps}, {"returning_callers", s.ReturningCallers},
		{"learned_admission", s.LearnedAdmission}, {"yielding", s.Yielding}, {"overdue_pieces", s.OverduePieces},
		{"connection_shares", s.ConnectionShares},
	}
}
