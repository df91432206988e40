package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/estimate"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/target"
)

// Sizes and times of the goroutine.
const (
	ringSize  = 4096
	tickEvery = 20 * time.Millisecond
	// burst is how many commands are taken in before slots are granted.
	burst = 256
)

// Config is what a Dispatcher needs.
type Config struct {
	Recorder *report.Recorder
	Log      *zap.Logger
}

// command is one message to the goroutine.
type command func(d *Dispatcher, now time.Time)

// Dispatcher is the goroutine. It must be made by [New]; its methods may be
// called from any goroutine once [Dispatcher.Run] runs.
type Dispatcher struct {
	config  Config
	ring    *ring.Ring[command]
	stopped chan struct{}
	once    sync.Once

	// All below belongs to the goroutine of Run.
	queue    queue.Queue
	slots    target.Slots
	health   target.Health
	learned  estimate.Estimator
	asked    map[queue.TaskID]asked
	granted  map[queue.TaskID]taken
	reserve  queue.Reserve
	table    *table.Snapshot
	live     []target.Lease
	lastID   queue.TaskID
	lastTick time.Time
}

// asked is a task that waits or runs, with whom to tell.
type asked struct {
	task queue.Task
	tell func(Grant)
}

// taken is the slot that a granted task has.
type taken struct {
	target target.ID
	want   target.Requirements
}

// New returns a Dispatcher that is not running yet.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		config:  c,
		ring:    ring.New[command](ringSize),
		stopped: make(chan struct{}),
		asked:   make(map[queue.TaskID]asked),
		granted: make(map[queue.TaskID]taken),
		table:   &table.Snapshot{},
	}
}

// Run serves the ring until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.once.Do(func() { close(d.stopped) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	d.lastTick = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.ring.Out():
			c(d, time.Now())
			d.drain()
		case <-tick.C:
			d.tick(time.Now())
		}
		d.grant(time.Now())
	}
}

// drain takes in what else waits in the ring, up to a burst.
func (d *Dispatcher) drain() {
	for range burst {
		select {
		case c := <-d.ring.Out():
			c(d, time.Now())
		default:
			return
		}
	}
}

// do runs c in the goroutine and waits for it.
func (d *Dispatcher) do(ctx context.Context, c command) *code.Error {
	done := make(chan struct{})
	err := d.ring.Put(ctx, func(d *Dispatcher, now time.Time) {
		defer close(done)
		c(d, now)
	})
	if err != nil {
		return code.New(code.QueueFull, "the dispatcher is busy")
	}
	select {
	case <-done:
		return nil
	case <-d.stopped:
		return code.New(code.Draining, "this entry VM stopped")
	}
}

// post runs c in the goroutine without waiting for it.
func (d *Dispatcher) post(c command) {
	select {
	case <-d.stopped:
	default:
		_ = d.ring.Put(context.Background(), c)
	}
}

// Add asks for slots for tasks of one row, all or none. The ids it returns are
// for [Dispatcher.Cancel].
func (d *Dispatcher) Add(ctx context.Context, tasks ...Asked) (ids []queue.TaskID, refusal *code.Error) {
	return d.add(ctx, (*queue.Queue).Add, tasks)
}

// Resume asks for slots for tasks that were accepted before, by another
// primary of their ledger; no limit refuses them.
func (d *Dispatcher) Resume(ctx context.Context, tasks ...Asked) (ids []queue.TaskID, refusal *code.Error) {
	return d.add(ctx, (*queue.Queue).Resume, tasks)
}

func (d *Dispatcher) add(ctx context.Context, into func(*queue.Queue, time.Time, ...queue.Task) *code.Error, tasks []Asked) (ids []queue.TaskID, refusal *code.Error) {
	stopped := d.do(ctx, func(d *Dispatcher, now time.Time) {
		batch := make([]queue.Task, len(tasks))
		for i, a := range tasks {
			d.lastID++
			a.Task.ID = d.lastID
			learned := false
			a.Task.Expected, learned = d.learned.Expected(a.Task.Key, a.Declared)
			a.Task.Guessed = !learned
			batch[i] = a.Task
			ids = append(ids, a.Task.ID)
		}
		if refusal = into(&d.queue, now, batch...); refusal != nil {
			return
		}
		for i, a := range tasks {
			d.asked[batch[i].ID] = asked{task: batch[i], tell: a.Tell}
		}
	})
	if stopped != nil {
		return nil, stopped
	}
	return ids, refusal
}

// Cancel takes back tasks that wait; those that were granted are left alone.
// It returns how many were taken back.
func (d *Dispatcher) Cancel(ctx context.Context, ids ...queue.TaskID) (taken int) {
	_ = d.do(ctx, func(d *Dispatcher, _ time.Time) {
		for _, id := range ids {
			if d.queue.Remove(id) {
				delete(d.asked, id)
				taken++
			}
		}
	})
	return taken
}

