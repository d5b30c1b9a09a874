package paths

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against connections that are borrowed beyond what boxes can spare, and against ones that are not given back.
func TestConnectionsAreLentOutOfTheLendersPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"d/a", "d/b", "d/c", "d/d"}
		w := newWorld(t, names...)
		spare := map[string]int{"d/b": 0, "d/c": 1, "d/d": 1}
		for _, name := range names[1:] {
			w.boxes[name].Reserve = func(Target) (func(), bool) {
				if spare[name] == 0 {
					return nil, false
				}
				spare[name]--
				return func() { spare[name]++ }, true
			}
		}
		to := Target{Pool: "p", Server: "s", Address: "s"}
		r := w.boxes["d/a"]
		first, err := r.Borrow(t.Context(), to)
		second, err2 := r.Borrow(t.Context(), to)
		if err != nil || err2 != nil || spare["d/c"]+spare["d/d"] != 0 {
			t.Fatalf("%v, %v, left %v", err, err2, spare)
		}
		if !r.Reusable(to, first) {
			t.Error("a borrowed connection is not used again")
		}
		if c, err := r.Borrow(t.Context(), to); err == nil {
			t.Errorf("borrowed %v where nobody can spare any", c)
		}
		_, _ = first.Close(), second.Close()
		time.Sleep(time.Second)
		if spare["d/c"]+spare["d/d"] != 2 {
			t.Errorf("not given back: %v", spare)
		}
		w.old["d/c"], w.old["d/d"] = true, true
		began := time.Now()
		if _, err := r.Borrow(t.Context(), to); err == nil || time.Since(began) > borrowTimeout {
			t.Errorf("%v after %s among boxes of an earlier release", err, time.Since(began))
		}
	})
}
