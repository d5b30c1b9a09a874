package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
	"github.com/stilemast/stilemast/src/port"
)

// What shows that a server's life has ended.
const (
	proofRefused = "connection refused"
	proofList    = "list of servers"
)

// errAddsNothingUp is the answer of a box of an earlier release, which knows nothing of suspects.
var errAddsNothingUp = errors.New("the box adds nothing up")

// suspects is the register of contents that may crash servers, under its lock. What decides is the register; here stands
// what it is told and when others are told.
type suspects struct {
	gateway *Gateway

	mu       sync.Mutex
	register crasher.Register
	asking   map[crasher.Life]*asking
	telling  bool          // a message to other boxes is due
	news     bool          // it goes to all
	single   []crasher.Key // contents with one end, which the boxes that add them up are told
	any      atomic.Bool   // whether anything is known: most of the time nothing is
}

// asking is a server under which exchanges broke and whose address is tried.
type asking struct {
	server catalog.Server
	tries  int
	due    time.Time // of the next try; zero while one is at work
}

func (u *suspects) init(g *Gateway) {
	u.gateway = g
	u.asking = map[crasher.Life]*asking{}
}

// judge says what speaks against a content at a pool.
func (u *suspects) judge(k crasher.Key) crasher.Verdict {
	if !u.any.Load() {
		return crasher.Verdict{}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.Judge(u.gateway.now(), k)
}

func lifeOf(s catalog.Server) crasher.Life { return crasher.LifeOf(s.ID, int64(s.Incarnation)) }

// broke takes that exchanges of contents with a server broke, and finds out whether it ended. A server that left as planned
// speaks against nobody.
func (u *suspects) broke(s catalog.Server, keys ...crasher.Key) {
	if len(keys) == 0 || u.gateway.hasLeft(s) {
		return
	}
	life := lifeOf(s)
	u.mu.Lock()
	counted := u.register.Broke(u.gateway.now(), life, keys...)
	ask := len(counted) == 0 && u.asking[life] == nil && u.gateway.Backends.Probe != nil
	if ask {
		u.asking[life] = &asking{server: s}
	}
	u.mu.Unlock()
	u.counted(counted, s.ID, "known before")
	if ask {
		go u.ask(life, s)
	}
}

// ask tries the address of a server under which exchanges broke: a process that is gone refuses connections at once. The
// list tells as much, but only when three heartbeats are missing, and by then a content could have ended several more.
func (u *suspects) ask(life crasher.Life, s catalog.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	err := u.gateway.Backends.Probe(ctx, s.Address)
	cancel()
	refused := exchange.Refused(err)
	u.mu.Lock()
	if a := u.asking[life]; a != nil {
		a.tries++
		a.due = u.gateway.now().Add(probeAgain)
		if refused || a.tries >= probeTries {
			delete(u.asking, life)
		}
	}
	u.mu.Unlock()
	if refused {
		u.lifeEnded(s, proofRefused)
	}
}

// askAgain tries the addresses whose next try is due.
func (u *suspects) askAgain(context.Context) {
	now := u.gateway.now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for life, a := range u.asking {
		if !a.due.IsZero() && !now.Before(a.due) {
			a.due = time.Time{}
			go u.ask(life, a.server)
		}
	}
}

// lifeEnded takes that a life of a server ended other than as planned.
func (u *suspects) lifeEnded(s catalog.Server, proof string) {
	u.mu.Lock()
	counted := u.register.Ended(u.gateway.now(), lifeOf(s))
	u.mu.Unlock()
	u.counted(counted, s.ID, proof)
}

// good takes that contents had a good answer.
func (u *suspects) good(keys ...crasher.Key) {
	u.mu.Lock()
	var cleared []crasher.Counted
	for _, k := range keys {
		if u.register.Good(u.gateway.now(), k) {
			cleared = append(cleared, crasher.Counted{Key: k})
		}
	}
	u.mu.Unlock()
	if len(cleared) > 0 {
		u.gateway.Log.Info("contents cleared by good answers", "contents", len(cleared), "key", cleared[0].Key.String())
		u.tell(cleared)
	}
}

// counted logs what was counted against contents and tells the other boxes.
func (u *suspects) counted(list []crasher.Counted, server, proof string) {
	if len(list) == 0 {
		return
	}
	u.any.Store(true)
	g := u.gateway
	for i, c := range list {
		if i < suspectLines {
			g.Log.Warn("server ended under a request", "key", c.Key.String(), "server", server, "proof", proof, "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "suspects", len(list))
		}
	}
	if g.Watch.Suspected != nil {
		g.Watch.Suspected(len(list))
	}
	u.tell(list)
}

// tell has other boxes told in a moment, all that changes until then together: every box of contents under which two servers
// ended, the boxes that add them up of the others.
func (u *suspects) tell(list []crasher.Counted) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range list {
		if c.Verdict.Ends == 1 {
			u.single = append(u.single, c.Key)
		} else {
			u.news = true
		}
	}
	if u.telling || len(u.single) == 0 && !u.news {
		return
	}
	u.telling = true
	time.AfterFunc(tellSuspectsAfter, u.tellNow)
}

func (u *suspects) tellNow() {
	u.mu.Lock()
	news, single := u.news, u.single
	u.telling, u.news, u.single = false, false, nil
	u.mu.Unlock()
	if news {
		u.gateway.announce()
	}
	u.tellCounters(single, map[string]bool{})
}

// tellCounters tells the boxes that add up the ends under contents what this one knows of them. A box that does not answer is
// passed over for the next: of a fleet of 61 in which both have just been lost, 21 servers ended otherwise, 8 sends of them late, and 3 so
// (TestARequestThatCrashesServersIsNotSentOnWhenWhoCountsIsLost).
func (u *suspects) tellCounters(keys []crasher.Key, silent map[string]bool) {
	boxes := slices.DeleteFunc(slices.Clone(u.gateway.fleet.usable()), func(box string) bool { return silent[box] })
	to := map[string][]crasher.Key{}
	for _, k := range keys {
		for _, box := range crasher.Counters(k, boxes) {
			to[box] = append(to[box], k)
		}
	}
	delete(to, u.gateway.ID.Name)
	for box, keys := range to {
		for part := range slices.Chunk(keys, crasher.NotesMost) {
			go u.tellCounter(box, part, silent)
		}
	}
}

func (u *suspects) tellCounter(box string, keys []crasher.Key, silent map[string]bool) {
	g := u.gateway
	u.mu.Lock()
	notes := u.register.NotesOf(g.now(), keys)
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), tellSuspectsTime)
	defer cancel()
	a, err := g.Peers.Ask(ctx, g.fleet.addressOf(box), port.Question{Suspects: &port.Suspects{From: g.ID.Name, Notes: notes}})
	if err == nil && a.Suspects == nil {
		err = errAddsNothingUp
	}
	if err == nil {
		u.hear(a.Suspects.Notes, box)
		return
	}
	g.Log.Warn("box that adds up the ends of servers does not answer", "peer", box, "contents", len(keys), "passed_over", len(silent), "cause", err.Error())
	if len(silent) < silentCounters {
		next := maps.Clone(silent)
		next[box] = true
		u.tellCounters(keys, next)
	}
}

