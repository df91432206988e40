package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// Times of the schedules with two failure domains.
const (
	// noticeCallerLeft is the longest time until a gate that is alive notices that its caller has left.
	noticeCallerLeft = 300 * time.Millisecond
	// longestTakeover is the longest time without a dispatcher, after one has died.
	longestTakeover = 1100 * time.Millisecond
	leastTakeover   = 600 * time.Millisecond
	// burstLength is for how long home gets more jobs than it can run, each burstInterval.
	burstLength    = 250 * time.Millisecond
	burstInterval  = 2 * time.Second
	callerPatience = 4 * time.Second
	distantDomain  = "distant"
	distantWorkers = 6
	// restartTime is the least time that a worker takes to restart, as package latestart assumes.
	restartTime = 300 * time.Millisecond
	// unclaimedInterval is that of package group, unclaimedDelay how long its messages are under way.
	unclaimedInterval  = 200 * time.Millisecond
	unclaimedDelay     = 100 * time.Millisecond
	lateReportInterval = time.Second // lateStartReportInterval of package group
)

// twoDomains is a simulation of the failure domain in which all jobs are submitted, home, and a distant one, of one group, to which the
// dispatchers at home have gates offload some of them. At home dispatchers are taken over and the workers are divided anew; in
// the distant one workers restart unnoticed, orders are late and stops get lost. Gates are lost, and callers submit their jobs again
// at home.
type twoDomains struct {
	sim     *simulation
	r       *rand.Rand
	home    []*simWorker
	distant []*simWorker
	// pools at home, by group of the division, or -1 while a group has no dispatcher.
	division        lead.Division
	leaders         []int
	claimAt         []time.Time // of groups without a dispatcher
	dividedAt       []time.Time // when the VM that claims a group is notified of the division
	distantAt       int         // index of the pool of the distant failure domain
	isDistant       map[int]bool
	gates           []*simGate
	planned         map[time.Time][]func()
	started         map[job.ID]bool
	attempts        map[job.ID]int
	refused         map[job.ID]int // attempts that were answered as not run
	nextDelay       time.Time
	logs            []*UnclaimedJobs // of the dispatchers
	unclaimed       []UnclaimedJob   // that have arrived at the VMs of home
	unclaimedSentAt time.Time
	// reportsLost is an injected fault: home does not learn of the runs in the distant failure domain that no gate waits for.
	reportsLost bool
	reportedAt  time.Time // when starts without a reply were last reported to home
}

// simGate is one gate that has one job of one caller, from one of its tries.
type simGate struct {
	request    Request
	pool       int // that has the job; -1 for none
	admission  Admission
	atDistant  bool
	mayRun     bool      // at another dispatcher of home
	heardUntil time.Time // when it sent its last message; zero while it is alive
	callerLeft bool      // or lost its connection, and comes back
	over       bool
}

func newTwoDomains(seed uint64) *twoDomains {
	now := time.Unix(1000, 0)
	d := &twoDomains{
		sim: &simulation{
			r: rand.New(rand.NewPCG(seed, 1)), now: now, partitionedUntil: make(map[[2]int]time.Time), stopsAt: make(map[int]time.Time), jobs: make(map[job.ID]Request),
			outcomes: make(map[job.ID]job.Outcome), stats: make(map[string]int), replied: make(map[int]bool), slowdown: 4,
		},
		r: rand.New(rand.NewPCG(seed, 30)), isDistant: make(map[int]bool), planned: make(map[time.Time][]func()), started: make(map[job.ID]bool),
		attempts: make(map[job.ID]int), refused: make(map[job.ID]int),
	}
	newWorker := func(id worker.ID) *simWorker {
		s := &simWorker{id: id, rate: 1 - worker.ClockDrift*d.r.Float64()}
		s.start(now)
		s.startedAt = now.Add(-time.Minute)
		d.sim.workers = append(d.sim.workers, s)
		return s
	}
	for i := range distantWorkers {
		d.distant = append(d.distant, newWorker(worker.ID(fmt.Sprint("distant", i))))
	}
	for number := 0; len(d.home) < 6; number++ { // two in each of three groups, and some in each of two
		id := worker.ID(fmt.Sprint("home", number))
		if (lead.Division{Groups: 3}).GroupOf(string(id)) == lead.Group(len(d.home)/2) {
			d.home = append(d.home, newWorker(id))
		}
	}
	d.takeOverDistant()
	d.division = lead.Division{Epoch: 1, Groups: 2}
	d.leaders, d.claimAt, d.dividedAt = []int{-1, -1}, make([]time.Time, 2), make([]time.Time, 2)
	return d
}

