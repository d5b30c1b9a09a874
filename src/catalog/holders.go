package catalog

import (
	"math"
	"time"

	"github.com/stilemast/stilemast/src/core"
)

const (
	pullTimeout    = time.Second            // timeout for progress of a pull; longer than the timeout of each request for a part
	defaultLink    = 10                     // Mbit/s assumed for a box whose link is unknown: the slowest seen on any site
	maxBusy        = time.Second            // longest time that a box is skipped after it answered that it is busy
	failureBackoff = 300 * time.Millisecond // time that a box is skipped after a failure; longer than it takes to find another one dead
)

// NextPull returns the peer to ask for newer content now, or "". It picks one of the holders of the newest
// known content by weighted rendezvous hashing, so that each is asked in proportion to its link.
func (f *Feed) NextPull(now time.Time) string {
	if f.pulling != "" && now.Sub(f.pullSince) < pullTimeout {
		return ""
	}
	best, rank := "", math.Inf(1)
	for box, st := range f.statements {
		if !stampOf(st).after(f.held()) || st.Digest == f.digest || now.Before(f.skippedUntil[box]) {
			continue
		}
		newer := best == "" || stampOf(st).after(stampOf(f.statements[best]))
		if r := f.holderRank(box); newer || stampOf(st) == stampOf(f.statements[best]) && r < rank {
			best, rank = box, r
		}
	}
	f.pulling, f.pullSince = best, now
	return best
}

// holderRank returns the rank of a box as a holder; the lowest is asked first.
func (f *Feed) holderRank(box string) float64 {
	u := (float64(Hash("holder", f.Self, box)>>11) + 1) / (1<<53 + 1)
	return -math.Log(u) / float64(f.link(box))
}

// link returns the bandwidth of a box's link in Mbit/s.
func (f *Feed) link(box string) uint32 {
	if l := f.Links[box]; l > 0 {
		return l
	}
	return defaultLink
}

// PullProgressed notes progress of the current pull, so that no other box is asked meanwhile.
func (f *Feed) PullProgressed(now time.Time) { f.pullSince = now }

// PullEnded notes that the pull from a peer is complete.
func (f *Feed) PullEnded(from string) {
	if f.pulling == from {
		f.pulling = ""
	}
}

// PullFailed skips a peer for a short time; NextPull may return another peer at once.
func (f *Feed) PullFailed(now time.Time, from string) {
	f.skipUntil(from, now.Add(failureBackoff))
}

// PullBusy skips a peer that is busy with other transfers; NextPull may return another peer at once.
func (f *Feed) PullBusy(now time.Time, from string, wait time.Duration) {
	f.skipUntil(from, now.Add(min(max(wait, 0), maxBusy)))
}

// skipUntil excludes a peer from pulls until a time.
func (f *Feed) skipUntil(from string, until time.Time) {
	f.skippedUntil[from] = until
	if f.pulling == from {
		f.pulling = ""
	}
}

// NoteHolder records a third box's notice that a box holds a content.
func (f *Feed) NoteHolder(box string, asOf State, digest string) {
	if st, ok := f.statements[box]; box != f.Self && (!ok || st.Version < uint64(asOf)) {
		f.statements[box] = core.Statement{Version: uint64(asOf), Digest: digest, Age: -1}
	}
}
