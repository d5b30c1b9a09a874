package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/stilemast/stilemast/src/code"
)

// Limits and defaults of a configuration.
const (
	maxDomains        = 64
	minStages         = 3 // per pipeline
	maxStages         = 6
	maxSlots          = 4096      // per server
	defaultInputBytes = 256 << 10 // max_input_bytes
	defaultInFlight   = 2000      // max_in_flight
	defaultTokens     = 256       // max_tokens
	LongestDeadline   = time.Hour // upper limit of a pipeline's deadline
)

// checker compiles a document and collects every fault with its field. It also checks settings.
type checker struct {
	config *Config
	faults Faults
}

func (k *checker) fault(c code.Code, field, format string, args ...any) {
	k.faults = append(k.faults, code.New(c, field, format, args...))
}

func (k *checker) bad(field, format string, args ...any) {
	k.fault(code.ConfigBadValue, field, format, args...)
}

// compile checks a document and builds its Config, which is valid only without faults.
func compile(d *Document) (*Config, Faults) {
	k := &checker{config: &Config{
		version:    d.Version,
		byDomain:   map[string]int{},
		byServer:   map[string]*BackendServer{},
		pools:      map[string][]*BackendServer{},
		models:     map[string]ModelDoc{},
		pipelines:  map[string]*Pipeline{},
		workspaces: map[string]*Workspace{},
		owners:     map[string]string{},
		levels:     d.Objectives,
	}}
	if d.Version == 0 {
		k.bad("version", "must be at least 1")
	}
	k.domains(d.FailureDomains)
	k.models(d.Models)
	k.servers(d.BackendServers)
	k.pipelines(d.Pipelines)
	k.workspaces(d.Workspaces)
	k.levels(d.Objectives)
	if len(k.faults) == 0 {
		k.checkPlacement(d.Workspaces)
	}
	return k.config, k.faults
}

// checkName checks that a name is not empty and not in seen.
func checkName[T any](k *checker, field, n string, seen map[string]T) bool {
	if n == "" {
		k.bad(field+".name", "is missing")
		return false
	}
	if _, twice := seen[n]; twice {
		k.bad(field+".name", "%q is used twice", n)
		return false
	}
	return true
}

// entryPath returns the path of a list entry, such as "models[2]".
func entryPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func (k *checker) domains(docs []FailureDomainDoc) {
	if len(docs) == 0 || len(docs) > maxDomains {
		k.bad("failure_domains", "needs 1 to %d entries", maxDomains)
		return
	}
	for i, d := range docs {
		f := entryPath("failure_domains", i)
		if d.Region == "" {
			k.bad(f+".region", "is missing")
		}
		if checkName(k, f, d.Name, k.config.byDomain) {
			k.config.byDomain[d.Name] = len(k.config.domains)
			k.config.domains = append(k.config.domains, FailureDomain{name: d.Name, region: d.Region})
		}
	}
}

func (k *checker) models(docs []ModelDoc) {
	for i, m := range docs {
		f := entryPath("models", i)
		if !checkName(k, f, m.Name, k.config.models) {
			continue
		}
		if m.LoadTime < 0 {
			k.bad(f+".load_time", "must not be negative")
		}
		k.config.models[m.Name] = m
	}
}

func (k *checker) servers(docs []BackendServerDoc) {
	for i, d := range docs {
		f := entryPath("backend_servers", i)
		if !checkName(k, f, d.Name, k.config.byServer) {
			continue
		}
		k.server(f, d)
	}
}

func (k *checker) server(f string, d BackendServerDoc) {
	if _, err := netip.ParseAddrPort(d.Address); err != nil {
		k.bad(f+".address", "%q is not an IP address with a port", d.Address)
	}
	domain, ok := k.config.byDomain[d.FailureDomain]
	if !ok {
		k.fault(code.ConfigDangling, f+".failure_domain", "no failure domain %q", d.FailureDomain)
		return
	}
	if d.Pool == "" {
		k.bad(f+".pool", "is missing")
	}
	if d.Slots < 1 || d.Slots > maxSlots {
		k.bad(f+".slots", "must be 1 to %d", maxSlots)
	}
	switch d.Role {
	case "", "mixed", "prefill", "decode":
	default:
		k.bad(f+".role", "%q is not mixed, prefill or decode", d.Role)
	}
	k.serverModel(f, d)
	b := &BackendServer{doc: d, domain: domain, region: k.config.domains[domain].region}
	k.config.servers = append(k.config.servers, b)
	k.config.byServer[d.Name] = b
	k.config.pools[d.Pool] = append(k.config.pools[d.Pool], b)
}

