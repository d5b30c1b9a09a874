// Package catalog holds the documents that the platform publishes: the configuration (pipelines that callers
// reach by host and path, pools of backend servers, workspaces with their tokens) and the list of backend
// servers. It also decides how a box keeps both up to date, from the platform or from other boxes.
package catalog

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind is how a pipeline's requests may be repeated and are answered.
type Kind uint8

// The kinds of pipeline.
const (
	Repeatable Kind = iota + 1 // may run more than once
	Once                       // sent to a server at most once per attempt of the caller
	Stream                     // answered with a stream of events
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Once:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Catalog is one published configuration. It must not be changed once it is indexed; boxes send it to one
// another whole.
type Catalog struct {
	Version    uint64      `msgpack:"v"`
	Pipelines  []Pipeline  `msgpack:"p"`
	Pools      []Pool      `msgpack:"o"`
	Workspaces []Workspace `msgpack:"w"`
	Limits     Limits      `msgpack:"l"`
	// Evacuated lists, sorted, the failure domains to whose servers the operator wants nothing sent. It changes
	// independently of Version.
	Evacuated []string `msgpack:"e,omitempty"`
	// Bounded is true if the release that encoded this catalog supports boundaries; older releases omit them.
	Bounded bool `msgpack:"b,omitempty"`
}

// Digest identifies the content of a catalog: Version increases with every change except those to Evacuated.
func (c *Catalog) Digest() string {
	return strings.Join(append([]string{strconv.FormatUint(c.Version, 10)}, c.Evacuated...), "/")
}

// WithEvacuated returns a copy of the catalog with other evacuated failure domains.
func (c *Catalog) WithEvacuated(domains []string) *Catalog {
	out := *c
	out.Evacuated = slices.Compact(slices.Sorted(slices.Values(domains)))
	return &out
}

// Pipeline routes opaque requests by host and path through stages to a pool.
type Pipeline struct {
	Name      string        `msgpack:"n"`
	Host      string        `msgpack:"h"`
	Prefix    string        `msgpack:"x"` // of the path; starts and ends with a slash
	Kind      Kind          `msgpack:"k"`
	Timeout   time.Duration `msgpack:"t"` // maximum time to hold a request
	Objective time.Duration `msgpack:"o"` // latency objective of an answer
	Gap       time.Duration `msgpack:"g"` // latency objective between two events of a stream
	Attempts  int           `msgpack:"a"` // maximum number of servers that one request may be sent to
	Priority  int           `msgpack:"p"` // 0 is the most urgent
	Public    bool          `msgpack:"u"` // needs no token
	Resumable bool          `msgpack:"r"` // a stream may be resumed on another server
	Affine    bool          `msgpack:"f"` // requests share prompt prefixes
	Targets   []Target      `msgpack:"d"`
	Stages    []Stage       `msgpack:"s"`
	Boundary  *Boundary     `msgpack:"b,omitempty"` // nil for none
}

// Target is a pool and the weight of its share of a pipeline's requests.
type Target struct {
	Pool   string `msgpack:"p"`
	Weight int    `msgpack:"w"`
}

// Stage is work that is split into pieces and must be done before the request itself runs.
type Stage struct {
	Pool        string `msgpack:"p"`
	After       []int  `msgpack:"a"` // indexes of the stages whose results each piece needs
	ResultBytes int    `msgpack:"b"` // approximate size of one result
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name        string       `msgpack:"n"`
	HealthPath  string       `msgpack:"h"`
	Connections int          `msgpack:"c"` // maximum to one server, from all boxes together
	Batch       *BatchLimits `msgpack:"b"` // set if the pool runs the pieces of stages
	Model       *ModelLimits `msgpack:"m"` // set if the pool runs a model
}

// BatchLimits limit the calls to one server that runs pieces of stages.
type BatchLimits struct {
	Slots     int           `msgpack:"s"` // calls that run at once
	Queue     int           `msgpack:"q"` // calls that may queue
	Size      int           `msgpack:"z"` // pieces per call
	CallTime  time.Duration `msgpack:"c"`
	ItemTime  time.Duration `msgpack:"i"`
	RoomBytes float64       `msgpack:"r"` // memory for results
	ResultTTL time.Duration `msgpack:"t"`
}

// ModelLimits describe the capacity of one model engine.
type ModelLimits struct {
	Slots       int `msgpack:"s"`
	CacheTokens int `msgpack:"c"`
}

// Workspace is a tenant with its access tokens.
type Workspace struct {
	Name        string   `msgpack:"n"`
	Tokens      []string `msgpack:"t"`
	Priority    int      `msgpack:"p"`
	HasPriority bool     `msgpack:"h"`

	Boundary *Boundary `msgpack:"b,omitempty"` // nil for none
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes int           `msgpack:"h"`
	BodyBytes   int           `msgpack:"b"`
	HeaderTime  time.Duration `msgpack:"t"`
	IdleTime    time.Duration `msgpack:"i"`
}

// Limits on requests where the configuration sets none, in bytes.
const (
	defaultBody   = 4 << 20
	defaultHeader = 16 << 10
)

// OrDefault returns the limits with defaults for the sizes that are not set.
func (l Limits) OrDefault() Limits {
	l.BodyBytes, l.HeaderBytes = cmp.Or(l.BodyBytes, defaultBody), cmp.Or(l.HeaderBytes, defaultHeader)
	return l
}

// Incarnation distinguishes processes that ran under the same server id: the start time of the process in Unix
// milliseconds, 0 if the server does not report it.
type Incarnation int64

// Time returns when the incarnation started, the zero time if unknown.
func (i Incarnation) Time() time.Time {
	if i == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(i))
}

