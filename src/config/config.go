package config

import (
	"math/bits"
	"time"
)

// DomainSet is a bit set of failure domains, indexed in document order.
type DomainSet uint64

// Has reports whether the set contains domain i.
func (s DomainSet) Has(i int) bool { return i >= 0 && s&(1<<uint(i)) != 0 }

// Len returns the number of domains in the set.
func (s DomainSet) Len() int { return bits.OnesCount64(uint64(s)) }

// Class is the urgency of requests.
type Class uint8

// Prompt requests have a user waiting; MayWait requests only have to finish.
const (
	Prompt Class = iota
	MayWait
	NumClasses // number of classes
)

// String returns the class as written in configurations.
func (c Class) String() string {
	if c == MayWait {
		return "may_wait"
	}
	return "prompt"
}

// Kind is the type of a stage's work.
type Kind string

// Stage kinds. A Service stage calls a plain service rather than a model.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Config is a validated configuration. It is immutable.
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
	owners     map[string]string // maps a token hash or certificate name to a workspace that lists it
}

// Version returns the version, which increases with each accepted configuration.
func (c *Config) Version() uint64 { return c.version }

// Digest returns a hash of the content, see the function Digest.
func (c *Config) Digest() string { return c.digest }

// Raw returns the document as published.
func (c *Config) Raw() []byte { return c.raw }

// FailureDomains lists the domains in document order.
func (c *Config) FailureDomains() []FailureDomain { return c.domains }

// DomainIndex returns the index of a failure domain, or -1.
func (c *Config) DomainIndex(name string) int {
	if i, ok := c.byDomain[name]; ok {
		return i
	}
	return -1
}

// BackendServers lists every server in document order.
func (c *Config) BackendServers() []*BackendServer { return c.servers }

// BackendServer returns a server by name, or nil.
func (c *Config) BackendServer(name string) *BackendServer { return c.byServer[name] }

// Pool lists the servers of a pool.
func (c *Config) Pool(name string) []*BackendServer { return c.pools[name] }

// Pools returns all servers by pool.
func (c *Config) Pools() map[string][]*BackendServer { return c.pools }

