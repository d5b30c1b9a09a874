package core

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/stilemast/stilemast/src/code"
)

// Ledger records the outcome of each key. Because of it a second copy of a request joins the first, and a
// refused key stays refused. There is one ledger per shard of keys; it is not safe for concurrent use.
//
// A key whose pipeline must not be repeated is kept for Keep, also when it was refused: a copy that arrives
// after the caller got the answer "not run" must not run. Other keys are removed together with their answer.
type Ledger struct {
	Keep       time.Duration // time for which keys that must not be repeated are kept
	AnswerKeep time.Duration // time for which finished answers are kept
	MaxBytes   int           // upper bound on the bytes of finished answers

	entries map[uuid.UUID]*Entry
	ended   *list.List // of *Entry, in the order of their ends
	bytes   int
}

// EntryState is the state of a key.
type EntryState uint8

// States of a key: running, finished with an answer, or refused or failed with a code.
const (
	EntryRunning EntryState = iota + 1
	EntryFinished
	EntryRefused
)

// Entry is the state and outcome of one key.
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

// Key returns the key of the entry.
func (e Entry) Key() Key { return e.key }

// Workspace returns the workspace that the key belongs to.
func (e Entry) Workspace() string { return e.workspace }

// State returns the state of the key.
func (e Entry) State() EntryState { return e.state }

// Err returns the error of a refused or failed key, otherwise nil.
func (e Entry) Err() *code.Error { return e.err }

// MayRepeat reports whether the caller may send the request again under a new key.
func (e Entry) MayRepeat() bool { return e.mayRepeat }

// Renounced reports whether the entry only records that this box will never run the key. It is no evidence about other
// boxes, so such an entry must not be given to a caller as the outcome.
func (e Entry) Renounced() bool { return e.renounced }

// Answer returns the whole answer; ok is false when it is no longer kept.
func (e Entry) Answer() (answer []byte, ok bool) { return e.answer, !e.answerGone }

// Uses lists what each stage consumed.
func (e Entry) Uses() []StageUse { return e.uses }

// NewLedger returns an empty ledger with default limits; set its exported fields before use.
func NewLedger() *Ledger {
	return &Ledger{
		Keep: 10 * time.Minute, AnswerKeep: 2 * time.Minute, MaxBytes: 1 << 20,
		entries: map[uuid.UUID]*Entry{}, ended: list.New(),
	}
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// Bytes returns the size of the kept answers.
func (l *Ledger) Bytes() int { return l.bytes }

// Find returns the entry of a key, or nil.
func (l *Ledger) Find(k Key) *Entry { return l.entries[k.ID] }

// Open adds a key that may run now. If the key has an entry, that is returned with fresh set to false; a
// key that was used for another request is an error.
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

// Renounce records a promise that a key will never run here. It reports whether the promise holds: false
// when the key is running, or ended in a way that doesn't exclude that it ran.
func (l *Ledger) Renounce(now time.Time, k Key) bool {
	if e := l.entries[k.ID]; e != nil {
		return e.renounced || e.state == EntryRefused && e.err.DidRun() == code.RanNo
	}
	e := &Entry{key: k, once: true, state: EntryRunning, renounced: true}
	l.entries[k.ID] = e
	l.end(now, e, code.New(code.HomeUnsettled, "key", "this box promised not to run the key"), nil, nil, false)
	return true
}

// Close ends a running key; a nil err means that the answer is complete.
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
		delete(l.entries, e.key.ID) // nothing ran and it may be repeated, so the same key may be sent again
		return
	}
	e.answer = answer
	l.bytes += len(answer)
	e.place = l.ended.PushBack(e)
	l.evictAnswers()
}

// Amend replaces an unknown outcome with a known one.
func (l *Ledger) Amend(k Key, err *code.Error) {
	e := l.entries[k.ID]
	if e != nil && e.state == EntryRefused && e.err.DidRun() == code.RanUnknown {
		e.err = err
	}
}

// evictAnswers drops the oldest answers until the rest fits into MaxBytes.
func (l *Ledger) evictAnswers() {
	for el := l.ended.Front(); el != nil && l.bytes > l.MaxBytes; el = el.Next() {
		l.evictAnswer(el.Value.(*Entry))
	}
}

func (l *Ledger) evictAnswer(e *Entry) {
	if e.answerGone || e.state != EntryFinished {
		return
	}
	l.bytes -= len(e.answer)
	e.answer = nil
	e.answerGone = true
}

// Expire removes answers and entries whose retention time has passed.
func (l *Ledger) Expire(now time.Time) {
	for el := l.ended.Front(); el != nil; {
		e := el.Value.(*Entry)
		next := el.Next()
		age := now.Sub(e.ended)
		if age < l.AnswerKeep {
			return
		}
		l.evictAnswer(e)
		if !e.once || age >= l.Keep {
			l.ended.Remove(el)
			delete(l.entries, e.key.ID)
		}
		el = next
	}
}

// Record is a ledger entry in the form that a stopping box hands over to its successor.
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

// Import adds one handed-over entry; an existing entry of the key is kept.
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
