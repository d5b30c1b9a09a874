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

// Platform is a fake of the platform's configuration service and box list. Boxes only read it; tests and
// the command line publish through its other methods. Safe for concurrent use.
type Platform struct {
	ListLag time.Duration // delay until readers see a new box list

	mu          sync.Mutex
	config      []byte
	staleConfig []byte // served instead of config while not nil
	down        bool
	readDelay   time.Duration
	lists       []timedBoxList
	calls       int
	revision    uint64
}

// timedBoxList is a box list and the time it was published.
type timedBoxList struct {
	list        port.BoxList
	publishedAt time.Time
}

var errDown = errors.New("configuration service is down")

// Publish replaces the configuration.
func (p *Platform) Publish(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = raw
}

// SetBoxes publishes a box list under a new revision; readers see it ListLag later.
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

// SetBoxesIfChanged calls SetBoxes unless the list equals the last one published.
func (p *Platform) SetBoxesIfChanged(boxes []core.ListedBox) {
	p.mu.Lock()
	same := len(p.lists) > 0 && slices.Equal(p.lists[len(p.lists)-1].list.Boxes, boxes)
	p.mu.Unlock()
	if !same {
		p.SetBoxes(boxes)
	}
}

// SetDown makes every read fail while down is true.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetReadDelay delays every read by d.
func (p *Platform) SetReadDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDelay = d
}

// SetStale serves raw instead of the published configuration; nil ends this.
func (p *Platform) SetStale(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleConfig = raw
}

// Calls returns the number of reads so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// beginRead counts a read and applies the injected delay and failure.
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

// Config returns the published configuration, or the stale one if set.
func (p *Platform) Config(ctx context.Context) ([]byte, error) {
	if err := p.beginRead(ctx); err != nil {
		return nil, err
	}
	return p.currentConfig(), nil
}

// currentConfig returns the configuration that readers get.
func (p *Platform) currentConfig() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleConfig != nil {
		return p.staleConfig
	}
	return p.config
}

// Boxes returns the box list as it was ListLag ago.
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
