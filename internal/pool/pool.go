// Package pool decides for a group of workers: which task starts where and when,
// what is refused, and when a task whose outcome is unknown may start again. One
// [Pool] orders all workers of the group under one fence (package lead).
//
// It receives jobs, announcements and replies with the present time, and returns
// the orders and answers that follow. It does no I/O.
//
// Invariant: a task is on at most one worker, and leaves it only when its end
// was listed, when a stop was acknowledged and its time has passed, when the
// incarnation is gone, or when everything ordered there has lapsed. So no task
// runs twice at once.
package pool

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// Config is what a Pool needs to know of its deployment.
type Config struct {
	Fence    lead.Fence
	LeaseMax time.Duration // longest that a worker lets things run without a word
	StopMax  time.Duration // longest that a stop takes
	// DividedAt is when the workers of the failure domain were divided anew, if
	// they were: what ran then may run on workers of other groups.
	DividedAt time.Time
	// WorkersIncomplete says that there may be workers that are not known yet: the process
	// started a moment ago.
	WorkersIncomplete bool
}

// Bounds of leases, orders and backoff.
const (
	// leaseDuration is asked for with each order: two renewals may be lost.
	leaseDuration = 700 * time.Millisecond
	// renewWait is how long a renewal waits at the worker for an end.
	renewWait = 250 * time.Millisecond
	// OrderTimeout is how long an order may take beside what it waits: some
	// hundred round trips, and the pause of a VM that is slowed.
	OrderTimeout = 200 * time.Millisecond
	// stopRetryInterval is when a stop that had no answer is ordered again.
	stopRetryInterval = 250 * time.Millisecond
	// orphanGrace is how long runs of unknown jobs go on after a takeover, so
	// that gates can hand the jobs in again.
	orphanGrace = 900 * time.Millisecond
	// recoveryDelay is how long after a takeover a job that may run somewhere waits
	// for workers that were not looked at: the old dispatcher learns within a
	// hold that it was replaced, and its leases last one second at most.
	recoveryDelay = 1500 * time.Millisecond
	// minBackoff is how long a worker gets nothing that refused or failed; it
	// doubles with each time in a row.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
)

// Pool is the dispatcher of one group. It is not safe for concurrent use. It
// must be made by [New].
type Pool struct {
	config    Config
	startedAt time.Time
	workers   map[worker.ID]*workerState
	byID      []*workerState // workers in the order of their ids, so that equal inputs lead to equal decisions
	jobs      map[job.ID]*jobState
	estimator Estimator

	lastAdmission uint64 // until now

	orders     []Order
	answers    []Answer
	lastShedAt time.Time
	fenced     bool // a worker refused the fence: nothing more is ordered
	Counts     Counts
}

// Counts are totals since the Pool was made, and what is there now, for metrics.
type Counts struct {
	Waiting, Running                             int // tasks, as of the last tick
	Started, Done, Failed, Lapsed, Lost, InDoubt int
	Refused                                      map[Refusal]int
}

// New returns a Pool that takes over the group now.
func New(now time.Time, c Config) *Pool {
	return &Pool{
		config: c, startedAt: now,
		workers: make(map[worker.ID]*workerState), jobs: make(map[job.ID]*jobState),
		Counts: Counts{Refused: make(map[Refusal]int)},
	}
}

// TakePending returns the orders and answers produced since its last call.
func (p *Pool) TakePending() ([]Order, []Answer) {
	orders, answers := p.orders, p.answers
	p.orders, p.answers = nil, nil
	return orders, answers
}

// Fenced reports whether a worker refused the Pool's fence.
func (p *Pool) Fenced() bool { return p.fenced }

// UpdateWorker records the newest announcement of a worker.
func (p *Pool) UpdateWorker(now time.Time, h worker.Heard) {
	w := p.workers[h.Worker]
	if w == nil {
		w = &workerState{tasks: make(map[job.Task]*task), orphans: make(map[job.Task]job.Run)}
		p.workers[h.Worker] = w
		at, _ := slices.BinarySearchFunc(p.byID, h.Worker, func(w *workerState, id worker.ID) int { return cmp.Compare(w.Worker, id) })
		p.byID = slices.Insert(p.byID, at, w)
		w.Worker = h.Worker
	}
	if h.Incarnation < w.Incarnation {
		return
	}
	if w.Incarnation != 0 && h.Incarnation > w.Incarnation {
		p.handleRestart(now, w, h)
	}
	w.free = w.free.Plus(h.Room.Minus(w.Room))
	w.Heard = h
	w.timing.Observe(h.At, h.Clock)
	p.poll(now, w)
	p.placeTasks(now)
}

// handleRestart handles a new incarnation of a worker. It runs nothing of
// before, but carries out orders that were on their way to its last life, and
// remembers no stop: a start without an answer is stopped there again.
func (p *Pool) handleRestart(now time.Time, w *workerState, h worker.Heard) {
	var unackedTasks []*task
	for _, t := range placedTasks(w) {
		if t.ackedAt.IsZero() {
			unackedTasks = append(unackedTasks, t)
			continue
		}
		if t.ackedAt.Before(now) {
			p.requeue(t)
			p.forgetIfDone(t.job)
		}
	}
	ghosts := slices.DeleteFunc(w.unackedStarts, func(g unackedStart) bool { return now.Sub(g.inDoubtSince) > lateOrderLimit })
	lateOrdersUntil := w.lateOrdersUntil
	if w.renewPending {
		lateOrdersUntil = later(lateOrdersUntil, w.renewSentAt.Add(lateOrderLimit))
	}
	for _, t := range unackedTasks {
		lateOrdersUntil = later(lateOrdersUntil, t.orderedAt.Add(lateOrderLimit))
	}
	*w = workerState{
		Heard: h, tasks: w.tasks, orphans: make(map[job.Task]job.Run), free: w.free.Plus(h.Room.Minus(w.Room)), unackedStarts: ghosts,
		// A lease asked for on the clock of the last life is long on that of the new
		// one.
		lateOrdersUntil: lateOrdersUntil, leasesUntil: lateOrdersUntil,
	}
	// A new incarnation has seen no order of anybody.
	w.listed = true
	p.estimator.ForgetWorker(h.Worker)
	for _, t := range unackedTasks {
		t.phase, t.stopAckedAt, t.lapsesAt = inDoubt, time.Time{}, now.Add(lateOrderLimit)
		p.sendStop(now, t)
	}
	for _, g := range ghosts {
		if w.tasks[g.task] == nil {
			p.enqueueOrder(now, w, Order{Kind: StopOrder, Task: g.task, Run: g.run})
		}
	}
}

// lateOrderLimit is how long after it was sent an order may be carried out, and what it
// started may run: 12 s, as the platform states it, and a lease.
const lateOrderLimit = 13 * time.Second

// PruneWorkers drops workers that are gone and run nothing.
func (p *Pool) PruneWorkers(keep func(worker.ID) bool) {
	p.byID = slices.DeleteFunc(p.byID, func(w *workerState) bool {
		gone := !keep(w.Worker) && !w.busy() && !w.renewPending
		if gone {
			delete(p.workers, w.Worker)
			p.estimator.ForgetWorker(w.Worker)
		}
		return gone
	})
}

// placedTasks returns the tasks on w in the order of their names.
func placedTasks(w *workerState) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return a.name.Compare(b.name) })
	return list
}

// requeue takes a task off a worker where it surely does not run, and has it
// wait again unless its job is over.
func (p *Pool) requeue(t *task) {
	t.release()
	if t.job.ended {
		t.phase = ended
		return
	}
	t.phase = waiting
	p.Counts.Lost++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
