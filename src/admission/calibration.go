package admission

import (
	"math"
	"sync"
	"time"
)

// Class identifies requests whose forecasts err alike: a pipeline, a class of pieces and a class of load.
type Class struct {
	Pipeline uint64 // hash of its name
	Kind     uint8  // pieceClass*loadClasses + loadClass
}

// Numbers of classes of one pipeline.
const (
	pieceClasses = 5 // 0, 1, 2, 3 to 4 and more pieces
	loadClasses  = 4 // waits over full calls: none, under one, under three, more
	kinds        = pieceClasses * loadClasses
)

// ClassOf returns the class of a request by its pieces in the stage with the most, and the load.
func ClassOf(pipeline uint64, pieces int, load float64) Class {
	p := min(pieces, 3)
	if pieces > 4 {
		p = 4
	}
	l := 0
	switch {
	case load >= 3:
		l = 3
	case load >= 1:
		l = 2
	case load > 0:
		l = 1
	}
	return Class{Pipeline: pipeline, Kind: uint8(p*loadClasses + l)}
}

// sums are decayed sums of the ratio of observed over expected.
type sums struct {
	n, ratio, square float64
	at               time.Time // to which they are decayed
}

// decayed returns the sums at a later time.
func (s sums) decayed(now time.Time) sums {
	if age := now.Sub(s.at); age > 0 {
		f := math.Exp(-float64(age) / float64(decay))
		s.n, s.ratio, s.square, s.at = s.n*f, s.ratio*f, s.square*f, now
	}
	return s
}

func (s *sums) add(o sums) { s.n, s.ratio, s.square = s.n+o.n, s.ratio+o.ratio, s.square+o.square }

// limited scales sums down to the weight of one box.
func (s sums) limited() sums {
	if s.n > maxWeight {
		f := maxWeight / s.n
		s.n, s.ratio, s.square = s.n*f, s.ratio*f, s.square*f
	}
	return s
}

// Ratio is what was learned of a class: observed over expected times.
type Ratio struct {
	Mean   float64
	Spread float64 // standard deviation
	Known  float64 // decayed number of observations; below minKnown the others are not used
	// Age is the time since the last observation of the class, by this box or another; 0 if there is none.
	Age time.Duration
}

// Calibration compares forecasts with what was observed, by this box and by others. It is safe for concurrent use.
type Calibration struct {
	Self uint64 // hash of this box and its incarnation; set before use

	mu    sync.Mutex
	own   map[Class]*ownSums
	heard map[Class]map[uint64]*heardSums // by class and box
	// heardCount is the number of entries in heard.
	heardCount int
	sent       uint32 // sequence number of the last note
}

// ownSums are the observations of this box.
type ownSums struct {
	sums
	observed time.Time // the last observation
	noted    time.Time // when they were last put in a note
}

// Observe adds the time that a request took to its first output, over its forecast. A request that ended without
// output took at least that time (censored): it counts only if it raises the mean, since a shorter time says nothing.
func (c *Calibration) Observe(now time.Time, k Class, expected, took time.Duration, censored bool) {
	if expected <= 0 || took < 0 || k.Kind >= kinds {
		return
	}
	r := min(maxRatio, max(minRatio, float64(took)/float64(expected)))
	if censored && r <= c.Ratio(now, k).Mean {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.own[k]
	if s == nil {
		if c.own == nil {
			c.own = map[Class]*ownSums{}
		}
		if len(c.own) >= maxPipelines*kinds && !c.dropOldest(now) {
			return
		}
		s = &ownSums{}
		c.own[k] = s
	}
	s.sums = s.decayed(now)
	s.n, s.ratio, s.square, s.at, s.observed = s.n+1, s.ratio+r, s.square+r*r, now, now
}

// dropOldest drops the classes that count for nothing any more and reports whether there was one.
func (c *Calibration) dropOldest(now time.Time) bool {
	before := len(c.own)
	for k, s := range c.own {
		if s.decayed(now).n < negligible {
			delete(c.own, k)
		}
	}
	return len(c.own) < before
}

// Ratio returns what is known of a class. Its mean is drawn by priorWeight to that of the same pipeline and load with
// any number of pieces, that to the mean of the pipeline under other loads, and that to 1: few observations change
// little, and at the start of a burst, when a load is new, the pipeline's mean is used. Requests without pieces wait
// for nothing and are apart.
func (c *Calibration) Ratio(now time.Time, k Class) Ratio {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, observed := c.sumsOf(now, k)
	var wide, pipeline sums
	for p := 1; p < pieceClasses && k.Kind >= loadClasses; p++ {
		for l := range uint8(loadClasses) {
			s, at := c.sumsOf(now, Class{Pipeline: k.Pipeline, Kind: uint8(p*loadClasses) + l})
			observed = later(observed, at)
			if l == k.Kind%loadClasses {
				wide.add(s)
			} else if l > 0 { // the forecast of a request that waits for nothing says nothing of waits
				pipeline.add(s)
			}
		}
	}
	out := Ratio{Known: own.n + wideShare*(wide.n-own.n+pipeline.n)}
	mean, square := pipeline.drawn(1, 1+priorSpread*priorSpread)
	mean, square = wide.drawn(mean, square)
	mean, square = own.drawn(mean, square)
	out.Mean = min(maxRatio, max(minRatio, mean))
	out.Spread = max(minSpread, math.Sqrt(max(0, square-mean*mean)))
	if !observed.IsZero() {
		out.Age = max(0, now.Sub(observed))
	}
	return out
}

// sumsOf returns the observations of a class by all boxes and the time of the last one.
func (c *Calibration) sumsOf(now time.Time, k Class) (all sums, last time.Time) {
	if s := c.own[k]; s != nil {
		all, last = s.decayed(now).limited(), s.observed
	}
	for _, s := range c.heard[k] {
		all.add(s.decayed(now))
		last = later(last, s.received)
	}
	return all, last
}

// drawn returns the means of the ratio and of its square, drawn to given ones.
func (s sums) drawn(mean, square float64) (float64, float64) {
	n := s.n + priorWeight
	return (s.ratio + priorWeight*mean) / n, (s.square + priorWeight*square) / n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Forecasted is the forecast made at the admission of a request, to be compared with its first output.
type Forecasted struct {
	At        time.Time
	Class     Class
	Expected  time.Duration // the forecast with the trend of arrivals, without what was learned
	Corrected time.Duration // the forecast with what was learned
	Decision  Decision
	Learned   bool // learned admission is in force for the pipeline
}