func (k *checker) serverModel(f string, d BackendServerDoc) {
	if d.Model == "" {
		if len(d.Adapters) > 0 {
			k.bad(f+".adapters", "need a model")
		}
		return
	}
	m, ok := k.config.models[d.Model]
	if !ok {
		k.fault(code.ConfigDangling, f+".model", "no model %q", d.Model)
		return
	}
	for j, a := range d.Adapters {
		if !contains(m.Adapters, a) {
			k.fault(code.ConfigDangling, entryPath(f+".adapters", j), "model %q has no adapter %q", m.Name, a)
		}
	}
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

func (k *checker) pipelines(docs []PipelineDoc) {
	for i, d := range docs {
		f := entryPath("pipelines", i)
		if checkName(k, f, d.Name, k.config.pipelines) {
			k.pipeline(f, d)
		}
	}
}

func (k *checker) pipeline(f string, d PipelineDoc) {
	p := &Pipeline{}
	switch d.Class {
	case Prompt.String():
	case MayWait.String():
		p.class = MayWait
	default:
		k.bad(f+".class", "%q is not %s or %s", d.Class, Prompt, MayWait)
	}
	if d.Deadline <= 0 || time.Duration(d.Deadline) > LongestDeadline {
		k.bad(f+".deadline", "must be above 0 and at most %s", LongestDeadline)
	}
	if d.MaxDeadline == 0 {
		d.MaxDeadline = 4 * d.Deadline
	}
	if d.MaxDeadline < d.Deadline {
		k.bad(f+".max_deadline", "must not be below deadline")
	}
	if d.Weight == 0 {
		d.Weight = 1
	}
	if d.Weight < 0 {
		k.bad(f+".weight", "must be above 0")
	}
	if d.MaxInputBytes == 0 {
		d.MaxInputBytes = defaultInputBytes
	}
	if d.MaxInputBytes < 0 || d.MaxInputBytes > MaxBytes {
		k.bad(f+".max_input_bytes", "must be 1 to %d", MaxBytes)
	}
	if len(d.Stages) < minStages || len(d.Stages) > maxStages {
		k.bad(f+".stages", "needs %d to %d stages", minStages, maxStages)
	}
	p.doc = d
	seen := map[string]bool{}
	for i, s := range d.Stages {
		sf := entryPath(f+".stages", i)
		if !checkName(k, sf, s.Name, seen) {
			continue
		}
		seen[s.Name] = true
		st := k.stage(sf, s, i)
		p.stages = append(p.stages, st)
		p.once = p.once || s.Once
	}
	k.config.pipelines[d.Name] = p
}

func (k *checker) stage(f string, d StageDoc, index int) *Stage {
	switch Kind(d.Kind) {
	case Encode, Retrieve, Rerank, Generate, Service:
	default:
		k.bad(f+".kind", "%q is not encode, retrieve, rerank, generate or service", d.Kind)
	}
	if d.Once && Kind(d.Kind) == Generate {
		k.bad(f+".once", "must not be set for a generate stage, which can always be repeated")
	}
	if len(k.config.pools[d.Pool]) == 0 {
		k.fault(code.ConfigDangling, f+".pool", "no backend server is in pool %q", d.Pool)
	}
	if _, ok := k.config.models[d.Model]; d.Model != "" && !ok {
		k.fault(code.ConfigDangling, f+".model", "no model %q", d.Model)
	}
	if d.MaxTokens < 0 {
		k.bad(f+".max_tokens", "must not be negative")
	}
	if d.MaxTokens == 0 {
		d.MaxTokens = defaultTokens
	}
	if d.TypicalRun < 0 {
		k.bad(f+".typical_run", "must not be negative")
	}
	return &Stage{doc: d, runIn: k.domainSet(f+".run_in", d.RunIn, true), index: index}
}

// domainSet resolves failure domain names. An empty list means all domains if absentIsAll is set and is a
// fault otherwise.
func (k *checker) domainSet(f string, names []string, absentIsAll bool) DomainSet {
	if len(names) == 0 {
		if absentIsAll {
			return DomainSet(1)<<uint(len(k.config.domains)) - 1
		}
		k.bad(f, "must name at least one failure domain")
	}
	var s DomainSet
	for i, n := range names {
		d, ok := k.config.byDomain[n]
		if !ok {
			k.fault(code.ConfigDangling, entryPath(f, i), "no failure domain %q", n)
			continue
		}
		s |= 1 << uint(d)
	}
	return s
}

func (k *checker) workspaces(docs []WorkspaceDoc) {
	for i, d := range docs {
		f := entryPath("workspaces", i)
		if checkName(k, f, d.Name, k.config.workspaces) {
			k.workspace(f, d)
		}
	}
}

func (k *checker) workspace(f string, d WorkspaceDoc) {
	if d.Weight == 0 {
		d.Weight = 1
	}
	if d.Weight < 0 {
		k.bad(f+".weight", "must be above 0")
	}
	if d.MaxInFlight == 0 {
		d.MaxInFlight = defaultInFlight
	}
	if d.MaxInFlight < 0 {
		k.bad(f+".max_in_flight", "must not be negative")
	}
	switch d.Unconfirmed {
	case "", "serve", "refuse":
	default:
		k.bad(f+".unconfirmed", "%q is not serve or refuse", d.Unconfirmed)
	}
	w := &Workspace{allowed: map[string]bool{}}
	for i, p := range d.Pipelines {
		if k.config.pipelines[p] == nil {
			k.fault(code.ConfigDangling, entryPath(f+".pipelines", i), "no pipeline %q", p)
		}
		w.allowed[p] = true
	}
	for i, t := range d.TokensSHA256 {
		if b, err := hex.DecodeString(t); err != nil || len(b) != 32 {
			k.bad(entryPath(f+".tokens_sha256", i), "is not 64 hexadecimal digits")
		}
	}
	w.entryIn = k.domainSet(f+".entry_in", d.EntryIn, false)
	w.runIn = k.domainSet(f+".run_in", d.RunIn, false)
	w.restIn = k.domainSet(f+".rest_in", d.RestIn, false)
	if w.entryIn&w.restIn == 0 {
		k.fault(code.ConfigNowhere, f+".entry_in", "entry_in and rest_in have no failure domain in common, so no box may hold its requests")
	}
	for _, credential := range append(d.TokensSHA256, d.CertificateNames...) {
		k.config.owners[credential] = d.Name
	}
	w.doc = d
	k.config.workspaces[d.Name] = w
}

func (k *checker) levels(docs []ServiceLevelDoc) {
	for i, l := range docs {
		f := entryPath("service_levels", i)
		if l.Name == "" {
			k.bad(f+".name", "is missing")
		}
		if l.Class != Prompt.String() && l.Class != MayWait.String() {
			k.bad(f+".class", "%q is not %s or %s", l.Class, Prompt, MayWait)
		}
		if l.Objective <= 0 || l.Objective >= 1 {
			k.bad(f+".objective", "must be above 0 and below 1")
		}
		switch l.Measure {
		case "attainment":
		case "first_token", "between_tokens":
			if l.Within <= 0 {
				k.bad(f+".within", "must be above 0")
			}
		default:
			k.bad(f+".measure", "%q is not attainment, first_token or between_tokens", l.Measure)
		}
	}
}

// checkPlacement reports each stage that no backend server may run within the boundary of a workspace that uses
// it.
func (k *checker) checkPlacement(docs []WorkspaceDoc) {
	for _, d := range docs {
		w := k.config.workspaces[d.Name]
		for _, pn := range w.doc.Pipelines {
			for _, s := range k.config.pipelines[pn].stages {
				if !k.hasCandidate(w, s) {
					k.fault(code.ConfigNowhere, "workspaces."+w.Name()+".pipelines."+pn+".stages."+s.Name(),
						"no backend server of pool %q may run it within the boundary", s.Pool())
				}
			}
		}
	}
}

// hasCandidate reports whether any server may run a stage of a workspace.
func (k *checker) hasCandidate(w *Workspace, s *Stage) bool {
	for _, b := range k.config.pools[s.Pool()] {
		if MayRun(w, s, b.domain) && b.fits(s) {
			return true
		}
	}
	return false
}
