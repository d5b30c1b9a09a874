package core

import (
	"time"
)

// Statement is what a box says of a published document: the newest it holds and how long ago a read
// of the platform's service showed that nothing newer was published.
type Statement struct {
	Version uint64        `msgpack:"v"`
	Digest  string        `msgpack:"d"`
	Age     time.Duration `msgpack:"a"` // negative when never confirmed
	// Content is the version that the document itself bears, 0 where it has none or the teller does not say.
	Content uint64 `msgpack:"n,omitempty"`
	// Reader names, by a hash, the box whose read Age counts from, 0 where the teller does not say.
	Reader uint32 `msgpack:"b,omitempty"`
}

// Spread carries one published document (the configuration or the box list) to every box with few
// reads of the platform's service.
//
// Idea. The first few boxes of each region, ranked by hash over whoever is alive, read the service;
// nobody is elected, and when views differ a few more boxes read. Everyone else learns of a version
// from heartbeats and pulls it from whoever told of it. Versions only rise. Confirmations travel
// with the answers to this box's own questions: an answer that came to a question sent at t and
// states an age a proves that the service was read no earlier than t-a, whatever the clocks say
// and however long either box was paused.
//
// Cost. Reads: a constant for each region. Spread: a few beats times log of the fleet.
//
// Trade-offs. A document that only a reader holds dies with it if nobody heard yet; the next reader
// finds it again. Not safe for concurrent use.
type Spread struct {
	Self   string
	Region string

	held      Statement
	confirmed time.Time
	conflict  uint64
	told      map[string]Statement
	pulling   string
	pullSince time.Time
	wanted    Statement
	refused   map[string]bool // digests that did not pass the check
	lastRead  time.Time
}

// NewSpread holds nothing yet; set its exported fields before use.
func NewSpread(self, region string) *Spread {
	return &Spread{Self: self, Region: region, told: map[string]Statement{}, refused: map[string]bool{}}
}

// Held is the version and digest in force here.
func (s *Spread) Held() Statement { return s.held }

// Confirmed is when a read last showed the held version to be the newest.
func (s *Spread) Confirmed() time.Time { return s.confirmed }

// Conflict is a version that was published twice with different content, or 0.
func (s *Spread) Conflict() uint64 { return s.conflict }

// Say makes the statement for a heartbeat.
func (s *Spread) Say(now time.Time) Statement {
	st := s.held
	st.Age = -1
	if !s.confirmed.IsZero() {
		st.Age = now.Sub(s.confirmed)
	}
	return st
}

// Offer judges a version seen anywhere: whether it should be fetched or taken.
func (s *Spread) Offer(version uint64, digest string) bool {
	if version == 0 || s.refused[digest] {
		return false
	}
	if version == s.held.Version && digest != s.held.Digest {
		s.conflict = version
		return false
	}
	return version > s.held.Version
}

// Hear takes another box's statement. askedAt is when the question it answers was sent, or zero.
func (s *Spread) Hear(now time.Time, from string, st Statement, askedAt time.Time) {
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

func (s *Spread) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Forget drops what a box that is gone had said.
func (s *Spread) Forget(box string) { delete(s.told, box) }

// Served takes an answer of the service to a read begun at `at`; it says whether the document is
// newer than the one held and must be adopted. An older answer confirms nothing.
func (s *Spread) Served(at time.Time, version uint64, digest string) bool {
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

// Adopt puts a checked document in force; readAt is when the service showed it, or zero if it came
// from another box. It says whether the version rose.
func (s *Spread) Adopt(version uint64, digest string, readAt time.Time) bool {
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

// Refuse notes a document that did not pass the check: it is not fetched again.
func (s *Spread) Refuse(digest string) {
	s.refused[digest] = true
	if s.wanted.Digest == digest {
		s.wanted = Statement{}
	}
	s.pulling = ""
}

// Refused says whether a document did not pass the check before.
func (s *Spread) Refused(digest string) bool { return s.refused[digest] }

// ReadFailed notes a read of the service that gave nothing.
func (s *Spread) ReadFailed(at time.Time) { s.lastRead = at }

// Pull says whom to ask for the wanted document now, or "".
func (s *Spread) Pull(now time.Time) (from string, want Statement) {
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

// PullEnded notes that the current pull failed, so that another box is asked.
func (s *Spread) PullEnded(from string) {
	if s.pulling == from {
		s.pullSince = time.Time{}
	}
}

// Reads says whether this box should read the service now. live maps usable boxes to their regions.
func (s *Spread) Reads(now time.Time, live map[string]string, every time.Duration) bool {
	if now.Sub(s.lastRead) < every {
		return false
	}
	if s.isReader(live) {
		return true
	}
	late := selfReadAfter + time.Duration(rank(1, s.Self)%1000)*time.Millisecond
	return now.Sub(s.confirmed) > late && now.Sub(s.lastRead) > 2*every
}

// isReader says whether this box is among the first of its region.
func (s *Spread) isReader(live map[string]string) bool {
	own := rank(0, s.Self)
	ahead := 0
	for box, region := range live {
		if region == s.Region && box != s.Self && rank(0, box) > own {
			ahead++
		}
	}
	return ahead < readersPerRegion
}

// Newest is the highest version any box told of.
func (s *Spread) Newest() uint64 {
	v := s.held.Version
	for _, st := range s.told {
		v = max(v, st.Version)
	}
	return v
}
