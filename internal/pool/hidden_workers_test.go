package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// hiddenWorkers hides some workers from each new dispatcher for some time, as if it had not heard from
// the control VM that has them. A nil hiddenWorkers hides none.
type hiddenWorkers struct {
	r         *rand.Rand
	longest   time.Duration // that a worker is hidden
	unbeknown bool          // the dispatcher counts on knowing all workers
	until     map[worker.ID]time.Time
}

// hideSome draws which workers of a group are hidden from its next dispatcher, and returns its
// WorkersIncomplete.
func (h *hiddenWorkers) hideSome(sim *simulation, g lead.Group) bool {
	if h == nil {
		return false
	}
	for _, s := range sim.workers {
		if sim.division.GroupOf(string(s.id)) != g {
			continue
		}
		delete(h.until, s.id)
		if h.r.IntN(3) == 0 {
			h.until[s.id] = sim.now.Add(time.Duration(1 + h.r.Int64N(int64(h.longest))))
			sim.stats["hidden"]++
		}
	}
	return !h.unbeknown
}

// hides reports whether a worker is hidden now.
func (h *hiddenWorkers) hides(id worker.ID) bool {
	return h != nil && !h.until[id].IsZero()
}

// step delivers the workers that are not hidden any more.
func (h *hiddenWorkers) step(sim *simulation) {
	if h == nil {
		return
	}
	incomplete := make(map[*Pool]bool)
	for _, s := range sim.workers {
		p, ok := sim.owner(string(s.id))
		switch at := h.until[s.id]; {
		case at.IsZero() || !ok:
		case sim.now.Before(at) || sim.now.Before(s.downUntil):
			incomplete[p] = true
		default:
			delete(h.until, s.id)
			sim.tell(p, s)
		}
	}
	for _, i := range sim.groups {
		if i >= 0 && !incomplete[sim.pools[i]] {
			sim.pools[i].CompleteWorkers(sim.now)
		}
	}
}

func runHiddenWorkerSchedule(seed uint64, longest time.Duration, unbeknown bool) (map[string]int, error) {
	sim := newHandoverSimulation(seed)
	sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
	sim.hidden = newHiddenWorkers(seed, longest, unbeknown)
	return sim.run(handoverSteps)
}

func newHiddenWorkers(seed uint64, longest time.Duration, unbeknown bool) *hiddenWorkers {
	return &hiddenWorkers{r: rand.New(rand.NewPCG(seed, 8)), longest: longest, unbeknown: unbeknown, until: make(map[worker.ID]time.Time)}
}

// TestNoTaskRunsTwiceWhileWorkersAreUnknown: a new dispatcher gets to know some workers up to 2.5 s after its
// takeover, and knows that it does not know all of them before.
func TestNoTaskRunsTwiceWhileWorkersAreUnknown(t *testing.T) {
	t.Parallel()
	total := checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) {
		return runHiddenWorkerSchedule(seed, 2500*time.Millisecond, false)
	})
	if total["hidden"] < handoverSeeds {
		t.Errorf("%d workers hidden, too few for the test to be conclusive", total["hidden"])
	}
}

// TestMissedWorkersAreDetected shows that the schedules fail if dispatchers count on knowing all workers while
// they do not.
func TestMissedWorkersAreDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(faultSeeds) {
		if _, err := runHiddenWorkerSchedule(seed, time.Second, true); err != nil {
			return
		}
	}
	t.Errorf("not detected in %d schedules", faultSeeds)
}