// newPool returns the index of a new dispatcher of a group of home, or of the distant failure domain.
func (d *twoDomains) newPool(distant bool, dividedAt time.Time) int {
	self := len(d.sim.pools)
	d.isDistant[self] = distant
	l := d.sim.lateStarts.newLog(d.sim.now)
	u := &UnclaimedJobs{}
	if !distant {
		u.Merge(d.sim.now, d.unclaimed)
	}
	d.logs = append(d.logs, u)
	for i, other := range d.sim.lateStarts.logs[:self] {
		if d.isDistant[i] == distant {
			l.Merge(d.sim.now, other.Records(d.sim.now))
		}
	}
	d.sim.pools = append(d.sim.pools, New(d.sim.now, Config{
		Fence: lead.Fence(self + 1), LeaseMax: time.Second, StopMax: 50 * time.Millisecond, DividedAt: dividedAt, LateStarts: l, Unclaimed: u,
		GateContact:       func(now time.Time, a Admission) GateContact { return d.contact(now, self, a) },
		EvacuationUnknown: !distant && d.sim.evacuated != nil,
	}))
	return self
}

// contact returns the contact of a dispatcher with the gates of an admission.
func (d *twoDomains) contact(now time.Time, pool int, a Admission) GateContact {
	var c GateContact
	for _, g := range d.gates {
		if g.pool != pool || g.admission != a {
			continue
		}
		at := now
		if !g.heardUntil.IsZero() {
			at = g.heardUntil
		}
		if c.HeardAt.IsZero() || at.Before(c.HeardAt) {
			c = GateContact{HeardAt: at, ConfirmedAt: at}
		}
	}
	return c
}

// takeOverDistant makes a new dispatcher of the distant failure domain. The gates that have offloaded jobs to the former one answer their callers
// that the fate of these is unknown.
func (d *twoDomains) takeOverDistant() {
	former := d.distantAt
	if len(d.sim.pools) > 0 {
		d.sim.stopsAt[former] = d.sim.now
	}
	d.distantAt = d.newPool(true, time.Time{})
	for _, s := range d.distant {
		d.sim.tell(d.sim.pools[d.distantAt], s)
	}
	for _, g := range slices.Clone(d.gates) {
		if g.atDistant && g.pool == former && !g.over {
			g.pool = -1
			if g.heardUntil.IsZero() {
				d.end(g)
				d.callAgain(g, resubmitDelay)
			}
		}
	}
}

// takeOver makes a new dispatcher of a group of home. The gates forward their jobs to it, if they have not offloaded them.
func (d *twoDomains) takeOver(g lead.Group) {
	i := d.newPool(false, d.dividedAt[g])
	d.leaders[g] = i
	for _, s := range d.home {
		if d.division.GroupOf(string(s.id)) == g {
			d.sim.tell(d.sim.pools[i], s)
		}
	}
	for _, gate := range d.gates {
		if !gate.over && !gate.atDistant && gate.pool < 0 && d.division.GroupOf(string(gate.request.Job.ID)) == g && gate.heardUntil.IsZero() {
			d.submitHome(gate)
		}
	}
}

// lose ends the dispatcher of a group of home. Some of the gates with offloaded jobs of the group are on its VM, and end with it.
func (d *twoDomains) lose(g lead.Group) {
	lost := d.leaders[g]
	d.leave(lost)
	d.leaders[g], d.claimAt[g] = -1, d.sim.now.Add(d.between(leastTakeover, longestTakeover))
	d.sim.stats["takeovers"]++
	for _, gate := range slices.Clone(d.gates) {
		if gate.atDistant && d.division.GroupOf(string(gate.request.Job.ID)) == g && d.r.IntN(2) == 0 {
			d.sim.stats["lost with their dispatcher"]++
			d.loseGate(gate)
		}
	}
}

