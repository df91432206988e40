package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// halfDone returns a harness with a job of two tasks: the first has ended on w0, the second runs on w1.
func halfDone(t *testing.T) (h *harness, first, second Order) {
	h = newHarness(t, 2)
	r := request("a", 2, time.Second)
	r.Job.Steps[0].Need.MilliCores = 12000 // one on each worker
	r.RemainingWait = 10 * time.Second
	h.pool.Submit(h.now, r)
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	first, second = starts[0], starts[1]
	h.reply(first, Reply{Done: true})
	h.reply(second, Reply{Done: true})
	h.answerRenewals(func(o Order) Reply {
		if o.Worker == first.Worker {
			return Reply{EndedRuns: []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndedDone}}}
		}
		return Reply{Running: []RunningTask{{Task: second.Task, Run: second.Run, Percent: 1}}}
	})
	return h, first, second
}

// answerRenewals replies to all pending renewals.
func (h *harness) answerRenewals(reply func(Order) Reply) {
	h.advance(10 * time.Millisecond)
	for _, o := range h.ordersOfKind(RenewOrder) {
		r := reply(o)
		r.Done = true
		h.reply(o, r)
	}
}

// TestDoneTaskIsNotCountedAgain: a worker lists a run of a task that is done. Its end counted for the other
// task of the job, which was answered as completed while that one ran (issue 53).
func TestDoneTaskIsNotCountedAgain(t *testing.T) {
	h, first, second := halfDone(t)
	found := RunningTask{Task: first.Task, Run: first.Run}
	h.answerRenewals(func(o Order) Reply { // a start of an earlier dispatcher, carried out late
		if o.Worker == second.Worker {
			return Reply{Running: []RunningTask{{Task: second.Task, Run: second.Run, Percent: 2}, found}}
		}
		return Reply{}
	})
	h.answerRenewals(func(o Order) Reply {
		if o.Worker == second.Worker {
			return Reply{Running: []RunningTask{{Task: second.Task, Run: second.Run, Percent: 3}}, EndedRuns: []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndedDone}}}
		}
		return Reply{}
	})
	orders, answers := h.takePending()
	if h.buffered = orders; len(answers) > 0 {
		t.Fatalf("answered while a task runs: %+v", answers)
	}
	h.answerRenewals(func(o Order) Reply {
		if o.Worker == second.Worker {
			return Reply{EndedRuns: []End{{Number: 2, Task: second.Task, Run: second.Run, Kind: EndedDone}}}
		}
		return Reply{}
	})
	if _, answers := h.takePending(); len(answers) != 1 || answers[0].Outcome != job.Completed {
		t.Errorf("answers are %+v after both tasks are done, want one that is completed", answers)
	}
}

// TestDoneTaskIsNotStartedAgain: a list of runs from before the end of a run arrives after it. The task ran
// again (issue 53).
func TestDoneTaskIsNotStartedAgain(t *testing.T) {
	h, first, second := halfDone(t)
	running := []RunningTask{{Task: second.Task, Run: second.Run, Percent: 2}}
	outdated := []RunningTask{{Task: first.Task, Run: first.Run, Percent: 90}}
	h.pool.poll(h.now, h.pool.workers[first.Worker])
	for range 4 {
		h.answerRenewals(func(o Order) Reply {
			if o.Worker == second.Worker {
				return Reply{Running: running}
			}
			list := outdated
			outdated = nil
			return Reply{Running: list}
		})
		h.pool.workers[first.Worker].runsKnown = false // query it again
		for _, o := range h.ordersOfKind(StartOrder) {
			t.Fatalf("a task that is done is started again: %+v", o)
		}
	}
}

// TestRunOfDoneTaskIsStopped: the run of a task that is done held its worker's room until the leases there had
// lapsed, and those of the other runs with it.
func TestRunOfDoneTaskIsStopped(t *testing.T) {
	h, first, second := halfDone(t)
	h.answerRenewals(func(o Order) Reply {
		if o.Worker == second.Worker {
			return Reply{Running: []RunningTask{{Task: second.Task, Run: second.Run, Percent: 2}, {Task: first.Task, Run: first.Run}}}
		}
		return Reply{}
	})
	if stops := h.ordersOfKind(StopOrder); len(stops) != 1 || stops[0].Worker != second.Worker || stops[0].Task != first.Task {
		t.Errorf("stops are %+v, want one of %v on %s", stops, first.Task, second.Worker)
	}
}
