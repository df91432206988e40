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
	if starts := h.ordersOfKind(StartOrder); len(starts) != 0 {
		t.Errorf("%d tasks start on an incarnation that has not announced itself", len(starts))
	}
	// The announcement of the one that has ended arrives late, then its own, with other properties.
	h.announce("w0", firstIncarnation)
	if w.Incarnation != lowerIncarnation || w.announced {
		t.Errorf("incarnation %d, announced: %v, after a late announcement of the one before", w.Incarnation, w.announced)
	}
	h.announce("w0", lowerIncarnation)
	if starts := h.ordersOfKind(StartOrder); len(starts) != 1 || starts[0].Incarnation != lowerIncarnation {
		t.Errorf("starts %+v once it has announced itself, want that of the task", starts)
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

// TestRestartedWorkerGetsNoTaskBeforeItAnnouncesItself: a worker restarts as another kind, in another rack or of
// another service, and replies before its announcement arrives. Tasks that require the label or the service
// of the incarnation before were started on it (review/4).
func TestRestartedWorkerGetsNoTaskBeforeItAnnouncesItself(t *testing.T) {
	announce := func(h *harness, i worker.Incarnation, kind worker.Kind, rack worker.Rack, service worker.Service) {
		h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now, Announcement: worker.Announcement{
			Worker: "w0", Incarnation: i, Sequence: 1, Service: service, Address: "w0", Kind: kind, Rack: rack,
			Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: worker.Clock(time.Second),
		}})
	}
	for _, c := range []struct {
		label   string
		kind    worker.Kind
		rack    worker.Rack
		service worker.Service
		starts  int // once it has announced itself
	}{
		{"a", "b", "r1", "s", 0},
		{"r1", "a", "r2", "s", 0},
		{"", "a", "r1", "other", 0},
		{"a", "a", "r1", "s", 1},
	} {
		h := newHarness(t, 0)
		announce(h, firstIncarnation, "a", "r1", "s")
		h.reply(h.ordersOfKind(RenewOrder)[0], Reply{Done: true})
		h.now = h.now.Add(time.Second)
		h.replyAs(firstIncarnation+1, h.query(), Reply{Done: true})
		r := patientRequest(time.Second)
		r.Job.Steps[0].Label = c.label
		h.pool.Submit(h.now, r)
		h.advance(10 * time.Millisecond)
		if starts := h.ordersOfKind(StartOrder); len(starts) > 0 {
			t.Errorf("%+v: %d tasks start before the worker has announced what it is", c, len(starts))
		}
		announce(h, firstIncarnation+1, c.kind, c.rack, c.service)
		h.advance(10 * time.Millisecond)
		if starts := h.ordersOfKind(StartOrder); len(starts) != c.starts {
			t.Errorf("%+v: %d tasks start once it has, want %d", c, len(starts), c.starts)
		}
	}
}
