package pool

import (
	"fmt"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// bench is a Pool with workers that a test answers for.
type bench struct {
	t    *testing.T
	pool *Pool
	now  time.Time
	rest []Order // taken and not asked for yet
}

// newBench returns a Pool with workers of 16 cores that were looked at.
func newBench(t *testing.T, workers int) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.pool = New(b.now, Config{Fence: 1, LeaseMax: time.Second, StopMax: 50 * time.Millisecond})
	for i := range workers {
		b.announce(fmt.Sprint("w", i), 1)
	}
	for _, o := range b.orders(RenewOrder) {
		b.reply(o, Reply{Done: true})
	}
	return b
}

func (b *bench) announce(id string, i worker.Incarnation) {
	b.pool.UpdateWorker(b.now, worker.Record{AnnouncedAt: b.now, Announcement: worker.Announcement{
		Worker: worker.ID(id), Incarnation: i, Sequence: 1, Service: "s", Address: id, Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: worker.Clock(time.Hour),
	}})
}

// take returns all orders and answers that are due.
func (b *bench) take() ([]Order, []Answer) {
	orders, answers := b.pool.TakePending()
	orders = append(b.rest, orders...)
	b.rest = nil
	return orders, answers
}

// orders returns the orders of one kind that are due, and keeps the others.
func (b *bench) orders(k OrderKind) (list []Order) {
	orders, _ := b.take()
	for _, o := range orders {
		if o.Kind == k {
			list = append(list, o)
		} else {
			b.rest = append(b.rest, o)
		}
	}
	return list
}

func (b *bench) reply(o Order, r Reply) {
	r.Order, r.ReceivedAt = o, b.now
	if r.Done || r.Refusal != "" {
		r.Clock, r.HasClock, r.AnsweredBy = worker.Clock(time.Hour+b.now.Sub(time.Unix(1000, 0))), true, o.Incarnation
	}
	b.pool.Receive(b.now, r)
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.pool.Tick(b.now)
}

// request returns a request of tasks that take about d.
func request(id string, tasks int, d time.Duration) Request {
	return Request{
		Job: job.Job{ID: job.ID(id), Steps: []job.Step{{Count: tasks, Need: worker.Resources{MilliCores: 6800, MemoryMB: 64}, Estimate: d}}},
		Row: "row", Service: "s", MaxAttempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond, RemainingWait: 2 * time.Second,
	}
}

// TestHandedOverJobIsNotCalledNotRun: a job that another dispatcher may have
// started is not refused as not run by the next one (issue 10; hunt of
// mwanga-pin, trouble-1).
func TestHandedOverJobIsNotCalledNotRun(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("full", 2, 3*time.Second)) // takes all the room
	r := request("handed", 1, 200*time.Millisecond)
	r.MayBeRunning = true
	b.pool.Submit(b.now, r)
	for range 150 {
		b.pass(20 * time.Millisecond)
		_, answers := b.pool.TakePending()
		for _, a := range answers {
			if a.Job == "handed" && a.Outcome != job.Abandoned {
				t.Errorf("after %s the job is answered %+v", b.now.Sub(time.Unix(1000, 0)), a)
			}
		}
	}
	if b.pool.jobs["handed"] != nil {
		t.Error("the job was not answered within its caller's time")
	}
}

// TestRefusedAtOnceWhenFull: a job that cannot be of use any more is refused when
// it comes, with a hint, and not held (issue 11).
func TestRefusedAtOnceWhenFull(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("full", 2, 3*time.Second))
	b.pool.Submit(b.now, request("short", 8, 60*time.Millisecond))
	_, answers := b.pool.TakePending()
	if len(answers) != 1 || answers[0].Job != "short" || answers[0].Outcome != job.NotRun || answers[0].RetryAfter < time.Second {
		t.Errorf("answers %+v", answers)
	}
}

