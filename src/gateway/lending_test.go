package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stilemast/stilemast/src/retry"
)

// Guards against a box that ends since it is asked for a part of a retry before its first configuration.
func TestBoxWithoutConfigurationLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEmptyFleet(t)
		f.storeOK = false
		f.start("box0")
		time.Sleep(time.Second)
		if l := f.box("box0").lendRetry(retry.Request{From: "box1", Pool: "model", Part: 1}); l.Part != 0 {
			t.Errorf("%+v", l)
		}
	})
}
