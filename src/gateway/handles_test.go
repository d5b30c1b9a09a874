package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stilemast/stilemast/src/batch"
)

// Guards against a call of pieces for which the handles in another call's answer are new.
func TestHandlesOfCallsAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		var calls atomic.Int32
		f.callPieces = func(_ context.Context, _ string, c PieceCall) PieceReply {
			calls.Add(1)
			results := resultsOf(c.Server, c.Items)
			var handles []string
			for _, r := range results {
				handles = append(handles, r.Handle)
			}
			if !c.NewHandles(handles) || c.NewHandles(handles[:1]) {
				t.Errorf("%q are not new once", handles)
			}
			return PieceReply{Outcome: batch.CallDone, Results: results}
		}
		settle()
		if a := f.ask("box0", "/draft/x", "r", nil); a.status != http.StatusOK || calls.Load() == 0 {
			t.Errorf("%+v after %d calls", a, calls.Load())
		}
	})
}