// leave ends a dispatcher of home; the gates of its jobs learn that.
func (d *twoDomains) leave(pool int) {
	d.sim.stopsAt[pool] = d.sim.now
	for _, gate := range d.gates {
		if gate.pool == pool && !gate.atDistant {
			gate.pool, gate.mayRun = -1, true
		}
	}
}

// divide divides the workers of home into two groups, or into three.
func (d *twoDomains) divide() {
	for _, i := range d.leaders {
		if i >= 0 {
			d.leave(i)
		}
	}
	d.division = lead.Division{Epoch: d.division.Epoch + 1, Groups: 5 - d.division.Groups}
	d.leaders, d.claimAt, d.dividedAt = nil, nil, nil
	for range d.division.Groups {
		known := d.sim.now.Add(d.between(0, 300*time.Millisecond))
		d.leaders, d.claimAt, d.dividedAt = append(d.leaders, -1), append(d.claimAt, known), append(d.dividedAt, known)
	}
	d.sim.stats["divisions"]++
}

// between draws a time from least up to most.
func (d *twoDomains) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(d.r.Int64N(int64(most-least)))).Truncate(stepTime)
}

func (d *twoDomains) at() time.Duration { return d.sim.now.Sub(time.Unix(1000, 0)) }

// after plans f for some time from now.
func (d *twoDomains) after(wait time.Duration, f func()) {
	at := d.sim.now.Add(max(stepTime, wait.Truncate(stepTime)))
	d.planned[at] = append(d.planned[at], f)
}

// submitHome submits the job of a gate to the dispatcher of its own group, or has it wait for one.
func (d *twoDomains) submitHome(g *simGate) {
	g.atDistant, g.pool = false, d.leaders[d.division.GroupOf(string(g.request.Job.ID))]
	if g.pool < 0 {
		return
	}
	r := g.request
	r.MayBeRunning, r.CanOffload = g.mayRun, r.CanOffload && !g.mayRun
	d.put(g, r)
}

// put submits a request to the dispatcher that g names.
func (d *twoDomains) put(g *simGate, r Request) {
	a := d.sim.pools[g.pool].Submit(d.sim.now, r)
	g.admission = a
}

// answer passes an answer to a gate, which has the job offloaded, submitted again, or ended.
func (d *twoDomains) answer(g *simGate, a Answer) {
	g.pool = -1
	if !g.heardUntil.IsZero() {
		return
	}
	switch {
	case a.TryElsewhere && !g.atDistant:
		d.sim.stats["offloaded"]++
		if a.OffloadTo != (Destination{}) && !a.Offered {
			d.sim.stats["offloaded again"]++
		}
		g.atDistant, g.request.CanOffload, g.pool = true, false, d.distantAt
		r := g.request
		r.Offloaded = true
		if !d.sim.now.Before(d.nextDelay) {
			d.delayStarts(g)
		}
		d.put(g, r)
	case a.TryElsewhere:
		g.request.OffloadRefused = true
		d.sim.stats["offload refused"]++
		d.submitHome(g)
	default:
		if a.Outcome == job.NotRun {
			d.refused[a.Job]++
		}
		d.sim.stats[string(a.Outcome)]++
		d.end(g)
	}
}

