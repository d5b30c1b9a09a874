package admission

import (
	"slices"
	"time"
)

// ClassStatus is what is known of the forecasts of one class.
type ClassStatus struct {
	Pipeline uint64  `msgpack:"p" json:"pipeline"` // hash of its name
	Kind     uint8   `msgpack:"k" json:"kind"`     // four times the class of pieces, plus the class of load
	Ratio    float64 `msgpack:"r" json:"ratio"`    // observed over expected
	Spread   float64 `msgpack:"s" json:"spread"`
	Known    float64 `msgpack:"n" json:"known"` // decayed observations
	Boxes    int     `msgpack:"b" json:"boxes"` // other boxes that reported some
}

// Status lists the classes of which something is known, by pipeline and class.
func (c *Calibration) Status(now time.Time) []ClassStatus {
	c.mu.Lock()
	classes := map[Class]int{}
	for k := range c.own {
		classes[k] = 0
	}
	for k, boxes := range c.heard {
		classes[k] = len(boxes)
	}
	c.mu.Unlock()
	var out []ClassStatus
	for k, boxes := range classes {
		if r := c.Ratio(now, k); r.Known >= minKnown {
			out = append(out, ClassStatus{Pipeline: k.Pipeline, Kind: k.Kind, Ratio: r.Mean, Spread: r.Spread, Known: r.Known, Boxes: boxes})
		}
	}
	slices.SortFunc(out, func(a, b ClassStatus) int {
		return Class{a.Pipeline, a.Kind}.compare(Class{b.Pipeline, b.Kind})
	})
	return out
}
