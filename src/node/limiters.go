package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/stilemast/stilemast/src/clock"
	"github.com/stilemast/stilemast/src/connections"
)

// Bounds of what the ports that are not for callers take for clients that are unknown.
const (
	maxUnknown      = 64       // connections of each port, where neither descriptors nor memory are limited
	minUnknown      = 8        // connections of each port
	unknownFraction = 1.0 / 32 // of the descriptors for each port, and of the memory for the connections of all
	unknownBytes    = 1 << 20  // of messages that are not whole
	unknownMemory   = 48 << 10 // bytes of a connection with the head of a request and what the kernel holds unread
	limitedPorts    = 3
)

// Names of the ports in the settings.
const (
	peersPort     = "peers"
	readinessPort = "readiness"
	metricsPort   = "metrics"
)

// limiters bound the connections of clients that a box does not know: those of the readiness check and the metrics, and those to the
// port for other boxes that have not sent a whole message.
type limiters struct {
	ports  map[string]*connections.Limiter // by name in the settings
	logged map[string]int64                // connections that each had closed at the last log line; used by log only
}

// newLimiters returns the limiters of a process that may have a number of descriptors open and has a size of memory in bytes, each 0 if
// it is unknown.
func newLimiters(descriptors int, memory int64) *limiters {
	most := maxUnknown
	if descriptors > 0 {
		most = int(unknownFraction * float64(descriptors))
	}
	if memory > 0 {
		most = min(most, int(unknownFraction*float64(memory)/limitedPorts/unknownMemory))
	}
	most = max(most, minUnknown)
	return &limiters{
		ports: map[string]*connections.Limiter{
			peersPort:     {Most: most, Bytes: unknownBytes, Unread: connections.HasUnread},
			readinessPort: {Most: most, Unread: connections.HasUnread},
			metricsPort:   {Most: most, Unread: connections.HasUnread},
		},
		logged: map[string]int64{},
	}
}

// boundPeers replaces the bounds of the port for other boxes where they send requests of callers as first messages. 0 is no bound. It must
// be called before the port is open.
func (l *limiters) boundPeers(most int, bytes int64) {
	l.ports[peersPort].Most, l.ports[peersPort].Bytes = most, bytes
}

// status returns the state of each port.
func (l *limiters) status() map[string]connections.LimiterStatus {
	out := map[string]connections.LimiterStatus{}
	for name, p := range l.ports {
		out[name] = p.Status()
	}
	return out
}

// log logs the ports whose connections were closed since the last call.
func (l *limiters) log(log *slog.Logger) {
	for name, s := range l.status() {
		if s.Closed != l.logged[name] {
			log.Warn("connections of unknown clients closed for others", "port", name, "closed", s.Closed-l.logged[name], "open", s.Open, "held_bytes", s.Bytes, "most", l.ports[name].Most)
			l.logged[name] = s.Closed
		}
	}
}

// logEvery calls log periodically until the context ends.
func (l *limiters) logEvery(ctx context.Context, interval time.Duration, log *slog.Logger) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, interval)
		l.log(log)
	}
}
