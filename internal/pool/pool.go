// Package pool schedules the tasks of jobs on a group of workers. It decides which
// task starts where and when, which jobs are refused, and when a task whose
// outcome is unknown may start again. A [Pool] is a state machine: it receives
// jobs, announcements of workers and replies, each with the present time, and
// returns the orders and answers that follow. It does no I/O and reads no clock.
//
// A gate, the part of an entry VM that accepts callers' jobs and keeps them until they
// are answered, forwards a job as a [Request] to [Pool.Submit]. Workers announce
// themselves to control VMs, which forward the announcements. Each task of a job
// waits until the steps before its own are done and a worker has room, and is then
// assigned to that worker by a start order. A renewal order extends the leases of
// everything on a worker and lists its runs and ends. The job is answered when
// all its tasks are done, when it fails or is refused, or at its caller's
// deadline.
//
// Each order carries the Pool's fence, a fencing token (package lead): every
// dispatcher that takes over the group has a higher one, and a worker refuses
// orders with a fence below the highest that it has seen. A Pool orders nothing
// more once its fence was refused.
//
// Invariant: a task is assigned to at most one worker. It is taken off that
// worker only when the worker refused the start or no longer lists the run, when
// the run's end was listed, when a stop was acknowledged and StopMax has passed,
// when the incarnation of the worker has ended, or when all leases granted there
// have lapsed. A start that got no reply may be carried out seconds later, by an
// incarnation of its worker that knows neither its stop nor the fence: as long as it may
// (package latestart), the task starts only on that worker, and only on an incarnation that
// has acknowledged a stop of the late start. So no task has two concurrent runs, as far as
// the starts of earlier dispatchers are known.
package pool

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// Config holds the fence of a Pool and the limits of its deployment.
type Config struct {
	Fence    lead.Fence
	LeaseMax time.Duration // the longest lease that a worker grants
	StopMax  time.Duration // the longest that a run goes on after its stop was acknowledged
	// DividedAt is when the workers of the failure domain were last divided into
	// groups anew (a division, see lead.Division); zero if never. Tasks started
	// before may be running on workers that now belong to other groups.
	DividedAt time.Time
	// WorkersIncomplete reports that the process has just started, or has not heard
	// from a control VM lately, and may not know all workers, see [Pool.CompleteWorkers].
	WorkersIncomplete bool
	// FirstDispatcher reports that no VM in contact knows of an earlier dispatcher of the
	// group, as after the loss of all entry VMs. Then only forwarded jobs wait for
	// workers that may be unknown.
	FirstDispatcher bool
	// Crashes has the workers that were lost under tasks, also under earlier
	// dispatchers; nil means none. The Pool adds to it.
	Crashes *crash.Log
	// LateStarts has the starts without a reply, also those of earlier dispatchers; nil means
	// none. The Pool adds to it.
	LateStarts *latestart.Log
	// Unclaimed has the offloaded jobs that may run although no gate waits for them; nil means none. The Pool adds to it.
	Unclaimed *UnclaimedJobs
	// EvacuationUnknown reports that the process does not know yet which failure domains are evacuated. Nothing starts
	// before [Pool.SetEvacuation].
	EvacuationUnknown bool
	// EvacuationBound is how long after an operator's order to evacuate the failure domain tasks may still start
	// there, as the platform states it; 0 if it does not.
	EvacuationBound time.Duration
	// GateContact returns the contact with the gates that wait for an admission. Nil stands for uninterrupted
	// contact.
	GateContact func(now time.Time, a Admission) GateContact
	// Interference says what is done about rows that slow each other down; the zero Mode is off.
	Interference interference.Mode
}

// Bounds of leases, orders and backoff.
const (
	// leaseDuration is the lease asked for with each start and renewal: long
	// enough for two renewals to be lost.
	leaseDuration = 700 * time.Millisecond
	// renewWait is how long a worker may delay the reply to a renewal until a
	// run ends (a long poll).
	renewWait = 250 * time.Millisecond
	// OrderTimeout is how long an order may take in addition to its Wait: about a
	// hundred round trips, and a short pause of a slow VM.
	OrderTimeout = 200 * time.Millisecond
	// stopRetryInterval is how long after a stop without a reply it is sent
	// again.
	stopRetryInterval = 250 * time.Millisecond
	// orphanGrace is how long runs of unknown jobs go on after a takeover, as far as their
	// leases last, so that gates can forward the jobs again. A job that another failure domain
	// offloaded is not forwarded again; its caller submits it there 1.3 s after the loss of
	// the previous dispatcher, which is noticed after 0.7 s.
	orphanGrace = 450 * time.Millisecond
	// recoveryDelay is how long after a takeover nothing starts while workers have not
	// listed their runs. The previous dispatcher learns within one renewal that it was
	// fenced, and its leases last Config.LeaseMax at most, which is one second.
	recoveryDelay = 1500 * time.Millisecond
	// minBackoff is the first backoff of a worker, during which it gets no new tasks,
	// after it refused a start as unhealthy or invalid, or a run failed there. The
	// backoff is multiplied by 4 for each further such failure in a row, up to
	// maxBackoff. That of the first stall is 16 times minBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
)

