package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stilemast/stilemast/src/code"
)

// Compares the ledger with a model: the outcome of a key never changes, except from unknown to known, and
// no key that must not be repeated is opened twice while it is remembered.
func TestLedgerHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		l.Keep, l.AnswerKeep, l.MaxBytes = time.Minute, 10*time.Second, 64
		now := time.Unix(1_000_000, 0)
		keys := make([]Key, 4)
		for i := range keys {
			keys[i] = Key{ID: NewKeyID(now, [16]byte{9: byte(i)})}
		}
		opened, ended := map[Key]time.Time{}, map[Key]time.Time{}
		renounced := map[Key]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				k := rapid.SampledFrom(keys).Draw(t, "key")
				_, fresh, err := l.Open(k, true, "w", "p", 1)
				if err != nil {
					t.Fatal(err)
				}
				remembered := !ended[k].IsZero() && now.Sub(ended[k]) < l.Keep || !opened[k].IsZero() && ended[k].IsZero()
				if fresh && remembered {
					t.Fatalf("%s opened again", k)
				}
				if fresh {
					opened[k] = now
					delete(ended, k)
					delete(renounced, k)
				}
			},
			"close": func(t *rapid.T) {
				k := rapid.SampledFrom(keys).Draw(t, "key")
				if opened[k].IsZero() || !ended[k].IsZero() {
					return
				}
				l.Close(now, k, nil, make([]byte, rapid.IntRange(0, 40).Draw(t, "bytes")), nil, false)
				ended[k] = now
			},
			"renounce": func(t *rapid.T) {
				k := rapid.SampledFrom(keys).Draw(t, "key")
				did := !opened[k].IsZero() && (ended[k].IsZero() || now.Sub(ended[k]) < l.Keep)
				if l.Renounce(now, k) {
					if did && !renounced[k] {
						t.Fatalf("%s was renounced although it ran", k)
					}
					if !renounced[k] || now.Sub(ended[k]) >= l.Keep {
						opened[k], ended[k], renounced[k] = now, now, true
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second)
				l.Expire(now)
			},
			"": func(t *rapid.T) {
				if l.Bytes() > l.MaxBytes || l.Bytes() < 0 {
					t.Fatalf("%d bytes of answers are kept, at most %d", l.Bytes(), l.MaxBytes)
				}
			},
		})
	})
}

func TestRefusedKeyStaysRefused(t *testing.T) {
	l := NewLedger()
	now := time.Unix(1_000_000, 0)
	k := newTestKey(t)
	if _, fresh, _ := l.Open(k, true, "w", "p", 1); !fresh {
		t.Fatal("not fresh")
	}
	l.Close(now, k, code.New(code.QueueFull, "", "full").WithRan(code.RanNo), nil, nil, true)
	e, fresh, _ := l.Open(k, true, "w", "p", 1)
	if fresh || e.Err().Code != code.QueueFull {
		t.Error("a key that was refused as not run may run later")
	}
	if _, _, err := l.Open(k, true, "w", "p", 2); err == nil || err.Code != code.KeyReused {
		t.Errorf("another request under the key: %v", err)
	}
}

func TestUnknownOutcomeIsAmendedOnce(t *testing.T) {
	l := NewLedger()
	now := time.Unix(1_000_000, 0)
	k := newTestKey(t)
	l.Open(k, true, "w", "p", 1)
	l.Close(now, k, code.New(code.OutcomeUnknown, "", "?"), nil, nil, false)
	l.Amend(k, code.New(code.DeadlinePassed, "", "it ran"))
	l.Amend(k, code.New(code.Internal, "", "again"))
	if got := l.Find(k).Err().Code; got != code.DeadlinePassed {
		t.Errorf("the outcome is %s", got)
	}
}
