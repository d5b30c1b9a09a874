package config

import (
	"math/bits"
	"time"
)

// DomainSet is a set of failure domains, a bit each in the document's order.
type DomainSet uint64

// Has says whether the set holds domain i.
func (s DomainSet) Has(i int) bool { return i >= 0 && s&(1<<uint(i)) != 0 }

// Len counts the members.
func (s DomainSet) Len() int { return bits.OnesCount64(uint64(s)) }

// Class says how urgent a pipeline's requests are.
type Class uint8

// Prompt work has somebody waiting; may-wait work only has to finish.
const (
	Prompt Class = iota
	MayWait
	Classes // how many there are
)

// String gives the class as configurations write it.
func (c Class) String() string {
	if c == MayWait {
		return "may_wait"
	}
	return "prompt"
}

// Kind says what a stage does.
type Kind string

// The kinds of stage; a Service stage calls a plain service.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Config is a checked configuration; it never changes once made.
type Config struct {
	version    uint64
	digest     string
	raw        []byte
	domains    []FailureDomain
	byDomain   map[string]int
	servers    []*BackendServer
	byServer   map[string]*BackendServer
	pools      map[string][]*BackendServer
	models     map[string]ModelDoc
	pipelines  map[string]*Pipeline
	workspaces map[string]*Workspace
	levels     []ServiceLevelDoc
	owners     map[string]string // hash of a token, or certificate name, to a workspace that lists it
}

// Version rises with each accepted configuration.
func (c *Config) Version() uint64 { return c.version }

// Digest names the content.
func (c *Config) Digest() string { return c.digest }

// Raw is the document as published.
func (c *Config) Raw() []byte { return c.raw }

// FailureDomains lists the domains in document order.
func (c *Config) FailureDomains() []FailureDomain { return c.domains }

// DomainIndex gives a domain's bit, or -1.
func (c *Config) DomainIndex(name string) int {
	if i, ok := c.byDomain[name]; ok {
		return i
	}
	return -1
}

// BackendServers lists every server in document order.
func (c *Config) BackendServers() []*BackendServer { return c.servers }

// BackendServer finds a server, or nil.
func (c *Config) BackendServer(name string) *BackendServer { return c.byServer[name] }

// Pool lists a pool's servers.
func (c *Config) Pool(name string) []*BackendServer { return c.pools[name] }

// Pools gives all pools by name.
func (c *Config) Pools() map[string][]*BackendServer { return c.pools }

// Model finds a model's description.
func (c *Config) Model(name string) (ModelDoc, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Pipeline finds a pipeline, or nil.
func (c *Config) Pipeline(name string) *Pipeline { return c.pipelines[name] }

// Pipelines gives all pipelines by name.
func (c *Config) Pipelines() map[string]*Pipeline { return c.pipelines }

// Workspace finds a workspace, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces gives all workspaces by name.
func (c *Config) Workspaces() map[string]*Workspace { return c.workspaces }

// Known says whether any workspace lists a token's hash or a certificate's name.
func (c *Config) Known(credential string) bool { return c.owners[credential] != "" }

// ServiceLevels lists the objectives.
func (c *Config) ServiceLevels() []ServiceLevelDoc { return c.levels }

// FailureDomain is a place that fails as one.
type FailureDomain struct {
	name   string
	region string
}

// Name is the domain's name.
func (f FailureDomain) Name() string { return f.name }

// Region is the region the domain lies in.
func (f FailureDomain) Region() string { return f.region }

// BackendServer is one engine or plain service.
type BackendServer struct {
	doc    BackendServerDoc
	domain int
	region string
}

// Name is unique within a configuration.
func (b *BackendServer) Name() string { return b.doc.Name }

// Address is its IP number and port.
func (b *BackendServer) Address() string { return b.doc.Address }

// Domain is the bit of its failure domain.
func (b *BackendServer) Domain() int { return b.domain }

// FailureDomain is the name of its failure domain.
func (b *BackendServer) FailureDomain() string { return b.doc.FailureDomain }

// Region is the region its domain lies in.
func (b *BackendServer) Region() string { return b.region }

// Pool is the pool it serves in.
func (b *BackendServer) Pool() string { return b.doc.Pool }

// Slots is how many calls it runs at once.
func (b *BackendServer) Slots() int { return b.doc.Slots }

// Model is the model it should hold, or "".
func (b *BackendServer) Model() string { return b.doc.Model }

// Adapters lists the adapters it should hold.
func (b *BackendServer) Adapters() []string { return b.doc.Adapters }

// Role is the role it should play, or "".
func (b *BackendServer) Role() string { return b.doc.Role }

// ChecksOrders says whether it compares fences itself.
func (b *BackendServer) ChecksOrders() bool { return b.doc.ChecksOrders }

// Leaving says whether the operator is taking it out.
func (b *BackendServer) Leaving() bool { return b.doc.Leaving }

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	doc    PipelineDoc
	class  Class
	stages []*Stage
	once   bool
}

