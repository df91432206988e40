package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/evacuation"
)

// evacuations has operators evacuate the failure domain of a schedule and return it to service. Dispatchers learn of each order a
// little later, and new ones after their takeover.
type evacuations struct {
	r       *rand.Rand
	domain  evacuation.Domain
	next    time.Time
	applies func(pool int) bool // whether the workers of a dispatcher are in the failure domain; nil stands for all
	late    error               // the first start after the grace
}

func newEvacuations(seed uint64) *evacuations {
	return &evacuations{r: rand.New(rand.NewPCG(seed, 40)), domain: evacuation.Domain{FailureDomain: "home"}}
}

// step gives an order when it is time, and tells it to some of the dispatchers.
func (e *evacuations) step(sim *simulation) {
	if !sim.now.Before(e.next) {
		if !e.next.IsZero() {
			e.domain.Revision++
			e.domain.Evacuated, e.domain.Since = !e.domain.Evacuated, sim.now
			sim.stats["evacuation orders"]++
		}
		e.next = sim.now.Add(500*time.Millisecond + time.Duration(e.r.Int64N(int64(5*time.Second))))
	}
	for i, p := range sim.pools {
		if !sim.hasStopped(i) && e.r.IntN(20) == 0 && (e.applies == nil || e.applies(i)) {
			p.SetEvacuation(sim.now, e.domain)
		}
	}
}

// checkStart notes a start that is ordered after the grace.
func (e *evacuations) checkStart(sim *simulation, pool int, o Order) {
	if e == nil || e.applies != nil && !e.applies(pool) || o.Kind != StartOrder || !e.domain.Evacuated {
		return
	}
	sim.stats["starts in grace"]++
	if after := sim.now.Sub(e.domain.Since); after >= testGrace {
		e.late = cmp.Or(e.late, fmt.Errorf("%v was started on %s %s after its failure domain was evacuated", o.Task, o.Worker, after))
	}
}

// TestNoStartAfterEvacuation runs the random schedules with handovers, lost and late orders and gates that are lost, and with the
// failure domain evacuated and returned to service at random: no task is started after the grace, from any path, none runs twice, and
// the jobs that were answered as not run were not started.
func TestNoStartAfterEvacuation(t *testing.T) {
	t.Parallel()
	for name, run := range map[string]func(seed uint64) (map[string]int, error){
		"handovers": func(seed uint64) (map[string]int, error) {
			sim := newHandoverSimulation(seed)
			sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
			sim.evacuated = newEvacuations(seed)
			for range handoverSteps {
				sim.evacuated.step(sim)
				if err := cmp.Or(sim.step(), sim.evacuated.late); err != nil {
					return sim.stats, err
				}
			}
			return sim.withPoolCounts(), nil
		},
		"divisions and offloads": func(seed uint64) (map[string]int, error) {
			d := newTwoDomains(seed)
			d.sim.evacuated = newEvacuations(seed)
			d.sim.evacuated.applies = func(pool int) bool { return !d.isDistant[pool] }
			for range handoverSteps {
				d.sim.evacuated.step(d.sim)
				if err := cmp.Or(d.step(), d.sim.evacuated.late); err != nil {
					return d.sim.stats, err
				}
			}
			return d.sim.withPoolCounts(), nil
		},
	} {
		t.Run(name, func(t *testing.T) { checkSchedules(t, run, "evacuation orders", "starts in grace", "starts withheld") })
	}
}

// withPoolCounts returns the statistics with the starts withheld by all dispatchers.
func (sim *simulation) withPoolCounts() map[string]int {
	for _, p := range sim.pools {
		sim.stats["starts withheld"] += p.Counts.StartsWithheld
		sim.stats["jobs moved"] += p.Counts.JobsMoved
	}
	return sim.stats
}
