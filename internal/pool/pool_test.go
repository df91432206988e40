package pool

import (
	"fmt"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// harness is a Pool with workers that a test answers for.
type harness struct {
	t        *testing.T
	pool     *Pool
	now      time.Time
	buffered []Order // taken and not asked for yet
}

// newHarness returns a Pool with workers of 16 cores that were looked at.
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
	h.pool.UpdateWorker(h.now, worker.Heard{At: h.now, Announcement: worker.Announcement{
		Worker: worker.ID(id), Incarnation: incarnation, Sequence: 1, Service: "s", Address: id, Room: worker.Room{MilliCores: 16000, MemoryMB: 1000}, Clock: worker.Clock(time.Hour),
	}})
}

// takePending returns all orders and answers that are due.
func (h *harness) takePending() ([]Order, []Answer) {
	orders, answers := h.pool.TakePending()
	orders = append(h.buffered, orders...)
	h.buffered = nil
	return orders, answers
}

// ordersOfKind returns the orders of one kind that are due, and keeps the others.
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
	if r.Done || r.Refusal != "" {
		r.Clock, r.HasClock, r.AnsweredBy = worker.Clock(time.Hour+h.now.Sub(time.Unix(1000, 0))), true, o.Incarnation
	}
	h.pool.Receive(h.now, r)
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.pool.Tick(h.now)
}

// request returns a request of tasks that take about d.
func request(id string, tasks int, d time.Duration) Request {
	return Request{
		Job: job.Job{ID: job.ID(id), Steps: []job.Step{{Count: tasks, Need: worker.Room{MilliCores: 6800, MemoryMB: 64}, Estimate: d}}},
		Row: "row", Service: "s", MaxAttempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond, RemainingWait: 2 * time.Second,
	}
}

// TestForwardedJobIsNotAnsweredNotRun: a job that another dispatcher may have
// started is not refused as not run by the next one (issue 10; hunt of
// mwanga-pin, trouble-1).
func TestForwardedJobIsNotAnsweredNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, 3*time.Second)) // takes all the room
	r := request("handed", 1, 200*time.Millisecond)
	r.MayBeRunning = true
	h.pool.Submit(h.now, r)
	for range 150 {
		h.advance(20 * time.Millisecond)
		_, answers := h.pool.TakePending()
		for _, a := range answers {
			if a.Job == "handed" && a.Outcome != job.Abandoned {
				t.Errorf("after %s the job is answered %+v", h.now.Sub(time.Unix(1000, 0)), a)
			}
		}
	}
	if h.pool.jobs["handed"] != nil {
		t.Error("the job was not answered within its caller's time")
	}
}

// TestRefusedAtOnceWhenFull: a job that cannot be of use any more is refused when
// it comes, with a hint, and not held (issue 11).
func TestRefusedAtOnceWhenFull(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, 3*time.Second))
	h.pool.Submit(h.now, request("short", 8, 60*time.Millisecond))
	_, answers := h.pool.TakePending()
	if len(answers) != 1 || answers[0].Job != "short" || answers[0].Outcome != job.NotRun || answers[0].RetryAfter < time.Second {
		t.Errorf("answers %+v", answers)
	}
}

// TestNotRefusedWithFreeWorkers: a job is not refused or handed away while a worker is
// free (issue 11).
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
		t.Errorf("%d starts, answers %+v", starts, answers)
	}
}

// TestOffloadedJobIsNotQueued: a job of another group is not queued.
func TestOffloadedJobIsNotQueued(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, time.Second))
	r := request("guest", 1, 60*time.Millisecond)
	r.Offloaded = true
	h.pool.Submit(h.now, r)
	_, answers := h.pool.TakePending()
	if len(answers) != 1 || !answers[0].TryElsewhere || answers[0].Outcome != job.NotRun {
		t.Errorf("answers %+v", answers)
	}
}

// TestUnresponsiveWorkerIsReusedOnceItAnswers: several orders that are unanswered at
// one moment do not keep tasks from a worker that answers again (issue 10).
func TestUnresponsiveWorkerIsReusedOnceItAnswers(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("a", 2, 500*time.Millisecond))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{}) // no answer
	}
	h.advance(200 * time.Millisecond)
	orders, _ := h.takePending()
	for _, o := range orders {
		h.reply(o, Reply{Done: true})
	}
	h.advance(100 * time.Millisecond) // the stops have taken effect
	if starts := h.ordersOfKind(StartOrder); len(starts) != 2 {
		t.Errorf("%d tasks start again 300 ms after the silence, want 2", len(starts))
	}
}