// Model returns a model by name.
func (c *Config) Model(name string) (ModelDoc, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Pipeline returns a pipeline by name, or nil.
func (c *Config) Pipeline(name string) *Pipeline { return c.pipelines[name] }

// Pipelines returns all pipelines by name.
func (c *Config) Pipelines() map[string]*Pipeline { return c.pipelines }

// Workspace returns a workspace by name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces returns all workspaces by name.
func (c *Config) Workspaces() map[string]*Workspace { return c.workspaces }

// KnowsCredential reports whether any workspace lists a token hash or certificate name.
func (c *Config) KnowsCredential(credential string) bool { return c.owners[credential] != "" }

// ServiceLevels lists the service level objectives.
func (c *Config) ServiceLevels() []ServiceLevelDoc { return c.levels }

// FailureDomain is a part of the infrastructure that fails as a unit.
type FailureDomain struct {
	name   string
	region string
}

// Name returns the name of the domain.
func (f FailureDomain) Name() string { return f.name }

// Region returns the region that the domain lies in.
func (f FailureDomain) Region() string { return f.region }

// BackendServer is an inference engine or a plain service.
type BackendServer struct {
	doc    BackendServerDoc
	domain int
	region string
}

// Name returns the name, unique within a configuration.
func (b *BackendServer) Name() string { return b.doc.Name }

// Address returns the IP address and port.
func (b *BackendServer) Address() string { return b.doc.Address }

// Domain returns the index of its failure domain.
func (b *BackendServer) Domain() int { return b.domain }

// FailureDomain returns the name of its failure domain.
func (b *BackendServer) FailureDomain() string { return b.doc.FailureDomain }

// Region returns the region that its failure domain lies in.
func (b *BackendServer) Region() string { return b.region }

// Pool returns the pool that it belongs to.
func (b *BackendServer) Pool() string { return b.doc.Pool }

// Slots returns how many calls it runs concurrently.
func (b *BackendServer) Slots() int { return b.doc.Slots }

// Model returns the model that it should have loaded, or "".
func (b *BackendServer) Model() string { return b.doc.Model }

// Adapters lists the adapters that it should have loaded.
func (b *BackendServer) Adapters() []string { return b.doc.Adapters }

// Role returns "mixed", "prefill", "decode" or "".
func (b *BackendServer) Role() string { return b.doc.Role }

// ChecksOrders reports whether the server itself checks the fencing tokens of orders.
func (b *BackendServer) ChecksOrders() bool { return b.doc.ChecksOrders }

// Leaving reports whether the operator is removing the server.
func (b *BackendServer) Leaving() bool { return b.doc.Leaving }

// Pipeline is a sequence of stages with one deadline.
type Pipeline struct {
	doc    PipelineDoc
	class  Class
	stages []*Stage
	once   bool
}

// Name returns the name, unique within a configuration.
func (p *Pipeline) Name() string { return p.doc.Name }

// Class returns the urgency of its requests.
func (p *Pipeline) Class() Class { return p.class }

// MustFinish reports whether accepted requests are never dropped under overload.
func (p *Pipeline) MustFinish() bool { return p.doc.MustFinish }

// Deadline returns the deadline of requests that set none.
func (p *Pipeline) Deadline() time.Duration { return time.Duration(p.doc.Deadline) }

// MaxDeadline returns the longest deadline that a caller may set.
func (p *Pipeline) MaxDeadline() time.Duration { return time.Duration(p.doc.MaxDeadline) }

// Weight returns the value of one finished request relative to other pipelines.
func (p *Pipeline) Weight() float64 { return p.doc.Weight }

// MaxInputBytes returns the maximum size of a request's input.
func (p *Pipeline) MaxInputBytes() int { return p.doc.MaxInputBytes }

// Stages lists the stages in order.
func (p *Pipeline) Stages() []*Stage { return p.stages }

// Once reports whether the call of any stage must not be repeated.
func (p *Pipeline) Once() bool { return p.once }

// Stage is one step of a pipeline.
type Stage struct {
	doc   StageDoc
	runIn DomainSet
	index int
}

// Name returns the name, unique within its pipeline.
func (s *Stage) Name() string { return s.doc.Name }

// Index returns the position in the pipeline.
func (s *Stage) Index() int { return s.index }

// Kind returns the type of its work.
func (s *Stage) Kind() Kind { return Kind(s.doc.Kind) }

// Pool returns the pool whose servers can run it.
func (s *Stage) Pool() string { return s.doc.Pool }

// RunIn returns the failure domains in which it may run.
func (s *Stage) RunIn() DomainSet { return s.runIn }

// Once reports whether its call must not be repeated.
func (s *Stage) Once() bool { return s.doc.Once }

// Model returns the required model, or "" for any.
func (s *Stage) Model() string { return s.doc.Model }

// Adapter returns the required adapter, or "".
func (s *Stage) Adapter() string { return s.doc.Adapter }

// MaxTokens returns the maximum number of tokens to generate.
func (s *Stage) MaxTokens() int { return s.doc.MaxTokens }

// TypicalRun returns the operator's initial estimate of its duration, which measurements replace.
func (s *Stage) TypicalRun() time.Duration { return time.Duration(s.doc.TypicalRun) }

// Workspace is the tenant unit of a customer, with the boundary for its data.
type Workspace struct {
	doc     WorkspaceDoc
	entryIn DomainSet
	runIn   DomainSet
	restIn  DomainSet
	allowed map[string]bool
}

// Name returns the name, unique within a configuration.
func (w *Workspace) Name() string { return w.doc.Name }

// Weight returns its share of contended capacity.
func (w *Workspace) Weight() float64 { return w.doc.Weight }

// MayUse reports whether the workspace may use a pipeline.
func (w *Workspace) MayUse(pipeline string) bool { return w.allowed[pipeline] }

// PipelineNames lists the pipelines that it may use.
func (w *Workspace) PipelineNames() []string { return w.doc.Pipelines }

// EntryIn returns the failure domains whose boxes its requests may enter, be forwarded to and be held by.
func (w *Workspace) EntryIn() DomainSet { return w.entryIn }

// RunIn returns the failure domains in which its stages may run.
func (w *Workspace) RunIn() DomainSet { return w.runIn }

// RestIn returns the failure domains in which its data may be stored: answers kept by boxes, KV cache.
func (w *Workspace) RestIn() DomainSet { return w.restIn }

// MaxInFlight returns the maximum number of its concurrent requests on one box.
func (w *Workspace) MaxInFlight() int { return w.doc.MaxInFlight }

// RefuseUnconfirmed reports whether boxes that can't confirm their configuration refuse its requests.
func (w *Workspace) RefuseUnconfirmed() bool { return w.doc.Unconfirmed == "refuse" }

// TokensSHA256 lists the SHA-256 hashes of its callers' tokens, in hexadecimal.
func (w *Workspace) TokensSHA256() []string { return w.doc.TokensSHA256 }

// CertificateNames lists the names in its callers' certificates.
func (w *Workspace) CertificateNames() []string { return w.doc.CertificateNames }