// Done takes in how a granted task ended.
func (d *Dispatcher) Done(e End) (s Settled) {
	_ = d.do(context.Background(), func(d *Dispatcher, now time.Time) { s = d.end(now, e) })
	return s
}

// Release takes in how a granted task ended without waiting for it. Whoever asks the
// Dispatcher after Release returned sees the slot as free.
func (d *Dispatcher) Release(e End) {
	d.post(func(d *Dispatcher, now time.Time) { d.end(now, e) })
}

func (d *Dispatcher) end(now time.Time, e End) Settled {
	a, ok := d.asked[e.Task]
	if !ok {
		return Settled{}
	}
	slot := d.granted[e.Task]
	id := slot.target
	delete(d.asked, e.Task)
	delete(d.granted, e.Task)
	d.slots.Release(id, slot.want)
	d.queue.Done(e.Task, e.Service)
	d.judge(now, id, a.task.Key, e.Code)
	if e.Code != code.OK {
		return Settled{}
	}
	d.learned.Observe(a.task.Key, id, e.Service)
	return Settled{Ideal: d.ideal(id, a.task.Key.Kind, e.Service)}
}

// judge settles what the end of a task says about its target.
func (d *Dispatcher) judge(now time.Time, id target.ID, k party.Key, c code.Code) {
	aside := d.health.Quarantined(id)
	d.health.Observe(now, id, k, c == code.OK, len(d.live))
	switch {
	case d.health.Quarantined(id) && !aside:
		event.Log(d.config.Log, event.TargetSetAside, zap.String("target", string(id)))
	case !d.health.Quarantined(id) && aside:
		event.Log(d.config.Log, event.TargetTrusted, zap.String("target", string(id)))
	}
}

// ideal scales the time on one target to the fastest that runs kind k.
func (d *Dispatcher) ideal(id target.ID, k party.Kind, service time.Duration) time.Duration {
	speed, best := d.learned.Speed(id), 0.0
	for _, l := range d.live {
		if l.Runs(k) {
			best = max(best, d.learned.Speed(l.Target))
		}
	}
	if best <= speed {
		return service
	}
	return time.Duration(float64(service) * speed / best)
}

// Busy takes in that a granted task was not run: its target refused it, or
// could not be reached. The task waits again, until its deadline, and the
// target is avoided for a while.
func (d *Dispatcher) Busy(id queue.TaskID, avoid time.Duration) {
	d.post(func(d *Dispatcher, now time.Time) {
		if _, ok := d.asked[id]; !ok {
			return
		}
		slot := d.granted[id]
		d.slots.Release(slot.target, slot.want)
		d.health.BackOff(now, slot.target, avoid)
		delete(d.granted, id)
		d.queue.Requeue(id)
	})
}

// tick refuses what is overdue and counts idle slots.
func (d *Dispatcher) tick(now time.Time) {
	for _, t := range d.queue.RemoveOverdue(now) {
		a := d.asked[t.ID]
		delete(d.asked, t.ID)
		a.tell(Grant{Task: t, Refusal: code.New(code.DeadlinePassed, "the task waited %s for a slot", now.Sub(t.Arrived).Round(time.Millisecond))})
	}
	total := d.slots.Total()
	d.reserve.Observe(now, d.queue.Urgent())
	d.slots.Reserve(d.reserve.Slots(total), d.learned.Speed)
	d.config.Recorder.Slots(now.Sub(d.lastTick), total, max(0, total-d.queue.Running()), d.queue.Waiting())
	d.lastTick = now
}

// grant gives free slots to waiting tasks.
func (d *Dispatcher) grant(now time.Time) {
	speed := func(id target.ID) float64 {
		if !d.health.Usable(now, id) {
			return 0
		}
		return d.learned.Speed(id)
	}
	// full remembers what has no slot left in this round.
	full := make(map[target.Requirements]bool)
	for d.queue.Waiting() > 0 {
		var want target.Requirements
		t, ok := d.queue.Next(now, func(r table.Row) bool {
			w := target.Requirements{Kind: r.Kind, Urgent: r.Urgent}
			if full[w] {
				return false
			}
			free := d.slots.Free(w, speed)
			full[w] = !free
			if free {
				want = w
			}
			return free
		})
		if !ok {
			return
		}
		lease, acquired := d.slots.Acquire(want, speed)
		if !acquired {
			d.queue.Requeue(t.ID)
			return
		}
		d.tellGranted(now, t, lease, want)
	}
}

func (d *Dispatcher) tellGranted(now time.Time, t queue.Task, lease target.Lease, want target.Requirements) {
	d.health.Sent(now, lease.Target)
	d.granted[t.ID] = taken{lease.Target, want}
	d.queue.SetExpected(t.ID, time.Duration(float64(t.Expected)/d.learned.Speed(lease.Target)))
	limit := t.Deadline.Sub(now)
	if row, ok := d.table.Row(t.Key); ok {
		limit = min(limit, row.TimeLimit.Std())
	}
	d.asked[t.ID].tell(Grant{Task: t, Lease: lease, TimeLimit: limit})
}
