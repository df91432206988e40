package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// TestStopWithoutAnswerIsBoundedByLease: the stops of a withdrawn job get no reply, while the
// worker replies to renewals. The leases there were extended for the sake of its other runs,
// and the run went on until its own end.
func TestStopWithoutAnswerIsBoundedByLease(t *testing.T) {
	h := newHarness(t, 1)
	admission := h.pool.Submit(h.now, request("withdrawn", 1, 5*time.Second))
	h.pool.Submit(h.now, request("other", 1, 5*time.Second))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	h.pool.Withdraw(h.now, admission)
	withdrawnAt, lapsesAt := h.now, h.now
	for h.now.Sub(withdrawnAt) < 3*time.Second {
		h.advance(10 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Deadline != 0 {
				lapsesAt = later(lapsesAt, h.pool.workers["w0"].timing.ReachedBy(h.now, o.Deadline))
			}
			switch o.Kind {
			case StopOrder:
				h.reply(o, Reply{})
			case RenewOrder:
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "withdrawn"}, Run: 1}, {Task: job.Task{Job: "other"}, Run: 1}}})
			}
		}
	}
	if after := lapsesAt.Sub(withdrawnAt); after > resubmitDelay {
		t.Errorf("the run may go on for %s after its job was withdrawn, want at most %s", after, resubmitDelay)
	}
}

// TestOrphanIsNotExtended: a dispatcher is lost, and its successor finds a run of a job that no
// gate forwards, since another failure domain had offloaded it. Its leases were extended for 0.9 s.
func TestOrphanIsNotExtended(t *testing.T) {
	const lossNoticedAfter = 700 * time.Millisecond // lead.LeaderTimeout
	h := newHarness(t, 1)
	h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	h.announce("w0", 1)
	takenOverAt := h.now
	for h.now.Sub(takenOverAt) < 3*time.Second {
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Deadline != 0 {
				t.Fatalf("the lease of an orphan is extended %s after the takeover", h.now.Sub(takenOverAt))
			}
			if o.Kind == StopOrder {
				if after := h.now.Sub(takenOverAt); after+lossNoticedAfter+h.pool.config.StopMax > resubmitDelay {
					t.Errorf("the orphan is stopped %s after the takeover, too late for a loss noticed after %s", after, lossNoticedAfter)
				}
				return
			}
			if o.Kind == RenewOrder {
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "offloaded"}, Run: 1}}})
			}
		}
		h.advance(10 * time.Millisecond)
	}
	t.Error("the orphan is never stopped")
}