// TestNeverRefusedWithRoom: a job is not refused or handed away while a worker is
// free (issue 11).
func TestNeverRefusedWithRoom(t *testing.T) {
	b := newBench(t, 2)
	r := request("late", 2, time.Second)
	r.Age, r.CanOffload = 900*time.Millisecond, true
	b.pool.Submit(b.now, r)
	orders, answers := b.take()
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

// TestGuestIsHandedBackAtOnce: a job of another group is not queued.
func TestGuestIsHandedBackAtOnce(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("full", 2, time.Second))
	r := request("guest", 1, 60*time.Millisecond)
	r.Offloaded = true
	b.pool.Submit(b.now, r)
	_, answers := b.pool.TakePending()
	if len(answers) != 1 || !answers[0].TryElsewhere || answers[0].Outcome != job.NotRun {
		t.Errorf("answers %+v", answers)
	}
}

// TestSilentWorkerIsUsedAgainOnceItAnswers: several orders that are unanswered at
// one moment do not keep tasks from a worker that answers again (issue 10).
func TestSilentWorkerIsUsedAgainOnceItAnswers(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("a", 2, 500*time.Millisecond))
	for _, o := range b.orders(StartOrder) {
		b.reply(o, Reply{}) // no answer
	}
	b.pass(200 * time.Millisecond)
	orders, _ := b.take()
	for _, o := range orders {
		b.reply(o, Reply{Done: true})
	}
	b.pass(100 * time.Millisecond) // the stops have taken effect
	if starts := b.orders(StartOrder); len(starts) != 2 {
		t.Errorf("%d tasks start again 300 ms after the silence, want 2", len(starts))
	}
}

// TestSilentWorkerIsGrantedNoTime: what runs on a worker that does not answer
// must lapse before it starts elsewhere, so no probe extends it (issue 10).
func TestSilentWorkerIsGrantedNoTime(t *testing.T) {
	b := newBench(t, 2)
	b.pool.Submit(b.now, request("a", 1, time.Second))
	starts := b.orders(StartOrder)
	first := starts[0]
	b.reply(first, Reply{Done: true})
	for range 100 {
		b.pass(20 * time.Millisecond)
		orders, _ := b.take()
		for _, o := range orders {
			if o.Worker == first.Worker && o.Deadline != 0 && b.now.Sub(first.Sent) > time.Second {
				t.Fatalf("%s after it went silent it is granted time", b.now.Sub(first.Sent))
			}
			if o.Kind == StartOrder && o.Worker != first.Worker {
				if age := b.now.Sub(first.Sent); age < leaseDuration {
					t.Errorf("it starts elsewhere after %s, within the lease", age)
				}
				return
			}
			if o.Worker == first.Worker && o.Kind == RenewOrder {
				b.reply(o, Reply{})
			}
		}
	}
	t.Error("it never starts elsewhere")
}

// TestStandingRunMovesOn guards against a hanging worker: a run that its worker lists at the same percentage is
// stopped and started elsewhere, and the worker gets no other for a while
// (issue 11: a tenth of the workers hang).
func TestStandingRunMovesOn(t *testing.T) {
	b := newBench(t, 2)
	b.pool.Submit(b.now, request("a", 1, time.Second))
	first := b.orders(StartOrder)[0]
	b.reply(first, Reply{Done: true})
	stopped := false
	for range 60 {
		b.pass(20 * time.Millisecond)
		orders, _ := b.take()
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
				b.reply(o, Reply{Done: true})
			case !stopped:
				b.reply(o, Reply{Done: true, Running: []RunningTask{{Task: first.Task, Run: first.Run, Percent: 7}}})
			default:
				b.reply(o, Reply{Done: true, Ended: []End{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndedOther}}})
			}
		}
	}
	t.Error("it never starts elsewhere")
}

// TestFailedTaskTriesAnotherWorker: a worker that fails all it starts costs a job
// one of its attempts, not all (issue 11).
func TestFailedTaskTriesAnotherWorker(t *testing.T) {
	b := newBench(t, 2)
	b.pool.Submit(b.now, request("a", 1, 100*time.Millisecond))
	first := b.orders(StartOrder)[0]
	b.reply(first, Reply{Done: true})
	b.pass(20 * time.Millisecond)
	hold := Order{Kind: RenewOrder, Worker: first.Worker, Incarnation: 1, Sent: b.now}
	b.reply(hold, Reply{Done: true, Ended: []End{{Number: 1, Task: first.Task, Run: 1, Kind: EndedFailed}}})
	starts := b.orders(StartOrder)
	if len(starts) != 1 || starts[0].Worker == first.Worker {
		t.Errorf("after a failure on %s: %+v", first.Worker, starts)
	}
}