// addUp takes what another box saw of contents whose ends this one adds up, and gives what it knows of them.
func (u *suspects) addUp(q *port.Suspects) *port.Suspects {
	u.hear(q.Notes, q.From)
	keys := make([]crasher.Key, 0, len(q.Notes))
	for _, n := range q.Notes[:min(len(q.Notes), crasher.NotesMost)] {
		keys = append(keys, n.Key)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return &port.Suspects{From: u.gateway.ID.Name, Notes: u.register.NotesOf(u.gateway.now(), keys)}
}

// hear takes what another box tells.
func (u *suspects) hear(notes []crasher.Note, from string) {
	if len(notes) == 0 {
		return
	}
	u.mu.Lock()
	changed := u.register.Hear(u.gateway.now(), notes)
	u.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	u.any.Store(true)
	var news []crasher.Counted // one end is no news: this box adds them up
	for _, c := range changed {
		if c.Verdict.Ends >= crasher.AloneFrom {
			u.gateway.Log.Info("content told of that may crash servers", "key", c.Key.String(), "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "from", from)
			news = append(news, c)
		} else if c.Verdict.Ends == 0 {
			news = append(news, c) // this box knows of a good answer
		}
	}
	u.tell(news)
}

// notes are what this box tells of suspects: in news only what changed a moment ago.
func (u *suspects) notes(news bool) []crasher.Note {
	if !u.any.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if news {
		return u.register.News(u.gateway.now())
	}
	return u.register.Notes(u.gateway.now())
}

// sweep forgets what is over.
func (u *suspects) sweep(context.Context) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.register.Sweep(u.gateway.now())
	u.any.Store(!u.register.Empty())
}

// listEnds takes from a change of the list which lives have ended: entries that went without a word before, and servers that
// began a new life. Entries that may only have lapsed say nothing.
func (u *suspects) listEnds(before map[string]catalog.Server, gone []string, effects catalog.Effects) {
	lapsed := map[string]bool{}
	for _, id := range effects.Lapsed {
		lapsed[id] = true
	}
	for _, id := range gone {
		if s := before[id]; !lapsed[id] && s.Works() {
			u.lifeEnded(s, proofList)
		}
	}
	for _, r := range effects.Restarted {
		u.lifeEnded(r.Before, proofList)
	}
}

// hasLeft says whether a server, as it was chosen, has left as far as this box knows.
func (g *Gateway) hasLeft(s catalog.Server) bool {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.registry.Left(s.ID)
	return ok && d.Incarnation == s.Incarnation
}

// barred refuses a request whose content crashes servers of its pool or of a stage, before anything of it is sent or waits.
func (v *visit) barred() *code.Error {
	g := v.gateway
	if err := g.barredAt(v.content, v.pool); err != nil {
		return err
	}
	for i, st := range v.pipeline.Stages {
		if v.request.Pieces[i] > 0 {
			if err := g.barredAt(v.content, st.Pool); err != nil {
				return err
			}
		}
	}
	return nil
}

// barredAt is the refusal of a content at one pool, nil when it may run there. It says what happened and when a further try
// makes sense: by then a mended server may be there.
func (g *Gateway) barredAt(c crasher.Content, pool string) *code.Error {
	d := g.suspects.judge(c.At(pool))
	if !d.Barred {
		return nil
	}
	return refusal(code.CrashesServers, "body", d.Left, "%d servers of %s ended while they ran this content", d.Ends, pool)
}

// contentsOf lists the contents of a call of pieces, each once.
func contentsOf(items []batch.Item) []crasher.Key {
	var out []crasher.Key
	seen := map[crasher.Key]bool{}
	for _, it := range items {
		if !seen[it.Content] {
			seen[it.Content] = true
			out = append(out, it.Content)
		}
	}
	return out
}
