package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
)

// predecessors makes the dispatchers that are replaced go on for some time, with workers that their
// successors do not reach.
type predecessors struct {
	r       *rand.Rand
	longest time.Duration // that a replaced dispatcher continues
	// lateGates has gates learn of the successor up to longest after its takeover.
	lateGates bool
	// split cuts replaced dispatchers off from the workers that their successors reach, so that these refuse none of their orders.
	split bool
}

// prolong makes a replaced dispatcher go on, and cuts its successor off from some workers.
func (p *predecessors) prolong(sim *simulation, replaced, successor int) {
	sim.stopsAt[replaced] = sim.now.Add(time.Duration(p.r.Int64N(int64(p.longest))))
	for i := range sim.workers {
		if p.r.IntN(2) == 0 {
			sim.partitionedUntil[[2]int{successor, i}] = sim.now.Add(time.Duration(p.r.IntN(3000)) * time.Millisecond)
			sim.stats["cut off"]++
		} else if p.split {
			sim.partitionedUntil[[2]int{replaced, i}] = sim.stopsAt[replaced]
		}
	}
}

func newPredecessorSimulation(seed uint64, longest time.Duration) *simulation {
	sim := newHandoverSimulation(seed)
	sim.handovers.predecessors = &predecessors{r: rand.New(rand.NewPCG(seed, 10)), longest: longest}
	return sim
}

// TestNoTaskRunsTwiceUnderItsPredecessor: a dispatcher that was replaced goes on for up to 1 s after that, the
// isolationTimeout of package lead, with workers that only it reaches. The seeds that are named are from more
// schedules than the standard ones.
func TestNoTaskRunsTwiceUnderItsPredecessor(t *testing.T) {
	t.Parallel()
	run := func(seed uint64) (map[string]int, error) {
		return newPredecessorSimulation(seed, time.Second).run(handoverSteps)
	}
	checkHandoverSchedules(t, run)
	for _, seed := range []uint64{206, 246, 262} {
		if _, err := run(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestNoTaskRunsTwiceUnderLastingPredecessor: a dispatcher that is cut off from the other entry VMs only continues for
// seconds, and the gates of some of its jobs are lost (issue 50).
func TestNoTaskRunsTwiceUnderLastingPredecessor(t *testing.T) {
	t.Parallel()
	checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
		sim := newPredecessorSimulation(seed, 3*time.Second)
		sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
		return sim.run(handoverSteps)
	})
}

// TestNoTaskRunsTwiceWhenGatesFollowLate: gates learn of a takeover up to 2 s late, and forward their jobs
// when the next dispatcher starts others already (issue 50).
func TestNoTaskRunsTwiceWhenGatesFollowLate(t *testing.T) {
	t.Parallel()
	checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
		sim := newPredecessorSimulation(seed, 2*time.Second)
		sim.handovers.predecessors.lateGates = true
		return sim.run(handoverSteps)
	})
}

// newLateGateSimulation has gates stay for up to 3 s with replaced dispatchers that share no worker with their successors, and
// tasks that take long.
func newLateGateSimulation(seed uint64) *simulation {
	sim := newPredecessorSimulation(seed, 3*time.Second)
	sim.handovers.predecessors.lateGates, sim.handovers.predecessors.split = true, true
	sim.slowdown = 3
	return sim
}

// TestNoTaskRunsTwiceWhenGatesStay: gates stay with replaced dispatchers for longer than all grants of a takeover last, so that only
// what they tell with a forward keeps its tasks from running twice.
func TestNoTaskRunsTwiceWhenGatesStay(t *testing.T) {
	t.Parallel()
	checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) { return newLateGateSimulation(seed).run(scheduleSteps) })
}

// combinedSteps keeps the run time of the combined schedules low. With a handover every 0.3 to 0.6 s few jobs are completed,
// so that those schedules take more steps.
const combinedSteps = 1500

// TestNoTaskRunsTwiceUnderPredecessorAndMore combines replaced dispatchers that continue with what
// other schedules draw.
func TestNoTaskRunsTwiceUnderPredecessorAndMore(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		longest time.Duration // that a replaced dispatcher continues
		steps   int
		add     func(sim *simulation, seed uint64)
	}{
		{"workers are unknown for some time", time.Second, combinedSteps, func(sim *simulation, seed uint64) {
			sim.hidden = newHiddenWorkers(seed, 2500*time.Millisecond, false)
		}},
		{"workers leave", time.Second, combinedSteps, (*simulation).addDepartures},
		{"clocks are set back", time.Second, combinedSteps, (*simulation).setClocksBack},
		{"a third dispatcher takes over while the first continues", 3 * time.Second, scheduleSteps + 200, func(sim *simulation, _ uint64) {
			sim.handovers.gapRange = 300 * time.Millisecond
		}},
		{"gates are lost, others follow late", 2 * time.Second, combinedSteps, func(sim *simulation, seed uint64) {
			sim.handovers.predecessors.lateGates = true
			sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
				sim := newPredecessorSimulation(seed, c.longest)
				c.add(sim, seed)
				return sim.run(c.steps)
			})
		})
	}
}

// TestNoTaskRunsTwiceOnUnnoticedRestart: an idle worker restarts after it has listed its runs to the next dispatcher. Its next
// process has seen no fence, and carries out a start that the earlier dispatcher orders about when its gate
// forwards the job.
func TestNoTaskRunsTwiceOnUnnoticedRestart(t *testing.T) {
	for _, startedAfter := range []time.Duration{-stepTime, 10 * stepTime} { // the forward
		p := newPredecessorCase()
		p.startWorker()
		p.tellNext()
		p.sim.carryOut(p.next)
		p.startWorker()
		p.run(t, 20*stepTime, 20*stepTime+startedAfter, func() {})
	}
}

