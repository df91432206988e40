package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
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

// TestOrphanBesideAdoptedRunIsNotExtended: the worker of an orphan has a run that was adopted, too. The
// leases of both were extended for the sake of that, as long as the stops of the orphan got no reply.
func TestOrphanBesideAdoptedRunIsNotExtended(t *testing.T) {
	h := newHarness(t, 1)
	h.pool = New(h.now, Config{Fence: 2, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	h.announce("w0", 1)
	r := request("adopted", 1, time.Second)
	r.RemainingWait, r.MayBeRunning = 30*time.Second, true
	h.pool.Submit(h.now, r)
	takenOverAt, orphan := h.now, RunningTask{Task: job.Task{Job: "offloaded"}, Run: 1}
	for range 200 {
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Deadline != 0 {
				t.Fatalf("the lease of an orphan is extended %s after the takeover", h.now.Sub(takenOverAt))
			}
			switch o.Kind {
			case StopOrder:
				h.reply(o, Reply{})
			case RenewOrder:
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: job.Task{Job: "adopted"}, Run: 1, Percent: int(h.now.Sub(takenOverAt).Milliseconds() / 25)}, orphan}})
			}
		}
		h.advance(10 * time.Millisecond)
	}
	if h.pool.workers["w0"].tasks[job.Task{Job: "adopted"}] == nil {
		t.Error("the run of the forwarded job was not adopted")
	}
}

// TestAdoptedRunNeedsItsOwnStop: a run is adopted after an earlier one of the same task was
// stopped. The acknowledgement of that stop counted for the adopted run, so that its task
// started elsewhere beside it.
func TestAdoptedRunNeedsItsOwnStop(t *testing.T) {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	h.announce("w0", 1)
	h.announce("w1", 1)
	r := request("a", 1, time.Second)
	r.RemainingWait, r.Stretch = 30*time.Second, 10
	var late Order // the first query of w1, which replies last
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Worker == "w0" {
			h.reply(o, Reply{Done: true})
		} else {
			late = o
		}
	}
	admission := h.pool.Submit(h.now, r)
	var start Order
	for waitedSince := h.now; start.Kind != StartOrder; { // after recoveryDelay, as w1 has not listed its runs
		if h.now.Sub(waitedSince) > 2*recoveryDelay {
			t.Fatal("the task is not started")
		}
		h.advance(5 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			switch {
			case o.Kind == StartOrder:
				start = o
			case o.Worker == "w0":
				h.reply(o, Reply{Done: true})
			}
		}
	}
	h.reply(start, Reply{Done: true})
	task := h.pool.jobs["a"].tasks[0]
	for stopped := false; task.phase != waiting; h.advance(5 * time.Millisecond) { // it stalls on w0
		orders, _ := h.takePending()
		for _, o := range orders {
			reply := Reply{Done: true, Running: []RunningTask{{Task: start.Task, Run: start.Run, Percent: 3}}}
			if stopped = stopped || o.Kind == StopOrder; stopped {
				reply = Reply{Done: true, EndedRuns: []End{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndedOther}}}
			}
			if o.Worker == "w0" {
				h.reply(o, reply)
			}
		}
	}
	h.reply(late, Reply{Done: true, Running: []RunningTask{{Task: start.Task, Run: 1, Percent: 3}}})
	if task.worker == nil || task.worker.Worker != "w1" {
		t.Fatalf("task %+v, want it to be adopted on w1", task)
	}
	h.pool.Withdraw(h.now, admission)
	h.advance(5 * time.Millisecond)
	h.takePending()
	h.announce("w2", 1)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Worker == "w2" {
			h.reply(o, Reply{Done: true})
		}
	}
	h.pool.Submit(h.now, r)
	for range 100 {
		h.advance(5 * time.Millisecond)
		for _, o := range h.ordersOfKind(StartOrder) {
			t.Fatalf("run %d starts on %s although the stop on w1 is not acknowledged", o.Run, o.Worker)
		}
	}
}

// TestAdoptedRunIsNotStalled: a late start is adopted seconds after the takeover, and counted
// as stalled since then.
func TestAdoptedRunIsNotStalled(t *testing.T) {
	h := newHarness(t, 1)
	h.advance(3 * time.Second)
	h.announce("w0", 2)
	task := job.Task{Job: "a"}
	h.pool.lateStarts.Merge(h.now, []latestart.Record{{Task: task, Run: 1, Worker: "w0", Expires: h.now.Add(9 * time.Second)}})
	r := request("a", 1, time.Second)
	r.RemainingWait, r.Stretch = 30*time.Second, 10
	h.pool.Submit(h.now, r)
	h.advance(2 * time.Millisecond)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Incarnation == 2 {
			h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: task, Run: 1}}})
		}
	}
	if stalls := h.pool.workers["w0"].stalls; stalls > 0 || h.pool.jobs["a"].tasks[0].phase != running {
		t.Errorf("phase %d, %d stalls; want the adopted run to go on", h.pool.jobs["a"].tasks[0].phase, stalls)
	}
}

// TestForwardedJobDoesNotWaitForEndedWorker: a worker that crashed is known under its old name, at an
// address where another one refuses its orders. Forwarded jobs waited 1.5 s for its list, also if the contact of their
// gates with earlier dispatchers ended long before.
func TestForwardedJobDoesNotWaitForEndedWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.announce("ended", 1)
	for _, o := range h.ordersOfKind(RenewOrder) {
		h.reply(o, Reply{Refusal: RefusedIncarnation})
	}
	r := patientRequest(time.Second)
	r.MayBeRunning, r.EarlierContactAge = true, maxRunSilence
	h.pool.Submit(h.now, r)
	h.advance(10 * time.Millisecond)
	if starts := h.ordersOfKind(StartOrder); len(starts) != 1 {
		t.Errorf("%d starts once all other workers have listed their runs, want 1", len(starts))
	}
}
