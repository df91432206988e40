package pool

import (
	"slices"
	"time"

	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// phase is the state of a task.
type phase int

// The phases. A task in waiting or finished has no worker; in any other it has one, on
// which it may be running.
const (
	waiting  phase = iota // to be started, now or once its step is ready
	starting              // the start was ordered and has no reply yet
	running               // the worker acknowledged the start or listed the run
	stopping              // a stop was ordered; the task may still run
	inDoubt               // the start got no reply, so it may or may not run; it is ordered again once the worker replies, unless the worker leaves
	finished              // done, or its job is closed; a failed run of an open job leads back to waiting
)

// String returns the name of a phase, for logs.
func (ph phase) String() string {
	return [...]string{"waiting", "starting", "running", "stopping", "in_doubt", "finished"}[ph]
}

// task is one task of a job, with its current run.
type task struct {
	name     job.Task
	job      *jobState
	step     *job.Step
	phase    phase
	run      job.Run // the run that was ordered or adopted last, from 1; tells late orders and ends of other runs apart
	lastRun  job.Run // the highest run; higher than run if that was adopted from an earlier dispatcher
	failures int     // runs that ended as failed

	lastFailedOn worker.ID // worker of the newest failed run
	percent      int       // percentage done, the highest listed of this run
	stoppedSlow  bool      // an earlier run was stopped as too slow, see Pool.isSlow
	progressAt   time.Time // when percent last grew, or when the start was ordered

	worker    *workerState // worker that the task is assigned to; nil if waiting or finished
	orderedAt time.Time    // when the start was ordered; equal to Pool.startedAt for an adopted run, which marks it as adopted
	// startInherited reports that the start was ordered to an earlier incarnation of the
	// worker. It has no reply, and may still be carried out by this one.
	startInherited bool
	ackedAt        time.Time // when the worker acknowledged the start; zero before; see handleNewIncarnation
	startSentAt    time.Time // when the start was last ordered: later than orderedAt if it was repeated
	lapsesAt       time.Time // latest time at which a run of the current start may still execute, if it is never acknowledged
	stoppingSince  time.Time // when the first stop of the current run was ordered
	stopSentAt     time.Time // when the newest stop was ordered
	mayHaveStopped bool      // a stop was sent while nothing showed that its worker had crashed
	stopAckedAt    time.Time // when the worker acknowledged a stop; zero before
	lapsedAt       time.Time // when all leases of the newest run had lapsed, if that is all that is known of its end; see lapseProven

	// The worker that listed the end that made the task done, and the number of that end.
	doneOn            worker.ID
	doneOnIncarnation worker.Incarnation
	endNumber         uint64
}

// record returns the state of t for the log.
func (t *task) record() TaskRecord {
	return TaskRecord{
		Step: t.name.Step, Index: t.name.Index, Phase: t.phase.String(), Run: t.run,
		Worker: t.doneOn, Incarnation: t.doneOnIncarnation, EndNumber: t.endNumber,
	}
}

// beginRun forgets what is known of the previous run of t.
func (t *task) beginRun(orderedAt time.Time, run job.Run) {
	t.run, t.orderedAt, t.startSentAt = run, orderedAt, orderedAt
	t.lastRun = max(t.lastRun, run)
	t.percent, t.progressAt, t.startInherited, t.mayHaveStopped = 0, orderedAt, false, false
	t.ackedAt, t.lapsesAt, t.stoppingSince, t.stopSentAt, t.stopAckedAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.lapsedAt = time.Time{}
}

// assigned reports whether the task has a worker, on which it may run.
func (t *task) assigned() bool { return t.worker != nil }

// release takes the task off its worker, if it has one, and frees the capacity there.
func (t *task) release() {
	if t.worker == nil {
		return
	}
	delete(t.worker.tasks, t.name)
	t.worker.free = t.worker.free.Add(t.step.Need)
	t.worker = nil
}

// assign assigns the task to w and reserves its capacity there.
func (t *task) assign(w *workerState) {
	t.worker = w
	w.tasks[t.name] = t
	w.free = w.free.Sub(t.step.Need)
}

// jobState is a job that is not answered yet, or was answered or withdrawn and has
// tasks that may still run.
type jobState struct {
	Request
	admission         Admission
	arrivedAt         time.Time     // when the caller sent the job
	callerDeadline    time.Time     // when the caller stops waiting
	objectiveDeadline time.Time     // objective deadline (SLO): arrivedAt, plus Stretch times the expected work, plus Latency
	expectedWork      time.Duration // of the longest chain of steps, on a worker of factor 1
	work              float64       // expected core-seconds of all tasks, on workers of factor 1
	tasks             []*task
	mayHaveStarted    bool        // a task may have been started, here or by another dispatcher; it is not answered as not run then, see Pool.mayHaveStarted
	expectedLate      bool        // expected to miss its objective deadline, given the work ahead of it; served after the others
	closed            bool        // answered or withdrawn; its tasks may still be stopping
	gate              GateContact // as of the last Submit or Tick while it was pending
	mayRunUntil       time.Time   // until then, a task that another dispatcher started may be running; zero if none was
}

// createTasks adds the tasks of all steps of j, waiting.
func createTasks(j *jobState) {
	for s := range j.Job.Steps {
		step := &j.Job.Steps[s]
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{name: job.Task{Job: j.Job.ID, Step: s, Index: i}, job: j, step: step})
		}
	}
}

