package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// phase is the state of a task.
type phase int

// The phases. A task in any but waiting and done may run on its worker.
const (
	waiting  phase = iota
	starting       // ordered, not answered
	running        // answered, or listed
	stopping       // a stop was ordered; it may still run
	inDoubt        // the start had no answer; a stop was ordered
	ended          // done, or not wanted any more
)

// task is one task of a job.
type task struct {
	name     job.Task
	job      *jobState
	step     *job.Step
	phase    phase
	run      job.Run
	failures int // runs that ended as failed

	lastFailedOn worker.ID // where the last of them was
	percent      int       // done, as last listed
	progressAt   time.Time // when percent last grew, or the start

	worker      *workerState // unless waiting or ended
	orderedAt   time.Time    // the start
	ackedAt     time.Time    // the start's answer
	lapsesAt    time.Time    // a start without an answer has no effect after it
	stopSentAt  time.Time    // the newest stop order
	stopAckedAt time.Time
}

// placed reports whether the task may run on a worker.
func (t *task) placed() bool { return t.worker != nil }

// release takes the task off its worker.
func (t *task) release() {
	if t.worker == nil {
		return
	}
	delete(t.worker.tasks, t.name)
	t.worker.free = t.worker.free.Plus(t.step.Need)
	t.worker = nil
}

// assign puts the task on w.
func (t *task) assign(w *workerState) {
	t.worker = w
	w.tasks[t.name] = t
	w.free = w.free.Minus(t.step.Need)
}

// jobState is a job that is not answered.
type jobState struct {
	Request
	admission         Admission
	arrivedAt         time.Time // when the caller sent it
	callerDeadline    time.Time // how long the caller waits
	objectiveDeadline time.Time // objective
	recoveryUntil     time.Time // no start before it, unless every worker was listed
	earliestStart     time.Time // no start before it, whatever was listed
	expectedWork      time.Duration
	tasks             []*task
	remaining         int // tasks not done
	mayHaveStarted    bool
	late              bool // it cannot meet its objective, given what is ahead of it
	ended             bool // answered or withdrawn; tasks may still be stopping
}

// createTasks makes the tasks of a job.
func createTasks(j *jobState) {
	for s := range j.Job.Steps {
		step := &j.Job.Steps[s]
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{name: job.Task{Job: j.Job.ID, Step: s, Index: i}, job: j, step: step})
		}
	}
	j.remaining = len(j.tasks)
}

// open reports whether all steps that s depends on have ended.
func (j *jobState) stepReady(s *job.Step) bool {
	for _, a := range s.After {
		for _, t := range j.tasks {
			if t.name.Step == a && t.phase != ended {
				return false
			}
		}
	}
	return true
}

// criticalPath returns the expected work of the longest chain of steps.
func (j *jobState) criticalPath(workOf func(*job.Step) time.Duration) time.Duration {
	chain := make([]time.Duration, len(j.Job.Steps))
	var most time.Duration
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += workOf(s)
		most = max(most, chain[i])
	}
	return most
}

// unackedStart is a start that had no answer.
type unackedStart struct {
	task         job.Task
	run          job.Run
	inDoubtSince time.Time
}

// workerState is a worker as the dispatcher knows it.
type workerState struct {
	worker.Heard
	timing  worker.Timing
	free    worker.Room
	tasks   map[job.Task]*task
	orphans map[job.Task]job.Run // runs of jobs that nobody asked for yet

	unackedStarts   []unackedStart // starts of late that had no answer
	lateOrdersUntil time.Time      // orders that had none may prolong leases until then
	listed          bool           // its runs were confirmed under this fence
	endsSeen        uint64         // ends up to here were handled
	renewPending    bool           // a renewal is on its way
	renewSentAt     time.Time      // when the newest renewal was sent
	unanswered      int            // orders without an answer, in a row
	backoffUntil    time.Time      // gets no new task before
	failures        int            // runs that failed, in a row
	stalls          int            // runs that stalled, since one was done
	leasesUntil     time.Time      // leases may last until then
	answeredAt      time.Time      // the newest answer
	stale           bool           // another incarnation answered; wait for its announcement
}

// eligible reports whether tasks may be given to w: it listed its runs, answers,
// is not leaving and is not in backoff.
func (w *workerState) eligible(now time.Time) bool {
	return w.listed && !w.stale && w.unanswered == 0 && w.alive(now) && !now.Before(w.backoffUntil)
}

// alive reports whether w was heard, by its announcements or by an answer. The
// former do not arrive while all control VMs are lost.
func (w *workerState) alive(now time.Time) bool {
	return w.Usable(now) || !w.Gone && !w.Leaving && now.Sub(w.answeredAt) < answerValidity
}

// needsProbe reports whether w is to be asked for a sign of life, since its
// announcements stopped and it answered nothing for a while.
func (w *workerState) needsProbe(now time.Time) bool {
	silent := now.Sub(w.At)
	return !w.Gone && !w.Leaving && silent > worker.SilentAfter-answerValidity && silent < probeLimit && now.Sub(w.answeredAt) > answerValidity/2
}

// Bounds for workers whose announcements stopped.
const (
	// answerValidity is how long an answer shows that a worker lives: two probes.
	answerValidity = time.Second
	// probeLimit is how long such a worker is asked: longer than all control VMs
	// are dark at once, as the platform names it.
	probeLimit = 30 * time.Second
)

// busy reports whether something may run on w.
func (w *workerState) busy() bool { return len(w.tasks) > 0 || len(w.orphans) > 0 }
