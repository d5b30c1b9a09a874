package core

import (
	"testing"
	"time"
)

// An older document, from the service or from another box, must not replace a newer one.
func TestVersionsNeverDecrease(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := NewDocumentSync("a", "r")
	if !s.Offer(5, "five") || !s.Adopt(5, "five", now) {
		t.Fatal("the first version was not taken")
	}
	if s.Offer(4, "four") || s.ApplyRead(now, 4, "four") || s.Adopt(4, "four", now) {
		t.Error("an older version was taken")
	}
	if s.Adopt(5, "five", now.Add(time.Second)) || s.Held().Version != 5 {
		t.Errorf("version %d is held", s.Held().Version)
	}
	if !s.Offer(6, "six") || !s.Adopt(6, "six", now) {
		t.Error("a newer version was not taken")
	}
}
