package pool

import (
	"math/rand/v2"
	"testing"
	"time"
)

// divisionResubmits has the callers of some jobs submit them anew to the dispatchers of a new division, through other gates.
// The connections to the first ones broke without their noticing, so that the dispatchers from before the division,
// which have not received it yet, hold and run the jobs. A nil divisionResubmits has none.
type divisionResubmits struct {
	r *rand.Rand
}

// fromLostCaller draws whether a job is submitted anew.
func (d *divisionResubmits) fromLostCaller(sim *simulation) bool {
	if d == nil || sim.division.Epoch == 0 || d.r.IntN(2) == 0 {
		return false
	}
	sim.stats["resubmitted"]++
	return true
}

func newDivisionResubmitSimulation(seed uint64) *simulation {
	sim := newSimulation(seed, noFault)
	sim.resubmits = &divisionResubmits{rand.New(rand.NewPCG(seed, 21))}
	return sim
}

// heldStarts has starts arrive seconds late at the next incarnations of their workers, which have seen the fence of the next
// dispatcher. They are sent within OrderTimeout before a handover, so that no VM records that they got no reply if the
// process of their dispatcher ends with it. Those that would arrive before that fence are lost: nothing refuses them,
// see the comment of this package. A nil heldStarts holds none.
type heldStarts struct {
	r         *rand.Rand
	restartAt map[*simWorker]time.Time
}

// longestHold is how late a held start arrives at most.
const longestHold = 8 * time.Second

// hold draws whether a start that is sent shortly before a handover is held.
func (h *heldStarts) hold(sim *simulation, f *scheduledEvent) {
	if h == nil || f.order.Kind != StartOrder || sim.handovers.next.Sub(sim.now) > OrderTimeout || h.r.IntN(8) == 0 {
		return
	}
	f.held, f.replyLost = true, true
	f.at = sim.now.Add(time.Second + time.Duration(h.r.Int64N(int64(longestHold-time.Second))))
	s := sim.findWorker(f.order.Worker)
	h.restartAt[s] = sim.now.Add(OrderTimeout + time.Duration(h.r.Int64N(int64(f.at.Sub(sim.now)-OrderTimeout))))
	sim.stats["held starts"]++
}

// step restarts the workers of held starts.
func (h *heldStarts) step(sim *simulation) {
	if h == nil {
		return
	}
	for _, s := range sim.workers {
		if at := h.restartAt[s]; !at.IsZero() && !sim.now.Before(at) {
			delete(h.restartAt, s)
			s.start(sim.now)
		}
	}
}

func newHeldStartSimulation(seed uint64) *simulation {
	sim := newHandoverSimulation(seed)
	sim.slowdown = 5
	sim.heldStarts = &heldStarts{r: rand.New(rand.NewPCG(seed, 22)), restartAt: make(map[*simWorker]time.Time)}
	return sim
}

// TestNoTaskRunsTwiceWhenResubmittedAcrossDivision: jobs are submitted anew to the dispatchers of a new division, while those from
// before it still run them on workers of other groups.
func TestNoTaskRunsTwiceWhenResubmittedAcrossDivision(t *testing.T) {
	t.Parallel()
	checkSchedules(t, func(seed uint64) (map[string]int, error) {
		return newDivisionResubmitSimulation(seed).run(scheduleSteps)
	}, "divisions", "resubmitted")
}

// TestNoTaskRunsTwiceByHeldStarts: starts of dispatchers whose processes ended arrive seconds later at the next incarnations of
// their workers, which have seen the fence of the next dispatcher.
func TestNoTaskRunsTwiceByHeldStarts(t *testing.T) {
	t.Parallel()
	total := checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) { return newHeldStartSimulation(seed).run(scheduleSteps) })
	for _, k := range []string{"held starts", "held starts refused"} {
		if total[k] < handoverSeeds {
			t.Errorf("%d %s, too few for the test to be conclusive", total[k], k)
		}
	}
}
