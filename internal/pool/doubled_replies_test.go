package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// Faults that settled.check must detect.
const (
	faultDoneTaskAdopted fault = "a run of a task that is done is adopted"
	faultEndsAsDone      fault = "lapsed and failed runs are listed as done"
)

// Bounds of the schedules with jobs of several steps.
const (
	settledSeeds      = 100
	maxSteps          = 3
	maxCount          = 4
	mostDoubled       = 20 // percent of the orders whose worker replied to an earlier one
	keptReplies       = 8  // to each worker on each dispatcher
	longestDoubleWait = 150 * time.Millisecond
	longestBehind     = time.Second
)

// stepped draws jobs of several steps. A nil stepped leaves jobs as they are.
type stepped struct{ r *rand.Rand }

// skips draws whether a job is not submitted, or not withdrawn, as those of several steps take longer.
func (s *stepped) skips() bool { return s != nil && s.r.IntN(3) > 0 }

// addSteps adds steps to a job; each depends on some of those before it.
func (s *stepped) addSteps(r *Request) {
	if s == nil {
		return
	}
	for i := 1; i < 1+s.r.IntN(maxSteps); i++ {
		step := r.Job.Steps[0]
		step.Count, step.After = 1+s.r.IntN(maxCount), []int{s.r.IntN(i)}
		if other := s.r.IntN(i); other != step.After[0] {
			step.After = append(step.After, other)
		}
		r.Job.Steps = append(r.Job.Steps, step)
	}
	r.RemainingWait = time.Duration(len(r.Job.Steps)) * r.RemainingWait
}

// doubledReplies replaces the replies to some orders by that to an earlier order, of any kind, which the
// same dispatcher sent to the same incarnation. A nil doubledReplies replaces none.
type doubledReplies struct {
	r           *rand.Rand
	percent     int                       // of the orders whose worker replied to an earlier one
	replies     map[poolAndWorker][]Reply // the newest keptReplies
	behindUntil map[poolAndWorker]time.Time
}

// poolAndWorker names a worker and a dispatcher, that one as an index.
type poolAndWorker struct {
	pool   int
	worker worker.ID
}

// record keeps a reply for replace.
func (d *doubledReplies) record(pool int, r Reply) {
	if d == nil {
		return
	}
	key := poolAndWorker{pool, r.Worker}
	kept := append(d.replies[key], r)
	d.replies[key] = kept[max(0, len(kept)-keptReplies):]
}

// replace may plan an earlier reply in the place of that to the order of f, which is carried out nevertheless. Some
// workers are a reply behind from then on, for up to longestBehind.
func (d *doubledReplies) replace(sim *simulation, f *scheduledEvent) {
	if d == nil {
		return
	}
	key := poolAndWorker{f.pool, f.order.Worker}
	kept := d.replies[key]
	behind := sim.now.Before(d.behindUntil[key])
	if len(kept) == 0 || !behind && d.r.IntN(100) >= d.percent {
		return
	}
	r := kept[len(kept)-1]
	switch {
	case behind:
	case d.r.IntN(8) == 0:
		d.behindUntil[key] = sim.now.Add(time.Duration(d.r.Int64N(int64(longestBehind))))
	default:
		r = kept[d.r.IntN(len(kept))]
	}
	if r.RepliedBy != sim.findWorker(f.order.Worker).incarnation {
		return
	}
	sim.stats["replaced"]++
	if r.Kind != f.order.Kind {
		sim.stats["replaced by another kind"]++
	}
	r.Order = f.order
	wait := time.Millisecond
	if d.r.IntN(2) == 0 {
		wait = time.Duration(d.r.Int64N(int64(longestDoubleWait)))
	}
	f.replyLost = true
	sim.events = append(sim.events, scheduledEvent{orderID: f.orderID, pool: f.pool, order: f.order, at: sim.now.Add(wait), reply: &r})
}

// settled checks that what is settled stays so: jobs are answered as completed only after each of their tasks
// has ended done on a worker, and tasks that are done remain so while their jobs are open. A nil settled checks nothing.
type settled struct {
	ends map[listedEnd]End
	done map[job.Task]bool
	// finished has the tasks that were done when last checked, of each dispatcher's open jobs.
	finished map[settledTask]bool
	err      error // the first violation
}

// settledTask names a task of an admission of a dispatcher, that one as an index.
type settledTask struct {
	pool      int
	admission Admission
	task      job.Task
}

// newSteppedSimulation returns the schedule of a seed with jobs of several steps and handovers in series.
func newSteppedSimulation(seed uint64, f fault) *simulation {
	sim := newHandoverSimulation(seed)
	sim.fault = f
	sim.stepped = &stepped{rand.New(rand.NewPCG(seed, 12))}
	c := &settled{ends: make(map[listedEnd]End), done: make(map[job.Task]bool), finished: make(map[settledTask]bool)}
	sim.settled = c
	for _, s := range sim.workers {
		s.onEnd = func(s *simWorker, e End) {
			c.ends[listedEnd{s.id, s.incarnation, e.Number}] = e
			c.done[e.Task] = c.done[e.Task] || e.Kind == EndedDone
		}
	}
	return sim
}

func newDoubledSimulation(seed uint64, f fault) *simulation {
	sim := newSteppedSimulation(seed, f)
	r := rand.New(rand.NewPCG(seed, 13))
	sim.doubled = &doubledReplies{r: r, percent: 1 + r.IntN(mostDoubled), replies: make(map[poolAndWorker][]Reply), behindUntil: make(map[poolAndWorker]time.Time)}
	return sim
}

// fail records the first violation.
func (c *settled) fail(sim *simulation, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("at %s "+format, append([]any{sim.now.Sub(time.Unix(1000, 0))}, args...)...)
	}
}

