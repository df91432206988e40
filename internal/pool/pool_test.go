package pool

import (
	"fmt"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// harness drives a Pool in virtual time. The test replies to the orders in the
// workers' place.
type harness struct {
	t        *testing.T
	pool     *Pool
	now      time.Time
	buffered []Order // taken from the pool, not yet returned to the test
}

// newHarness returns a harness whose workers have 16 cores each and have replied to
// their first poll, with an empty list of runs.
func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.pool = New(h.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	for i := range workers {
		h.announce(fmt.Sprint("w", i), 1)
	}
	for _, o := range h.ordersOfKind(RenewOrder) {
		h.reply(o, Reply{Done: true})
	}
	return h
}

func (h *harness) announce(id string, incarnation worker.Incarnation) {
	h.pool.UpdateWorker(h.now, worker.Record{AnnouncedAt: h.now, Announcement: worker.Announcement{
		Worker: worker.ID(id), Incarnation: incarnation, Sequence: 1, Service: "s", Address: id, Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: worker.Clock(time.Hour),
	}})
}

// takePending returns all pending orders, those buffered by ordersOfKind first,
// and all pending answers.
func (h *harness) takePending() ([]Order, []Answer) {
	orders, answers := h.pool.TakePending()
	orders = append(h.buffered, orders...)
	h.buffered = nil
	return orders, answers
}

// ordersOfKind returns the pending orders of one kind. It buffers the others and
// discards the answers.
func (h *harness) ordersOfKind(kind OrderKind) (list []Order) {
	orders, _ := h.takePending()
	for _, o := range orders {
		if o.Kind == kind {
			list = append(list, o)
		} else {
			h.buffered = append(h.buffered, o)
		}
	}
	return list
}

func (h *harness) reply(o Order, r Reply) {
	r.Order, r.ReceivedAt = o, h.now
	if r.Done || r.Refusal != "" && r.Refusal != RefusedUnsent { // an order that was not sent has no reply
		r.Clock, r.HasClock, r.RepliedBy = worker.Clock(time.Hour+h.now.Sub(time.Unix(1000, 0))), true, o.Incarnation
	}
	h.pool.Receive(h.now, r)
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.pool.Tick(h.now)
}

// request returns a request for a job of parallel tasks, each with the estimate d.
// Two of the tasks fit on a worker of a harness.
func request(id string, tasks int, d time.Duration) Request {
	return Request{
		Job: job.Job{ID: job.ID(id), Steps: []job.Step{{Count: tasks, Need: worker.Resources{MilliCores: 6800, MemoryMB: 64}, Estimate: d}}},
		Row: "row", Service: "s", MaxAttempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond, RemainingWait: 2 * time.Second,
	}
}

// TestForwardedJobIsNotAnsweredNotRun guards against a dispatcher that answers "not
// run" for a job that was forwarded to another dispatcher before, which may have
// started it (issue 10; hunt of mwanga-pin, trouble-1).
func TestForwardedJobIsNotAnsweredNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, 3*time.Second)) // fills the worker
	r := request("forwarded", 1, 200*time.Millisecond)
	r.MayBeRunning = true
	h.pool.Submit(h.now, r)
	for range 150 {
		h.advance(20 * time.Millisecond)
		_, answers := h.pool.TakePending()
		for _, a := range answers {
			if a.Job == "forwarded" && a.Outcome != job.Abandoned {
				t.Errorf("after %s: answer %+v, want the outcome abandoned", h.now.Sub(time.Unix(1000, 0)), a)
			}
		}
	}
	if h.pool.jobs["forwarded"] != nil {
		t.Error("the job has no answer after its caller's deadline")
	}
}

// TestRefusedAtOnceWhenFull checks that a job that can't finish in useful time is
// refused on arrival, with a retry hint, and not queued (issue 11).
func TestRefusedAtOnceWhenFull(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, 3*time.Second))
	h.pool.Submit(h.now, request("short", 8, 60*time.Millisecond))
	_, answers := h.pool.TakePending()
	if len(answers) != 1 || answers[0].Job != "short" || answers[0].Outcome != job.NotRun || answers[0].RetryAfter < time.Second {
		t.Errorf("answers %+v, want one refusal of job short with RetryAfter of 1s or more", answers)
	}
}

