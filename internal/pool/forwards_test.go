package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackpin.example/internal/job"
)

// forwards draws how gates leave dispatchers that are replaced. A gate stops showing contact to the earlier dispatcher some
// time before it forwards a job, which it tells as Request.EarlierContactAge. It withdraws the job at the earlier dispatcher,
// and forwards it as a new one if that says that it was never started. A nil forwards has gates tell nothing.
type forwards struct {
	r         *rand.Rand
	had       map[gateOfJob]bool      // dispatchers to which a job was submitted
	last      map[job.ID]int          // the last of them
	mayRun    map[job.ID]bool         // the gate does not know that no earlier dispatcher started the job
	resumesAt map[gateOfJob]time.Time // when a gate that shows no contact to its dispatcher does so again
	leaves    map[time.Time][]job.ID  // when gates stop showing contact to dispatchers that were replaced
}

const (
	pauseChance  = 40                     // one in so many steps
	longestPause = 850 * time.Millisecond // below MaxGateSilence
	// overstatement is what gates add to the age of their contact under faultContactAgeOverstated.
	overstatement = maxRunSilence
)

func newForwards(seed uint64) *forwards {
	return &forwards{
		r: rand.New(rand.NewPCG(seed, 20)), had: make(map[gateOfJob]bool), last: make(map[job.ID]int), mayRun: make(map[job.ID]bool),
		resumesAt: make(map[gateOfJob]time.Time), leaves: make(map[time.Time][]job.ID),
	}
}

// step has gates stop showing contact to their dispatcher, and resume it unless that one was replaced meanwhile.
func (f *forwards) step(sim *simulation) {
	if f == nil {
		return
	}
	for key, at := range f.resumesAt {
		if sim.now.Before(at) {
			continue
		}
		if !sim.gates.replaced[key.pool] {
			delete(sim.gates.leftAt, key)
		}
		delete(f.resumesAt, key)
	}
	if f.r.IntN(pauseChance) == 0 && sim.lastJob > 0 {
		id := job.ID(fmt.Sprint("j", 1+f.r.IntN(sim.lastJob)))
		pause := time.Duration(1 + f.r.Int64N(int64(longestPause)))
		key := gateOfJob{sim.groups[sim.division.GroupOf(string(id))], id}
		if _, left := sim.gates.leftAt[key]; f.had[key] && !left && sim.outcomes[id] == "" {
			sim.gates.leftAt[key], f.resumesAt[key] = sim.now, sim.now.Add(pause)
			sim.stats["contacts paused"]++
		}
	}
	for _, id := range f.leaves[sim.now] {
		sim.gates.leave(sim.now, id)
	}
	delete(f.leaves, sim.now)
}

// plan draws when the gate of a job that is forwarded at a later time stops showing contact.
func (f *forwards) plan(sim *simulation, forwardAt time.Time, id job.ID) {
	if f == nil || f.r.IntN(2) == 0 {
		return
	}
	at := sim.now.Add(time.Duration(1+f.r.IntN(int(forwardAt.Sub(sim.now)/stepTime))) * stepTime)
	f.leaves[at] = append(f.leaves[at], id)
}

// record records that a job was submitted to a dispatcher.
func (f *forwards) record(pool int, id job.ID) {
	if f != nil {
		f.had[gateOfJob{pool, id}], f.last[id] = true, pool
	}
}

// resubmit records that another gate has the job now, as a new one.
func (f *forwards) resubmit(id job.ID) {
	if f != nil {
		delete(f.mayRun, id)
	}
}

// forward completes the request of a job that its gate forwards to a dispatcher.
func (f *forwards) forward(sim *simulation, to int, r *Request) {
	r.MayBeRunning = true
	if f == nil {
		return
	}
	id := r.Job.ID
	asks := f.r.IntN(2) == 0
	understated := f.r.IntN(4) == 0
	part := f.r.Float64()
	if !f.mayRun[id] && asks && f.neverStarted(sim, to, id) {
		r.MayBeRunning = false
		sim.stats["never started"]++
		return
	}
	f.mayRun[id] = true
	sim.gates.leave(sim.now, id)
	r.EarlierContactAge = f.contactAge(sim, to, id)
	if understated {
		r.EarlierContactAge = time.Duration(part * float64(r.EarlierContactAge))
	}
	if sim.fault == faultContactAgeOverstated {
		r.EarlierContactAge += overstatement
	}
	switch {
	case r.EarlierContactAge >= maxRunSilence:
		sim.stats["forwarded without a wait"]++
	case r.EarlierContactAge > 0:
		sim.stats["forwarded with a shorter wait"]++
	}
}

// contactAge returns how long ago the gate of a job last showed contact to another dispatcher than the given one.
func (f *forwards) contactAge(sim *simulation, to int, id job.ID) time.Duration {
	age := time.Minute
	for i := range sim.pools {
		key := gateOfJob{i, id}
		if i == to || !f.had[key] {
			continue
		}
		leftAt, left := sim.gates.leftAt[key]
		if !left {
			return 0
		}
		age = min(age, sim.now.Sub(leftAt))
	}
	return age
}

// neverStarted asks the dispatcher that has a job whether the job was never started, and withdraws the job there if it
// continues. A dispatcher that has stopped replied at its stop, unless its process ended.
func (f *forwards) neverStarted(sim *simulation, to int, id job.ID) bool {
	i, submitted := f.last[id]
	if !submitted {
		return true
	}
	if i == to || sim.wasKilled(i) {
		return false
	}
	p := sim.pools[i]
	a, pending := p.Lookup(id)
	if !pending {
		return false
	}
	if sim.hasStopped(i) {
		return p.NeverStarted(sim.stopsAt[i], a) || sim.fault == faultStartDenied
	}
	never := p.NeverStarted(sim.now, a) || sim.fault == faultStartDenied
	p.Withdraw(sim.now, a)
	return never
}
