// Package backend is the HTTP client for engines and plain services. Generated tokens arrive as server-sent
// events.
package backend

import "github.com/stilemast/stilemast/src/core"

// Paths of the HTTP API of engines and services.
const (
	PathCall   = "/v1/call"
	PathStop   = "/v1/stop"
	PathLoad   = "/v1/load"
	PathEvents = "/v1/events"
	PathOrders = "/v1/orders"
	PathExport = "/v1/kv/export"
	PathImport = "/v1/kv/import"
)

// NotRunHeader gives the reason why a 503 guarantees that nothing ran: "busy" or "leaving".
const NotRunHeader = "Stilemast-Not-Run"

// Event names in a streamed response.
const (
	EventText = "text"
	EventDone = "done"
)

// TextEvent is a piece of generated text and its offset in the answer.
type TextEvent struct {
	Offset int    `json:"offset"`
	Text   []byte `json:"text"`
}

// StopRequest identifies the attempt to cancel.
type StopRequest struct {
	Attempt string `json:"attempt"`
}

// OrderRequest tells an engine which model, adapters and role to load. Fence is the fencing token.
type OrderRequest struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	LoadTime int64    `json:"load_time_ns"` // expected load time, from the weight store
}

// Blocks lists KV cache blocks to export or import.
type Blocks struct {
	Blocks []uint64 `json:"blocks"`
}

// EventsReply is a list of KV cache events.
type EventsReply struct {
	Events []core.CacheEvent `json:"events"`
}