// TestNotRefusedWithFreeWorkers checks that a job is neither refused nor offloaded
// while a worker is free, even if it will miss its objective (issue 11).
func TestNotRefusedWithFreeWorkers(t *testing.T) {
	h := newHarness(t, 2)
	r := request("late", 2, time.Second)
	r.Age, r.CanOffload = 900*time.Millisecond, true
	h.pool.Submit(h.now, r)
	orders, answers := h.takePending()
	starts := 0
	for _, o := range orders {
		if o.Kind == StartOrder {
			starts++
		}
	}
	if starts != 2 || len(answers) != 0 {
		t.Errorf("%d starts, want 2; answers %+v, want none", starts, answers)
	}
}

// TestOffloadedJobIsNotQueued checks that a job offloaded by another group goes
// back at once if it can't start.
func TestOffloadedJobIsNotQueued(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, time.Second))
	r := request("offloaded", 1, 60*time.Millisecond)
	r.Offloaded = true
	h.pool.Submit(h.now, r)
	_, answers := h.pool.TakePending()
	if len(answers) != 1 || !answers[0].TryElsewhere || answers[0].Outcome != job.NotRun {
		t.Errorf("answers %+v, want one refusal with TryElsewhere", answers)
	}
}

// TestUnresponsiveWorkerIsReusedOnceItReplies guards against a long backoff from a
// worker that replies again after several orders got no reply at one moment
// (issue 10).
func TestUnresponsiveWorkerIsReusedOnceItReplies(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("a", 2, 500*time.Millisecond))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{}) // no reply
	}
	h.advance(200 * time.Millisecond)
	orders, _ := h.takePending()
	for _, o := range orders {
		h.reply(o, Reply{Done: true})
	}
	h.advance(100 * time.Millisecond) // the acknowledged stops have taken effect
	if starts := h.ordersOfKind(StartOrder); len(starts) != 2 {
		t.Errorf("%d tasks start again 300 ms after the orders without a reply, want 2", len(starts))
	}
}

// TestProbesDoNotExtendLeases guards against probes that extend the leases of an
// unresponsive worker: its runs must lapse before they start elsewhere (issue 10).
func TestProbesDoNotExtendLeases(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, request("a", 1, time.Second))
	starts := h.ordersOfKind(StartOrder)
	first := starts[0]
	h.reply(first, Reply{Done: true})
	for range 100 {
		h.advance(20 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Worker == first.Worker && o.Deadline != 0 && h.now.Sub(first.Sent) > time.Second {
				t.Fatalf("the lease is extended %s after the worker became unresponsive", h.now.Sub(first.Sent))
			}
			if o.Kind == StartOrder && o.Worker != first.Worker {
				if age := h.now.Sub(first.Sent); age < leaseDuration {
					t.Errorf("the task starts elsewhere after %s, within the lease", age)
				}
				return
			}
			if o.Worker == first.Worker && o.Kind == RenewOrder {
				h.reply(o, Reply{})
			}
		}
	}
	t.Error("the task never starts elsewhere")
}

// TestStalledRunIsRestartedElsewhere guards against a hanging worker: a run that is
// listed at the same percentage for too long is stopped and started on another
// worker, and the first worker gets no other run for a while (issue 11: a tenth of
// the workers hang).
func TestStalledRunIsRestartedElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, request("a", 1, time.Second))
	first := h.ordersOfKind(StartOrder)[0]
	h.reply(first, Reply{Done: true})
	stopped := false
	for range 60 {
		h.advance(20 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			switch {
			case o.Kind == StartOrder && o.Worker == first.Worker:
				t.Fatal("the task starts on the same worker again")
			case o.Kind == StartOrder:
				if !stopped {
					t.Error("the task starts elsewhere before the stop")
				}
				return
			case o.Kind == StopOrder:
				stopped = true
				h.reply(o, Reply{Done: true})
			case !stopped:
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 7}}})
			default:
				h.reply(o, Reply{Done: true, EndedRuns: []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndedOther}}})
			}
		}
	}
	t.Error("the task never starts elsewhere")
}

