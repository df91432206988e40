package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/worker"
)

// The incarnations of the worker of newRestartHarness, before and after its clock was set back and it restarted.
const (
	firstIncarnation worker.Incarnation = 1000
	lowerIncarnation worker.Incarnation = 200
)

// newRestartHarness returns a harness with one worker in firstIncarnation that has replied, and a start of a
// task of job a on it that was acknowledged.
func newRestartHarness(t *testing.T) (*harness, Order) {
	h := newHarness(t, 0)
	h.announce("w0", firstIncarnation)
	h.reply(h.ordersOfKind(RenewOrder)[0], Reply{Done: true})
	h.pool.Submit(h.now, patientRequest(time.Second))
	start := h.ordersOfKind(StartOrder)[0]
	h.reply(start, Reply{Done: true})
	h.takePending()
	h.advance(10 * time.Millisecond)
	return h, start
}

// replyAs passes a reply of another incarnation than that which the order was meant for.
func (h *harness) replyAs(i worker.Incarnation, o Order, r Reply) {
	r.Order, r.ReceivedAt, r.RepliedBy, r.Clock, r.HasClock = o, h.now, i, worker.Clock(time.Second), true
	h.pool.Receive(h.now, r)
}

// query returns an order that asks w0 for its runs.
func (h *harness) query() Order {
	w := h.pool.workers["w0"]
	w.renewPending = false
	w.runsKnown = false
	h.pool.poll(h.now, w)
	orders := h.ordersOfKind(RenewOrder)
	return orders[len(orders)-1]
}

// TestReplyOfLowerIncarnationShowsRestart: the clock of a worker is set back, and it restarts with a lower
// start time than before. Its replies counted for the incarnation that had ended (review/5).
func TestReplyOfLowerIncarnationShowsRestart(t *testing.T) {
	h, _ := newRestartHarness(t)
	h.replyAs(lowerIncarnation, h.query(), Reply{Done: true})
	w := h.pool.workers["w0"]
	if w.Incarnation != lowerIncarnation || h.pool.Counts.Requeued != 1 {
		t.Fatalf("incarnation %d, %d tasks requeued; want %d and 1", w.Incarnation, h.pool.Counts.Requeued, lowerIncarnation)
	}
	// The announcement of the one that has ended arrives late, then its own, with other properties.
	h.announce("w0", firstIncarnation)
	if w.Incarnation != lowerIncarnation || w.announced {
		t.Errorf("incarnation %d, announced: %v, after a late announcement of the one before", w.Incarnation, w.announced)
	}
	h.announce("w0", lowerIncarnation)
	if !w.announced {
		t.Error("its own announcement is not recorded")
	}
}

// TestAnnouncementOfLowerIncarnationIsProvedByReply: an announcement of a lower incarnation is either a
// late one of an earlier incarnation or the first of a worker whose clock was set back. Runs are given up
// only once a reply shows the latter.
func TestAnnouncementOfLowerIncarnationIsProvedByReply(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		h, start := newRestartHarness(t)
		h.pool.workers["w0"].renewPending = false
		rec := h.pool.workers["w0"].Record
		rec.Incarnation, rec.Leaving, rec.AnnouncedAt = lowerIncarnation, true, h.now
		h.pool.UpdateWorker(h.now, rec)
		w := h.pool.workers["w0"]
		if w.Incarnation != firstIncarnation || len(w.tasks) != 1 {
			t.Fatalf("the announcement alone ended incarnation %d with %d tasks", w.Incarnation, len(w.tasks))
		}
		queries := h.ordersOfKind(RenewOrder)
		if len(queries) != 1 {
			t.Fatalf("%d queries after the announcement, want 1", len(queries))
		}
		h.now = h.now.Add(2 * time.Millisecond)
		if restarted {
			h.replyAs(lowerIncarnation, queries[0], Reply{Done: true})
			if w.Incarnation != lowerIncarnation || len(w.tasks) != 0 || !w.Leaving {
				t.Errorf("after its reply: incarnation %d, %d tasks, leaving: %v", w.Incarnation, len(w.tasks), w.Leaving)
			}
			continue
		}
		h.reply(queries[0], Reply{Done: true, Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
		if w.Incarnation != firstIncarnation || len(w.tasks) != 1 || w.Leaving {
			t.Errorf("after a reply of the known incarnation: incarnation %d, %d tasks, leaving: %v", w.Incarnation, len(w.tasks), w.Leaving)
		}
	}
}

// TestCrossedRepliesOfTwoIncarnations: two orders are on their way while a worker restarts, and the reply
// of the ended incarnation arrives after that of the present one. It does not count.
func TestCrossedRepliesOfTwoIncarnations(t *testing.T) {
	h, _ := newRestartHarness(t)
	first := h.query()
	h.now = h.now.Add(time.Millisecond)
	second := h.query()
	h.now = h.now.Add(time.Millisecond)
	h.replyAs(lowerIncarnation, second, Reply{Done: true})
	h.now = h.now.Add(time.Millisecond)
	h.replyAs(firstIncarnation, first, Reply{Done: true})
	if w := h.pool.workers["w0"]; w.Incarnation != lowerIncarnation {
		t.Errorf("incarnation %d, want %d", w.Incarnation, lowerIncarnation)
	}
}
