package faults

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/stilemast/stilemast/src/box"
	"github.com/stilemast/stilemast/src/code"
	"github.com/stilemast/stilemast/src/core"
	"github.com/stilemast/stilemast/src/port"
	"github.com/stilemast/stilemast/src/standin"
)

// answer is what a caller got.
type answer struct {
	key       string
	input     []byte
	pipeline  string
	code      code.Code
	ran       code.Ran
	data      []byte
	token     string
	box       core.BoxID
	cut       bool // the connection to the box broke before the end
	misplaced bool // a piece was out of place
}

func (f *fleet) newKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var random [16]byte
	_, _ = f.entropy.Read(random[:])
	return core.MintID(time.Now(), random).String()
}

// send is a caller: it connects to a box and reads to the end, or until the box dies.
func (f *fleet) send(name, pipeline, key string, input []byte) answer {
	return f.receive(name, answer{key: key, input: input, pipeline: pipeline}, func(ctx context.Context, b *fakeBox, emit box.Emit) error {
		return b.Serve(ctx, box.Request{Workspace: "ws", Pipeline: pipeline, Key: key, Input: input}, emit)
	})
}

// attach is a caller that comes back with a token.
func (f *fleet) attach(name string, a answer, from int) answer {
	a.data = a.data[:from]
	return f.receive(name, a, func(ctx context.Context, b *fakeBox, emit box.Emit) error {
		return b.Attach(ctx, "ws", a.token, from, emit)
	})
}

func (f *fleet) receive(name string, a answer, do func(context.Context, *fakeBox, box.Emit) error) answer {
	a.code, a.ran, a.cut = code.OK, 0, false
	t := f.liveBox(name)
	if t == nil {
		a.cut = true
		return a
	}
	a.box = t.ID
	ctx, cancel := context.WithTimeout(t.ctx, 90*time.Second)
	defer cancel()
	t.waitWhilePaused()
	ended := false
	err := do(ctx, t, func(e port.ForwardEvent) error {
		t.waitWhilePaused()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch {
		case e.Accepted != nil:
			a.token = e.Accepted.Token.String()
			f.mu.Lock()
			f.tokens[a.key] = a.token
			f.mu.Unlock()
			f.reached("accepted", f.liveBox(e.Accepted.Token.Holder.Name), "", port.CallRequest{Attempt: a.key})
		case e.Chunk != nil:
			a.misplaced = a.misplaced || e.Chunk.Offset != len(a.data)
			a.data = append(a.data, e.Chunk.Data...)
		case e.End != nil:
			ended = true
			f.reached("delivered", t, "", port.CallRequest{Attempt: a.key})
			if e.End.Err != nil {
				a.code, a.ran = e.End.Err.Code, e.End.Err.DidRun()
			}
		}
		return nil
	})
	a.cut = !ended || err != nil
	return a
}

// runs counts what the stand-ins ran under a key: for one box if by is set, else for all.
func (f *fleet) runs(key string, by core.BoxID) (all, once int) {
	id := key
	if k, err := core.ParseKey(key); err == nil {
		id = k.ID.String()
	}
	count := func(l []standin.Ran) {
		for _, r := range l {
			if strings.HasPrefix(r.Attempt, id+"/") && (by.Name == "" || strings.HasSuffix(r.Attempt, by.String())) {
				all++
				if r.Once {
					once++
				}
			}
		}
	}
	for _, e := range f.engines {
		count(e.Log.All())
	}
	for _, s := range f.services {
		count(s.Log.All())
	}
	return all, once
}

// broken says which promise an answer broke, or "".
func (f *fleet) violation(a answer) string {
	by := core.BoxID{}
	if a.pipeline != "receipt" {
		by = a.box // a repeatable request's answer speaks of its own copy
	}
	all, once := f.runs(a.key, by)
	want := standin.Whole(f.config.Pipeline(a.pipeline), a.input, 0)
	switch {
	case a.misplaced:
		return "a piece of the answer was out of place"
	case once > 1:
		return fmt.Sprintf("a call that may not be repeated ran %d times", once)
	case a.cut:
		return ""
	case a.code == code.OK && !bytes.Equal(a.data, want):
		return fmt.Sprintf("the answer is not the request's own: %d bytes, want %d", len(a.data), len(want))
	case a.code == code.OK && a.pipeline == "receipt" && once != 1:
		return "answered whole, but the call did not run"
	case a.code != code.OK && a.ran == code.RanNo && all > 0:
		return fmt.Sprintf("%s said \"not run\" and %d calls ran", a.code, all)
	case a.code != code.OK && a.ran == code.RanYes && all == 0:
		return fmt.Sprintf("%s said \"ran\" and nothing ran", a.code)
	case len(a.data) > 0 && !bytes.HasPrefix(want, a.data):
		return "pieces of another answer"
	}
	return ""
}

// noBox asks runs for the calls of all boxes.
var allBoxes core.BoxID
