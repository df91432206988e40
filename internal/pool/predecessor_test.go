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
}

// prolong makes a replaced dispatcher go on, and cuts its successor off from some workers.
func (p *predecessors) prolong(sim *simulation, replaced, successor int) {
	sim.stopsAt[replaced] = sim.now.Add(time.Duration(p.r.Int64N(int64(p.longest))))
	for i := range sim.workers {
		if p.r.IntN(2) == 0 {
			sim.partitionedUntil[[2]int{successor, i}] = sim.now.Add(time.Duration(p.r.IntN(3000)) * time.Millisecond)
			sim.stats["cut off"]++
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

// combinedSteps keeps the run time of the combined schedules low.
const combinedSteps = 1500

// TestNoTaskRunsTwiceUnderPredecessorAndMore combines replaced dispatchers that continue with what
// other schedules draw.
func TestNoTaskRunsTwiceUnderPredecessorAndMore(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		longest time.Duration // that a replaced dispatcher continues
		add     func(sim *simulation, seed uint64)
	}{
		{"workers are unknown for some time", time.Second, func(sim *simulation, seed uint64) {
			sim.hidden = newHiddenWorkers(seed, 2500*time.Millisecond, false)
		}},
		{"workers leave", time.Second, (*simulation).addDepartures},
		{"clocks are set back", time.Second, (*simulation).setClocksBack},
		{"a third dispatcher takes over while the first continues", 3 * time.Second, func(sim *simulation, _ uint64) {
			sim.handovers.gapRange = 300 * time.Millisecond
		}},
		{"gates are lost, others follow late", 2 * time.Second, func(sim *simulation, seed uint64) {
			sim.handovers.predecessors.lateGates = true
			sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
				sim := newPredecessorSimulation(seed, c.longest)
				c.add(sim, seed)
				return sim.run(combinedSteps)
			})
		})
	}
}

// TestNoTaskRunsTwiceOnUnnoticedRestart: an idle worker restarts after it has listed its runs to the next dispatcher. Its next
// process has seen no fence, and carries out a start that the earlier dispatcher orders about when its gate
// forwards the job.
func TestNoTaskRunsTwiceOnUnnoticedRestart(t *testing.T) {
	for _, startedAfter := range []time.Duration{-stepTime, 10 * stepTime} { // the forward
		sim := &simulation{r: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), stats: make(map[string]int), slowdown: 10}
		reachable, other := &simWorker{id: "w1", rate: 1}, &simWorker{id: "w0", rate: 1} // the next dispatcher prefers the lower id
		sim.workers = []*simWorker{reachable, other}
		var forwardedAt time.Time
		takeOver := func(f lead.Fence, workers ...*simWorker) *Pool {
			p := New(sim.now, Config{Fence: f, LeaseMax: time.Second, StopMax: 50 * time.Millisecond, GateContact: func(now time.Time, _ Admission) GateContact {
				if f == 1 && !forwardedAt.IsZero() {
					now = forwardedAt
				}
				return GateContact{HeardAt: now, ConfirmedAt: now}
			}})
			for _, s := range workers {
				sim.tell(p, s)
			}
			return p
		}
		for _, s := range sim.workers {
			s.start(sim.now)
		}
		earlier := takeOver(1, reachable)
		sim.carryOut(earlier)
		next := takeOver(2, reachable, other)
		sim.carryOut(next)
		reachable.start(sim.now)
		r := patientRequest(time.Second)
		earlier.workers[reachable.id].backoffUntil = sim.now.Add(20*stepTime + startedAfter)
		earlier.Submit(sim.now, r)
		for step := range 400 {
			sim.now = sim.now.Add(stepTime)
			if step+1 == 20 {
				forwardedAt, r.MayBeRunning = sim.now, true
				next.Submit(sim.now, r)
			}
			for _, p := range []*Pool{earlier, next} {
				p.Tick(sim.now)
				sim.carryOut(p)
			}
			for _, s := range sim.workers {
				sim.advanceRuns(s)
			}
			if err := sim.checkNoConcurrentRuns(); err != nil {
				t.Errorf("start %s after the forward: %v", startedAfter, err)
				break
			}
		}
		if sim.stats["starts"] == 0 {
			t.Errorf("start %s after the forward: the job never starts", startedAfter)
		}
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