// delayStarts has the distant dispatcher start nothing for some time, so that the job that a gate has offloaded, or its next step, waits there.
// Meanwhile idle workers restart, which no order shows to the dispatcher, and the gate is lost, in half of the cases with its own
// dispatcher.
func (d *twoDomains) delayStarts(g *simGate) {
	wait := d.between(restartTime+100*time.Millisecond, maxLeaseSilence)
	calledAt, pool := d.sim.now, d.distantAt
	d.nextDelay = calledAt.Add(wait)
	for _, s := range d.distant {
		w := d.sim.pools[pool].workers[s.id]
		if w == nil {
			continue
		}
		w.backoffUntil = later(w.backoffUntil, d.nextDelay)
		if !w.busy() {
			d.restart(s)
		}
	}
	d.after(d.between(0, 150*time.Millisecond), func() {
		d.loseGate(g)
		g.heardUntil = later(g.heardUntil, calledAt)
		if own := d.division.GroupOf(string(g.request.Job.ID)); d.leaders[own] >= 0 && d.r.IntN(2) == 0 {
			d.lose(own) // on the same VM as the gate
		}
	})
	if d.r.IntN(4) > 0 {
		d.after(wait+OrderTimeout, func() {
			for i := range d.distant {
				d.sim.partitionedUntil[[2]int{pool, i}] = d.sim.now.Add(d.between(0, 2*time.Second))
			}
			d.sim.stats["partitions"]++
		})
	}
}

// heldAtDistant returns the gates whose callers wait for jobs that are offloaded.
func (d *twoDomains) heldAtDistant() []*simGate {
	var list []*simGate
	for _, g := range d.gates {
		if g.atDistant && !g.callerLeft {
			list = append(list, g)
		}
	}
	return list
}

// restart restarts a worker under its name, which takes longer than the acknowledgement of a stop counts.
func (d *twoDomains) restart(s *simWorker) {
	s.start(d.sim.now)
	s.downUntil = d.sim.now.Add(restartTime)
	d.sim.stats["restarts"]++
}

// end ends a gate's work on its job.
func (d *twoDomains) end(g *simGate) {
	g.over, g.pool = true, -1
	d.gates = slices.DeleteFunc(d.gates, func(o *simGate) bool { return o == g })
}

// withdraw has the dispatcher that has the job of a gate withdraw it.
func (d *twoDomains) withdraw(g *simGate) {
	pool, a := g.pool, g.admission
	d.end(g)
	if pool < 0 || d.sim.hasStopped(pool) || slices.ContainsFunc(d.gates, func(o *simGate) bool { return o.pool == pool && o.admission == a }) {
		return
	}
	d.sim.pools[pool].Withdraw(d.sim.now, a)
}

// loseGate loses a gate. Its newest message is up to offloadPingInterval old, its caller submits the job again.
func (d *twoDomains) loseGate(g *simGate) {
	if g.over || !g.heardUntil.IsZero() {
		return
	}
	g.heardUntil = d.sim.now.Add(-d.between(0, offloadPingInterval))
	d.sim.stats["gates lost"]++
	d.after(MaxGateSilence-d.sim.now.Sub(g.heardUntil), func() {
		if !g.over {
			d.withdraw(g)
		}
	})
	d.callAgain(g, resubmitDelay)
}

// leaveGate has the caller of a gate leave, which the gate notices late.
func (d *twoDomains) leaveGate(g *simGate) {
	d.sim.stats["callers left"]++
	d.after(d.between(0, noticeCallerLeft), func() {
		if !g.over {
			d.withdraw(g)
		}
	})
	d.callAgain(g, resubmitDelay)
}

// callAgain has the caller of a gate submit its job again, through another one.
func (d *twoDomains) callAgain(g *simGate, wait time.Duration) {
	if g.callerLeft {
		return
	}
	g.callerLeft = true
	r := g.request
	r.OffloadRefused, r.CanOffload = false, true
	d.after(wait, func() {
		d.sim.stats["resubmitted"]++
		if i := d.leaders[d.division.GroupOf(string(r.Job.ID))]; i >= 0 {
			if _, known := d.sim.pools[i].offloads[r.Job.ID]; !known {
				d.sim.stats["resubmitted to a dispatcher without the offload"]++
			}
		}
		for _, s := range d.distant {
			for t := range s.running {
				if t.Job == r.Job.ID {
					d.sim.stats["resubmitted beside a run"]++
				}
			}
		}
		d.try(r)
	})
}

// try has a gate of home take a job.
func (d *twoDomains) try(r Request) {
	g := &simGate{request: r, pool: -1}
	d.gates = append(d.gates, g)
	d.attempts[r.Job.ID]++
	d.submitHome(g)
}

