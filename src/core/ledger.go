package core

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/stilemast/stilemast/src/code"
)

// Ledger remembers what became of each key: it is why a second copy of a request joins the first,
// and why a refusal stays a refusal. One shard of keys each; not safe for concurrent use.
//
// A key whose pipeline may not be repeated is remembered for Keep, refused ones too: a copy that
// comes after "not run" was said must not run. Others are forgotten with their answer.
type Ledger struct {
	Keep       time.Duration // how long keys that may not be repeated are remembered
	AnswerKeep time.Duration // how long finished answers are kept
	MaxBytes   int           // most bytes of finished answers

	entries map[uuid.UUID]*Entry
	ended   *list.List // of *Entry, oldest end first
	bytes   int
}

// EntryState is how far a key has come.
type EntryState uint8

// A key is running, finished with an answer, or refused or failed with a code.
const (
	EntryRunning EntryState = iota + 1
	EntryFinished
	EntryRefused
)

// Entry is what became of one key.
type Entry struct {
	key         Key
	once        bool
	workspace   string
	pipeline    string
	fingerprint uint64
	state       EntryState
	err         *code.Error
	mayRepeat   bool
	answer      []byte
	answerGone  bool
	renounced   bool
	uses        []StageUse
	ended       time.Time
	place       *list.Element
}

// Key is the entry's key.
func (e Entry) Key() Key { return e.key }

// Workspace is whose key it is.
func (e Entry) Workspace() string { return e.workspace }

// State is how far it has come.
func (e Entry) State() EntryState { return e.state }

// Err is the final code of a refused or failed key.
func (e Entry) Err() *code.Error { return e.err }

// MayRepeat says whether the request may be made again under a new key.
func (e Entry) MayRepeat() bool { return e.mayRepeat }

// Renounced says whether this box only promised that the key never runs here. What it is told of the
// other boxes is another matter, so such an entry is no answer for a caller.
func (e Entry) Renounced() bool { return e.renounced }

// Answer is the whole answer; ok is false when it was let go.
func (e Entry) Answer() (answer []byte, ok bool) { return e.answer, !e.answerGone }

// Uses sums the stages.
func (e Entry) Uses() []StageUse { return e.uses }

// NewLedger makes an empty ledger; set its exported fields before use.
func NewLedger() *Ledger {
	return &Ledger{
		Keep: 10 * time.Minute, AnswerKeep: 2 * time.Minute, MaxBytes: 1 << 20,
		entries: map[uuid.UUID]*Entry{}, ended: list.New(),
	}
}

// Len counts the entries.
func (l *Ledger) Len() int { return len(l.entries) }

// Bytes counts the bytes of kept answers.
func (l *Ledger) Bytes() int { return l.bytes }

// Find looks a key up, or gives nil.
func (l *Ledger) Find(k Key) *Entry { return l.entries[k.ID] }

// Open enters a key that may run now. The entry that stands already comes back with fresh false; a
// key used for another request is an error.
func (l *Ledger) Open(k Key, once bool, workspace, pipeline string, fingerprint uint64) (e *Entry, fresh bool, err *code.Error) {
	if e := l.entries[k.ID]; e != nil {
		if e.key != k || e.fingerprint != 0 && e.fingerprint != fingerprint {
			return nil, false, code.New(code.KeyReused, "key", "the key was used for another request")
		}
		return e, false, nil
	}
	e = &Entry{key: k, once: once, workspace: workspace, pipeline: pipeline, fingerprint: fingerprint, state: EntryRunning}
	l.entries[k.ID] = e
	return e, true, nil
}

// Renounce marks a key that was never opened as one that will never run here. It says whether that
// holds: false when the key is running or ended otherwise.
func (l *Ledger) Renounce(now time.Time, k Key) bool {
	if e := l.entries[k.ID]; e != nil {
		return e.renounced || e.state == EntryRefused && e.err.DidRun() == code.RanNo
	}
	e := &Entry{key: k, once: true, state: EntryRunning, renounced: true}
	l.entries[k.ID] = e
	l.end(now, e, code.New(code.HomeUnsettled, "key", "this box promised not to run the key"), nil, nil, false)
	return true
}