// Pool schedules the tasks of one group of workers under one fence. It must be
// made by [New] and is not safe for concurrent use.
type Pool struct {
	config     Config
	startedAt  time.Time
	workers    map[worker.ID]*workerState
	byID       []*workerState // workers sorted by id, so that equal inputs lead to equal decisions
	jobs       map[job.ID]*jobState
	offloads   map[job.ID]offload // jobs of this group that another one may run
	estimator  Estimator
	tails      tails
	shares     shares
	crashes    *crash.Log
	lateStarts *latestart.Log
	unclaimed  *UnclaimedJobs
	evacuation evacuation.Domain // newest order for the failure domain
	demand     demand            // of the group's own jobs

	interference interference.Learner

	judgedVersion uint64 // of crashes, when giveUpJobs last ran

	// runsInherited reports that only workers that are known have runs of earlier dispatchers, see InheritRuns.
	runsInherited bool

	lastAdmission uint64 // number of the newest Admission

	orders     []Order    // not yet taken by TakePending
	answers    []Answer   // not yet taken by TakePending
	found      []FoundRun // not yet taken by TakeFound
	lastShedAt time.Time  // when shedLoad last ran
	freeSlots  int        // as of freeSlotsAt, for refusals
	// freeSlotsAt is when freeSlots was last counted; zero if never.
	freeSlotsAt time.Time
	fencedBy    worker.ID // worker that refused the fence, after which nothing more is ordered
	Counts      Counts
}

// New returns a Pool that takes over the group at time now, without jobs or workers.
func New(now time.Time, c Config) *Pool {
	crashes := c.Crashes
	if crashes == nil {
		crashes = &crash.Log{}
	}
	lateStarts := c.LateStarts
	if lateStarts == nil {
		lateStarts = &latestart.Log{}
	}
	unclaimed := c.Unclaimed
	if unclaimed == nil {
		unclaimed = &UnclaimedJobs{}
	}
	return &Pool{
		config: c, startedAt: now, crashes: crashes, lateStarts: lateStarts, unclaimed: unclaimed,
		workers: make(map[worker.ID]*workerState), jobs: make(map[job.ID]*jobState),
		Counts: Counts{RefusedOrders: make(map[Refusal]int)},
	}
}

// TakePending returns the orders and answers produced since its last call.
func (p *Pool) TakePending() ([]Order, []Answer) {
	orders, answers := p.orders, p.answers
	p.orders, p.answers = nil, nil
	return orders, answers
}

// Fenced reports whether a worker refused the Pool's fence.
func (p *Pool) Fenced() bool { return p.fencedBy != "" }

// FencedBy returns the worker that refused the Pool's fence, or "" if none has.
func (p *Pool) FencedBy() worker.ID { return p.fencedBy }

// UpdateWorker records the newest announcement of a worker, and adds the worker if it is unknown. An
// announcement of an incarnation that has ended is ignored. One of a lower incarnation at the same
// address, which may be a later one, is kept until a reply shows which of the two is the present one.
func (p *Pool) UpdateWorker(now time.Time, rec worker.Record) {
	w := p.workers[rec.Worker]
	if w == nil {
		w = &workerState{tasks: make(map[job.Task]*task), orphans: make(map[job.Task]job.Run), knownSince: now}
		p.workers[rec.Worker] = w
		at, _ := slices.BinarySearchFunc(p.byID, rec.Worker, func(w *workerState, id worker.ID) int { return cmp.Compare(w.Worker, id) })
		p.byID = slices.Insert(p.byID, at, w)
		w.Worker = rec.Worker
	}
	switch {
	case w.Incarnation == 0 || rec.Incarnation == w.Incarnation:
	case slices.Contains(w.ended, rec.Incarnation) || rec.AnnouncedAt.Before(w.replyTo):
		return
	case rec.Incarnation < w.Incarnation && rec.Address == w.Address && !w.stale:
		w.announcedNext, w.runsKnown = rec, false
		p.poll(now, w)
		return
	default:
		p.handleRestart(now, w, rec)
	}
	w.free = w.free.Add(rec.Capacity.Sub(w.Capacity))
	w.Record, w.announced = rec, true
	w.resetRoomRefusals()
	if rec.Clock > 0 { // 0 stands for none
		w.timing.Observe(rec.AnnouncedAt, rec.Clock)
	}
	p.poll(now, w)
	p.scheduleTasks(now)
}

const (
	// maxOrderDelay is how late an order may be carried out, as the platform states it.
	maxOrderDelay = 12 * time.Second
	// lateOrderLimit is the upper bound from the decision on an order to the end of any run that
	// it starts: the order is sent within OrderTimeout, and its lease of at most one second is
	// measured on a clock that may be slow.
	lateOrderLimit = maxOrderDelay + OrderTimeout + 1300*time.Millisecond
)

// PruneWorkers drops the workers for which keep returns false, except those that
// may run something or have a renewal outstanding.
func (p *Pool) PruneWorkers(keep func(worker.ID) bool) {
	p.byID = slices.DeleteFunc(p.byID, func(w *workerState) bool {
		gone := !keep(w.Worker) && !w.busy() && !w.renewPending
		if gone {
			delete(p.workers, w.Worker)
			p.estimator.ForgetWorker(w.Worker)
			p.interference.ForgetWorker(w.Worker)
			p.tails.forget(w.Worker)
		}
		return gone
	})
}

// assignedTasks returns the tasks assigned to w, sorted by name.
func assignedTasks(w *workerState) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return a.name.Compare(b.name) })
	return list
}

// requeue takes a task off its worker and has it wait again, unless its job is
// over. The task must be known not to run there, now or later.
func (p *Pool) requeue(t *task) {
	t.release()
	if t.job.closed {
		t.phase = finished
		return
	}
	t.phase = waiting
	p.Counts.Requeued++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