// Server is one backend server as the platform lists it.
type Server struct {
	ID       string `msgpack:"i"`
	Pool     string `msgpack:"p"`
	Address  string `msgpack:"a"`
	Domain   string `msgpack:"d"` // failure domain
	Slots    int    `msgpack:"s"`
	Draining bool   `msgpack:"r"`
	// Fault names the field that makes the entry unusable, "" for none. Entries may come from other writers.
	Fault       string      `msgpack:"f,omitempty"`
	Incarnation Incarnation `msgpack:"b,omitempty"`
	// Revision is the store revision at which the entry was written, 0 if unknown. It orders the entries of
	// one server and is not part of their content.
	Revision Revision `msgpack:"v,omitempty"`
	// Build is the version of the server's software; it never changes within an incarnation and is therefore not part of
	// the entry's digest. What two builds write into a stream doesn't fit together.
	Build string `msgpack:"w,omitempty"`
	// Cold is for how much longer, at the time of writing, the server could take only a little load after its
	// start.
	Cold time.Duration `msgpack:"c,omitempty"`
	// ColdUntil is when Cold ends on the clock of this process; set by the box that holds the entry.
	ColdUntil time.Time `msgpack:"-"`
}

// Index provides lookups in one catalog.
type Index struct {
	catalog *Catalog
	hosts   map[string][]*Pipeline // longest prefix first
	tokens  map[string]*Workspace
	pools   map[string]*Pool

	contention contention
}

// NewIndex indexes a catalog, which must not be changed afterwards.
func NewIndex(c *Catalog) *Index {
	x := &Index{catalog: c, hosts: map[string][]*Pipeline{}, tokens: map[string]*Workspace{}, pools: map[string]*Pool{}}
	for i := range c.Pipelines {
		p := &c.Pipelines[i]
		h := strings.ToLower(p.Host)
		x.hosts[h] = append(x.hosts[h], p)
	}
	for _, list := range x.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Workspaces {
		for _, t := range c.Workspaces[i].Tokens {
			x.tokens[t] = &c.Workspaces[i]
		}
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	x.contention = x.findContention()
	return x
}

// Version returns the version of the catalog.
func (x *Index) Version() uint64 { return x.catalog.Version }

// Catalog returns the indexed catalog.
func (x *Index) Catalog() *Catalog { return x.catalog }

// Route returns the pipeline of the host with the longest prefix of the path, or nil.
func (x *Index) Route(host, path string) *Pipeline {
	for _, p := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, p.Prefix) {
			return p
		}
	}
	return nil
}

// Workspace returns the workspace that a token belongs to, or nil.
func (x *Index) Workspace(token string) *Workspace { return x.tokens[token] }

// NeedsTokens reports whether the catalog has any workspaces.
func (x *Index) NeedsTokens() bool { return len(x.catalog.Workspaces) > 0 }

// Pool returns a pool by name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// PickPool picks the pool for a request by the weights of the targets. The same id always gives the same pool.
func (p *Pipeline) PickPool(id string) string {
	total := 0
	for _, t := range p.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(p.Targets) == 0 {
			return ""
		}
		return p.Targets[0].Pool
	}
	n := int(Hash(p.Name, id) % uint64(total))
	for _, t := range p.Targets {
		if n -= max(t.Weight, 0); n < 0 {
			return t.Pool
		}
	}
	return p.Targets[len(p.Targets)-1].Pool
}

// Pools lists the pools of the targets.
func (p *Pipeline) Pools() []string {
	out := make([]string, len(p.Targets))
	for i, t := range p.Targets {
		out[i] = t.Pool
	}
	return out
}

// FinalStages lists the indexes of the stages whose results the request itself needs: those that no other stage
// follows.
func (p *Pipeline) FinalStages() []int {
	followed := make([]bool, len(p.Stages))
	for _, s := range p.Stages {
		for _, a := range s.After {
			if a >= 0 && a < len(followed) {
				followed[a] = true
			}
		}
	}
	var out []int
	for i, f := range followed {
		if !f {
			out = append(out, i)
		}
	}
	return out
}

// Hash returns a well-distributed hash of the words, for rendezvous hashing.
func Hash(words ...string) uint64 {
	h := fnv.New64a()
	for _, w := range words {
		_, _ = h.Write([]byte(w))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// VersionOrZero returns the version of a catalog, 0 for none.
func (c *Catalog) VersionOrZero() uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// ByID returns a list of servers as a map by id.
func ByID(list []Server) map[string]Server {
	out := make(map[string]Server, len(list))
	for _, s := range list {
		out[s.ID] = s
	}
	return out
}

// SetColdUntil sets until when a cold server is cold. An entry that repeats the previous one, nil for none, does not extend it.
func (s *Server) SetColdUntil(now time.Time, old *Server) {
	switch {
	case s.Cold <= 0:
	case old != nil && old.Cold == s.Cold && old.Incarnation == s.Incarnation:
		s.ColdUntil = old.ColdUntil
	default:
		s.ColdUntil = now.Add(s.Cold)
	}
}