// Name is unique within a configuration.
func (p *Pipeline) Name() string { return p.doc.Name }

// Class says how urgent its requests are.
func (p *Pipeline) Class() Class { return p.class }

// MustFinish says whether an accepted request is never given up for load.
func (p *Pipeline) MustFinish() bool { return p.doc.MustFinish }

// Deadline applies when the caller gives none.
func (p *Pipeline) Deadline() time.Duration { return time.Duration(p.doc.Deadline) }

// MaxDeadline bounds what a caller may ask for.
func (p *Pipeline) MaxDeadline() time.Duration { return time.Duration(p.doc.MaxDeadline) }

// Weight says how much one finished request counts.
func (p *Pipeline) Weight() float64 { return p.doc.Weight }

// MaxInputBytes bounds a request's input.
func (p *Pipeline) MaxInputBytes() int { return p.doc.MaxInputBytes }

// Stages lists the steps in order.
func (p *Pipeline) Stages() []*Stage { return p.stages }

// Once says whether any stage's call may not be repeated.
func (p *Pipeline) Once() bool { return p.once }

// Stage is one step of a pipeline.
type Stage struct {
	doc   StageDoc
	runIn DomainSet
	index int
}

// Name is unique within its pipeline.
func (s *Stage) Name() string { return s.doc.Name }

// Index is its place in the pipeline.
func (s *Stage) Index() int { return s.index }

// Kind says what the stage does.
func (s *Stage) Kind() Kind { return Kind(s.doc.Kind) }

// Pool names the servers that can take it.
func (s *Stage) Pool() string { return s.doc.Pool }

// RunIn is where the operator lets it run.
func (s *Stage) RunIn() DomainSet { return s.runIn }

// Once says its call may not be repeated.
func (s *Stage) Once() bool { return s.doc.Once }

// Model is the model it needs, or "" for any.
func (s *Stage) Model() string { return s.doc.Model }

// Adapter is the adapter it needs, or "".
func (s *Stage) Adapter() string { return s.doc.Adapter }

// MaxTokens bounds what it generates.
func (s *Stage) MaxTokens() int { return s.doc.MaxTokens }

// TypicalRun is the operator's first guess of its duration; measurements replace it.
func (s *Stage) TypicalRun() time.Duration { return time.Duration(s.doc.TypicalRun) }

// Workspace is one customer's space with its boundary.
type Workspace struct {
	doc     WorkspaceDoc
	entryIn DomainSet
	runIn   DomainSet
	restIn  DomainSet
	allowed map[string]bool
}

// Name is unique within a configuration.
func (w *Workspace) Name() string { return w.doc.Name }

// Weight is its share of contended capacity.
func (w *Workspace) Weight() float64 { return w.doc.Weight }

// May says whether the workspace may use a pipeline.
func (w *Workspace) May(pipeline string) bool { return w.allowed[pipeline] }

// PipelineNames lists what it may use.
func (w *Workspace) PipelineNames() []string { return w.doc.Pipelines }

// EntryIn is where its requests may enter, be forwarded to and be held by boxes.
func (w *Workspace) EntryIn() DomainSet { return w.entryIn }

// RunIn is where its stages may run.
func (w *Workspace) RunIn() DomainSet { return w.runIn }

// RestIn is where its data may rest: answers kept by boxes, KV cache.
func (w *Workspace) RestIn() DomainSet { return w.restIn }

// MaxInFlight bounds its requests on one box.
func (w *Workspace) MaxInFlight() int { return w.doc.MaxInFlight }

// RefuseUnconfirmed says whether boxes that can't confirm their configuration refuse its requests.
func (w *Workspace) RefuseUnconfirmed() bool { return w.doc.Unconfirmed == "refuse" }

// TokensSHA256 lists the hashes of its callers' tokens.
func (w *Workspace) TokensSHA256() []string { return w.doc.TokensSHA256 }

// CertificateNames lists its callers' certificate names.
func (w *Workspace) CertificateNames() []string { return w.doc.CertificateNames }