// TestProbesDoNotExtendLeases: what runs on a worker that does not answer
// must lapse before it starts elsewhere, so no probe extends it (issue 10).
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
				t.Fatalf("%s after it went silent it is granted time", h.now.Sub(first.Sent))
			}
			if o.Kind == StartOrder && o.Worker != first.Worker {
				if age := h.now.Sub(first.Sent); age < leaseDuration {
					t.Errorf("it starts elsewhere after %s, within the lease", age)
				}
				return
			}
			if o.Worker == first.Worker && o.Kind == RenewOrder {
				h.reply(o, Reply{})
			}
		}
	}
	t.Error("it never starts elsewhere")
}

// TestStalledRunIsRestartedElsewhere guards against a hanging worker: a run that its worker lists at the same percentage is
// stopped and started elsewhere, and the worker gets no other for a while
// (issue 11: a tenth of the workers hang).
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
				t.Fatal("it starts on the same worker again")
			case o.Kind == StartOrder:
				if !stopped {
					t.Error("it starts elsewhere before the stop")
				}
				return
			case o.Kind == StopOrder:
				stopped = true
				h.reply(o, Reply{Done: true})
			case !stopped:
				h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 7}}})
			default:
				h.reply(o, Reply{Done: true, Ended: []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndedOther}}})
			}
		}
	}
	t.Error("it never starts elsewhere")
}

// TestFailedTaskIsRetriedOnAnotherWorker: a worker that fails all it starts costs a job
// one of its attempts, not all (issue 11).
func TestFailedTaskIsRetriedOnAnotherWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, request("a", 1, 100*time.Millisecond))
	first := h.ordersOfKind(StartOrder)[0]
	h.reply(first, Reply{Done: true})
	h.advance(20 * time.Millisecond)
	renewal := Order{Kind: RenewOrder, Worker: first.Worker, Incarnation: 1, Sent: h.now}
	h.reply(renewal, Reply{Done: true, Ended: []End{{Number: 1, Task: first.Task, Run: 1, Kind: EndedFailed}}})
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 1 || starts[0].Worker == first.Worker {
		t.Errorf("after a failure on %s: %+v", first.Worker, starts)
	}
}

// TestNearestObjectiveStartsFirst: of jobs that wait, the one with the nearest
// objective starts first, whatever came before it.
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
		Done: true, Ended: []End{{Number: 1, Task: starts[0].Task, Run: 1, Kind: EndedDone}},
		Running: []RunningTask{{Task: starts[1].Task, Run: 1, Percent: 50}},
	})
	next := h.ordersOfKind(StartOrder)
	if len(next) != 1 || next[0].Task.Job != "urgent" {
		t.Errorf("started %+v", next)
	}
}

// TestWorkersWithoutHeartbeatsAreProbed: while all control VMs are dark nobody
// passes on heartbeats; workers that answer get tasks all the same, and those
// that do not get none (issue 10; deploy/days/rolling-restart-in-the-dark).
func TestWorkersWithoutHeartbeatsAreProbed(t *testing.T) {
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
		t.Errorf("%d tasks started, want the two that fit on the worker that answers", len(starts))
	}
	for _, o := range starts {
		if o.Worker != "w0" {
			t.Errorf("a task started on %s, which does not answer", o.Worker)
		}
	}
}

// TestLateRenewalReachesNewIncarnation: a hold without an answer that a worker carries out
// after it started again under its name asks for a lease on the clock of before. If
// the worker goes silent then, what runs there is waited for (issue 10; schedule,
// seed 726 of 4,000).
func TestLateRenewalReachesNewIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("first", 1, time.Second))
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
	}
	if len(h.ordersOfKind(RenewOrder)) == 0 {
		t.Fatal("no hold is on its way")
	}
	h.announce("w0", 2)
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
		if j == nil || !j.tasks[0].placed() {
			break
		}
	}
	if waited := h.now.Sub(unresponsiveSince); waited < 10*time.Second {
		t.Errorf("the task counts as gone %s after the worker fell silent", waited)
	}
}

