package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// offloadPingInterval is the interval of the pings of package group.
const offloadPingInterval = 250 * time.Millisecond

// offloads has two groups that offload jobs to each other. The gates of some of these jobs are lost, and
// stops get lost or are carried out late.
type offloads struct {
	r        *rand.Rand
	at       map[job.ID]lead.Group // where a job was submitted
	gateLost map[job.ID]bool
	lastPing map[job.ID]time.Time // of a lost gate
	planned  map[time.Time][]func()
	// latePercent is the share of stops that are lost or carried out late.
	latePercent int
}

func newOffloadSimulation(seed uint64) *simulation {
	sim := newSimulation(seed, noFault)
	sim.stopsAt[0] = sim.now
	sim.division, sim.groups, sim.divisionKnownAt = lead.Division{Epoch: 1, Groups: 2}, []int{-1, -1}, make([]time.Time, 2)
	number := 0
	for i, s := range sim.workers { // two in each group
		for sim.division.GroupOf(string(s.id)) != lead.Group(i/2) {
			number++
			s.id = worker.ID(fmt.Sprint("w", number))
		}
		number++
	}
	sim.slowdown = 4
	sim.offloads = &offloads{
		r: rand.New(rand.NewPCG(seed, 11)), at: make(map[job.ID]lead.Group), gateLost: make(map[job.ID]bool), lastPing: make(map[job.ID]time.Time),
		planned: make(map[time.Time][]func()), latePercent: 25,
	}
	return sim
}

// after plans f for some time from now.
func (o *offloads) after(sim *simulation, d time.Duration, f func()) {
	at := sim.now.Add(d.Truncate(stepTime))
	o.planned[at] = append(o.planned[at], f)
}

// step submits jobs, offloads some of them, and has gates of offloaded jobs be lost.
func (o *offloads) step(sim *simulation) {
	for _, f := range o.planned[sim.now] {
		f()
	}
	delete(o.planned, sim.now)
	if o.r.IntN(100) == 0 {
		sim.lastJob++
		r := Request{
			Job: job.Job{ID: job.ID(fmt.Sprint("j", sim.lastJob)), Steps: []job.Step{{
				Count: 1 + o.r.IntN(3), Need: worker.Resources{MilliCores: 6800, MemoryMB: 10}, Estimate: time.Duration(20+o.r.IntN(600)) * time.Millisecond,
			}}},
			Row: "row", Service: "s", MaxAttempts: 3, Stretch: 3, Latency: time.Second, RemainingWait: 4 * time.Second,
		}
		sim.jobs[r.Job.ID] = r
		sim.stats["jobs"]++
		o.submit(sim, r.Job.ID, o.r.IntN(2) == 0)
	}
	if sim.lastJob > 0 && o.r.IntN(15) == 0 {
		id := job.ID(fmt.Sprint("j", 1+o.r.IntN(sim.lastJob)))
		if o.at[id] != sim.division.GroupOf(string(id)) && !o.gateLost[id] && sim.outcomes[id] == "" {
			o.loseGate(sim, id)
		}
	}
}

// submit submits a job to its own group, or to the other one.
func (o *offloads) submit(sim *simulation, id job.ID, offloaded bool) {
	g := sim.division.GroupOf(string(id))
	if offloaded {
		g = 1 - g
		sim.stats["offloaded"]++
	}
	o.at[id] = g
	r := sim.jobs[id]
	r.Offloaded = offloaded
	sim.pools[sim.groups[g]].Submit(sim.now, r)
}

// contact returns the contact of a group's dispatcher with the gate of a job.
func (o *offloads) contact(sim *simulation, now time.Time, pool int, id job.ID) GateContact {
	if o.gateLost[id] && pool == sim.groups[o.at[id]] {
		now = o.lastPing[id]
	}
	return GateContact{HeardAt: now, ConfirmedAt: now}
}

// loseGate loses the gate of an offloaded job: the other group withdraws it MaxGateSilence after the last
// ping, and its caller submits it again after resubmitDelay.
func (o *offloads) loseGate(sim *simulation, id job.ID) {
	p := sim.pools[sim.groups[o.at[id]]]
	a, pending := p.Lookup(id)
	if !pending {
		return
	}
	o.gateLost[id] = true
	sim.stats["gates lost"]++
	sincePing := time.Duration(o.r.Int64N(int64(offloadPingInterval)))
	o.lastPing[id] = sim.now.Add(-sincePing)
	o.after(sim, MaxGateSilence-sincePing, func() { p.Withdraw(sim.now, a) })
	o.after(sim, resubmitDelay, func() {
		delete(sim.outcomes, id)
		o.gateLost[id] = false
		sim.stats["resubmitted"]++
		o.submit(sim, id, o.r.IntN(3) == 0)
	})
}

// disturb has some stops be lost or carried out late, without a reply.
func (o *offloads) disturb(sim *simulation, f *scheduledEvent) {
	if f.order.Kind != StopOrder || o.r.IntN(100) >= o.latePercent {
		return
	}
	f.replyLost = true
	f.at = sim.now.Add(time.Duration(200+o.r.IntN(3000)) * time.Millisecond)
	sim.stats["late stops"]++
}

// TestNoTaskRunsTwiceInTwoGroups: jobs are offloaded to another group, and their gates are lost. Their callers
// submit them again to their own group, or that one offloads them again.
func TestNoTaskRunsTwiceInTwoGroups(t *testing.T) {
	t.Parallel()
	total, failed := make(map[string]int), 0
	for seed := range handoverSeeds + *moreSchedules {
		stats, err := newOffloadSimulation(seed).run(handoverSteps)
		if err != nil {
			failed++
			t.Errorf("seed %d: %v", seed, err)
		}
		for k, n := range stats {
			total[k] += n
		}
	}
	t.Logf("%d of %d schedules failed; %v", failed, handoverSeeds+*moreSchedules, total)
	for _, k := range []string{"jobs", "starts", "completed", "offloaded", "gates lost", "resubmitted"} {
		if total[k] < handoverSeeds {
			t.Errorf("%d %s, too few for the test to be conclusive", total[k], k)
		}
	}
}
