package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// phase is where a task stands.
type phase int

// The phases. A task in any but waiting and done may run on its worker.
const (
	waiting  phase = iota
	starting       // ordered, not answered
	running        // answered, or listed
	stopping       // a stop was ordered; it may still run
	doubtful       // the start had no answer; a stop was ordered
	ended          // done, or not wanted any more
)

// task is one task of a job.
type task struct {
	name   job.Task
	of     *jobState
	step   *job.Step
	phase  phase
	run    job.Run
	failed int // runs that ended as failed

	failedOn worker.ID // where the last of them was
	percent  int       // done, as last listed
	moved    time.Time // when percent last grew, or the start

	on      *workerState // unless waiting or ended
	ordered time.Time    // the start
	acked   time.Time    // the start's answer
	lapse   time.Time    // a start without an answer has no effect after it
	stopped time.Time    // the newest stop order
	stopAck time.Time
}

// placed reports whether the task may run on a worker.
func (t *task) placed() bool { return t.on != nil }

// release takes the task off its worker.
func (t *task) release() {
	if t.on == nil {
		return
	}
	delete(t.on.tasks, t.name)
	t.on.free = t.on.free.Add(t.step.Need)
	t.on = nil
}

// assign puts the task on w.
func (t *task) assign(w *workerState) {
	t.on = w
	w.tasks[t.name] = t
	w.free = w.free.Sub(t.step.Need)
}

// jobState is a job that is not answered.
type jobState struct {
	Request
	admission Admission
	arrived   time.Time // when the caller sent it
	until     time.Time // how long the caller waits
	due       time.Time // objective
	settle    time.Time // no start before it, unless every worker was listed
	barred    time.Time // no start before it, whatever was listed
	work      time.Duration
	tasks     []*task
	left      int // tasks not done
	began     bool
	late      bool // it cannot meet its objective, given what is ahead of it
	ended     bool // answered or withdrawn; tasks may still be stopping
}

// tasksOf makes the tasks of a job.
func tasksOf(j *jobState) {
	for s := range j.Job.Steps {
		step := &j.Job.Steps[s]
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{name: job.Task{Job: j.Job.ID, Step: s, Index: i}, of: j, step: step})
		}
	}
	j.left = len(j.tasks)
}

// open reports whether all steps that s depends on have ended.
func (j *jobState) open(s *job.Step) bool {
	for _, a := range s.After {
		for _, t := range j.tasks {
			if t.name.Step == a && t.phase != ended {
				return false
			}
		}
	}
	return true
}

// longest returns the expected work of the longest chain of steps.
func (j *jobState) longest(of func(*job.Step) time.Duration) time.Duration {
	chain := make([]time.Duration, len(j.Job.Steps))
	var most time.Duration
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += of(s)
		most = max(most, chain[i])
	}
	return most
}

// ghost is a start that had no answer.
type ghost struct {
	task job.Task
	run  job.Run
	at   time.Time
}

// workerState is a worker as the dispatcher knows it.
type workerState struct {
	worker.Record
	timing worker.ClockEstimate
	free   worker.Resources
	tasks  map[job.Task]*task
	alien  map[job.Task]job.Run // runs of jobs that nobody asked for yet

	ghosts   []ghost   // starts of late that had no answer
	stray    time.Time // orders that had none may prolong leases until then
	listed   bool      // it was looked at under this fence
	seen     uint64    // ends up to here were taken in
	holding  bool      // a hold is on its way
	holdAt   time.Time // when the newest hold was sent
	silent   int       // orders without an answer, in a row
	avoid    time.Time // gets no new task before
	failures int       // runs that failed, in a row
	stuck    int       // runs that stood still, since one was done
	extended time.Time // leases may last until then
	answered time.Time // the newest answer
	stale    bool      // another incarnation answered; wait for its announcement
}

// sound reports whether tasks may be given to w: it was looked at, answers, is
// not leaving and was not avoided for its failures.
func (w *workerState) sound(now time.Time) bool {
	return w.listed && !w.stale && w.silent == 0 && w.alive(now) && !now.Before(w.avoid)
}

// alive reports whether w was heard, by its announcements or by an answer. The
// former do not arrive while all control VMs are lost.
func (w *workerState) alive(now time.Time) bool {
	return w.Usable(now) || !w.Deregistered && !w.Leaving && now.Sub(w.answered) < answeredFor
}

// unheard reports whether w is to be asked for a sign of life, since its
// announcements stopped and it answered nothing for a while.
func (w *workerState) unheard(now time.Time) bool {
	silent := now.Sub(w.AnnouncedAt)
	return !w.Deregistered && !w.Leaving && silent > worker.AnnouncementTimeout-answeredFor && silent < unheardFor && now.Sub(w.answered) > answeredFor/2
}

// Times of workers whose announcements stopped.
const (
	// answeredFor is how long an answer shows that a worker lives: two probes.
	answeredFor = time.Second
	// unheardFor is how long such a worker is asked: longer than all control VMs
	// are dark at once, as the platform names it.
	unheardFor = 30 * time.Second
)

// busy reports whether something may run on w.
func (w *workerState) busy() bool { return len(w.tasks) > 0 || len(w.alien) > 0 }
