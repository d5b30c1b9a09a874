package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reliefFleet returns the feeds of n boxes that hold the same confirmed content.
func reliefFleet(n int) (boxes []string, feeds map[string]*Feed) {
	feeds = map[string]*Feed{}
	for i := range n {
		boxes = append(boxes, fmt.Sprint("box", i))
	}
	for _, b := range boxes {
		f := NewFeed(b)
		f.ApplyRead(start, 1, "x", 0)
		feeds[b] = f
	}
	return boxes, feeds
}

// fail lets the reads of boxes fail one after the other and returns the boxes that were asked to read.
func fail(now time.Time, boxes, failing []string, feeds map[string]*Feed) (asked []string) {
	for _, b := range failing {
		p := feeds[b].ReadUnanswered(now, boxes)
		for _, other := range p.Readers {
			feeds[other].HandleUnanswered(now, b, 0)
		}
		for _, next := range p.Next {
			feeds[next].HandleUnanswered(now, b, p.Round)
			asked = append(asked, next)
		}
	}
	slices.Sort(asked)
	return slices.Compact(asked)
}

// Readers must ask the next round only if none of them gets an answer. Each round doubles the number of
// readers, and there are three.
func TestUnansweredReadersAskNextRound(t *testing.T) {
	for _, n := range []int{6, 61, 985} {
		boxes, feeds := reliefFleet(n)
		now := start.Add(500 * time.Millisecond)
		var failing []string
		for _, b := range boxes {
			if feeds[b].ShouldRead(now, boxes) {
				failing = append(failing, b)
			}
		}
		if asked := fail(now, boxes, failing[:readers-1], feeds); len(asked) > 0 {
			t.Errorf("%d boxes: %v were asked while a reader may still get answers", n, asked)
		}
		for round, want := range []int{3, 6, 12, 0} {
			want = min(want, max(0, n-readers*(1<<round)))
			asked := fail(now, boxes, failing, feeds)
			if len(asked) != want {
				t.Errorf("%d boxes, round %d: %d were asked to read, want %d", n, round+1, len(asked), want)
			}
			for _, b := range asked {
				if !feeds[b].ShouldRead(now, boxes) {
					t.Errorf("%s was asked to read and does not", b)
				}
			}
			failing = asked
		}
	}
}

// A box must stop reading for others once they no longer ask. A round unknown to this release is ignored.
func TestReliefEnds(t *testing.T) {
	boxes, feeds := reliefFleet(61)
	f := feeds[boxes[0]]
	if f.ReadersAhead(boxes) < readers {
		f = feeds[boxes[1]]
	}
	last := f.confirmed
	for _, strange := range []int{maxReliefRounds + 1, 255} {
		f.HandleUnanswered(last, "reader", strange)
	}
	if f.ShouldRead(last, boxes) {
		t.Error("a box reads in an unknown round")
	}
	f.HandleUnanswered(last, "reader", 1)
	if !f.ShouldRead(last.Add(reliefDuration-time.Millisecond), boxes) {
		t.Error("a box that was asked to read does not")
	}
	end := last.Add(reliefDuration)
	f.confirm(end, 0)
	if f.ShouldRead(end, boxes) {
		t.Error("a box still reads for others after the time is over")
	}
}

// Readers whose reads fail at the same time learn of each other only afterwards. A reader that has then heard
// from all others must ask the next round, but only once per failure and not after a successful read.
func TestSimultaneousFailuresAskNextRoundOnce(t *testing.T) {
	boxes, feeds := reliefFleet(61)
	now := start.Add(500 * time.Millisecond)
	var failing []string
	for _, b := range boxes {
		if feeds[b].ShouldRead(now, boxes) {
			failing = append(failing, b)
		}
	}
	for _, b := range failing {
		if p := feeds[b].ReadUnanswered(now, boxes); len(p.Next) > 0 {
			t.Fatalf("%s asked %v before it heard from the other readers", b, p.Next)
		}
	}
	asked := 0
	hear := func(b string) {
		for _, other := range failing {
			if other != b {
				feeds[b].HandleUnanswered(now, other, 0)
				p := feeds[b].PeerUnanswered(now, boxes)
				if len(p.Readers) > 0 {
					t.Errorf("%s notifies %v again", b, p.Readers)
				}
				asked += len(p.Next)
			}
		}
	}
	hear(failing[0])
	hear(failing[0])
	if asked != readers {
		t.Errorf("one reader asked %d boxes, want %d, once", asked, readers)
	}
	feeds[failing[1]].ApplyRead(now, 1, "x", 0)
	hear(failing[1])
	if asked != readers {
		t.Error("a reader with a successful read asked others")
	}
}
