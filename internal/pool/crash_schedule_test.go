package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// hazards adds to a simulation what comes together on the worst days: tasks that crash
// their workers, workers that are back soon under their name, orders that are carried out
// seconds late, connections that are refused, and callers that submit a job again.
type hazards struct {
	r            *rand.Rand
	latePercent  int // of the orders
	crashes      crash.Log
	dueCrashes   map[time.Time][]*simWorker
	resubmits    map[time.Time][]job.ID
	lostUnder    map[job.Task]int // workers that crashed while they ran the task
	failing      bool             // some tasks always fail
	listedFailed map[job.Task]map[listedEnd]bool
	calledFailed error // of the first job that was called failed without cause
	givenUp      map[job.ID]bool
	startsAfter  map[job.Task]int // starts of deadly tasks after they crashed maxCrashedWorkers workers, without late ones
	overBudget   error            // of the first deadly task that was started too often
}

// Once a task has crashed maxCrashedWorkers workers it may be started fewer than
// maxCrashedWorkers times more, as the platform states it.
const maxCrashedWorkers = 3

// listedEnd identifies an end that a worker listed.
type listedEnd struct {
	worker      worker.ID
	incarnation worker.Incarnation
	number      uint64
}

const (
	deadlyPercent      = 15 // of the jobs
	failingPercent     = 15 // of the jobs, if some tasks fail
	shortestOrderDelay = 2 * time.Second
	longestOrderDelay  = 12 * time.Second
	maxResubmits       = 3
	hazardSteps        = 3200
	refusedDelay       = 2 * time.Millisecond
	deadlyTaskIndex    = 0 // also of the tasks that fail
)

func newHazards(seed uint64, latePercent int) *hazards {
	return &hazards{
		r: rand.New(rand.NewPCG(seed, 3)), latePercent: latePercent, dueCrashes: make(map[time.Time][]*simWorker),
		resubmits: make(map[time.Time][]job.ID), lostUnder: make(map[job.Task]int), listedFailed: make(map[job.Task]map[listedEnd]bool),
		givenUp: make(map[job.ID]bool), startsAfter: make(map[job.Task]int),
	}
}

// step crashes the workers whose deadly tasks are due, and submits jobs again.
func (h *hazards) step(sim *simulation) {
	for _, s := range h.dueCrashes[sim.now] {
		if sim.now.Before(s.downUntil) {
			continue
		}
		s.start(sim.now)
		s.downUntil = sim.now.Add(time.Second + time.Duration(h.r.IntN(3000))*time.Millisecond)
		sim.stats["deadly crashes"]++
	}
	delete(h.dueCrashes, sim.now)
	for _, id := range h.resubmits[sim.now] {
		delete(sim.outcomes, id)
		if p, ok := sim.owner(string(id)); ok {
			p.Submit(sim.now, sim.jobs[id])
			sim.stats["resubmits"]++
		}
	}
	delete(h.resubmits, sim.now)
}

// delay has some orders carried out late, without a reply.
func (h *hazards) delay(sim *simulation, f *scheduledEvent) {
	if h.r.IntN(100) < h.latePercent {
		f.at, f.replyLost = sim.now.Add(shortestOrderDelay+time.Duration(h.r.Int64N(int64(longestOrderDelay-shortestOrderDelay)))), true
	}
}

// refuse has the host of a crashed worker refuse the connection of an order, unless that
// was delayed.
func (h *hazards) refuse(sim *simulation, f scheduledEvent) {
	if !f.replyLost {
		r := Reply{Order: f.order, Refusal: RefusedUnsent, NoListener: true}
		sim.events = append(sim.events, scheduledEvent{orderID: f.orderID, pool: f.pool, order: f.order, at: sim.now.Add(refusedDelay), reply: &r})
	}
}

// isDeadly reports whether a task crashes its workers.
func isDeadly(t job.Task) bool {
	var n int
	_, _ = fmt.Sscanf(string(t.Job), "j%d", &n)
	return t.Index == deadlyTaskIndex && n*37%100 < deadlyPercent
}

// isFailing reports whether the runs of a task end as failed. The factor keeps most of these
// jobs apart from the deadly ones.
func (h *hazards) isFailing(t job.Task) bool {
	var n int
	_, _ = fmt.Sscanf(string(t.Job), "j%d", &n)
	return h.failing && t.Index == deadlyTaskIndex && n*53%100 < failingPercent
}

// listed notes the failed ends in a list that reaches its dispatcher.
func (h *hazards) listed(r Reply) {
	for _, e := range r.EndedRuns {
		if e.Kind != EndedFailed {
			continue
		}
		if h.listedFailed[e.Task] == nil {
			h.listedFailed[e.Task] = make(map[listedEnd]bool)
		}
		h.listedFailed[e.Task][listedEnd{r.Worker, r.RepliedBy, e.Number}] = true
	}
}

// started schedules the crash that a deadly task causes, and counts its starts after others.
func (h *hazards) started(sim *simulation, s *simWorker, o Order) {
	if !isDeadly(o.Task) {
		return
	}
	at := sim.now.Add(time.Duration(2+h.r.IntN(10)) * stepTime)
	h.dueCrashes[at] = append(h.dueCrashes[at], s)
	if h.lostUnder[o.Task] < maxCrashedWorkers || sim.now.Sub(o.Sent) > OrderTimeout {
		return
	}
	if h.startsAfter[o.Task]++; h.startsAfter[o.Task] >= maxCrashedWorkers && h.overBudget == nil {
		h.overBudget = fmt.Errorf("at %s task %v is started %d times after %d workers crashed under it",
			sim.now.Sub(time.Unix(1000, 0)), o.Task, h.startsAfter[o.Task], h.lostUnder[o.Task])
	}
}

