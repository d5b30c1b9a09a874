package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
)

// Platform stands in for the configuration service and the box list. It can only be read; tests and
// operators publish through its own methods. Safe for concurrent use.
type Platform struct {
	ListLag time.Duration // age of the box list it shows

	mu          sync.Mutex
	config      []byte
	staleConfig []byte // shown instead while not nil
	down        bool
	readDelay   time.Duration
	lists       []timedBoxList
	calls       int
	revision    uint64
}

type timedBoxList struct {
	list        port.BoxList
	publishedAt time.Time
}

var errDown = errors.New("the configuration service is down")

// Publish puts a configuration on show.
func (p *Platform) Publish(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = raw
}

// SetBoxes changes the box list; readers see it ListLag later.
func (p *Platform) SetBoxes(boxes []core.ListedBox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	l := port.BoxList{Revision: p.revision, Boxes: append([]core.ListedBox(nil), boxes...)}
	p.lists = append(p.lists, timedBoxList{list: l, publishedAt: time.Now()})
	if len(p.lists) > 100 {
		p.lists = p.lists[1:]
	}
}

// SetBoxesIfChanged is SetBoxes, but the same list keeps its revision.
func (p *Platform) SetBoxesIfChanged(boxes []core.ListedBox) {
	p.mu.Lock()
	same := len(p.lists) > 0 && slices.Equal(p.lists[len(p.lists)-1].list.Boxes, boxes)
	p.mu.Unlock()
	if !same {
		p.SetBoxes(boxes)
	}
}

// SetDown makes every read fail.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetSlow delays every read.
func (p *Platform) SetSlow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDelay = d
}

// SetStale shows an old configuration; nil ends that.
func (p *Platform) SetStale(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleConfig = raw
}

// Calls counts the reads so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) beginRead(ctx context.Context) error {
	p.mu.Lock()
	p.calls++
	slow, down := p.readDelay, p.down
	p.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if down {
		return errDown
	}
	return nil
}

// Config reads the published configuration.
func (p *Platform) Config(ctx context.Context) ([]byte, error) {
	if err := p.beginRead(ctx); err != nil {
		return nil, err
	}
	return p.currentConfig(), nil
}

// shown is the configuration on show.
func (p *Platform) currentConfig() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleConfig != nil {
		return p.staleConfig
	}
	return p.config
}

// Boxes reads the box list as it was ListLag ago.
func (p *Platform) Boxes(ctx context.Context) (port.BoxList, error) {
	if err := p.beginRead(ctx); err != nil {
		return port.BoxList{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out port.BoxList
	for i, l := range p.lists {
		if i == 0 || !l.publishedAt.After(time.Now().Add(-p.ListLag)) {
			out = l.list
		}
	}
	return out, nil
}