// TestOrderWithTheUrgentFirst: of jobs that wait, the one with the nearest
// objective starts first, whatever came before it.
func TestOrderWithTheUrgentFirst(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("running", 2, 200*time.Millisecond))
	starts := b.orders(StartOrder)
	for _, o := range starts {
		b.reply(o, Reply{Done: true})
	}
	b.pool.Submit(b.now, request("bulk", 4, 900*time.Millisecond))
	r := request("urgent", 1, 200*time.Millisecond)
	b.pool.Submit(b.now, r)
	b.pass(20 * time.Millisecond)
	b.reply(Order{Kind: RenewOrder, Worker: "w0", Incarnation: 1, Sent: b.now}, Reply{
		Done: true, Ended: []End{{Number: 1, Task: starts[0].Task, Run: 1, Kind: EndedDone}},
		Running: []RunningTask{{Task: starts[1].Task, Run: 1, Percent: 50}},
	})
	next := b.orders(StartOrder)
	if len(next) != 1 || next[0].Task.Job != "urgent" {
		t.Errorf("started %+v", next)
	}
}

// TestWorkersWithoutHeartbeatsAreProbed: while all control VMs are dark nobody
// passes on heartbeats; workers that answer get tasks all the same, and those
// that do not get none (issue 10; deploy/days/rolling-restart-in-the-dark).
func TestWorkersWithoutHeartbeatsAreProbed(t *testing.T) {
	b := newBench(t, 2)
	for range 400 { // 8 s
		b.pass(20 * time.Millisecond)
		orders, _ := b.take()
		for _, o := range orders {
			if o.Worker == "w0" {
				b.reply(o, Reply{Done: true})
			} else {
				b.reply(o, Reply{})
			}
		}
	}
	b.pool.Submit(b.now, request("a", 4, 100*time.Millisecond))
	starts := b.orders(StartOrder)
	if len(starts) != 2 {
		t.Errorf("%d tasks started, want the two that fit on the worker that answers", len(starts))
	}
	for _, o := range starts {
		if o.Worker != "w0" {
			t.Errorf("a task started on %s, which does not answer", o.Worker)
		}
	}
}

// TestLateHoldOfAnEarlierLife: a hold without an answer that a worker carries out
// after it started again under its name asks for a lease on the clock of before. If
// the worker goes silent then, what runs there is waited for (issue 10; schedule,
// seed 726 of 4,000).
func TestLateHoldOfAnEarlierLife(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("first", 1, time.Second))
	for _, o := range b.orders(StartOrder) {
		b.reply(o, Reply{Done: true})
	}
	if len(b.orders(RenewOrder)) == 0 {
		t.Fatal("no hold is on its way")
	}
	b.announce("w0", 2)
	second := request("second", 1, time.Second)
	second.RemainingWait = time.Minute
	b.pool.Submit(b.now, second)
	b.pass(400 * time.Millisecond)
	for _, o := range b.orders(StartOrder) {
		b.reply(o, Reply{Done: true})
	}
	silentSince := b.now
	for b.now.Sub(silentSince) < 20*time.Second {
		for _, o := range b.orders(RenewOrder) {
			if o.Incarnation == 2 {
				b.reply(o, Reply{})
			}
		}
		b.pass(50 * time.Millisecond)
		j := b.pool.jobs["second"]
		if j == nil || !j.tasks[0].assigned() {
			break
		}
	}
	if waited := b.now.Sub(silentSince); waited < 10*time.Second {
		t.Errorf("the task counts as gone %s after the worker fell silent", waited)
	}
}

// TestHandedOverJobWaitsForUnknownWorkers: a dispatcher whose process started a
// moment ago may not know the worker on which a job that was handed over runs, since
// the control VM that it announced itself to started again too (issue 10; hunt-b8ec-3
// of bunkerline).
func TestHandedOverJobWaitsForUnknownWorkers(t *testing.T) {
	b := newBench(t, 2)
	b.pool.config.WorkersIncomplete = true
	r := request("handed", 1, 200*time.Millisecond)
	r.MayBeRunning = true
	b.pool.Submit(b.now, r)
	if list := b.orders(StartOrder); len(list) > 0 {
		t.Errorf("started at once: %+v", list)
	}
	b.pass(recoveryDelay + 20*time.Millisecond)
	if list := b.orders(StartOrder); len(list) != 1 {
		t.Errorf("not started after %s: %+v", recoveryDelay, list)
	}
}

