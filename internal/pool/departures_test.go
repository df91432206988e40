package pool

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/worker"
)

// departures has workers leave: each is draining for some time, deregisters, and goes on for some seconds,
// as the acknowledgement of that was lost. A nil departures has none leave.
type departures struct {
	r            *rand.Rand
	deregistered map[worker.ID]time.Time
	endsAt       map[worker.ID]time.Time
	now          time.Time
}

const (
	longestDrain    = 1500 * time.Millisecond
	longestGoingOn  = 4 * time.Second // after a deregistration without an acknowledgement
	longestAbsence  = 2 * time.Second
	departureChance = 400 // one in so many steps
)

// amend adds to a record that its worker is leaving or has deregistered.
func (d *departures) amend(rec *worker.Record) {
	if d == nil || d.endsAt[rec.Worker].IsZero() {
		return
	}
	rec.Leaving = true
	if at := d.deregistered[rec.Worker]; !d.now.Before(at) {
		rec.Deregistered, rec.AnnouncedAt = true, at
	}
}

// step has workers begin to leave, deregister and end.
func (d *departures) step(sim *simulation) {
	if d == nil {
		return
	}
	before := d.now
	d.now = sim.now
	if s := sim.workers[d.r.IntN(simWorkers)]; d.r.IntN(departureChance) == 0 && d.endsAt[s.id].IsZero() && !sim.now.Before(s.downUntil) {
		d.deregistered[s.id] = sim.now.Add(time.Duration(d.r.Int64N(int64(longestDrain))))
		d.endsAt[s.id] = d.deregistered[s.id].Add(time.Duration(d.r.Int64N(int64(longestGoingOn))))
		d.report(sim, s)
	}
	for _, id := range slices.Sorted(maps.Keys(d.endsAt)) {
		s := sim.findWorker(id)
		if at := d.deregistered[id]; before.Before(at) && !sim.now.Before(at) {
			sim.stats["departures"]++
			d.report(sim, s)
		}
		if !sim.now.Before(d.endsAt[id]) {
			delete(d.endsAt, id)
			s.start(sim.now)
			s.downUntil = sim.now.Add(time.Duration(d.r.Int64N(int64(longestAbsence))))
		}
	}
}

// cutOff cuts a new dispatcher off from some of the workers that are leaving.
func (d *departures) cutOff(sim *simulation, pool int) {
	if d == nil {
		return
	}
	for i, s := range sim.workers {
		if !d.endsAt[s.id].IsZero() && d.r.IntN(2) == 0 {
			sim.partitionedUntil[[2]int{pool, i}] = sim.now.Add(time.Duration(d.r.IntN(2500)) * time.Millisecond)
			sim.stats["cut off"]++
		}
	}
}

// report passes on what control VMs know of a worker that leaves.
func (d *departures) report(sim *simulation, s *simWorker) {
	if p, ok := sim.owner(string(s.id)); ok && !sim.hidden.hides(s.id) {
		p.UpdateWorker(sim.now, sim.record(s))
	}
}

func runDepartureSchedule(seed uint64) (map[string]int, error) {
	sim := newHandoverSimulation(seed)
	sim.handovers.lostGates = rand.New(rand.NewPCG(seed, 7))
	sim.addDepartures(seed)
	return sim.run(handoverSteps)
}

// addDepartures has workers leave, with runs that take longer than in other schedules.
func (sim *simulation) addDepartures(seed uint64) {
	sim.departures = &departures{
		r: rand.New(rand.NewPCG(seed, 9)), deregistered: make(map[worker.ID]time.Time), endsAt: make(map[worker.ID]time.Time),
	}
	sim.slowdown = 3
}

// TestNoTaskRunsTwiceWhileWorkersLeave: workers have deregistered, and go on for some seconds with what runs
// there, around handovers.
func TestNoTaskRunsTwiceWhileWorkersLeave(t *testing.T) {
	t.Parallel()
	if total := checkHandoverSchedules(t, runDepartureSchedule); total["departures"] < handoverSeeds {
		t.Errorf("%d departures, too few for the test to be conclusive", total["departures"])
	}
}
