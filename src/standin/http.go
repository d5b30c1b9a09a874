package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/stilemast/stilemast/src/backend"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/configservice"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/web"
)

// PathExecutions serves the list of calls that a fake backend server ran. Real servers do not have it.
const PathExecutions = "/ran"

// callFunc is the signature of Engine.Call and Service.Call.
type callFunc func(context.Context, port.CallRequest, func(int, []byte)) (port.CallResult, *port.CallError)

// Handler returns the service's HTTP interface.
func (s *Service) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{
		{Method: http.MethodPost, Path: backend.PathCall, Handler: callHandler(s.Call)},
		{Method: http.MethodPost, Path: backend.PathStop, Handler: func(http.ResponseWriter, *http.Request) {}},
		{Method: http.MethodGet, Path: backend.PathLoad, Handler: func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) }},
		{Method: http.MethodGet, Path: PathExecutions, Handler: func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Log.All()) }},
	})
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{
		{Method: http.MethodPost, Path: backend.PathCall, Handler: callHandler(e.Call)},
		{Method: http.MethodPost, Path: backend.PathStop, Handler: e.serveStop},
		{Method: http.MethodGet, Path: backend.PathLoad, Handler: func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Report()) }},
		{Method: http.MethodGet, Path: PathExecutions, Handler: func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Log.All()) }},
		{Method: http.MethodGet, Path: backend.PathEvents, Handler: e.serveEvents},
		{Method: http.MethodPost, Path: backend.PathOrders, Handler: e.serveOrder},
		{Method: http.MethodPost, Path: backend.PathExport, Handler: e.serveExport},
		{Method: http.MethodPost, Path: backend.PathImport, Handler: e.serveImport},
	})
}

func (e *Engine) serveStop(w http.ResponseWriter, r *http.Request) {
	var in backend.StopRequest
	if readJSON(w, r, &in) {
		e.Stop(in.Attempt)
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, backend.EventsReply{Events: e.Events(after)})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in backend.OrderRequest
	if !readJSON(w, r, &in) {
		return
	}
	o := core.Order{Fence: in.Fence, Model: in.Model, Version: in.Version, Adapters: in.Adapters, Role: in.Role, LoadTime: time.Duration(in.LoadTime)}
	if !e.AcceptOrder(o) {
		http.Error(w, "fence is lower than that of the last order", http.StatusConflict)
	}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var in backend.Blocks
	if readJSON(w, r, &in) {
		writeJSON(w, backend.Blocks{Blocks: e.Export(in.Blocks)})
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var in backend.Blocks
	if readJSON(w, r, &in) {
		e.Import(in.Blocks)
	}
}

// Handler returns the HTTP interface of the configuration service.
func (p *Platform) Handler() (http.Handler, error) {
	return web.Handler([]rest.Route{
		{Method: http.MethodGet, Path: configservice.PathConfig, Handler: p.serveConfig},
		{Method: http.MethodGet, Path: configservice.PathBoxes, Handler: p.serveBoxes},
	})
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	raw, err := p.Config(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get(configservice.WaitQuery))
	raw = p.waitForChange(r.Context(), raw, r.Header.Get("If-None-Match"), time.Duration(min(wait, maxWatchMillis))*time.Millisecond)
	writeWithETag(w, r, raw)
}

// maxWatchMillis bounds the time that a read of the configuration may wait for a change.
const maxWatchMillis = 30_000

// waitForChange returns the configuration once its entity tag differs from tag, or after wait. It does not
// count in Calls: the read that waits was counted when it began.
func (p *Platform) waitForChange(ctx context.Context, raw []byte, tag string, wait time.Duration) []byte {
	until := time.Now().Add(wait)
	for etagOf(raw) == tag && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		raw = p.currentConfig()
	}
	return raw
}

func etagOf(b []byte) string { return `"` + config.Digest(b) + `"` }

// writeWithETag replies with the content and its entity tag, or with 304 if the request has the same tag.
func writeWithETag(w http.ResponseWriter, r *http.Request, b []byte) {
	tag := etagOf(b)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) serveBoxes(w http.ResponseWriter, r *http.Request) {
	list, err := p.Boxes(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, list)
}

// callHandler serves calls; the reply is an event stream if the call emits output, else JSON.
func callHandler(call callFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in port.CallRequest
		if !readJSON(w, r, &in) {
			return
		}
		begun := false
		emit := func(offset int, data []byte) {
			if !begun {
				w.Header().Set("Content-Type", "text/event-stream")
				begun = true
			}
			writeEvent(w, backend.EventText, backend.TextEvent{Offset: offset, Text: data})
		}
		res, err := call(r.Context(), in, emit)
		switch {
		case err != nil && (begun || err.Failure == core.Broken):
			panic(http.ErrAbortHandler) // closes the connection, like a crashing server
		case err != nil:
			writeFailure(w, err)
		case res.Stream:
			w.Header().Set("Content-Type", "text/event-stream")
			writeEvent(w, backend.EventDone, res)
		default:
			writeJSON(w, res)
		}
	}
}

func writeFailure(w http.ResponseWriter, err *port.CallError) {
	switch err.Failure {
	case core.Busy, core.Leaving:
		w.Header().Set(backend.NotRunHeader, err.Failure.String())
		if err.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, err.Message, http.StatusServiceUnavailable)
	case core.InvalidCall:
		http.Error(w, err.Message, http.StatusBadRequest)
	default:
		http.Error(w, err.Message, http.StatusInternalServerError)
	}
}

func writeEvent(w http.ResponseWriter, name string, v any) {
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, b)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
