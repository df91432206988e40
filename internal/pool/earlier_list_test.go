package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/worker"
)

// TestEarlierListTakesNoRunBack: of two renewals that the next process of a worker carries out, the one sent first is carried out
// last, and its reply arrives first. The run that it lists was taken for gone by the earlier list, and its task was started beside it.
func TestEarlierListTakesNoRunBack(t *testing.T) {
	h, sentFirst, sentLast := renewalsAroundRestart(t)
	reply := func(o Order, clock time.Duration, running ...RunningTask) {
		h.pool.Receive(h.now, Reply{Order: o, ReceivedAt: h.now, RepliedBy: 2, Done: true, HasClock: true, Clock: worker.Clock(time.Hour + clock), Running: running})
	}
	h.advance(10 * time.Millisecond)
	reply(sentFirst, 8*time.Millisecond, inheritedRun)
	h.pool.Submit(h.now, patientRequest(time.Second)) // adopts the run
	reply(sentLast, 5*time.Millisecond)
	for range 5 {
		if starts := h.ordersOfKind(StartOrder); len(starts) > 0 {
			t.Fatalf("started beside its run: %+v", starts[0])
		}
		h.list("w0", Reply{Running: []RunningTask{inheritedRun}})
	}
}