// task returns the task of j with a name, or nil if it has none.
func (j *jobState) task(name job.Task) *task {
	for _, t := range j.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}

// begun reports whether a task of j is done or has a worker.
func (j *jobState) begun() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase != waiting })
}

// done reports whether every task of j is done. j must not be closed.
func (j *jobState) done() bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase != finished })
}

// stepReady reports whether every task of the steps that s depends on is done.
func (j *jobState) stepReady(s *job.Step) bool {
	for _, a := range s.After {
		for _, t := range j.tasks {
			if t.name.Step == a && t.phase != finished {
				return false
			}
		}
	}
	return true
}

// criticalPath returns the expected work of the longest chain of dependent steps. A
// step counts once, since its tasks run in parallel.
func (j *jobState) criticalPath(workOf func(*job.Step) time.Duration) time.Duration {
	chain := make([]time.Duration, len(j.Job.Steps))
	var longest time.Duration
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += workOf(s)
		longest = max(longest, chain[i])
	}
	return longest
}

// workerState is what the dispatcher knows of a worker, in its newest incarnation.
type workerState struct {
	worker.Record
	timing worker.ClockEstimate
	// reserved excludes a candidate of scheduleTasks, which has just started a suspect
	// there; the next call finds the suspect by runsSuspect. So is one that is cold and has its share of tasks.
	reserved bool
	free     worker.Resources     // capacity without that of the tasks assigned
	tasks    map[job.Task]*task   // assigned, whatever their phase; their capacity is reserved
	beside   interference.Tracker // of the tasks assigned, if interference is observed
	orphans  map[job.Task]job.Run // runs listed that are not assigned here, such as those of jobs not forwarded yet

	knownSince      time.Time            // when the Pool first heard of the worker, in any incarnation
	listed          bool                 // this incarnation has listed its runs since the takeover
	listedEarlier   bool                 // so has an earlier incarnation
	lateOrdersUntil time.Time            // until then, late orders may extend leases on a new incarnation
	roomRefusals    int                  // number of starts refused for want of room since a run ended or it announced itself
	roomRetryAt     time.Time            // it gets no new task before, after such a refusal
	announced       bool                 // this incarnation has announced itself
	ended           []worker.Incarnation // the incarnations before this one, the newest first, at most maxEnded
	announcedNext   worker.Record        // newest announcement of an incarnation that may follow this one, see UpdateWorker
	replyTo         time.Time            // when the newest order was sent that this incarnation replied to
	runsKnown       bool                 // its list of runs is current enough to assign tasks; false before the first list and after RefusedRoom
	endsSeen        uint64               // ends up to this number were handled
	renewPending    bool                 // a renewal was sent and has no reply yet
	renewSentAt     time.Time            // when the newest renewal was sent
	listSentAt      time.Time            // when the renewal was sent whose reply had the newest list
	listAt          time.Time            // when that reply arrived
	listClock       worker.Clock         // its reading of the worker's clock
	missedReplies   int                  // number of orders in a row without a reply
	backoffUntil    time.Time            // it gets no new task before
	failures        int                  // number of failures since a run was last done
	stalls          int                  // number of runs that stalled since one was last done
	fenceSeen       bool                 // this incarnation has carried out an order of this Pool, and refuses those of earlier dispatchers
	doneSinceReturn int                  // runs that were done in this incarnation since the failure domain was returned to service
	leasesUntil     time.Time            // all leases that this Pool asked for, or found there, have lapsed by then, however slow its clock is
	lastReplyAt     time.Time            // when it last replied
	noListenerAt    time.Time            // when its host last refused a connection
	stale           bool                 // this incarnation has ended: no renewal and no new task until the next one is announced
}

