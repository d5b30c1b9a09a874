// Package status defines what operators see of a box.
package status

import (
	"time"

	"github.com/stilemast/stilemast/src/admission"
	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/connections"
	"github.com/stilemast/stilemast/src/intake"
	"github.com/stilemast/stilemast/src/pace"
	"github.com/stilemast/stilemast/src/registrar"
	"github.com/stilemast/stilemast/src/resume"
	"github.com/stilemast/stilemast/src/suspects"
)

// Gateway is what an operator sees of a gateway.
type Gateway struct {
	Box          string       `json:"box"`
	Version      uint64       `json:"config_version"`
	ConfirmedAge Milliseconds `json:"config_confirmed_age_ms"`
	Members      int          `json:"members"`
	Running      int          `json:"running"` // requests served and jobs scheduled for other boxes
	Draining     bool         `json:"draining"`
	Tunnels      int          `json:"tunnels"` // connections to servers that this box carries for others
	Pools        []Pool       `json:"pools"`

	Load   Load               `json:"load"`   // of the box itself
	Writes connections.Status `json:"writes"` // to callers
	Bodies intake.Status      `json:"bodies"` // of callers' requests

	Answers intake.Status `json:"answers"` // that are read whole

	Ports map[string]connections.LimiterStatus `json:"ports"` // connections of clients that are unknown, by port

	Forecasts []Forecast       `json:"forecasts"` // of admission, against what was observed
	Returning registrar.Status `json:"returning"` // callers that were refused and return
	Streams   resume.Status    `json:"streams"`   // that may be taken up at another box
	Suspects  suspects.Status  `json:"suspects"`  // contents and prompt parts that may crash servers
}

// Load is how busy a box is.
type Load struct {
	Delay Milliseconds `json:"delay_ms"`   // for which a goroutine waits for the processor
	Link  float64      `json:"link_share"` // taken by callers' bytes, 0 if the link is unknown

	Accepted    float64 `json:"accepted_share"` // of callers' new connections
	Full        bool    `json:"full"`           // whether hardly any are accepted, until some of those accepted are served
	Connections int64   `json:"connections"`    // of callers
	Idle        int64   `json:"idle"`           // of them, those without a request
	Heads       int64   `json:"heads"`          // of them, those on which the head of a request arrives
	Closed      int64   `json:"closed_unread"`  // new connections that were not accepted, since the start
	ClosedIdle  int64   `json:"closed_idle"`    // connections without a request that were closed for others, since the start
	ClosedLate  int64   `json:"closed_late"`    // connections closed because a head or the next request did not come in time, since the start
	ClosedLong  int64   `json:"closed_long"`    // connections closed because a head was far beyond its limit, since the start
}

// Forecast is how the forecasts of admission for one class of requests compared with what was observed.
type Forecast struct {
	Pipeline string `json:"pipeline"`
	admission.ClassStatus
}

// Pool is the state of one pool as this box sees it.
type Pool struct {
	Pool      string         `json:"pool"`
	Servers   int            `json:"servers"`          // that take new work
	Builds    map[string]int `json:"builds,omitempty"` // the same by version of their software
	Contended bool           `json:"contended"`        // a pipeline with little time for its calls uses it
	Wait      Milliseconds   `json:"wait_ms"`          // of a piece behind all others; 0 if no recent report is known

	NoPath      bool                 `json:"no_path,omitempty"` // this box reaches its servers through other boxes only
	Connections connections.Share    `json:"connections"`       // of this box at each server
	Speeds      *pace.Status         `json:"speeds,omitempty"`  // while speeds of servers are in force
	Overdue     *batch.OverdueStatus `json:"overdue,omitempty"` // if this box schedules the pool
}

// Milliseconds is a duration that is encoded as a number of milliseconds.
type Milliseconds int64

// Ms returns a duration in whole milliseconds.
func Ms(d time.Duration) Milliseconds { return Milliseconds(d.Milliseconds()) }
