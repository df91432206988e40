package pool

import (
	"math/rand/v2"
	"testing"
	"time"
)

// predecessors makes the dispatchers that are replaced go on for some time, with workers that their
// successors do not reach.
type predecessors struct {
	r       *rand.Rand
	longest time.Duration // that a replaced dispatcher goes on
	// lateGates has gates hear of the successor up to longest after its takeover.
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

// TestNoTaskRunsTwiceUnderLastingPredecessor: a dispatcher that is cut off from the other entry VMs only goes on for
// seconds, and the gates of some of its jobs are lost (issue 50).
func TestNoTaskRunsTwiceUnderLastingPredecessor(t *testing.T) {
	checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
		sim := newPredecessorSimulation(seed, 3*time.Second)
		sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
		return sim.run(handoverSteps)
	})
}

// TestNoTaskRunsTwiceWhenGatesFollowLate: gates hear of a takeover up to 2 s late, and forward their jobs
// when the next dispatcher starts others already (issue 50).
func TestNoTaskRunsTwiceWhenGatesFollowLate(t *testing.T) {
	checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
		sim := newPredecessorSimulation(seed, 2*time.Second)
		sim.handovers.predecessors.lateGates = true
		return sim.run(handoverSteps)
	})
}
