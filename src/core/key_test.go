package core

import (
	"testing"

	"github.com/google/uuid"
)

func newTestKey(t testing.TB) Key {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return Key{ID: id}
}

func TestKeyRoundTrip(t *testing.T) {
	plain := newTestKey(t)
	ticket := plain
	ticket.Issuer = BoxID{Name: "box.1", Incarnation: 77}
	for _, k := range []Key{plain, ticket} {
		got, err := ParseKey(k.String())
		if err != nil || got != k {
			t.Errorf("ParseKey(%q) = %v, %v", k, got, err)
		}
		token := AttachToken{Key: k, Holder: BoxID{Name: "box|2", Incarnation: 9}}
		back, err := ParseAttachToken(token.String())
		if err != nil || back != token {
			t.Errorf("ParseAttachToken(%q) = %v, %v", token, back, err)
		}
	}
}

func TestBadKeysAreRefused(t *testing.T) {
	v4 := uuid.New().String()
	for _, s := range []string{"", "x", v4, "t1.", "t1." + v4 + ".1.box", "t1." + newTestKey(t).ID.String() + ".0.box", "t1." + newTestKey(t).ID.String() + ".1."} {
		if _, err := ParseKey(s); err == nil {
			t.Errorf("ParseKey(%q) took it", s)
		}
	}
}

// Two boxes that got copies of one request must not share an ID at an engine, or each would get parts of
// the other's stream.
func TestAttemptsOfTwoBoxesDiffer(t *testing.T) {
	a := Attempt{Key: newTestKey(t), Stage: 1, N: 0}
	if a.WireID(BoxID{Name: "a", Incarnation: 1}) == a.WireID(BoxID{Name: "b", Incarnation: 1}) {
		t.Error("two boxes use the same ID")
	}
	if a.WireID(BoxID{Name: "a", Incarnation: 1}) == a.WireID(BoxID{Name: "a", Incarnation: 2}) {
		t.Error("two incarnations of a box use the same ID")
	}
}
