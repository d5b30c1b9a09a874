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

// answer is what a caller received for one request.
type answer struct {
	key       string
	input     []byte
	pipeline  string
	code      code.Code
	ran       code.Ran
	data      []byte
	token     string
	box       core.BoxID
	cut       bool // the connection to the box broke before the answer's end
	misplaced bool // a chunk did not start where the one before ended
}

// newKey returns a new request key from the fleet's seeded random source.
func (f *fleet) newKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var random [16]byte
	_, _ = f.entropy.Read(random[:])
	return core.NewKeyID(time.Now(), random).String()
}

// send sends a request to a box and reads the answer to its end, or until the box is killed.
func (f *fleet) send(name, pipeline, key string, input []byte) answer {
	return f.receive(name, answer{key: key, input: input, pipeline: pipeline}, func(ctx context.Context, b *fakeBox, emit box.Emit) error {
		return b.Serve(ctx, box.Request{Workspace: "ws", Pipeline: pipeline, Key: key, Input: input}, emit)
	})
}

// attach resumes an answer at a box with its attach token, from an offset.
func (f *fleet) attach(name string, a answer, from int) answer {
	a.data = a.data[:from]
	return f.receive(name, a, func(ctx context.Context, b *fakeBox, emit box.Emit) error {
		return b.Attach(ctx, "ws", a.token, from, emit)
	})
}

// receive reads the events of one request at a box into an answer. A box that is not running gives a cut answer.
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

// runs counts the calls that the backend servers ran for a key, and those of them that may not be repeated:
// for one box if by is set, else for all.
func (f *fleet) runs(key string, by core.BoxID) (all, once int) {
	id := key
	if k, err := core.ParseKey(key); err == nil {
		id = k.ID.String()
	}
	count := func(l []standin.Execution) {
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

// violation describes the guarantee that an answer violates, or returns "".
func (f *fleet) violation(a answer) string {
	by := core.BoxID{}
	if a.pipeline != "receipt" {
		by = a.box // each copy of a repeatable request answers for its own calls only
	}
	all, once := f.runs(a.key, by)
	want := standin.ExpectedOutput(f.config.Pipeline(a.pipeline), a.input, 0)
	switch {
	case a.misplaced:
		return "a chunk of the answer has a wrong offset"
	case once > 1:
		return fmt.Sprintf("a call that may not be repeated ran %d times", once)
	case a.cut:
		return ""
	case a.code == code.OK && !bytes.Equal(a.data, want):
		return fmt.Sprintf("the answer differs from the correct one: %d bytes, want %d", len(a.data), len(want))
	case a.code == code.OK && a.pipeline == "receipt" && once != 1:
		return "answered in full, but the call did not run"
	case a.code != code.OK && a.ran == code.RanNo && all > 0:
		return fmt.Sprintf("%s says \"not run\", but %d calls ran", a.code, all)
	case a.code != code.OK && a.ran == code.RanYes && all == 0:
		return fmt.Sprintf("%s says \"ran\", but no call ran", a.code)
	case len(a.data) > 0 && !bytes.HasPrefix(want, a.data):
		return "the partial answer is no prefix of the correct one"
	}
	return ""
}

// allBoxes makes runs count the calls of all boxes.
var allBoxes core.BoxID
