package pool

import (
	"testing"
	"time"
)

// TestRunNumbersRiseAfterAdoptedRun: a task whose second run has failed adopts the first, which was carried out
// late. Once that has lapsed, its next start reused the number of the second run, whose late
// replies and ends would count for it.
func TestRunNumbersRiseAfterAdoptedRun(t *testing.T) {
	h := newHarness(t, 2)
	r := request("a", 1, time.Second)
	r.RemainingWait, r.MaxAttempts = 10*time.Second, 5
	h.pool.Submit(h.now, r)
	nextStart := func() Order {
		for range 200 {
			for _, o := range h.ordersOfKind(StartOrder) {
				return o
			}
			h.answerRenewals(func(Order) Reply { return Reply{} })
		}
		t.Fatal("the task is not started")
		return Order{}
	}
	highest := nextStart()
	for range 2 {
		h.reply(highest, Reply{Refusal: RefusedUnhealthy})
		highest = nextStart()
	}
	for _, w := range h.pool.workers {
		w.backoffUntil = h.now.Add(200 * time.Millisecond)
	}
	h.reply(highest, Reply{Refusal: RefusedUnhealthy})
	task := highest.Task
	for _, reply := range []Reply{
		{Running: []RunningTask{{Task: task, Run: 1}}},
		{EndedRuns: []End{{Number: 1, Task: task, Run: 1, Kind: EndedLapsed}}},
	} {
		h.pool.workers["w1"].runsKnown = false // query it again
		h.answerRenewals(func(o Order) Reply {
			if o.Worker == "w1" {
				return reply
			}
			return Reply{}
		})
	}
	if next := nextStart(); next.Run <= highest.Run {
		t.Errorf("run %d is started after run %d", next.Run, highest.Run)
	}
}
