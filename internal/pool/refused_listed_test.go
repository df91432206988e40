package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// listedThenRefused returns a harness with a task that w0 or w1 has listed as running before its start was answered with a
// refusal.
func listedThenRefused(t *testing.T, refusal Refusal) (h *harness, start Order) {
	h = newHarness(t, 2)
	r := request("a", 1, time.Second)
	r.RemainingWait = 10 * time.Second
	h.pool.Submit(h.now, r)
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	start = starts[0]
	h.list(start.Worker, Reply{Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
	h.reply(start, Reply{Refusal: refusal})
	return h, start
}

// list answers the renewals of a worker with r, and those of the others with empty lists.
func (h *harness) list(id worker.ID, r Reply) {
	h.answerRenewals(func(o Order) Reply {
		if o.Worker == id {
			return r
		}
		return Reply{}
	})
}

// TestRefusalTakesNoListedRunBack: a worker lists a run, and then its start is answered with a refusal, as by the second
// reply to an earlier order. The task was started again beside that run.
func TestRefusalTakesNoListedRunBack(t *testing.T) {
	for _, refusal := range []Refusal{RefusedOld, RefusedRoom, RefusedLate, RefusedUnhealthy, RefusedInvalid} {
		h, start := listedThenRefused(t, refusal)
		for range 5 {
			h.list(start.Worker, Reply{Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
			h.advance(50 * time.Millisecond)
			for _, o := range h.ordersOfKind(StartOrder) {
				t.Errorf("refused with %s: started as run %d on %s beside run %d on %s", refusal, o.Run, o.Worker, start.Run, start.Worker)
			}
		}
		h.list(start.Worker, Reply{EndedRuns: []End{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndedDone}}})
		if _, answers := h.takePending(); len(answers) != 1 || answers[0].Outcome != job.Completed {
			t.Errorf("refused with %s: answers are %+v after the run's end, want completed", refusal, answers)
		}
	}
}

// TestRefusedRunThatIsGoneStartsAgain: a run was listed, its start refused, and it is in no further list.
func TestRefusedRunThatIsGoneStartsAgain(t *testing.T) {
	h, start := listedThenRefused(t, RefusedOld)
	for range 10 {
		h.list(start.Worker, Reply{})
		h.advance(50 * time.Millisecond)
		if again := h.ordersOfKind(StartOrder); len(again) > 0 {
			if again[0].Run <= start.Run {
				t.Errorf("run %d is started after run %d", again[0].Run, start.Run)
			}
			return
		}
	}
	t.Error("the task is not started again")
}