// TestForwardedJobWaitsForUnknownWorkers: a dispatcher whose process started a
// moment ago may not know the worker on which a job that was handed over runs, since
// the control VM that it announced itself to started again too (issue 10; hunt-b8ec-3
// of bunkerline).
func TestForwardedJobWaitsForUnknownWorkers(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.config.WorkersIncomplete = true
	r := request("handed", 1, 200*time.Millisecond)
	r.MayBeRunning = true
	h.pool.Submit(h.now, r)
	if list := h.ordersOfKind(StartOrder); len(list) > 0 {
		t.Errorf("started at once: %+v", list)
	}
	h.advance(recoveryDelay + 20*time.Millisecond)
	if list := h.ordersOfKind(StartOrder); len(list) != 1 {
		t.Errorf("not started after %s: %+v", recoveryDelay, list)
	}
}

// TestStoppingJobIsNotAnsweredNotRun: a job was withdrawn and its start, which
// had no answer, may still be carried out. When its caller sends it again, it
// is not refused as not run (issue 17).
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
	h.advance(2 * time.Second) // its caller's time
	_, answers := h.takePending()
	for _, a := range answers {
		if a.Job == "again" && a.Outcome == job.NotRun {
			t.Errorf("answered %+v while a start of it has no answer", a)
		}
	}
}

// TestKnownJobThatMayBeRunningWaitsForWorkers: a second gate says of a job in hand that it may
// run elsewhere. It does not start before every worker was looked at, as if that gate had
// come first (issue 17).
func TestKnownJobThatMayBeRunningWaitsForWorkers(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, time.Second)) // takes all the room of w0
	var full []Order
	for _, o := range h.ordersOfKind(StartOrder) {
		h.reply(o, Reply{Done: true})
		full = append(full, o)
	}
	h.announce("w1", 1) // not looked at yet: it may run the job for the dispatcher of before
	r := request("twice", 1, 900*time.Millisecond)
	h.pool.Submit(h.now, r) // the caller's next try, at another gate
	r.MayBeRunning = true
	h.pool.Submit(h.now, r) // the gate that handed it to the dispatcher of before
	h.now = h.now.Add(300 * time.Millisecond)
	for _, o := range h.ordersOfKind(RenewOrder) {
		if o.Worker == "w0" {
			h.reply(o, Reply{Done: true, Ended: []End{{Number: 1, Task: full[0].Task, Run: 1, Kind: EndedDone}}, Running: []RunningTask{{Task: full[1].Task, Run: 1}}})
		}
	}
	h.advance(20 * time.Millisecond)
	for _, o := range h.ordersOfKind(StartOrder) {
		if o.Task.Job == "twice" {
			t.Errorf("after %s it is started on %s, while w1 was not looked at", h.now.Sub(time.Unix(1000, 0)), o.Worker)
		}
	}
}

// TestFencedPoolOrdersNothing: a dispatcher learns that it was replaced while orders
// wait to be sent. It sends none of them: a start would be of a job that it gives up
// (issue 17).
func TestFencedPoolOrdersNothing(t *testing.T) {
	h := newHarness(t, 2)
	h.pool.Submit(h.now, request("known", 1, time.Second))
	starts := h.ordersOfKind(StartOrder)
	h.takePending()
	h.pool.Submit(h.now, request("new", 1, time.Second))
	h.reply(starts[0], Reply{Refusal: RefusedFence})
	if orders, _ := h.takePending(); len(orders) > 0 {
		t.Errorf("it orders %+v", orders)
	}
}

// TestKnownJobThatMayBeRunningIsNotAnsweredNotRun: a gate says of a job in hand that it may run
// elsewhere (issue 17).
func TestKnownJobThatMayBeRunningIsNotAnsweredNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.Submit(h.now, request("full", 2, 500*time.Millisecond)) // takes all the room
	r := request("known", 1, 200*time.Millisecond)
	first := h.pool.Submit(h.now, r)
	r.MayBeRunning = true
	if second := h.pool.Submit(h.now, r); second != first {
		t.Errorf("it joined %+v, and was in hand as %+v", second, first)
	}
	h.advance(2 * time.Second) // its caller's time
	_, answers := h.takePending()
	for _, a := range answers {
		if a.Job == "known" && a.Outcome != job.Abandoned {
			t.Errorf("answered %+v", a)
		}
	}
}