// leaves reports whether this incarnation of w is known to leave.
func (w *workerState) leaves() bool { return w.Leaving || w.Deregistered }

// takesStarts reports whether a start may be ordered on w, a first one or one that got no
// reply: this incarnation has announced what it is, is not known to leave, and replies.
//
// The platform allows starts on a worker for some time after its departure was acknowledged. A
// dispatcher uses none of it, as the news may reach it late by as much, and a run might be lost
// with the worker. Runs that continue there, adopted ones too, are left alone and their
// leases extended.
func (w *workerState) takesStarts() bool {
	return w.announced && !w.stale && !w.leaves() && w.missedReplies == 0
}

// eligible reports whether w may get new tasks: it takes starts, its runs are known, and it is not
// in backoff.
func (w *workerState) eligible(now time.Time) bool {
	return w.takesStarts() && w.runsKnown && w.alive(now) && !now.Before(w.backoffUntil) && !now.Before(w.roomRetryAt)
}

// alive reports whether w, which is not known to leave, recently announced itself or replied.
// Announcements do not arrive while all control VMs, which forward them, are lost.
func (w *workerState) alive(now time.Time) bool {
	return w.Usable(now) || now.Sub(w.lastReplyAt) < replyValidity
}

// news returns the newest announcement of w, for the log.
func (w *workerState) news() WorkerNews {
	rec := w.Record
	if w.announcedNext.AnnouncedAt.After(rec.AnnouncedAt) {
		rec = w.announcedNext
	}
	return WorkerNews{rec.Incarnation, rec.Sequence, rec.Leaving, rec.Deregistered, rec.AnnouncedAt, w.lastReplyAt}
}

// needsProbe reports whether w should be sent a renewal to see whether it responds:
// its announcements have stopped and it has sent no reply for a while.
func (w *workerState) needsProbe(now time.Time) bool {
	unseenFor := now.Sub(w.AnnouncedAt)
	return !w.leaves() && unseenFor > worker.AnnouncementTimeout-replyValidity && unseenFor < probeLimit && now.Sub(w.lastReplyAt) > replyValidity/2
}

// Bounds for workers whose announcements stopped.
const (
	// replyValidity is how long after a reply a worker counts as alive: enough
	// for two probes. needsProbe asks for one once half of it has passed without a
	// reply.
	replyValidity = time.Second
	// probeLimit is how long after its last announcement a worker is probed:
	// longer than the longest simultaneous outage of all control VMs that the
	// platform states.
	probeLimit = 30 * time.Second
)

// busy reports whether something may run on w.
func (w *workerState) busy() bool { return len(w.tasks) > 0 || len(w.orphans) > 0 }
