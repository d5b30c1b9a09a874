// Package config parses and validates what the platform publishes (pipelines, workspaces, backend servers)
// and the settings of a process. A document is accepted or rejected as a whole.
package config

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/stilemast/stilemast/src/code"
)

// MaxBytes is the maximum size of a published document, which is also the platform's limit for a value.
const MaxBytes = 1 << 20

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration in Go's notation.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("not a duration: %q", string(b))
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats a duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Document is the published configuration as written. Config is its checked form.
type Document struct {
	Version        uint64             `toml:"version"`
	FailureDomains []FailureDomainDoc `toml:"failure_domains"`
	Models         []ModelDoc         `toml:"models,omitempty"`
	BackendServers []BackendServerDoc `toml:"backend_servers"`
	Pipelines      []PipelineDoc      `toml:"pipelines"`
	Workspaces     []WorkspaceDoc     `toml:"workspaces"`
	Objectives     []ServiceLevelDoc  `toml:"service_levels,omitempty"`
}

// FailureDomainDoc declares a part of the infrastructure that fails as a unit.
type FailureDomainDoc struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// ModelDoc declares a model that engines can load from the weight store.
type ModelDoc struct {
	Name     string   `toml:"name"`
	Version  string   `toml:"version"`
	LoadTime Duration `toml:"load_time"`
	Adapters []string `toml:"adapters,omitempty"`
}

// BackendServerDoc declares an inference engine or a plain service.
type BackendServerDoc struct {
	Name          string   `toml:"name"`
	Address       string   `toml:"address"`
	FailureDomain string   `toml:"failure_domain"`
	Pool          string   `toml:"pool"`
	Slots         int      `toml:"slots"`
	Model         string   `toml:"model,omitempty"`
	Adapters      []string `toml:"adapters,omitempty"`
	Role          string   `toml:"role,omitempty"`
	ChecksOrders  bool     `toml:"checks_orders,omitempty"`
	Leaving       bool     `toml:"leaving,omitempty"`
}

// PipelineDoc declares a sequence of stages with one deadline.
type PipelineDoc struct {
	Name          string     `toml:"name"`
	Class         string     `toml:"class"`
	MustFinish    bool       `toml:"must_finish,omitempty"`
	Deadline      Duration   `toml:"deadline"`
	MaxDeadline   Duration   `toml:"max_deadline,omitempty"`
	Weight        float64    `toml:"weight,omitempty"`
	MaxInputBytes int        `toml:"max_input_bytes,omitempty"`
	Stages        []StageDoc `toml:"stages"`
}

// StageDoc declares one step of a pipeline.
type StageDoc struct {
	Name       string   `toml:"name"`
	Kind       string   `toml:"kind"`
	Pool       string   `toml:"pool"`
	RunIn      []string `toml:"run_in,omitempty"`
	Once       bool     `toml:"once,omitempty"`
	Model      string   `toml:"model,omitempty"`
	Adapter    string   `toml:"adapter,omitempty"`
	MaxTokens  int      `toml:"max_tokens,omitempty"`
	TypicalRun Duration `toml:"typical_run,omitempty"`
}

// WorkspaceDoc declares a customer's workspace and its boundary.
type WorkspaceDoc struct {
	Name             string   `toml:"name"`
	Weight           float64  `toml:"weight,omitempty"`
	Pipelines        []string `toml:"pipelines"`
	EntryIn          []string `toml:"entry_in"`
	RunIn            []string `toml:"run_in"`
	RestIn           []string `toml:"rest_in"`
	MaxInFlight      int      `toml:"max_in_flight,omitempty"`
	Unconfirmed      string   `toml:"unconfirmed,omitempty"`
	TokensSHA256     []string `toml:"tokens_sha256,omitempty"`
	CertificateNames []string `toml:"certificate_names,omitempty"`
}

// ServiceLevelDoc declares a service level objective whose burn rate is reported.
type ServiceLevelDoc struct {
	Name      string   `toml:"name"`
	Class     string   `toml:"class"`
	Measure   string   `toml:"measure"`
	Objective float64  `toml:"objective"`
	Within    Duration `toml:"within,omitempty"`
}

// Faults lists all errors in a document.
type Faults []*code.Error

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first fault, so that code.Of finds its code.
func (f Faults) Unwrap() error {
	if len(f) == 0 {
		return nil
	}
	return f[0]
}

// decode strictly parses TOML into v. Each unknown key is a fault.
func decode(b []byte, v any) Faults {
	dec := toml.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(strict)
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		field := strings.Join(de.Key(), ".")
		if field == "" {
			field = fmt.Sprintf("line %d", row)
		}
		return Faults{code.New(code.ConfigMalformed, field, "line %d column %d: %s", row, col, de.Error())}
	}
	return Faults{code.New(code.ConfigMalformed, "", "%v", err)}
}

func unknownKeys(err *toml.StrictMissingError) Faults {
	var fs Faults
	for i := range err.Errors {
		e := &err.Errors[i]
		row, _ := e.Position()
		fs = append(fs, code.New(code.ConfigUnknownKey, strings.Join(e.Key(), "."), "unknown key on line %d", row))
	}
	return fs
}

// Digest returns the 64-bit xxHash of a document in hexadecimal.
func Digest(b []byte) string {
	var sum [8]byte
	h := xxhash.Sum64(b)
	for i := range sum {
		sum[i] = byte(h >> (56 - 8*i))
	}
	return hex.EncodeToString(sum[:])
}

// Marshal encodes a document as TOML.
func Marshal(d *Document) ([]byte, error) { return toml.Marshal(d) }

// Parse decodes and validates a published document. It returns either a Config or Faults.
func Parse(b []byte) (*Config, Faults) {
	if len(b) > MaxBytes {
		return nil, Faults{code.New(code.ConfigTooLarge, "", "document has %d bytes, the limit is %d", len(b), MaxBytes)}
	}
	var d Document
	if fs := decode(b, &d); len(fs) > 0 {
		return nil, fs
	}
	c, fs := compile(&d)
	if len(fs) > 0 {
		return nil, fs
	}
	c.raw = b
	c.digest = Digest(b)
	return c, nil
}