// TestFailedTaskIsRetriedOnAnotherWorker guards against a worker that fails all its
// runs: it costs a job one of its attempts, not all (issue 11).
func TestFailedTaskIsRetriedOnAnotherWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, request("a", 1, 100*time.Millisecond))
	first := h.ordersOfKind(StartOrder)[0]
	h.reply(first, Reply{Done: true})
	h.advance(20 * time.Millisecond)
	renewal := Order{Kind: RenewOrder, Worker: first.Worker, Incarnation: 1, Sent: h.now}
	h.reply(renewal, Reply{Done: true, EndedRuns: []End{{Number: 1, Task: first.Task, Run: 1, Kind: EndedFailed}}})
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 1 || starts[0].Worker == first.Worker {
		t.Errorf("starts after a failure on %s: %+v, want one on another worker", first.Worker, starts)
	}
}

// TestNearestObjectiveStartsFirst checks that of the waiting jobs the one with the
// nearest objective deadline starts first, whatever the order of arrival.
func TestNearestObjectiveStartsFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("running", 2, 200*time.Millisecond))
	starts := h.ordersOfKind(StartOrder)
	for _, o := range starts {
		h.reply(o, Reply{Done: true})
	}
	h.pool.Submit(h.now, request("bulk", 4, 900*time.Millisecond))
	r := request("urgent", 1, 200*time.Millisecond)
	h.pool.Submit(h.now, r)
	h.advance(20 * time.Millisecond)
	h.reply(Order{Kind: RenewOrder, Worker: "w0", Incarnation: 1, Sent: h.now}, Reply{
		Done: true, EndedRuns: []End{{Number: 1, Task: starts[0].Task, Run: 1, Kind: EndedDone}},
		Running: []RunningTask{{Task: starts[1].Task, Run: 1, Percent: 50}},
	})
	next := h.ordersOfKind(StartOrder)
	if len(next) != 1 || next[0].Task.Job != "urgent" {
		t.Errorf("starts %+v, want one of job urgent", next)
	}
}

// TestWorkersWithoutAnnouncementsAreProbed: while all control VMs are down, no
// announcements are forwarded. Workers that reply to probes get tasks all the same, and
// those that don't get none (issue 10; deploy/days/rolling-restart-in-the-dark).
func TestWorkersWithoutAnnouncementsAreProbed(t *testing.T) {
	h := newHarness(t, 2)
	for range 400 { // 8 s
		h.advance(20 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Worker == "w0" {
				h.reply(o, Reply{Done: true})
			} else {
				h.reply(o, Reply{})
			}
		}
	}
	h.pool.Submit(h.now, request("a", 4, 100*time.Millisecond))
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 2 {
		t.Errorf("%d tasks started, want the two that fit on the worker that replies", len(starts))
	}
	for _, o := range starts {
		if o.Worker != "w0" {
			t.Errorf("a task started on %s, which does not reply", o.Worker)
		}
	}
}

// TestLateRenewalReachesNewIncarnation: a renewal without a reply is carried out by the
// next incarnation of its worker, and asks for a lease on the clock of the earlier
// one. If the worker is unresponsive from then on, the dispatcher must wait for that
// longer lease before its runs count as lapsed (issue 10; schedule, seed 726 of 4,000).
func TestLateRenewalReachesNewIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("first", 1, time.Second))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	if len(h.ordersOfKind(RenewOrder)) == 0 {
		t.Fatal("no renewal is pending")
	}
	h.announce("w0", 2)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Incarnation == 2 { // it lists its runs first
			h.reply(o, Reply{Done: true})
		}
	}
	second := request("second", 1, time.Second)
	second.RemainingWait = time.Minute
	h.pool.Submit(h.now, second)
	h.advance(400 * time.Millisecond)
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	unresponsiveSince := h.now
	for h.now.Sub(unresponsiveSince) < 20*time.Second {
		for _, o := range h.ordersOfKind(RenewOrder) {
			if o.Incarnation == 2 {
				h.reply(o, Reply{})
			}
		}
		h.advance(50 * time.Millisecond)
		j := h.pool.jobs["second"]
		if j == nil || !j.tasks[0].assigned() {
			break
		}
	}
	if waited := h.now.Sub(unresponsiveSince); waited < 10*time.Second {
		t.Errorf("the run counts as lapsed %s after the worker became unresponsive, want 10s or more", waited)
	}
}

