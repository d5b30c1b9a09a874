package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stilemast/stilemast/src/code"
)

// HomeResolver decides which box is the home of a caller's key: the only box that may run it. It keeps the box
// lists and configurations that were recently in force at this box.
//
// A key carries the time m of its creation. Its home is the box with the highest rendezvous hash among
// those that may hold the workspace's requests. This box acts as home only if it ranked first in every view
// that it held from m-W to m, and if its newest view was confirmed by a read no earlier than m-L. Two boxes
// can't both meet this when a change of the list or configuration reaches every fresh reader within D and W
// >= L + D + skew: the box that ranked first later would have seen itself first before the other's last
// confirmation. The rule uses the time in the key and not the current time, so a pause between the check
// and the send does no harm.
//
// It costs one hash per box and view within the window.
//
// After a change of the first-ranked box, its keys have no home for W and are refused; callers that can't
// wait use tickets, which need no home. For lists that change back and forth within W, a box counts as
// present if any view or heartbeat within the window showed it. Not safe for concurrent use.
type HomeResolver struct {
	Self       BoxID
	FreshFor   time.Duration // L: greatest age of the confirmation of the newest view
	ListLag    time.Duration // D: time in which a change reaches every fresh reader
	ClockSkew  time.Duration
	LedgerKeep time.Duration // time for which outcomes of keys are kept

	views         []view
	heard         map[string]heardBox
	listConfirmed time.Time
	confConfirmed time.Time
}

// heardBox is a box whose heartbeats were received.
type heardBox struct {
	domain string
	last   time.Time
}

// ListedBox is one entry of the platform's box list.
type ListedBox struct {
	Name          string `json:"name" msgpack:"n"`
	Address       string `json:"address" msgpack:"a"`
	FailureDomain string `json:"failure_domain" msgpack:"d"`
	Leaving       bool   `json:"leaving" msgpack:"l"`
}

// DomainFilter reports whether boxes of a failure domain may hold a workspace's requests under the
// configuration of one view.
type DomainFilter func(workspace, failureDomain string) bool

type view struct {
	from   time.Time
	boxes  []ListedBox
	allows DomainFilter
}

// NewHomeResolver returns a HomeResolver without history; set its exported fields before use.
func NewHomeResolver(self BoxID) *HomeResolver {
	return &HomeResolver{Self: self, heard: map[string]heardBox{}}
}

// window returns W, the time before the creation of a key in which every view must agree on its home.
func (v *HomeResolver) window() time.Duration { return v.FreshFor + v.ListLag + v.ClockSkew }

// Observe adds a box list and a configuration that are in force at this box from now on.
func (v *HomeResolver) Observe(now time.Time, boxes []ListedBox, may DomainFilter) {
	v.views = append(v.views, view{from: now, boxes: boxes, allows: may})
	keep := now.Add(-v.LedgerKeep - v.window())
	for len(v.views) > 1 && v.views[1].from.Before(keep) {
		v.views = v.views[1:]
	}
}

// Confirm records that reads showed the list and the configuration to be unchanged at these times.
func (v *HomeResolver) Confirm(list, conf time.Time) {
	if list.After(v.listConfirmed) {
		v.listConfirmed = list
	}
	if conf.After(v.confConfirmed) {
		v.confConfirmed = conf
	}
}

// ObserveHeartbeat records a heartbeat of a box that is not leaving: it is alive even if it is not listed.
func (v *HomeResolver) ObserveHeartbeat(now time.Time, name, domain string) {
	v.heard[name] = heardBox{domain: domain, last: now}
	for n, h := range v.heard {
		if now.Sub(h.last) > 2*v.window() {
			delete(v.heard, n)
		}
	}
}

// Confirmed returns the older of the two confirmations.
func (v *HomeResolver) Confirmed() time.Time {
	if v.listConfirmed.Before(v.confConfirmed) {
		return v.listConfirmed
	}
	return v.confConfirmed
}

// HomeDecision is the decision on the home of a key.
type HomeDecision struct {
	Me  bool        // this box is the home
	Box string      // the box to forward to when it isn't this one; "" when none is known
	Err *code.Error // why no box can be named, or why this box is not certain to be the home
}

