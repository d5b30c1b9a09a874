package seen

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a name that is taken twice, and against names that are kept for ever.
func TestNamesAreNewOnceInAWhile(t *testing.T) {
	s := Set{Keep: 10 * time.Second}
	now := time.Unix(1000, 0)
	if !s.AddNew(now, []string{"a", "b"}) || s.AddNew(now, []string{"c", "b"}) || !s.AddNew(now, []string{"c"}) {
		t.Error("names are not told from new ones")
	}
	if now = now.Add(19 * time.Second / 2); s.AddNew(now, []string{"a"}) {
		t.Error("a name is forgotten before its time")
	}
	for i := range 100 {
		now = now.Add(time.Second)
		s.AddNew(now, []string{fmt.Sprint(i)})
	}
	if n := len(s.young) + len(s.old); n > 20 {
		t.Errorf("%d names are kept", n)
	}
	if !s.AddNew(now, []string{"a"}) {
		t.Error("a name is kept after its time")
	}
}