// newJob submits a new job at home.
func (d *twoDomains) newJob() {
	d.sim.lastJob++
	d.sim.stats["jobs"]++
	steps := []job.Step{{
		Count: 1 + d.r.IntN(2), Need: worker.Resources{MilliCores: 6800, MemoryMB: 10}, Estimate: time.Duration(300+d.r.IntN(500)) * time.Millisecond,
	}}
	if d.r.IntN(2) == 0 {
		next := steps[0]
		next.After = []int{0}
		steps = append(steps, next)
	}
	d.try(Request{
		Job: job.Job{ID: job.ID(fmt.Sprint("j", d.sim.lastJob)), Steps: steps},
		Row: "row", Service: "s", MaxAttempts: 3, Stretch: 1, Latency: 700 * time.Millisecond, RemainingWait: callerPatience,
		CanOffload: true, OffloadTo: Destination{FailureDomain: distantDomain, VM: "ip-0a000003"},
	})
}

// step advances the time by stepTime. It returns an error if a task runs twice, or if a job that was answered as not run was started.
func (d *twoDomains) step() error {
	sim := d.sim
	sim.now = sim.now.Add(stepTime)
	d.disturb()
	for _, f := range d.planned[sim.now] {
		f()
	}
	delete(d.planned, sim.now)
	if busy := d.at()%burstInterval < burstLength; d.r.IntN(100) == 0 || busy && d.r.IntN(3) == 0 {
		d.newJob()
	}
	sim.deliver()
	for _, s := range sim.workers {
		sim.advanceRuns(s)
		for t := range s.running {
			d.started[t.Job] = true
		}
	}
	for i, p := range sim.pools {
		if sim.hasStopped(i) {
			continue
		}
		if sim.r.IntN(4) == 0 {
			p.Tick(sim.now)
		}
		d.collect(i)
	}
	d.shareLateStarts()
	d.shareUnclaimed()
	if err := sim.checkNoConcurrentRuns(); err != nil {
		return err
	}
	for id, n := range d.refused {
		if n == d.attempts[id] && d.started[id] {
			return fmt.Errorf("at %s job %s was started and answered as not run", d.at(), id)
		}
	}
	return nil
}

// disturb draws what happens to dispatchers, gates and workers.
func (d *twoDomains) disturb() {
	for g, i := range d.leaders {
		if i < 0 && !d.sim.now.Before(d.claimAt[g]) {
			d.takeOver(lead.Group(g))
		}
	}
	switch d.r.IntN(500) {
	case 0, 1:
		if g := d.r.IntN(len(d.leaders)); d.leaders[g] >= 0 {
			d.lose(lead.Group(g))
		}
	case 2:
		d.divide()
	case 3:
		if d.r.IntN(4) == 0 {
			d.sim.stats["distant takeovers"]++
			d.takeOverDistant()
		}
	}
	for _, g := range d.heldAtDistant() {
		if d.r.IntN(200) == 0 {
			if d.r.IntN(2) == 0 {
				d.loseGate(g)
			} else {
				d.leaveGate(g)
			}
		}
	}
	if held := d.heldAtDistant(); len(held) > 0 && d.r.IntN(100) == 0 && !d.sim.now.Before(d.nextDelay) {
		d.delayStarts(held[d.r.IntN(len(held))])
	}
	for _, s := range d.distant {
		if d.r.IntN(400) == 0 {
			d.restart(s)
		}
		if d.r.IntN(300) == 0 {
			d.sim.tell(d.sim.pools[d.distantAt], s)
		}
	}
	for _, s := range d.home {
		if i := d.leaders[d.division.GroupOf(string(s.id))]; i >= 0 && d.r.IntN(100) == 0 {
			d.sim.tell(d.sim.pools[i], s)
		}
	}
}

// collect schedules the delivery of a dispatcher's orders and passes its answers to the gates. Orders of the distant one may be late.
func (d *twoDomains) collect(i int) {
	answers := slices.Clone(d.sim.pools[i].answers)
	before := len(d.sim.events)
	d.sim.collect(i)
	for k := before; k < len(d.sim.events); k++ {
		if f := &d.sim.events[k]; f.reply == nil && d.isDistant[i] {
			d.delay(f)
		}
	}
	for _, a := range answers {
		for _, g := range slices.Clone(d.gates) {
			if g.pool == i && g.admission == a.Admission {
				d.answer(g, a)
			}
		}
	}
}