// check compares the tasks of the open jobs of all dispatchers with those of the last call.
func (c *settled) check(sim *simulation) error {
	if c == nil {
		return nil
	}
	nowDone := make(map[settledTask]bool)
	for i, p := range sim.pools {
		if sim.hasStopped(i) {
			continue
		}
		for _, j := range p.jobs {
			if j.closed {
				continue
			}
			for _, t := range j.tasks {
				key := settledTask{i, j.admission, t.name}
				if t.phase == finished {
					nowDone[key] = true
				} else if c.finished[key] {
					c.fail(sim, "dispatcher %d has task %v in phase %v after it was done", i, t.name, t.phase)
				}
			}
		}
	}
	c.finished = nowDone
	return c.err
}

// checkStart checks that a dispatcher starts no task that is done.
func (c *settled) checkStart(sim *simulation, pool int, o Order) {
	if c == nil || o.Kind != StartOrder {
		return
	}
	j := sim.pools[pool].jobs[o.Task.Job]
	if j != nil && !j.closed && c.finished[settledTask{pool, j.admission, o.Task}] {
		c.fail(sim, "dispatcher %d starts task %v, which is done, as run %d on %s", pool, o.Task, o.Run, o.Worker)
	}
}

// checkAnswer checks that all tasks of a completed job have ended done, and that the ends that were counted
// for them are on the workers.
func (c *settled) checkAnswer(sim *simulation, pool int, a Answer) {
	if c == nil || a.Outcome != job.Completed {
		return
	}
	tasks := 0
	for s, step := range sim.jobs[a.Job].Job.Steps {
		tasks += step.Count
		for i := range step.Count {
			if name := (job.Task{Job: a.Job, Step: s, Index: i}); !c.done[name] {
				c.fail(sim, "dispatcher %d answers job %s as completed, task %v has not ended done: %+v", pool, a.Job, name, a.Tasks)
			}
		}
	}
	if tasks > 1 {
		sim.stats["completed with several tasks"]++
	}
	if len(a.Tasks) != tasks {
		c.fail(sim, "dispatcher %d answers job %s of %d tasks as completed with %d", pool, a.Job, tasks, len(a.Tasks))
	}
	for _, r := range a.Tasks {
		want := End{Number: r.EndNumber, Task: job.Task{Job: a.Job, Step: r.Step, Index: r.Index}, Run: r.Run, Kind: EndedDone}
		if got := c.ends[listedEnd{r.Worker, r.Incarnation, r.EndNumber}]; got != want {
			c.fail(sim, "dispatcher %d counts an end of job %s that is %+v on its worker: %+v", pool, a.Job, got, r)
		}
	}
}

// injectSettledFault changes a reply that is about to reach its dispatcher.
func (sim *simulation) injectSettledFault(r *Reply) {
	if sim.fault != faultEndsAsDone {
		return
	}
	r.EndedRuns = append([]End(nil), r.EndedRuns...)
	for i := range r.EndedRuns {
		r.EndedRuns[i].Kind = EndedDone
	}
}

// adoptDone has a dispatcher adopt the runs that its workers list of tasks that are done.
func (sim *simulation) adoptDone(p *Pool) {
	if sim.fault != faultDoneTaskAdopted {
		return
	}
	for _, w := range p.byID {
		for name, run := range w.orphans {
			if t := p.task(name); t != nil && !t.job.closed && t.phase == finished {
				delete(w.orphans, name)
				t.beginRun(p.startedAt, run)
				t.phase, t.ackedAt = running, p.startedAt
				t.assign(w)
			}
		}
	}
}

// checkSettledSchedules runs the schedules of settledSeeds and of moreSchedules.
func checkSettledSchedules(t *testing.T, newSimulation func(seed uint64, f fault) *simulation, conclusive ...string) {
	total, failed := make(map[string]int), 0
	for seed := range settledSeeds + *moreSchedules {
		stats, err := newSimulation(seed, noFault).run(handoverSteps)
		if err != nil {
			failed++
			t.Errorf("seed %d: %v", seed, err)
		}
		for k, n := range stats {
			total[k] += n
		}
	}
	t.Logf("%d of %d schedules failed; %v", failed, settledSeeds+*moreSchedules, total)
	for _, k := range append(conclusive, "jobs", "starts", "completed with several tasks", "handovers", "restarts") {
		if total[k] < settledSeeds {
			t.Errorf("%d %s, too few for the test to be conclusive", total[k], k)
		}
	}
}

// TestDoubledRepliesChangeNothingSettled: a reply to an earlier order arrives in the place of that to a later
// one. A job was answered as completed while one of its tasks was not done (issue 53).
func TestDoubledRepliesChangeNothingSettled(t *testing.T) {
	t.Parallel()
	checkSettledSchedules(t, newDoubledSimulation, "replaced", "replaced by another kind")
}

// TestNoTaskOfSeveralStepsRunsTwice: jobs of several steps across handovers, also with the checks of
// TestDoubledRepliesChangeNothingSettled.
func TestNoTaskOfSeveralStepsRunsTwice(t *testing.T) {
	t.Parallel()
	checkSettledSchedules(t, newSteppedSimulation)
}

// TestUnsettledTasksAreDetected shows that the checks fail under injected faults.
func TestUnsettledTasksAreDetected(t *testing.T) {
	t.Parallel()
	for _, f := range []fault{faultDoneTaskAdopted, faultEndsAsDone} {
		detected := false
		for seed := uint64(0); seed < faultSeeds && !detected; seed++ {
			sim := newDoubledSimulation(seed, f)
			_, _ = sim.run(handoverSteps)
			detected = sim.settled.err != nil
		}
		if !detected {
			t.Errorf("fault %q: not detected in %d schedules", f, faultSeeds)
		}
	}
}
