package pool

import (
	"fmt"
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
	leastDrain   time.Duration // least time that a worker is draining

	// mutes draws which workers leave most of their starts unanswered, and carry them out late, before and while
	// they leave, in schedules with such; nil in the others.
	mutes      *rand.Rand
	mutedUntil map[worker.ID]time.Time
	leavesAt   map[worker.ID]time.Time // of muted workers
	leftAt     map[worker.ID]time.Time // when the present departure was announced
	told       map[departureNews]bool
	ignored    bool  // dispatchers are not notified of departures
	lateStart  error // of the first start that was ordered too late on a worker that leaves
}

// departureNews is what a dispatcher has been told of a departure.
type departureNews struct {
	pool   *Pool
	worker worker.ID
	leftAt time.Time
}

const (
	// drainTime is how long after the acknowledgement of a departure starts are allowed, as the platform states it.
	drainTime       = 2 * time.Second
	muteTime        = 5 * time.Second
	longestStay     = time.Second // of a worker that is muted
	muteChance      = 150         // one in so many steps
	mutedPercent    = 95          // of the starts
	longestDrain    = 1500 * time.Millisecond
	longestGoingOn  = 4 * time.Second // after a deregistration without an acknowledgement
	longestAbsence  = 2 * time.Second
	departureChance = 400 // one in so many steps
)

// amend adds to a record that its worker is leaving or has deregistered.
func (d *departures) amend(rec *worker.Record) {
	if d == nil || d.ignored || d.endsAt[rec.Worker].IsZero() {
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
	if d.mutes != nil {
		d.mute(sim)
	} else if s := sim.workers[d.r.IntN(simWorkers)]; d.r.IntN(departureChance) == 0 {
		d.leave(sim, s)
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

// leave has a worker begin to leave, unless it does so or is down.
func (d *departures) leave(sim *simulation, s *simWorker) {
	if !d.endsAt[s.id].IsZero() || sim.now.Before(s.downUntil) {
		return
	}
	d.deregistered[s.id] = sim.now.Add(d.leastDrain + time.Duration(d.r.Int64N(int64(longestDrain))))
	d.endsAt[s.id] = d.deregistered[s.id].Add(time.Duration(d.r.Int64N(int64(longestGoingOn))))
	d.leftAt[s.id] = sim.now
	d.report(sim, s)
}

// mute mutes workers, and has them leave soon after.
func (d *departures) mute(sim *simulation) {
	if s := sim.workers[d.mutes.IntN(simWorkers)]; d.mutes.IntN(muteChance) == 0 && d.endsAt[s.id].IsZero() && d.leavesAt[s.id].IsZero() {
		d.mutedUntil[s.id] = sim.now.Add(muteTime)
		d.leavesAt[s.id] = sim.now.Add(time.Duration(d.mutes.Int64N(int64(longestStay))))
	}
	for _, s := range sim.workers {
		if at := d.leavesAt[s.id]; !at.IsZero() && !sim.now.Before(at) {
			delete(d.leavesAt, s.id)
			d.leave(sim, s)
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

// tell records that a dispatcher is notified of the departure of a worker, if the worker leaves.
func (d *departures) tell(p *Pool, s *simWorker) {
	if d != nil && !d.endsAt[s.id].IsZero() {
		d.told[departureNews{p, s.id, d.leftAt[s.id]}] = true
	}
}

// observe checks that a start is not ordered too late, and may have it carried out late and without a reply.
func (d *departures) observe(sim *simulation, f *scheduledEvent) {
	if d == nil || f.order.Kind != StartOrder {
		return
	}
	id := f.order.Worker
	if !d.endsAt[id].IsZero() && d.told[departureNews{sim.pools[f.pool], id, d.leftAt[id]}] {
		if late := sim.now.Sub(d.leftAt[id]); late > drainTime && d.lateStart == nil {
			d.lateStart = fmt.Errorf("at %s run %d of task %v is ordered on %s, %s after that announced that it leaves", sim.now.Sub(time.Unix(1000, 0)), f.order.Run, f.order.Task, id, late)
		}
	}
	if d.mutes != nil && sim.now.Before(d.mutedUntil[id]) && d.mutes.IntN(100) < mutedPercent {
		f.replyLost, f.at = true, sim.now.Add(time.Duration(200+d.mutes.IntN(8000))*time.Millisecond)
		sim.stats["muted starts"]++
	}
}

// firstLateStart returns an error if a start was ordered on a worker later than drainTime after that
// announced that it leaves, by a dispatcher that had been told so.
func (d *departures) firstLateStart() error {
	if d == nil {
		return nil
	}
	return d.lateStart
}

// report passes on what control VMs know of a worker that leaves.
func (d *departures) report(sim *simulation, s *simWorker) {
	if p, ok := sim.owner(string(s.id)); ok && !sim.hidden.hides(s.id) {
		sim.tell(p, s)
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
		leftAt: make(map[worker.ID]time.Time), told: make(map[departureNews]bool),
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

// runMutedDepartureSchedule runs a schedule in which starts are in doubt while their workers leave.
func runMutedDepartureSchedule(seed uint64, ignored bool) (map[string]int, error) {
	sim := newHandoverSimulation(seed)
	sim.handovers.gapRange = 6 * time.Second
	sim.addDepartures(seed)
	sim.departures.leastDrain, sim.departures.ignored = drainTime, ignored
	sim.departures.mutes, sim.departures.mutedUntil, sim.departures.leavesAt = rand.New(rand.NewPCG(seed, 11)), make(map[worker.ID]time.Time), make(map[worker.ID]time.Time)
	return sim.run(handoverSteps)
}

// TestNoLateStartOnLeavingWorkers: workers leave while starts on them are in doubt (DRAIN). No task runs
// twice either.
func TestNoLateStartOnLeavingWorkers(t *testing.T) {
	t.Parallel()
	total := checkHandoverSchedules(t, func(seed uint64) (map[string]int, error) { return runMutedDepartureSchedule(seed, false) })
	for _, k := range []string{"departures", "muted starts"} {
		if total[k] < handoverSeeds {
			t.Errorf("%d %s, too few for the test to be conclusive", total[k], k)
		}
	}
}

// TestIgnoredDeparturesAreDetected shows that the schedules fail if dispatchers ignore departures.
func TestIgnoredDeparturesAreDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(faultSeeds) {
		if _, err := runMutedDepartureSchedule(seed, true); err != nil {
			return
		}
	}
	t.Errorf("not detected in %d schedules", faultSeeds)
}