// TestNoTaskRunsTwiceOnUnannouncedWorker: a worker starts 0.4 s after a takeover. The earlier dispatcher learns of it at once and
// orders a start there. The next one, which is cut off, counts on knowing all workers as of its takeover, and learns of
// this one only after the gate has forwarded the job (issue 57).
func TestNoTaskRunsTwiceOnUnannouncedWorker(t *testing.T) {
	p := newPredecessorCase()
	const announcedAt, forwardedAt, knownAt = 400 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond
	p.run(t, forwardedAt, announcedAt, func() {
		switch p.sinceTakeover() {
		case announcedAt:
			p.startWorker()
		case knownAt:
			p.tellNext()
		}
	})
}

// TestNoTaskRunsTwiceOnWorkerWithNewClock: the earlier dispatcher has not noticed that a worker restarted, and starts the job there as late
// as it may, with a deadline on the clock of the process that ended. The next process cuts that to the longest lease.
func TestNoTaskRunsTwiceOnWorkerWithNewClock(t *testing.T) {
	for _, startAfter := range []time.Duration{100 * time.Millisecond, 350 * time.Millisecond, maxLeaseSilence - 2*stepTime} { // the forward
		const forwardAt = 200 * time.Millisecond
		p := newPredecessorCase()
		p.startWorker()
		p.worker.startedAt = p.sim.now.Add(-10 * time.Second)
		p.sim.tell(p.earlier, p.worker)
		p.sim.carryOut(p.earlier)
		p.earlier.workers[p.worker.id].backoffUntil = p.takenOverAt.Add(forwardAt + startAfter)
		p.tellNext()
		p.sim.carryOut(p.next)
		p.run(t, forwardAt, forwardAt+startAfter, func() {
			if p.sinceTakeover() == forwardAt+startAfter-2*stepTime {
				p.worker.start(p.sim.now)
			}
		})
	}
}

// predecessorCase is a takeover whose earlier dispatcher continues. It starts the only job on a worker that has seen no
// order of the next dispatcher; that one reaches another worker.
type predecessorCase struct {
	sim           *simulation
	earlier, next *Pool
	worker        *simWorker // on which the earlier dispatcher starts the job
	takenOverAt   time.Time
	forwardedAt   time.Time // zero before
}

func newPredecessorCase() *predecessorCase {
	p := &predecessorCase{sim: &simulation{r: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), stats: make(map[string]int), slowdown: 10}}
	p.worker = &simWorker{id: "w1", rate: 1}
	other := &simWorker{id: "w0", rate: 1} // the next dispatcher prefers the lower id
	other.start(p.sim.now)
	p.sim.workers = []*simWorker{p.worker, other}
	p.earlier, p.next = p.newPool(1), p.newPool(2)
	p.takenOverAt = p.sim.now
	p.sim.tell(p.next, other)
	p.sim.carryOut(p.next)
	return p
}

// newPool returns a dispatcher. The earlier one, of fence 1, does not hear the gate after the forward.
func (p *predecessorCase) newPool(f lead.Fence) *Pool {
	return New(p.sim.now, Config{Fence: f, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, GateContact: func(now time.Time, _ Admission) GateContact {
		if f == 1 && !p.forwardedAt.IsZero() {
			now = p.forwardedAt
		}
		return GateContact{HeardAt: now, ConfirmedAt: now}
	}})
}

func (p *predecessorCase) sinceTakeover() time.Duration { return p.sim.now.Sub(p.takenOverAt) }

// startWorker starts the worker, of which the earlier dispatcher learns at once.
func (p *predecessorCase) startWorker() {
	p.worker.start(p.sim.now)
	p.sim.tell(p.earlier, p.worker)
}

// tellNext has the next dispatcher learn of the worker.
func (p *predecessorCase) tellNext() { p.sim.tell(p.next, p.worker) }

// run plays two seconds in which the earlier dispatcher starts the job at startAt, if it can, and the gate forwards the job at
// forwardAt. These are times since the takeover; each is called at every step. It fails the test if the job runs twice at
// once, or never.
func (p *predecessorCase) run(t *testing.T, forwardAt, startAt time.Duration, each func()) {
	t.Helper()
	r := patientRequest(time.Second)
	p.earlier.Submit(p.sim.now, r)
	for p.sinceTakeover() < 2*time.Second {
		p.sim.now = p.sim.now.Add(stepTime)
		each()
		if p.sinceTakeover() == forwardAt {
			p.forwardedAt, r.MayBeRunning = p.sim.now, true
			p.next.Submit(p.sim.now, r)
		}
		if w := p.earlier.workers[p.worker.id]; w != nil {
			w.backoffUntil = p.takenOverAt.Add(startAt)
		}
		for _, pool := range []*Pool{p.earlier, p.next} {
			pool.Tick(p.sim.now)
			p.sim.carryOut(pool)
		}
		for _, s := range p.sim.workers {
			p.sim.advanceRuns(s)
		}
		if err := p.sim.checkNoConcurrentRuns(); err != nil {
			t.Errorf("forwarded %s and to be started %s after the takeover: %v", forwardAt, startAt, err)
			return
		}
	}
	if p.sim.stats["starts"] == 0 {
		t.Errorf("forwarded %s and to be started %s after the takeover: the job never starts", forwardAt, startAt)
	}
}

// carryOut has the workers carry out the pending orders of a dispatcher.
func (sim *simulation) carryOut(p *Pool) {
	orders, _ := p.TakePending()
	for _, o := range orders {
		r := sim.execute(sim.findWorker(o.Worker), o)
		r.ReceivedAt = sim.now
		p.Receive(sim.now, r)
	}
}