// TestJobThatStillStopsIsNotCalledNotRun: a job was withdrawn and its start, which
// had no answer, may still be carried out. When its caller sends it again, it
// is not refused as not run (issue 17).
func TestJobThatStillStopsIsNotCalledNotRun(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("full", 1, 3*time.Second))
	first := b.pool.Submit(b.now, request("again", 1, 200*time.Millisecond))
	for _, o := range b.orders(StartOrder) {
		if o.Task.Job == "again" {
			b.reply(o, Reply{})
		}
	}
	b.pool.Withdraw(b.now, first)
	b.pool.Submit(b.now, request("again", 1, 200*time.Millisecond))
	b.pass(2 * time.Second) // its caller's time
	_, answers := b.take()
	for _, a := range answers {
		if a.Job == "again" && a.Outcome == job.NotRun {
			t.Errorf("answered %+v while a start of it has no answer", a)
		}
	}
}

// TestKnownJobThatMayRunWaitsForWorkers: a second gate says of a job in hand that it may
// run elsewhere. It does not start before every worker was looked at, as if that gate had
// come first (issue 17).
func TestKnownJobThatMayRunWaitsForWorkers(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("full", 2, time.Second)) // takes all the room of w0
	var full []Order
	for _, o := range b.orders(StartOrder) {
		b.reply(o, Reply{Done: true})
		full = append(full, o)
	}
	b.announce("w1", 1) // not looked at yet: it may run the job for the dispatcher of before
	r := request("twice", 1, 900*time.Millisecond)
	b.pool.Submit(b.now, r) // the caller's next try, at another gate
	r.MayBeRunning = true
	b.pool.Submit(b.now, r) // the gate that handed it to the dispatcher of before
	b.now = b.now.Add(300 * time.Millisecond)
	for _, o := range b.orders(RenewOrder) {
		if o.Worker == "w0" {
			b.reply(o, Reply{Done: true, Ended: []End{{Number: 1, Task: full[0].Task, Run: 1, Kind: EndedDone}}, Running: []RunningTask{{Task: full[1].Task, Run: 1}}})
		}
	}
	b.pass(20 * time.Millisecond)
	for _, o := range b.orders(StartOrder) {
		if o.Task.Job == "twice" {
			t.Errorf("after %s it is started on %s, while w1 was not looked at", b.now.Sub(time.Unix(1000, 0)), o.Worker)
		}
	}
}

// TestFencedPoolOrdersNothing: a dispatcher learns that it was replaced while orders
// wait to be sent. It sends none of them: a start would be of a job that it gives up
// (issue 17).
func TestFencedPoolOrdersNothing(t *testing.T) {
	b := newBench(t, 2)
	b.pool.Submit(b.now, request("known", 1, time.Second))
	starts := b.orders(StartOrder)
	b.take()
	b.pool.Submit(b.now, request("new", 1, time.Second))
	b.reply(starts[0], Reply{Refusal: RefusedFence})
	if orders, _ := b.take(); len(orders) > 0 {
		t.Errorf("it orders %+v", orders)
	}
}

// TestKnownJobThatMayRunIsNotCalledNotRun: a gate says of a job in hand that it may run
// elsewhere (issue 17).
func TestKnownJobThatMayRunIsNotCalledNotRun(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Submit(b.now, request("full", 2, 500*time.Millisecond)) // takes all the room
	r := request("known", 1, 200*time.Millisecond)
	first := b.pool.Submit(b.now, r)
	r.MayBeRunning = true
	if second := b.pool.Submit(b.now, r); second != first {
		t.Errorf("it joined %+v, and was in hand as %+v", second, first)
	}
	b.pass(2 * time.Second) // its caller's time
	_, answers := b.take()
	for _, a := range answers {
		if a.Job == "known" && a.Outcome != job.Abandoned {
			t.Errorf("answered %+v", a)
		}
	}
}
