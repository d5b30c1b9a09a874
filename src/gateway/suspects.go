package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stilemast/stilemast/src/batch"
	"github.com/stilemast/stilemast/src/catalog"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/crasher"
	"github.com/stilemast/stilemast/src/exchange"
)

// What shows that a server's life has ended.
const (
	proofRefused = "connection refused"
	proofList    = "list of servers"
)

// suspects is the register of contents that may crash servers, under its lock. What decides is the register; here stands
// what it is told and when others are told.
type suspects struct {
	gateway *Gateway

	mu       sync.Mutex
	register crasher.Register
	asking   map[crasher.Life]*asking
	telling  bool        // a message to the other boxes is on its way
	any      atomic.Bool // whether anything is known: most of the time nothing is
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
	cleared := 0
	for _, k := range keys {
		if u.register.Good(u.gateway.now(), k) {
			cleared++
		}
	}
	u.mu.Unlock()
	if cleared > 0 {
		u.gateway.Log.Info("contents cleared by good answers", "contents", cleared)
		u.tell()
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
	u.tell()
}

// tell has the other boxes told in a moment, all that changes until then together: every box of a small fleet, a few of a
// large one, which tell others in their turn when it is news to them.
func (u *suspects) tell() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.telling {
		return
	}
	u.telling = true
	time.AfterFunc(tellSuspectsAfter, func() {
		u.mu.Lock()
		u.telling = false
		u.mu.Unlock()
		u.gateway.announce()
	})
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
	for _, c := range changed {
		if c.Verdict.Ends >= crasher.AloneFrom {
			u.gateway.Log.Info("content told of that may crash servers", "key", c.Key.String(), "ends", c.Verdict.Ends, "barred", c.Verdict.Barred, "from", from)
		}
	}
	u.tell()
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
