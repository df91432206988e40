package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
)

// wantUnproven fails the test unless the only loss is that of one task, and unproven.
func (h *harness) wantUnproven() {
	h.t.Helper()
	records := h.pool.crashes.Records()
	if len(records) != 1 || records[0].Evidence != crash.Unproven {
		h.t.Errorf("losses %+v, want one, %s", records, crash.Unproven)
	}
}

// TestStopWithoutReplyProvesNoCrash: a stop gets no reply, and its worker restarts. The run
// may have been stopped before.
func TestStopWithoutReplyProvesNoCrash(t *testing.T) {
	h := newHarness(t, 1)
	a := h.pool.Submit(h.now, request("stopped", 1, 60*time.Millisecond))
	h.reply(h.ordersOfKind(StartOrder)[0], Reply{Done: true})
	h.pool.Withdraw(h.now, a)
	if stops := h.ordersOfKind(StopOrder); len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.advance(10 * time.Millisecond)
	h.announce("w0", 2)
	h.wantUnproven()
}

// TestStoppedOrphanProvesNoCrash: a run of an unknown job is stopped, and its worker
// restarts before it replies.
func TestStoppedOrphanProvesNoCrash(t *testing.T) {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	h.announce("w0", 1)
	h.advance(orphanGrace + time.Millisecond)
	h.reply(h.ordersOfKind(RenewOrder)[0], Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "earlier"}, Run: 1}}})
	if stops := h.ordersOfKind(StopOrder); len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.advance(10 * time.Millisecond)
	h.announce("w0", 2)
	h.wantUnproven()
}