// TestForwardedJobWaitsForUnknownWorkers: a dispatcher whose process has just started
// may not know the worker that runs a forwarded job, since the control VM that the
// worker announced itself to restarted too. The job waits until such a run is over
// (issue 10; hunt-b8ec-3 of the workload bunkerline).
func TestForwardedJobWaitsForUnknownWorkers(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.config.WorkersIncomplete = true
	r := request("forwarded", 1, 200*time.Millisecond)
	r.MayBeRunning = true
	h.pool.Submit(h.now, r)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Errorf("starts while the job may be running: %+v", list)
	}
	h.advance(maxRunSilence + 20*time.Millisecond)
	if list := h.ordersOfKind(StartOrder); len(list) != 1 {
		t.Errorf("starts %s after the forward: %+v, want 1", maxRunSilence, list)
	}
}

// TestStoppingJobIsNotAnsweredNotRun: a job was withdrawn while its start was
// without a reply, so the start may still be carried out. When the caller submits the job
// again, it must not be answered "not run" (issue 17).
func TestStoppingJobIsNotAnsweredNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 1, 3*time.Second))
	first := h.pool.Submit(h.now, request("again", 1, 200*time.Millisecond))
	for _, o := range h.ordersOfKind(StartOrder) {
		if o.Task.Job == "again" {
			h.reply(o, Reply{})
		}
	}
	h.pool.Withdraw(h.now, first)
	h.pool.Submit(h.now, request("again", 1, 200*time.Millisecond))
	h.advance(2 * time.Second) // up to the caller's deadline
	_, answers := h.takePending()
	for _, a := range answers {
		if a.Job == "again" && a.Outcome == job.NotRun {
			t.Errorf("answer %+v while a start of the job has no reply", a)
		}
	}
}

// TestKnownJobThatMayBeRunningWaitsForWorkers: a second gate forwards a job that the
// dispatcher has already and reports that it may be running elsewhere. The job must
// not start before every worker has listed its runs, as if that gate had come first
// (issue 17).
func TestKnownJobThatMayBeRunningWaitsForWorkers(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, time.Second)) // fills w0
	var full []Order
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
		full = append(full, o)
	}
	h.announce("w1", 1) // not polled yet: it may run the job for the previous dispatcher
	r := request("twice", 1, 900*time.Millisecond)
	h.pool.Submit(h.now, r) // the caller's retry, at another gate
	r.MayBeRunning = true
	h.pool.Submit(h.now, r) // the gate that forwarded it to the previous dispatcher
	h.now = h.now.Add(300 * time.Millisecond)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Worker == "w0" {
			h.reply(o, Reply{Done: true, EndedRuns: []End{{Number: 1, Task: full[0].Task, Run: 1, Kind: EndedDone}}, Running: []RunningTask{{Task: full[1].Task, Run: 1}}})
		}
	}
	h.advance(20 * time.Millisecond)
	for _, o := range h.ordersOfKind(StartOrder) {
		if o.Task.Job == "twice" {
			t.Errorf("after %s the job starts on %s, before w1 was polled", h.now.Sub(time.Unix(1000, 0)), o.Worker)
		}
	}
}

// TestFencedPoolOrdersNothing guards against orders of a dispatcher that learns that
// it was replaced while orders are pending: a start among them would be of a job that
// it gives up (issue 17).
func TestFencedPoolOrdersNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, request("known", 1, time.Second))
	starts := h.ordersOfKind(StartOrder)
	h.takePending()
	h.pool.Submit(h.now, request("new", 1, time.Second))
	h.reply(starts[0], Reply{Refusal: RefusedFence})
	if orders, _ := h.takePending(); len(orders) > 0 {
		t.Errorf("orders of a fenced pool: %+v", orders)
	}
}

// TestKnownJobThatMayBeRunningIsNotAnsweredNotRun: a gate reports that a job that the
// dispatcher has already may be running elsewhere. The job joins the admission that
// it has, and must not be answered "not run" (issue 17).
func TestKnownJobThatMayBeRunningIsNotAnsweredNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, 500*time.Millisecond)) // fills the worker
	r := request("known", 1, 200*time.Millisecond)
	first := h.pool.Submit(h.now, r)
	r.MayBeRunning = true
	if second := h.pool.Submit(h.now, r); second != first {
		t.Errorf("joined admission %+v, want %+v", second, first)
	}
	h.advance(2 * time.Second) // up to the caller's deadline
	_, answers := h.takePending()
	for _, a := range answers {
		if a.Job == "known" && a.Outcome != job.Abandoned {
			t.Errorf("answer %+v, want the outcome abandoned", a)
		}
	}
}
