// Package metrics provides the Prometheus metrics of boxes and gateways. Labels are pipelines, classes, pools, codes
// and failures, so that their number depends on the configuration but not on requests or workspaces.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"

	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/config"
	"github.com/stilemast/stilemast/src/connections"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/web"
)

// Set holds the metrics of one box.
type Set struct {
	registry           *prometheus.Registry
	requestsEnded      *prometheus.CounterVec
	requestSeconds     *prometheus.HistogramVec
	firstOutputSeconds *prometheus.HistogramVec
	calls              *prometheus.CounterVec
	callSeconds        *prometheus.HistogramVec
	waitSeconds        *prometheus.HistogramVec
	staleReplies       prometheus.Counter
	platformReads      *prometheus.CounterVec
	malformed          *prometheus.CounterVec
}

// buckets are the upper bounds of the histograms, 1 ms to 33 s.
var buckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// New returns an empty set.
func New() *Set {
	s := &Set{
		registry:           prometheus.NewRegistry(),
		requestsEnded:      newCounterVec("requests_ended_total", "Requests that ended, by result code.", "pipeline", "class", "code"),
		requestSeconds:     newHistogramVec("request_seconds", "Time from acceptance to the final answer.", "pipeline"),
		firstOutputSeconds: newHistogramVec("first_output_seconds", "Time from acceptance to the first output.", "pipeline"),
		calls:              newCounterVec("calls_total", "Calls to backend servers, by how they ended.", "pool", "failure"),
		callSeconds:        newHistogramVec("call_seconds", "Time of one call to a backend server.", "pool"),
		waitSeconds:        newHistogramVec("wait_seconds", "Time a call waited in its pool.", "pool"),
		staleReplies:       prometheus.NewCounter(prometheus.CounterOpts{Name: "stilemast_stale_replies_total", Help: "Replies discarded as late, repeated or foreign."}),
		platformReads:      newCounterVec("platform_reads_total", "Reads of the platform's service.", "document", "ok"),
		malformed:          newCounterVec("malformed_responses_total", "Malformed responses of servers and of the platform's service.", "source"),
	}
	s.registry.MustRegister(s.requestsEnded, s.requestSeconds, s.firstOutputSeconds, s.calls, s.callSeconds, s.waitSeconds, s.staleReplies, s.platformReads, s.malformed,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Malformed counts a malformed response.
func (s *Set) Malformed(source string) { s.malformed.WithLabelValues(source).Inc() }

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "stilemast_" + name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "stilemast_" + name, Help: help}, labels)
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "stilemast_" + name, Help: help, Buckets: buckets}, labels)
}

// Watcher returns the hooks by which a box updates the set.
func (s *Set) Watcher() box.Observer {
	return box.Observer{
		RequestEnded: func(p *config.Pipeline, err *code.Error, took, firstOut time.Duration) {
			name := code.OK.String()
			if err != nil {
				name = err.Code.String()
			}
			s.requestsEnded.WithLabelValues(p.Name(), p.Class().String(), name).Inc()
			s.requestSeconds.WithLabelValues(p.Name()).Observe(took.Seconds())
			if firstOut > 0 {
				s.firstOutputSeconds.WithLabelValues(p.Name()).Observe(firstOut.Seconds())
			}
		},
		CallEnded: func(pool string, f core.Failure, took time.Duration) {
			s.calls.WithLabelValues(pool, f.String()).Inc()
			s.callSeconds.WithLabelValues(pool).Observe(took.Seconds())
		},
		Waited:       func(pool string, d time.Duration) { s.waitSeconds.WithLabelValues(pool).Observe(d.Seconds()) },
		StaleReplies: func(n int) { s.staleReplies.Add(float64(n)) },
		PlatformRead: func(document string, ok bool) {
			word := "false"
			if ok {
				word = "true"
			}
			s.platformReads.WithLabelValues(document, word).Inc()
		},
	}
}

// WatchBox adds gauges of the box's state, which are read at each scrape. Call it only once.
func (s *Set) WatchBox(b *box.Box) {
	gauge := func(name, help string, read func(box.Status) float64) {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "stilemast_" + name, Help: help},
			func() float64 { return read(b.Status()) }))
	}
	gauge("running", "Requests that run.", func(st box.Status) float64 { return float64(st.Running) })
	gauge("waiting", "Calls that wait in pools.", func(st box.Status) float64 { return float64(st.Waiting) })
	gauge("ledger_entries", "Keys remembered.", func(st box.Status) float64 { return float64(st.LedgerEntries) })
	gauge("config_version", "Version in force.", func(st box.Status) float64 { return float64(st.Config.Version) })
	gauge("config_conflict", "A version published twice with other content, or 0.", func(st box.Status) float64 { return float64(st.Conflict) })
	gauge("config_confirmed_age_seconds", "Age of the last confirmation.", func(st box.Status) float64 { return st.Config.Age.Seconds() })
}

// Handler serves the metrics, and the box's liveness and readiness checks.
func (s *Set) Handler(b *box.Box) (http.Handler, error) {
	return web.Handler([]rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}).ServeHTTP},
		{Method: http.MethodGet, Path: "/livez", Handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }},
		{Method: http.MethodGet, Path: "/readyz", Handler: func(w http.ResponseWriter, _ *http.Request) {
			if !b.Ready() {
				http.Error(w, "not ready", http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write([]byte("ready\n"))
		}},
	})
}

// WatchMessages adds metrics of the messages of callers that are arriving. refusedStreams returns the number of streams that were refused
// unread. It must be called only once.
func (s *Set) WatchMessages(read func() intake.Status, refusedStreams func() int64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "stilemast_message_bytes", Help: "Memory that arriving messages of callers have."}, func() float64 { return float64(read().Held) }))
	counter := func(name, help string, value func() int64) {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "stilemast_" + name, Help: help}, func() float64 { return float64(value()) }))
	}
	counter("messages_refused_total", "Messages that were refused for want of memory.", func() int64 { return read().Refused })
	counter("messages_evicted_total", "Messages that took long and gave way to others for want of memory.", func() int64 { return read().Evicted })
	counter("messages_late_total", "Messages that did not arrive in time.", func() int64 { return read().Late })
	counter("streams_refused_total", "Streams that were refused because too many had not sent their message.", refusedStreams)
}

// WatchPorts adds metrics of the connections of unknown clients, by port. It must be called only once.
func (s *Set) WatchPorts(read func() map[string]connections.LimiterStatus) {
	watchPorts(s.registry, "stilemast_", read)
}

func watchPorts(registry *prometheus.Registry, prefix string, read func() map[string]connections.LimiterStatus) {
	for port := range read() {
		labels := prometheus.Labels{"port": port}
		registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: prefix + "unknown_connections", Help: "Open connections of clients that are unknown.", ConstLabels: labels}, func() float64 { return float64(read()[port].Open) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: prefix + "unknown_connections_closed_total", Help: "Connections of unknown clients that were closed for others.", ConstLabels: labels}, func() float64 { return float64(read()[port].Closed) }),
		)
	}
}