// Close ends a running key; err nil means that answer is whole.
func (l *Ledger) Close(now time.Time, k Key, err *code.Error, answer []byte, uses []StageUse, mayRepeat bool) {
	e := l.entries[k.ID]
	if e == nil || e.state != EntryRunning {
		return
	}
	l.end(now, e, err, answer, uses, mayRepeat)
}

func (l *Ledger) end(now time.Time, e *Entry, err *code.Error, answer []byte, uses []StageUse, mayRepeat bool) {
	e.err, e.uses, e.ended, e.mayRepeat = err, uses, now, mayRepeat
	e.state = EntryFinished
	if err != nil {
		e.state = EntryRefused
	}
	if err != nil && !e.once && err.DidRun() == code.RanNo {
		delete(l.entries, e.key.ID) // nothing ran and it may be repeated: the key may come again
		return
	}
	e.answer = answer
	l.bytes += len(answer)
	e.place = l.ended.PushBack(e)
	l.shrink()
}

// Amend replaces an unknown outcome by a known one.
func (l *Ledger) Amend(k Key, err *code.Error) {
	e := l.entries[k.ID]
	if e != nil && e.state == EntryRefused && e.err.DidRun() == code.RanUnknown {
		e.err = err
	}
}

// shrink lets the oldest answers go while they take too many bytes.
func (l *Ledger) shrink() {
	for el := l.ended.Front(); el != nil && l.bytes > l.MaxBytes; el = el.Next() {
		l.letGo(el.Value.(*Entry))
	}
}

func (l *Ledger) letGo(e *Entry) {
	if e.answerGone || e.state != EntryFinished {
		return
	}
	l.bytes -= len(e.answer)
	e.answer = nil
	e.answerGone = true
}

// Expire forgets what is older than it has to be kept.
func (l *Ledger) Expire(now time.Time) {
	for el := l.ended.Front(); el != nil; {
		e := el.Value.(*Entry)
		next := el.Next()
		age := now.Sub(e.ended)
		if age < l.AnswerKeep {
			return
		}
		l.letGo(e)
		if !e.once || age >= l.Keep {
			l.ended.Remove(el)
			delete(l.entries, e.key.ID)
		}
		el = next
	}
}

// Record is an entry as it is handed over by a box that stops.
type Record struct {
	Key         Key         `msgpack:"k"`
	Once        bool        `msgpack:"o"`
	Workspace   string      `msgpack:"w"`
	Pipeline    string      `msgpack:"p"`
	Fingerprint uint64      `msgpack:"f"`
	Err         *code.Error `msgpack:"e"`
	MayRepeat   bool        `msgpack:"m"`
	Answer      []byte      `msgpack:"a"`
	AnswerGone  bool        `msgpack:"g"`
	Uses        []StageUse  `msgpack:"u"`
	Renounced   bool        `msgpack:"r"`
}

// Export lists the ended entries for a handover, oldest first.
func (l *Ledger) Export() []Record {
	out := make([]Record, 0, l.ended.Len())
	for el := l.ended.Front(); el != nil; el = el.Next() {
		e := el.Value.(*Entry)
		out = append(out, Record{
			Key: e.key, Once: e.once, Workspace: e.workspace, Pipeline: e.pipeline, Fingerprint: e.fingerprint,
			Err: e.err, MayRepeat: e.mayRepeat, Answer: e.answer, AnswerGone: e.answerGone, Uses: e.uses, Renounced: e.renounced,
		})
	}
	return out
}

// Import takes one handed-over entry; what this ledger knows itself stays.
func (l *Ledger) Import(now time.Time, r Record) {
	if l.entries[r.Key.ID] != nil {
		return
	}
	e := &Entry{
		key: r.Key, once: r.Once, workspace: r.Workspace, pipeline: r.Pipeline, fingerprint: r.Fingerprint,
		state: EntryRunning, answerGone: r.AnswerGone, renounced: r.Renounced,
	}
	l.entries[r.Key.ID] = e
	l.end(now, e, r.Err, r.Answer, r.Uses, r.MayRepeat)
}
