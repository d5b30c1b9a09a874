package core

import (
	"time"
)

// Statement is a box's state of a published document: the newest version it holds, and how long ago a read
// of the platform's service showed that no newer one was published.
type Statement struct {
	Version uint64        `msgpack:"v"`
	Digest  string        `msgpack:"d"`
	Age     time.Duration `msgpack:"a"` // negative when never confirmed
	// Content is the version inside the document itself, 0 if it has none or the sender does not report it.
	Content uint64 `msgpack:"n,omitempty"`
	// Reader is the hash of the box whose read Age counts from, 0 if the sender does not report it.
	Reader uint32 `msgpack:"b,omitempty"`
}

// DocumentSync distributes one published document (the configuration or the box list) to every box with few reads
// of the platform's service.
//
// The first few boxes of each region, ranked by hash over the live boxes, read the service. There is no
// election; when views differ, a few more boxes read. The others learn of a version from heartbeats and
// pull it from a box that reported it. Versions only rise. Confirmations travel with the answers to this
// box's own heartbeats: an answer to a heartbeat sent at t that states an age a proves that the service was
// read no earlier than t-a, whatever the clocks show and however long either box was paused.
//
// Reads are a constant per region. A document spreads in a few heartbeat intervals times log of the fleet
// size.
//
// A document that only a reader holds is lost with it if no other box has learned of it; the next reader
// finds it again. Not safe for concurrent use.
type DocumentSync struct {
	Self   string
	Region string

	held      Statement
	confirmed time.Time
	conflict  uint64
	told      map[string]Statement
	pulling   string
	pullSince time.Time
	wanted    Statement
	refused   map[string]bool // digests of documents that failed validation
	lastRead  time.Time
}

// NewDocumentSync returns a DocumentSync that holds no document.
func NewDocumentSync(self, region string) *DocumentSync {
	return &DocumentSync{Self: self, Region: region, told: map[string]Statement{}, refused: map[string]bool{}}
}

// Held returns the version and digest in force here.
func (s *DocumentSync) Held() Statement { return s.held }

// Confirmed returns when a read last showed the held version to be the newest.
func (s *DocumentSync) Confirmed() time.Time { return s.confirmed }

// Conflict returns a version that was published twice with different content, or 0.
func (s *DocumentSync) Conflict() uint64 { return s.conflict }

// Statement returns the statement for the next heartbeat.
func (s *DocumentSync) Statement(now time.Time) Statement {
	st := s.held
	st.Age = -1
	if !s.confirmed.IsZero() {
		st.Age = now.Sub(s.confirmed)
	}
	return st
}

// Offer reports whether a version seen anywhere is newer than the held one and should be fetched or
// adopted. It records a conflict if the held version is offered with another digest.
func (s *DocumentSync) Offer(version uint64, digest string) bool {
	if version == 0 || s.refused[digest] {
		return false
	}
	if version == s.held.Version && digest != s.held.Digest {
		s.conflict = version
		return false
	}
	return version > s.held.Version
}

// HandleStatement takes another box's statement. askedAt is when the heartbeat that it answers was sent, or zero.
func (s *DocumentSync) HandleStatement(now time.Time, from string, st Statement, askedAt time.Time) {
	s.told[from] = st
	if s.Offer(st.Version, st.Digest) && st.Version > s.wanted.Version {
		s.wanted = st
	}
	if askedAt.IsZero() || st.Age < 0 {
		return
	}
	if st.Version == s.held.Version && st.Digest == s.held.Digest {
		s.confirm(askedAt.Add(-st.Age))
	}
}

func (s *DocumentSync) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Forget removes the statement of a box that is gone.
func (s *DocumentSync) Forget(box string) { delete(s.told, box) }

// ApplyRead takes the result of a read of the service that began at the given time, and reports whether the
// document is newer than the held one and must be adopted. An older document confirms nothing.
func (s *DocumentSync) ApplyRead(at time.Time, version uint64, digest string) bool {
	if at.IsZero() {
		return s.Offer(version, digest)
	}
	s.lastRead = at
	if s.Offer(version, digest) {
		return true
	}
	if version == s.held.Version && digest == s.held.Digest {
		s.confirm(at)
	}
	return false
}

// Adopt puts a validated document in force. readAt is when the service showed it, or zero if it came from
// another box. It reports whether the version rose.
func (s *DocumentSync) Adopt(version uint64, digest string, readAt time.Time) bool {
	if version <= s.held.Version {
		return false
	}
	s.held = Statement{Version: version, Digest: digest}
	s.confirmed = readAt
	s.pulling = ""
	if s.wanted.Version <= version {
		s.wanted = Statement{}
	}
	return true
}

// Refuse records that a document failed validation, so that it is not fetched again.
func (s *DocumentSync) Refuse(digest string) {
	s.refused[digest] = true
	if s.wanted.Digest == digest {
		s.wanted = Statement{}
	}
	s.pulling = ""
}

// Refused reports whether a document failed validation before.
func (s *DocumentSync) Refused(digest string) bool { return s.refused[digest] }

// ReadFailed records a failed read of the service.
func (s *DocumentSync) ReadFailed(at time.Time) { s.lastRead = at }

// NextPull returns the box to fetch the wanted document from now, or "".
func (s *DocumentSync) NextPull(now time.Time) (from string, want Statement) {
	if s.wanted.Version <= s.held.Version || s.refused[s.wanted.Digest] {
		return "", Statement{}
	}
	if s.pulling != "" && now.Sub(s.pullSince) < PullTimeout {
		return "", Statement{}
	}
	last := s.pulling
	best := ""
	for box, st := range s.told {
		if st.Version != s.wanted.Version || st.Digest != s.wanted.Digest {
			continue
		}
		if best == "" || best == last || rank(uint64(now.UnixNano()), box) > rank(uint64(now.UnixNano()), best) && box != last {
			best = box
		}
	}
	s.pulling = best
	s.pullSince = now
	return best, s.wanted
}

// PullFailed records that the current pull failed, so that another box is asked.
func (s *DocumentSync) PullFailed(from string) {
	if s.pulling == from {
		s.pullSince = time.Time{}
	}
}

// ShouldRead reports whether this box should read the service now. live maps usable boxes to their regions,
// every is the read interval.
func (s *DocumentSync) ShouldRead(now time.Time, live map[string]string, every time.Duration) bool {
	if now.Sub(s.lastRead) < every {
		return false
	}
	if s.isReader(live) {
		return true
	}
	late := selfReadAfter + time.Duration(rank(1, s.Self)%1000)*time.Millisecond
	return now.Sub(s.confirmed) > late && now.Sub(s.lastRead) > 2*every
}

// isReader reports whether this box is one of the readers of its region.
func (s *DocumentSync) isReader(live map[string]string) bool {
	own := rank(0, s.Self)
	ahead := 0
	for box, region := range live {
		if region == s.Region && box != s.Self && rank(0, box) > own {
			ahead++
		}
	}
	return ahead < readersPerRegion
}

// Newest returns the highest version that any box reported.
func (s *DocumentSync) Newest() uint64 {
	v := s.held.Version
	for _, st := range s.told {
		v = max(v, st.Version)
	}
	return v
}
