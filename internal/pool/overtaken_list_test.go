package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/worker"
)

// renewalsAroundRestart returns a harness in which w0 has restarted, with the renewals that were sent to it before and after that.
func renewalsAroundRestart(t *testing.T) (h *harness, before, after Order) {
	h = newHarness(t, 2)
	h.advance(5 * time.Millisecond)
	w := h.pool.workers["w0"]
	w.runsKnown = false
	h.pool.poll(h.now, w)
	before = h.ordersOfKind(RenewOrder)[0]
	h.advance(5 * time.Millisecond)
	h.announce("w0", 2)
	after = h.ordersOfKind(RenewOrder)[0]
	if before.Worker != "w0" || after.Worker != "w0" || !before.Sent.Before(after.Sent) {
		t.Fatalf("renewals are %+v and %+v, want one before the restart and one after it", before, after)
	}
	return h, before, after
}

// TestOvertakenListTakesNoRunBack: a renewal was sent to a worker before it restarted, another after that, and the next process
// carries out both. The reply to the first arrives last, on another connection. A run that the second had listed was
// taken for gone, and its task was started beside it.
func TestOvertakenListTakesNoRunBack(t *testing.T) {
	h, overtaken, newest := renewalsAroundRestart(t)
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

// TestOvertakenListUndoesNoDoneTask: a worker restarts with a start in doubt, and its next process carries out that start and two
// renewals, the later one first. The reply to that one arrives last and lists a run whose end is known: the task was
// running again, without any second reply (issue 53).
func TestOvertakenListUndoesNoDoneTask(t *testing.T) {
	h := newHarness(t, 2)
	r := request("a", 2, time.Second)
	r.Job.Steps[0].Need.MilliCores = 12000 // one on each worker
	r.RemainingWait = 10 * time.Second
	h.pool.Submit(h.now, r)
	h.advance(5 * time.Millisecond)
	var start, sentFirst, sentLast Order
	orders, _ := h.takePending()
	for _, o := range orders {
		switch {
		case o.Kind == StartOrder && o.Worker == "w0":
			start = o
		case o.Kind == StartOrder:
			h.reply(o, Reply{Done: true})
		case o.Worker == "w0":
			sentFirst = o
		}
	}
	h.advance(5 * time.Millisecond)
	h.announce("w0", 2)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Worker == "w0" {
			sentLast = o
		}
	}
	if start.Worker == "" || sentFirst.Worker == "" || sentLast.Worker == "" {
		t.Fatalf("orders are %+v, %+v and %+v, want a start and two renewals", start, sentFirst, sentLast)
	}
	reply := func(o Order, clock time.Duration, r Reply) {
		r.Order, r.ReceivedAt, r.RepliedBy, r.Done, r.HasClock, r.Clock = o, h.now, 2, true, true, worker.Clock(time.Hour+clock)
		h.pool.Receive(h.now, r)
	}
	h.advance(10 * time.Millisecond)
	reply(sentFirst, 8*time.Millisecond, Reply{EndedRuns: []End{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndedDone}}})
	reply(sentLast, 5*time.Millisecond, Reply{Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
	if done := h.pool.jobs["a"].tasks[start.Task.Index]; done.phase != finished {
		t.Errorf("the task that is done is %s", done.phase)
	}
}
