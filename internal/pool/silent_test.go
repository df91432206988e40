package pool

import (
	"testing"
	"time"
)

// TestWorkerThatNeverRepliesIsQueriedForever guards against a query every 150 ms for as long
// as the dispatcher leads, to an address that was announced once and never replied.
func TestWorkerThatNeverRepliesIsQueriedForever(t *testing.T) {
	for _, refusal := range []Refusal{"", RefusedUnsent} {
		h := newHarness(t, 0)
		h.announce("silent", 1)
		queries := func(d time.Duration) (n int) {
			for end := h.now.Add(d); h.now.Before(end); h.advance(10 * time.Millisecond) {
				for _, o := range h.ordersOfKind(RenewOrder) {
					n++
					h.reply(o, Reply{Refusal: refusal})
				}
			}
			return n
		}
		if n := queries(10 * time.Second); n < 50 {
			t.Errorf("refusal %q: %d queries in the first 10 s, want 50 or more: it may have been cut off", refusal, n)
		}
		queries(probeLimit - 10*time.Second + probeInterval)
		if n := queries(probeLimit); n != 0 {
			t.Errorf("refusal %q: %d queries more than %s after the announcement, want none", refusal, n, probeLimit)
		}
		h.announceCapacity("silent", 2, 16000)
		if n := len(h.ordersOfKind(RenewOrder)); n != 1 {
			t.Errorf("refusal %q: %d queries after a new announcement, want one", refusal, n)
		}
	}
}

// TestWorkersAreQueriedAtTakeover: a dispatcher that takes over while no announcements
// arrive queries the workers that it knows, however old their announcements are.
func TestWorkersAreQueriedAtTakeover(t *testing.T) {
	h := newHarness(t, 0)
	h.announce("w0", 1)
	h.ordersOfKind(RenewOrder) // of the time before the takeover
	rec := h.pool.workers["w0"].Record
	h.now = h.now.Add(2 * probeLimit)
	h.pool = New(h.now, h.pool.config)
	h.pool.UpdateWorker(h.now, rec)
	if n := len(h.ordersOfKind(RenewOrder)); n != 1 {
		t.Errorf("%d queries, want one", n)
	}
}