// delay has an order of the distant dispatcher arrive late, or its reply get lost.
func (d *twoDomains) delay(f *scheduledEvent) {
	switch n := d.r.IntN(100); {
	case f.order.Kind == StopOrder && n < 60:
		f.at, f.replyLost = d.sim.now.Add(d.between(200*time.Millisecond, 3*time.Second)), true
		d.sim.stats["late stops"]++
	case n < 20:
		f.at, f.replyLost = d.sim.now.Add(d.between(0, OrderTimeout)), d.r.IntN(2) == 0
		d.sim.stats["late orders"]++
	}
}

// shareLateStarts passes the starts without a reply on within each failure domain, and from the distant one to home those whose jobs have ended.
func (d *twoDomains) shareLateStarts() {
	now, logs := d.sim.now, d.sim.lateStarts.logs
	for i, l := range logs {
		if records := l.TakeChanges(); len(records) > 0 {
			d.after(shareDelay, func() {
				for k, o := range d.sim.lateStarts.logs {
					if d.isDistant[k] == d.isDistant[i] {
						o.Merge(d.sim.now, records)
					}
				}
			})
		}
	}
	if now.Sub(d.reportedAt) >= lateReportInterval {
		if reports := logs[d.distantAt].TakeReports(); len(reports) > 0 {
			d.reportedAt = now
			for k, o := range logs {
				if !d.isDistant[k] {
					o.Merge(now, reports)
				}
			}
		}
	}
	for _, l := range logs {
		l.Expire(now)
	}
}

// shareUnclaimed passes the unclaimed jobs of the distant dispatcher on to the VMs of home.
func (d *twoDomains) shareUnclaimed() {
	now := d.sim.now
	d.unclaimed = slices.DeleteFunc(d.unclaimed, func(r UnclaimedJob) bool { return !now.Before(r.Until) })
	if now.Before(d.unclaimedSentAt.Add(unclaimedInterval)) {
		return
	}
	jobs := d.logs[d.distantAt].TakeReports()
	if len(jobs) == 0 || d.reportsLost {
		return
	}
	d.unclaimedSentAt = now
	d.sim.stats["reported"] += len(jobs)
	d.after(unclaimedDelay, func() {
		d.unclaimed = append(d.unclaimed, jobs...)
		for i, l := range d.logs {
			if !d.isDistant[i] {
				l.Merge(d.sim.now, jobs)
			}
		}
	})
}

func (d *twoDomains) run(steps int) (map[string]int, error) {
	for range steps {
		if err := d.step(); err != nil {
			return d.sim.stats, err
		}
	}
	return d.sim.stats, nil
}

// TestNoTaskRunsTwiceWhenOffloadsAreForgotten: jobs are offloaded by their own group to another failure domain, their gates are lost, and
// their callers submit them again to a dispatcher that took over since, or to one of another division (issue 66).
func TestNoTaskRunsTwiceWhenOffloadsAreForgotten(t *testing.T) {
	t.Parallel()
	checkSchedules(t, func(seed uint64) (map[string]int, error) { return newTwoDomains(seed).run(handoverSteps) },
		"offloaded", "gates lost", "callers left", "resubmitted", "takeovers", "divisions", "distant takeovers", "restarts", "late orders", "late stops", "reported")
}

// TestForgottenOffloadsAreDetected: without the reports of the distant failure domain, a dispatcher that took over starts a job beside its run
// there, in schedules that pass with them.
func TestForgottenOffloadsAreDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(handoverSeeds) {
		d := newTwoDomains(seed)
		d.reportsLost = true
		if _, err := d.run(handoverSteps); err == nil {
			continue
		}
		if _, err := newTwoDomains(seed).run(handoverSteps); err != nil {
			t.Errorf("seed %d without the fault: %v", seed, err)
		}
		return
	}
	t.Errorf("not detected in %d schedules", handoverSeeds)
}
