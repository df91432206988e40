package pool

import (
	"testing"
	"time"
)

// TestOvertakenListTakesNoRunBack: a renewal was sent to a worker before it restarted, another after that, and the next process
// carries out both. The reply to the first arrives last, on another connection. A run that the second had listed was
// taken for gone, and its task was started beside it.
func TestOvertakenListTakesNoRunBack(t *testing.T) {
	h := newHarness(t, 2)
	h.advance(5 * time.Millisecond)
	w := h.pool.workers["w0"]
	w.runsKnown = false
	h.pool.poll(h.now, w)
	overtaken := h.ordersOfKind(RenewOrder)[0]
	h.advance(5 * time.Millisecond)
	h.announce("w0", 2)
	newest := h.ordersOfKind(RenewOrder)[0]
	if overtaken.Worker != "w0" || newest.Worker != "w0" || !overtaken.Sent.Before(newest.Sent) {
		t.Fatalf("renewals are %+v and %+v, want one before the restart and one after it", overtaken, newest)
	}
	h.advance(5 * time.Millisecond)
	h.replyBy(newest, 2, Reply{Done: true, Running: []RunningTask{inheritedRun}})
	h.pool.Submit(h.now, patientRequest(time.Second)) // adopts the run
	h.replyBy(overtaken, 2, Reply{Done: true})
	for range 5 {
		if starts := h.ordersOfKind(StartOrder); len(starts) > 0 {
			t.Fatalf("started beside its run: %+v", starts[0])
		}
		h.list("w0", Reply{Running: []RunningTask{inheritedRun}})
	}
	if got := h.pool.workers["w0"].tasks[inheritedRun.Task]; got == nil || got.phase != running {
		t.Errorf("the task on w0 is %+v, want it running", got)
	}
}

// TestOvertakenRenewalIsNoReplyToTheNext: with a reply to the renewal from before a restart a third one was sent beside
// the second.
func TestOvertakenRenewalIsNoReplyToTheNext(t *testing.T) {
	h := newHarness(t, 1)
	w := h.pool.workers["w0"]
	w.runsKnown = false
	h.pool.poll(h.now, w)
	first := h.ordersOfKind(RenewOrder)[0]
	h.advance(5 * time.Millisecond)
	h.announce("w0", 2)
	h.ordersOfKind(RenewOrder) // stays without a reply
	h.advance(5 * time.Millisecond)
	h.replyBy(first, 2, Reply{Done: true, Running: []RunningTask{inheritedRun}})
	h.advance(5 * time.Millisecond)
	if renewals := h.ordersOfKind(RenewOrder); len(renewals) > 0 {
		t.Errorf("%d renewals beside the outstanding one", len(renewals))
	}
}
