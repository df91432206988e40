package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/worker"
)

// replyBy replies to an order in the place of an incarnation of its worker.
func (h *harness) replyBy(o Order, i worker.Incarnation, r Reply) {
	r.Order, r.ReceivedAt = o, h.now
	r.Clock, r.HasClock, r.RepliedBy = worker.Clock(time.Hour+h.now.Sub(time.Unix(1000, 0))), true, i
	h.pool.Receive(h.now, r)
}

// patientRequest returns a request for a job of one task whose caller waits long.
func patientRequest(estimate time.Duration) Request {
	r := request("a", 1, estimate)
	r.RemainingWait, r.Stretch = 30*time.Second, 10
	return r
}

// TestReplyToOwnStartKeepsThatOfPredecessor: the previous dispatcher ordered the same run on the same
// worker, which is learned after the own order. The reply to that dropped the record of the other,
// and the task started elsewhere.
func TestReplyToOwnStartKeepsThatOfPredecessor(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, patientRequest(10*time.Second))
	start := h.ordersOfKind(StartOrder)[0]
	h.pool.lateStarts.Merge(h.now, []latestart.Record{{Task: start.Task, Run: start.Run, Worker: start.Worker, Expires: h.now.Add(12900 * time.Millisecond)}})
	h.advance(5 * time.Millisecond)
	h.reply(start, Reply{Done: true})
	for range 500 { // the worker is lost
		h.advance(10 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			switch {
			case o.Worker == start.Worker:
				h.reply(o, Reply{})
			case o.Kind == StartOrder:
				t.Fatalf("the task starts on %s after %s, want 12.9 s", o.Worker, h.now.Sub(start.Sent))
			default:
				h.reply(o, Reply{Done: true})
			}
		}
	}
}

// TestStartOfWithdrawnJobInNewIncarnationIsStopped: an incarnation acknowledges the stop of a withdrawn
// job, and the next one its start. The run went on until its end.
func TestStartOfWithdrawnJobInNewIncarnationIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	admission := h.pool.Submit(h.now, patientRequest(time.Second))
	start := h.ordersOfKind(StartOrder)[0]
	h.pool.Withdraw(h.now, admission)
	h.replyBy(h.ordersOfKind(StopOrder)[0], 1, Reply{Done: true})
	h.advance(20 * time.Millisecond)
	h.replyBy(start, 2, Reply{Done: true})
	h.advance(20 * time.Millisecond)
	for _, o := range h.ordersOfKind(StopOrder) {
		if o.Incarnation == 2 {
			return
		}
	}
	t.Error("the second incarnation gets no stop")
}

// TestResubmittedJobWithLateStartIsNotRefused: a job that was abandoned here is submitted again. It was
// answered as not run, or sent to another group, while its first start could still be carried out.
func TestResubmittedJobWithLateStartIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		worker     worker.ID // of the late start
		canOffload bool
	}{"on a busy worker": {"w0", true}, "on a lost worker": {"gone", false}, "on a lost worker, other groups have room": {"gone", true}} {
		h := newHarness(t, 1)
		h.pool.Submit(h.now, request("full", 2, 3*time.Second))
		h.takePending()
		h.pool.lateStarts.Merge(h.now, []latestart.Record{{Task: job.Task{Job: "a"}, Run: 1, Worker: c.worker, Expires: h.now.Add(12 * time.Second)}})
		r := request("a", 1, 100*time.Millisecond)
		r.CanOffload, r.Age = c.canOffload, 20*time.Millisecond
		h.pool.Submit(h.now, r)
		for range 300 {
			orders, answers := h.takePending()
			for _, o := range orders {
				h.reply(o, Reply{Done: true})
			}
			for _, a := range answers {
				if a.Job == "a" && a.Outcome != job.Abandoned {
					t.Errorf("%s: answer %+v, want abandoned", name, a)
				}
			}
			h.advance(10 * time.Millisecond)
		}
	}
}

// TestJobWaitsForTheShorterOfTwoBindings: a job was abandoned although the start on one of two workers
// expires well before its caller's deadline.
func TestJobWaitsForTheShorterOfTwoBindings(t *testing.T) {
	h := newHarness(t, 2)
	task := job.Task{Job: "a"}
	h.pool.lateStarts.Merge(h.now, []latestart.Record{
		{Task: task, Run: 1, Worker: "w0", Expires: h.now.Add(300 * time.Millisecond)}, {Task: task, Run: 2, Worker: "w1", Expires: h.now.Add(12 * time.Second)},
	})
	r := patientRequest(time.Second)
	r.RemainingWait = 4 * time.Second
	h.pool.Submit(h.now, r)
	for range 150 {
		h.advance(10 * time.Millisecond)
		orders, answers := h.takePending()
		for _, a := range answers {
			t.Fatalf("answer %+v", a)
		}
		for _, o := range orders {
			if o.Kind == StartOrder {
				if o.Worker != "w1" || o.Run != 3 {
					t.Errorf("run %d starts on %s, want run 3 on w1", o.Run, o.Worker)
				}
				return
			}
			h.reply(o, Reply{Done: true})
		}
	}
	t.Error("the task does not start")
}

// TestStopOfLateStartIsRepeatedBeforeANewRun: a worker acknowledged the stop of a late start and has
// been idle since then. It may have restarted, and would start the run beside the new one.
func TestStopOfLateStartIsRepeatedBeforeANewRun(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.lateStarts.Merge(h.now, []latestart.Record{{Task: job.Task{Job: "a"}, Run: 1, Worker: "w0", Expires: h.now.Add(12 * time.Second)}})
	h.advance(5 * time.Millisecond)
	for _, o := range h.ordersOfKind(StopOrder) {
		h.reply(o, Reply{Done: true})
	}
	h.advance(time.Second)
	h.takePending()
	h.pool.Submit(h.now, patientRequest(time.Second))
	if starts := h.ordersOfKind(StartOrder); len(starts) > 0 {
		t.Fatalf("%d starts on a worker that has not replied for 1 s, want a stop first", len(starts))
	}
	h.advance(10 * time.Millisecond)
	stops := h.ordersOfKind(StopOrder)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.reply(stops[0], Reply{Done: true})
	if starts := h.ordersOfKind(StartOrder); len(starts) != 1 || starts[0].Run != 2 {
		t.Errorf("starts %+v after the stop, want run 2", starts)
	}
}

// TestLateStartLimitCoversItsLease: the latest moment at which a run can go on that a start without a reply led to.
func TestLateStartLimitCoversItsLease(t *testing.T) {
	const orderDelay, lease = 12 * time.Second, time.Second // as the platform states them
	sent := time.Unix(1000, 0)
	clockDrift := worker.ClockDrift
	latest := sent.Add(OrderTimeout + orderDelay + time.Duration(float64(lease)/(1-clockDrift)))
	if e := (Reply{Order: Order{Sent: sent}}).LateStart().Expires; e.Before(latest) {
		t.Errorf("it expires %s after its decision, want at least %s", e.Sub(sent), latest.Sub(sent))
	}
}
