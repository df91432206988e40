package pool

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
)

// TestOffloadedJobIsNotStartedByItsOwnGroup: a job runs in another group, and its gate has not noticed that its
// caller's connection broke. The caller submits it again through another gate, to its own group, which
// started it beside its run in the other one (issue 47).
func TestOffloadedJobIsNotStartedByItsOwnGroup(t *testing.T) {
	h := newHarness(t, 1)
	ahead := h.pool.Submit(h.now, request("ahead", 2, 900*time.Millisecond)) // takes all the room
	to := Destination{FailureDomain: "a", Group: 3, VM: "ip-0a000003"}
	r := request("a", 1, 900*time.Millisecond)
	r.CanOffload, r.OffloadTo = true, to
	h.pool.Submit(h.now, r)
	if _, answers := h.takePending(); len(answers) != 1 || !answers[0].TryElsewhere || answers[0].OffloadTo != to || !answers[0].Offered {
		t.Fatalf("answers %+v, want one to try elsewhere", answers)
	}
	h.pool.Withdraw(h.now, ahead)
	h.advance(5 * time.Millisecond)
	for _, o := range h.ordersOfKind(StopOrder) {
		h.reply(o, Reply{Done: true})
	}
	h.advance(100 * time.Millisecond)
	h.takePending()
	again := request("a", 1, 900*time.Millisecond)
	again.RemainingWait = 4 * time.Second
	h.pool.Submit(h.now, again)
	orders, answers := h.takePending()
	if len(answers) != 1 || answers[0].Outcome != job.NotRun || !answers[0].TryElsewhere || answers[0].OffloadTo != to || answers[0].Offered {
		t.Errorf("answers to the second try: %+v, want one that names the group that may run it", answers)
	}
	for _, o := range orders {
		if o.Kind == StartOrder {
			t.Errorf("task %v is started on %s beside its run in the other group", o.Task, o.Worker)
		}
	}
	h.advance(again.RemainingWait - time.Second)
	h.pool.Submit(h.now, again) // the second try prolonged it
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Errorf("starts before the caller's time is over: %+v", list)
	}
	refused := again
	refused.OffloadRefused = true
	h.pool.Submit(h.now, refused)
	h.advance(5 * time.Millisecond)
	if list := h.ordersOfKind(StartOrder); len(list) != 1 {
		t.Errorf("starts once the other group has refused the job: %+v, want 1", list)
	}
}

// TestOffloadIsForgottenAfterItsDeadline: the memory of offloads is bounded by what callers wait for.
func TestOffloadIsForgottenAfterItsDeadline(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("ahead", 2, 900*time.Millisecond))
	r := request("a", 1, 900*time.Millisecond)
	r.CanOffload, r.OffloadTo = true, Destination{FailureDomain: "a", Group: 3, VM: "ip-0a000003"}
	h.pool.Submit(h.now, r)
	h.advance(r.RemainingWait + time.Millisecond)
	if len(h.pool.offloads) > 0 {
		t.Errorf("%d offloads are kept after the deadline of the job", len(h.pool.offloads))
	}
}