// Resolve determines the home of a key. It fails for keys that are too old or from the future, and when this
// box can not exclude that another one acts as home.
func (v *HomeResolver) Resolve(now time.Time, k Key, workspace string) HomeDecision {
	m := k.CreatedAt()
	if m.After(now.Add(v.ClockSkew)) {
		return HomeDecision{Err: code.New(code.KeyFromFuture, "key", "created %s ahead of this box's clock", m.Sub(now).Round(time.Millisecond))}
	}
	if now.Sub(m) > v.LedgerKeep {
		return HomeDecision{Err: code.New(code.KeyExpired, "key", "created %s ago, longer than outcomes are kept", now.Sub(m).Round(time.Second))}
	}
	held := v.between(m.Add(-v.window()), m)
	if len(held) == 0 {
		held = v.views
	}
	if len(held) == 0 {
		return HomeDecision{Err: code.New(code.NotReady, "", "no box list yet")}
	}
	first := v.topRanked(held, k, workspace)
	newest := first[len(first)-1]
	if newest == "" {
		return HomeDecision{Err: code.New(code.BoxOutsideBoundary, "workspace", "no box lies inside the workspace's boundary").WithRan(code.RanUnknown)}
	}
	if newest != v.Self.Name {
		return HomeDecision{Box: newest}
	}
	if why := v.unsettled(first, held, k, workspace); why != "" {
		return HomeDecision{Err: code.New(code.HomeUnsettled, "key", "%s", why)}
	}
	return HomeDecision{Me: true}
}

// PossibleHomes lists every box that might consider itself home to a key. If each of them promises that the key
// neither ran nor will run there, it did not run. ok is false when this box has not observed the fleet for
// long enough to name them all, or when they are too many to ask.
func (v *HomeResolver) PossibleHomes(k Key, workspace string) (names []string, ok bool) {
	m := k.CreatedAt()
	held := v.between(m.Add(-v.window()), m)
	if len(held) == 0 || held[0].from.After(m.Add(-v.window())) {
		return nil, false
	}
	names = v.possibleHomes(held, workspace)
	return names, len(names) > 0 && len(names) <= maxRenounceFleet
}

// unsettled returns why this box, first in its newest view, must not act as home, or "".
func (v *HomeResolver) unsettled(first []string, held []view, k Key, workspace string) string {
	m := k.CreatedAt()
	if held[0].from.After(m.Add(-v.window())) {
		return "this box has not observed the box list for long enough"
	}
	for _, f := range first {
		if f != v.Self.Name {
			return "the key's home changed shortly before the key was created"
		}
	}
	if v.Confirmed().Before(m.Add(-v.FreshFor)) {
		return "this box has no recent confirmation of its box list and configuration"
	}
	if v.outranked(held[len(held)-1], k, workspace, m) {
		return "a higher-ranked box is alive by its heartbeats"
	}
	return ""
}

// outranked reports whether a box heard from within the window ranks above this one, listed or not.
func (v *HomeResolver) outranked(w view, k Key, workspace string, m time.Time) bool {
	own := rendezvous(k, v.Self.Name)
	for n, h := range v.heard {
		if n == v.Self.Name || h.last.Before(m.Add(-v.window())) || !w.allows(workspace, h.domain) {
			continue
		}
		if rendezvous(k, n) > own {
			return true
		}
	}
	return false
}

// between lists the views that were held at any time from a to b.
func (v *HomeResolver) between(a, b time.Time) []view {
	lo := 0
	for lo+1 < len(v.views) && !v.views[lo+1].from.After(a) {
		lo++
	}
	hi := lo
	for hi < len(v.views) && !v.views[hi].from.After(b) {
		hi++
	}
	return v.views[lo:hi]
}

// topRanked returns the first-ranked box of each view.
func (v *HomeResolver) topRanked(held []view, k Key, workspace string) []string {
	out := make([]string, len(held))
	for i, w := range held {
		out[i] = v.topRankedIn(w, k, workspace)
	}
	return out
}

func (v *HomeResolver) topRankedIn(w view, k Key, workspace string) string {
	best, most := "", uint64(0)
	rank := func(name, domain string) {
		if !w.allows(workspace, domain) {
			return
		}
		if r := rendezvous(k, name); best == "" || r > most || r == most && name < best {
			best, most = name, r
		}
	}
	for _, b := range w.boxes {
		if !b.Leaving {
			rank(b.Name, b.FailureDomain)
		}
	}
	return best
}

// possibleHomes lists every box that could consider itself home: listed in one of the views, or heard from.
func (v *HomeResolver) possibleHomes(held []view, workspace string) []string {
	var names []string
	for _, w := range held {
		for _, b := range w.boxes {
			if w.allows(workspace, b.FailureDomain) {
				names = append(names, b.Name)
			}
		}
	}
	last := held[len(held)-1]
	for n, h := range v.heard {
		if last.allows(workspace, h.domain) {
			names = append(names, n)
		}
	}
	return distinct(names)
}

func distinct(names []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, n := range names {
		if n != "" && !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}

// rendezvous returns the rendezvous hash of a key and a box; the highest value ranks first.
func rendezvous(k Key, name string) uint64 { return rank(k.Hash(), name) }

// rank mixes a hash with the hash of a name.
func rank(h uint64, name string) uint64 {
	x := h ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
