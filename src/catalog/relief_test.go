package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reliefFleet is feeds that hold the same content as of a start.
func reliefFleet(n int) (boxes []string, feeds map[string]*Feed) {
	feeds = map[string]*Feed{}
	for i := range n {
		boxes = append(boxes, fmt.Sprint("box", i))
	}
	for _, b := range boxes {
		f := NewFeed(b)
		f.Read(start, 1, "x", 0)
		feeds[b] = f
	}
	return boxes, feeds
}

// fail has the boxes' reads bring nothing, one after the other, and gives whom they asked to read.
func fail(now time.Time, boxes, failing []string, feeds map[string]*Feed) (asked []string) {
	for _, b := range failing {
		p := feeds[b].Unanswered(now, boxes)
		for _, other := range p.Beside {
			feeds[other].HearUnanswered(now, b, 0)
		}
		for _, next := range p.Next {
			feeds[next].HearUnanswered(now, b, p.Round)
			asked = append(asked, next)
		}
	}
	slices.Sort(asked)
	return slices.Compact(asked)
}

// Readers that get no answer ask the next boxes only when all of them get none; each round asks twice as many, three times.
func TestReadersThatGetNoAnswerAskTheNext(t *testing.T) {
	for _, n := range []int{6, 61, 985} {
		boxes, feeds := reliefFleet(n)
		now := start.Add(500 * time.Millisecond)
		var failing []string
		for _, b := range boxes {
			if feeds[b].Reads(now, boxes) {
				failing = append(failing, b)
			}
		}
		if asked := fail(now, boxes, failing[:readers-1], feeds); len(asked) > 0 {
			t.Errorf("%d boxes: %v were asked while a reader may have answers", n, asked)
		}
		for round, want := range []int{3, 6, 12, 0} {
			want = min(want, max(0, n-readers*(1<<round)))
			asked := fail(now, boxes, failing, feeds)
			if len(asked) != want {
				t.Errorf("%d boxes, round %d: %d were asked to read, want %d", n, round+1, len(asked), want)
			}
			for _, b := range asked {
				if !feeds[b].Reads(now, boxes) {
					t.Errorf("%s was asked and does not read", b)
				}
			}
			failing = asked
		}
	}
}

// A box reads for others for as long as they ask, and a word of another release's that names no known round asks nothing.
func TestReliefEnds(t *testing.T) {
	boxes, feeds := reliefFleet(61)
	f := feeds[boxes[0]]
	if f.Ahead(boxes) < readers {
		f = feeds[boxes[1]]
	}
	last := f.confirmed
	for _, strange := range []int{mostRounds + 1, 255} {
		f.HearUnanswered(last, "reader", strange)
	}
	if f.Reads(last, boxes) {
		t.Error("a box reads in a round that there is not")
	}
	f.HearUnanswered(last, "reader", 1)
	if !f.Reads(last.Add(reliefFor-time.Millisecond), boxes) {
		t.Error("a box that was asked does not read")
	}
	end := last.Add(reliefFor)
	f.confirm(end, 0)
	if f.Reads(end, boxes) {
		t.Error("a box reads for others that ask no more")
	}
}

// Readers whose reads end without an answer at one moment hear of one another only afterwards. The last to hear of all the others
// asks the next boxes then, and nobody does so twice for one failure, or after a read that brought something.
func TestReadersWhoseReadsFailTogetherAskTheNext(t *testing.T) {
	boxes, feeds := reliefFleet(61)
	now := start.Add(500 * time.Millisecond)
	var failing []string
	for _, b := range boxes {
		if feeds[b].Reads(now, boxes) {
			failing = append(failing, b)
		}
	}
	for _, b := range failing {
		if p := feeds[b].Unanswered(now, boxes); len(p.Next) > 0 {
			t.Fatalf("%s asked %v before it had heard of the others", b, p.Next)
		}
	}
	asked := 0
	hear := func(b string) {
		for _, other := range failing {
			if other != b {
				feeds[b].HearUnanswered(now, other, 0)
				p := feeds[b].UnansweredToo(now, boxes)
				if len(p.Beside) > 0 {
					t.Errorf("%s tells %v once more", b, p.Beside)
				}
				asked += len(p.Next)
			}
		}
	}
	hear(failing[0])
	hear(failing[0])
	if asked != readers {
		t.Errorf("%d boxes were asked by one reader, want %d once", asked, readers)
	}
	feeds[failing[1]].Read(now, 1, "x", 0)
	hear(failing[1])
	if asked != readers {
		t.Error("a reader that has answers asked others")
	}
}