// answered checks that a failed job has a task with as many listed failed ends as it may
// have, and has the caller of an abandoned one try again.
func (h *hazards) answered(sim *simulation, a Answer) {
	switch a.Outcome {
	case job.Failed:
		for t, ends := range h.listedFailed {
			if t.Job == a.Job && len(ends) >= sim.jobs[a.Job].MaxAttempts {
				return
			}
		}
		if h.calledFailed == nil {
			h.calledFailed = fmt.Errorf("at %s job %s is answered failed (%s) although no task of it has as many listed failed ends as it may have",
				sim.now.Sub(time.Unix(1000, 0)), a.Job, a.Reason)
		}
	case job.Abandoned:
		if a.Reason == reasonCrashes || a.Reason == reasonLosses {
			sim.stats["given up"]++
			if !h.givenUp[a.Job] && !isDeadly(job.Task{Job: a.Job}) {
				sim.stats["innocent jobs given up"]++
			}
			h.givenUp[a.Job] = true
		}
		if h.r.IntN(maxResubmits+1) > 0 {
			at := sim.now.Add(resubmitDelay)
			h.resubmits[at] = append(h.resubmits[at], a.Job)
		}
	}
}

// runCrashSchedule runs one schedule with hazards, to its end or until a task runs twice at
// once. With failing, some tasks always fail.
func runCrashSchedule(seed uint64, latePercent int, failing bool, f fault) (*simulation, error) {
	sim := newSimulation(seed, f)
	sim.hazards = newHazards(seed, latePercent)
	sim.hazards.failing = failing
	for _, p := range sim.pools {
		p.crashes = &sim.hazards.crashes
	}
	for _, s := range sim.workers {
		s.onCrash = func(s *simWorker) {
			for t := range s.running {
				sim.hazards.lostUnder[t]++
			}
		}
	}
	for range hazardSteps {
		if err := sim.step(); err != nil {
			return sim, err
		}
	}
	return sim, nil
}

// moreSchedules is the number of further seeds that are run with hazards, from 1000; CI runs
// none of them.
var moreSchedules = flag.Uint64("schedules.more", 0, "number of further seeds for the schedules with hazards")

// hazardSchedules runs the schedules of some seeds, and of those of moreSchedules, each with
// some shares of late orders, and passes each to check.
func hazardSchedules(t *testing.T, seeds []uint64, failing bool, check func(sim *simulation, err error) error) {
	for more := range *moreSchedules {
		seeds = append(seeds, 1000+more)
	}
	total := make(map[string]int)
	var mu sync.Mutex // guards total
	var all sync.WaitGroup
	running := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, seed := range seeds {
		for _, late := range []int{0, 5, 20, 40} {
			running <- struct{}{}
			all.Go(func() {
				defer func() { <-running }()
				sim, err := runCrashSchedule(seed, late, failing, noFault)
				if err := check(sim, err); err != nil {
					t.Errorf("seed %d with %d%% of the orders late: %v", seed, late, err)
				}
				mu.Lock()
				defer mu.Unlock()
				for k, n := range sim.stats {
					total[k] += n
				}
			})
		}
	}
	all.Wait()
	t.Log(total)
	conclusive := []string{"jobs", "starts", "completed", "given up", "takeovers", "deadly crashes", "resubmits"}
	if failing {
		conclusive = append(conclusive, "failed")
	}
	for _, k := range conclusive {
		if total[k] < len(seeds) {
			t.Errorf("%d %s, too few for the test to be conclusive", total[k], k)
		}
	}
}

// TestLateStartBesideRunElsewhere: a start without a reply is carried out by the next
// incarnation of its worker while the task runs on another one.
func TestLateStartBesideRunElsewhere(t *testing.T) {
	hazardSchedules(t, []uint64{1009, 1025, 1048, 1083, 1093, 1118, 1124, 1125, 1161, 1166, 1168, 1206, 1210, 1226, 1713}, false, func(_ *simulation, err error) error { return err })
}

// TestForgottenLateStartsAreDetected shows that the schedules with hazards fail if dispatchers
// forget the starts without a reply.
func TestForgottenLateStartsAreDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(faultSeeds) {
		if _, err := runCrashSchedule(seed, 40, false, faultLateStartsForgotten); err != nil {
			return
		}
	}
	t.Errorf("not detected in %d schedules", faultSeeds)
}

// TestJobCalledFailedWithoutCause: a job is answered as failed although no task of it has as
// many listed failed ends as it may have.
func TestJobCalledFailedWithoutCause(t *testing.T) {
	hazardSchedules(t, []uint64{0, 1, 5, 13, 14, 15, 19, 25, 26, 29}, true, func(sim *simulation, _ error) error { return sim.hazards.calledFailed })
}

// TestDeadlyTaskIsGivenUpInTime: a task that crashes its workers is started again and again.
func TestDeadlyTaskIsGivenUpInTime(t *testing.T) {
	hazardSchedules(t, []uint64{0, 1, 5, 13, 14, 15, 19, 25, 26, 29}, false, func(sim *simulation, _ error) error { return sim.hazards.overBudget })
}
