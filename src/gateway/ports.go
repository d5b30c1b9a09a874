package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/stilemast/stilemast/src/balance"
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/pushback"
)

// Request is one try of a caller, in the product's terms.
type Request struct {
	ID     string // of this try
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Path   string
	Header http.Header // what is passed on as it is
	Body   []byte
	// HeaderBytes and BodyBytes are the sizes that the caller sent or announced; a body over the limit
	// may not have been read whole.
	HeaderBytes int
	BodyBytes   int64
	Token       string
	Left        time.Duration // that the caller will wait, 0 when it did not say
	Parts       []balance.Part
	Pieces      []int // of each stage; nil when the caller did not say
	PieceKey    string
	LastEvent   string // the last event that the caller has, "" for none
}

// Caller takes the answer. Exactly one of Refuse and Whole is called, or Begin followed by any number
// of Events and then End or Cut.
type Caller struct {
	Refuse func(*code.Error)
	Whole  func(status int, h http.Header, body []byte)
	Begin  func(status int, h http.Header)
	Event  func(data []byte) error
	End    func()
	Cut    func() // ends the connection so that the answer can't look complete
}

// Call is one attempt at a server.
type Call struct {
	Server    catalog.Server
	Request   *Request
	Left      time.Duration
	Workspace string
	Urgency   int
	Inputs    []string // handles of stage results
	LastEvent string
	Source    string // address of a server that keeps shared parts of the prompt, "" for none
	Fresh     bool   // on a new connection, for what can't be sent again
	// Start is asked just before the first byte; an error means that nothing is to be sent.
	Start func() error
}

// PieceCall is one call that makes pieces of stages.
type PieceCall struct {
	Server catalog.Server
	Items  []batch.Item
	Start  func() error // as of a Call
}

// PieceReply is the end of a call that makes pieces.
type PieceReply struct {
	Outcome batch.CallOutcome
	Results []batch.ItemResult // one for each item when the outcome is CallDone
	Said    pushback.Signals
}

// Reply is the head of a server's answer. Close must be called.
type Reply struct {
	Status  int
	Header  http.Header
	Read    func([]byte) (int, error) // io.EOF only after a clean end
	Close   func(whole bool)
	NotRun  bool // the server says that it did not run the request
	Moved   bool // another server has the address
	Missing bool // an input is gone
	Signed  bool
	Events  bool // the answer is a stream of events
	Said    pushback.Signals
}

// Backends are the calls to backend servers.
type Backends struct {
	// Send sends a request once. The error is an exchange.NotSent when no byte left.
	Send func(ctx context.Context, c *Call) (*Reply, error)
	// RunPieces makes pieces of stages.
	RunPieces func(ctx context.Context, c PieceCall) PieceReply
	// FreePieces gives up results.
	FreePieces func(ctx context.Context, s catalog.Server, handles []string) pushback.Signals
	// Probe opens a connection to an address and closes it; the error is that of opening. nil asks nobody.
	Probe func(ctx context.Context, address string) error
	// Forget drops the idle connections to an address whose server has started again; nil keeps none.
	Forget func(address string)
}

// ErrHistoryGone says that the store does not know the changes since the revision asked for, or that it came back from an older
// copy since.
var ErrHistoryGone = errors.New("the store has forgotten its history")

// ErrEarlierEra says that the store's answer is of an era before the revision asked for: it was long on its way.
var ErrEarlierEra = errors.New("the store's answer is of an earlier era")

// ServerChange is a server that was written, or the id of one that was removed.
type ServerChange struct {
	Server  catalog.Server
	Removed string
}

// CatalogChange is what the operator changed since a revision.
type CatalogChange struct {
	Catalog   *catalog.Catalog // the newest configuration, without Evacuated; nil when it did not change
	Evacuated []string         // failure domains to which nothing is to be sent any more
	Restored  []string         // failure domains of which that no longer holds
	// Unreadable is set when a configuration was written that can't be read; the one before stays in force.
	Unreadable *Unreadable
}

// Unreadable is a published document that can't be read.
type Unreadable struct {
	Revision catalog.Revision // at which it was written
	Cause    error
}

// whole makes the catalog that holds after a whole read; before may be nil. What the read does not name as evacuated
// is not.
func (c CatalogChange) whole(before *catalog.Catalog) *catalog.Catalog {
	after := c.Catalog
	if after == nil {
		after = before
	}
	if after == nil {
		return nil
	}
	return after.WithEvacuated(c.Evacuated)
}

// apply makes the catalog that holds after the change of another; before may be nil.
func (c CatalogChange) apply(before *catalog.Catalog) *catalog.Catalog {
	after := before
	var domains []string
	if before != nil {
		domains = slices.Clone(before.Evacuated)
	}
	if c.Catalog != nil {
		after = c.Catalog
	}
	if after == nil {
		return nil
	}
	domains = slices.DeleteFunc(append(domains, c.Evacuated...), func(d string) bool { return slices.Contains(c.Restored, d) })
	return after.WithEvacuated(domains)
}

// Store reads what the platform publishes. Each read names the store's revision that it shows.
type Store struct {
	Catalog      func(ctx context.Context) (CatalogChange, catalog.Revision, error)
	Servers      func(ctx context.Context) ([]catalog.Server, catalog.Revision, error)
	WatchCatalog func(ctx context.Context, after catalog.Revision, wait time.Duration) (CatalogChange, catalog.Revision, error)
	WatchServers func(ctx context.Context, after catalog.Revision, wait time.Duration) ([]ServerChange, catalog.Revision, error)
}
