package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store or, in a watch, its removal.
type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's metadata store: it is always up and answers at once.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
}

func newStore() *store { return &store{items: map[string]item{}, changed: make(chan struct{})} }

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Revision = s.rev
	if i.Gone {
		if _, ok := s.items[i.Key]; !ok {
			return
		}
		delete(s.items, i.Key)
	} else {
		i.Made = s.items[i.Key].Made
		if i.Made == 0 {
			i.Made = s.rev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: b})
}

func (s *store) remove(key string) { s.write(item{Key: key, Gone: true}) }

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("private_key")]
		at := s.rev
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, struct {
			item
			At uint64 `json:"at"`
		}{i, at})
	})
	mux.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, r *http.Request) {
		prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after_revision")
		out := struct {
			Items []item `json:"items"`
			More  bool   `json:"more"`
			At    uint64 `json:"at"`
		}{Items: []item{}}
		s.mu.Lock()
		out.At = s.rev
		for k, i := range s.items {
			if strings.HasPrefix(k, prefix) && k > after {
				out.Items = append(out.Items, i)
			}
		}
		s.mu.Unlock()
		sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
		answer(w, out)
	})
	mux.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_timeout_ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		out := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{Events: []item{}}
		for over := false; !over && len(out.Events) == 0; {
			s.mu.Lock()
			out.At = s.rev
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
					out.Events = append(out.Events, i)
				}
			}
			changed := s.changed
			s.mu.Unlock()
			if len(out.Events) > 0 {
				break
			}
			select {
			case <-changed:
			case <-end:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		answer(w, out)
	})
	_ = (&http.Server{Handler: mux}).Serve(l)
}

// entry is what an engine writes about itself into the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence_number"`
}

// stage, route, service and configuration are the parts of the configuration that the cases use.
type stage struct {
	Service string  `json:"service"`
	After   []int   `json:"after_revision"`
	Bytes   float64 `json:"byte_count"`
}

type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"hostname"`
	Prefix   string  `json:"path_prefix"`
	Kind     string  `json:"route_kind"`
	Timeout  int     `json:"timeout_ms"`
	Aim      int     `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
	Stages   []stage `json:"stages,omitempty"`
	Public   bool    `json:"public"`
	Affine   bool    `json:"session_affinity"`
	Resume   bool    `json:"stream_resumption"`
	Gap      int     `json:"gap_aim_ms,omitempty"`
}

type segments struct {
	Slots int     `json:"slots"`
	Queue int     `json:"queue"`
	Batch int     `json:"batch"`
	Call  float64 `json:"call_timeout_ms"`
	Item  float64 `json:"item_timeout_ms"`
	MB    float64 `json:"available_mb"`
	TTL   float64 `json:"handle_ttl_s"`
	Mbps  int     `json:"link_mbps"`
}

type modelEngine struct {
	Slots  int `json:"slots"`
	Tokens int `json:"kv_cache_tokens"`
}

type service struct {
	Name        string       `json:"name"`
	Health      string       `json:"health_check_path"`
	Connections int          `json:"connection_limit"`
	Protocol    string       `json:"protocol"`
	TLS         bool         `json:"tls"`
	Engine      *modelEngine `json:"engine,omitempty"`
	Segments    *segments    `json:"segments,omitempty"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority *int     `json:"priority,omitempty"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

const apiKey = "9dnn2ctnfzs989anu6ws"

// configure writes a configuration with the limits that the pages show and one tenant.
func (s *store) configure(version int, routes []route, services []service) {
	s.configureTenants(version, routes, services, []tenant{{Name: "bozi300", Keys: []string{apiKey}}})
}

// configureTenants writes a configuration with the limits that the pages show.
func (s *store) configureTenants(version int, routes []route, services []service, tenants []tenant) {
	s.put("op/config", configuration{Version: version, Routes: routes, Services: services,
		Limits:  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: tenants})
}
