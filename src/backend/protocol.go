// Package backend calls engines and plain services over HTTP, with server-sent events for tokens.
package backend

import "github.com/stilemast/stilemast/src/core"

// The paths that engines and services serve.
const (
	PathCall   = "/v1/call"
	PathStop   = "/v1/stop"
	PathLoad   = "/v1/load"
	PathEvents = "/v1/events"
	PathOrders = "/v1/orders"
	PathExport = "/v1/kv/export"
	PathImport = "/v1/kv/import"
)

// NotRunHeader names why a 503 ran nothing: "busy" or "leaving".
const NotRunHeader = "Stilemast-Not-Run"

// Names of the events of a streamed answer.
const (
	EventText = "text"
	EventDone = "done"
)

// TextEvent is a piece of a stream.
type TextEvent struct {
	Offset int    `json:"offset"`
	Text   []byte `json:"text"`
}

// StopRequest names an attempt to cancel.
type StopRequest struct {
	Attempt string `json:"attempt"`
}

// OrderRequest is a fenced order.
type OrderRequest struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	LoadTime int64    `json:"load_time_ns"` // what the weight store says a load takes
}

// Blocks names cache blocks to export or import.
type Blocks struct {
	Blocks []uint64 `json:"blocks"`
}

// EventsReply holds cache events.
type EventsReply struct {
	Events []core.CacheEvent `json:"events"`
}
