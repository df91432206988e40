package pool

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// Bounds of the random schedules.
const (
	scheduleSeeds = 150
	plantSeeds    = 1000
	scheduleSteps = 1600
	stepTime      = 5 * time.Millisecond
	worldWorkers  = 4
	// comesAgain is how long after a broken connection callers send a job again, as
	// the platform states it: longer than a lease.
	comesAgain = 1300 * time.Millisecond
)

// plant is a fault of the world that breaks what the pool relies on, or hides
// what it must know, to see the checker catch it.
type plant string

const (
	plantNothing       plant = ""
	plantUnsent        plant = "a lost answer is taken for an order that never left"
	plantStopForged    plant = "a stop that had no answer is taken for acknowledged"
	plantLeasesEndless plant = "leases never lapse"
	plantFenceIgnored  plant = "workers take orders of any fence"
	plantAnswererHid   plant = "a worker that started again under its name is not told apart"
	plantOldTaken      plant = "workers start runs that they stopped before"
	plantDivisionHid   plant = "dispatchers do not know that the workers were divided anew"
)

// simRun is a run on a simulated worker.
type simRun struct {
	run         job.Run
	left, whole time.Duration
}

// simWorker carries out orders as the protocol says.
type simWorker struct {
	id          worker.ID
	incarnation worker.Incarnation
	born        time.Time
	rate        float64 // of its clock
	down        time.Time
	fence       lead.Fence
	deadline    worker.Clock
	running     map[job.Task]simRun
	highest     map[job.Task]job.Run // stopped, ended or running
	ended       []End
	number      uint64
	sequence    uint64
}

func (s *simWorker) clock(now time.Time) worker.Clock {
	return worker.Clock(float64(now.Sub(s.born)) * s.rate)
}

// flight is an order or its reply on its way.
type flight struct {
	at    time.Time
	id    int // of the order
	pool  int
	order Order
	reply *Reply    // nil for an order on its way to the worker
	lost  bool      // the answer will be
	until time.Time // a hold waits at the worker until then
}

// world is the workers, two dispatchers in turn, and what is on its way.
type world struct {
	r       *rand.Rand
	plant   plant
	now     time.Time
	workers []*simWorker
	pools   []*Pool
	// division and groups say who orders what now: a dispatcher for each group,
	// or -1 while none has claimed it.
	division lead.Division
	groups   []int
	divided  []time.Time       // when the VM that dispatches for a group learns of the division
	over     map[int]time.Time // when dispatchers that were replaced give up
	flights  []flight
	cut      map[[2]int]time.Time // pool and worker that do not reach each other
	jobs     map[job.ID]Request
	done     map[job.ID]job.Outcome
	left     map[job.ID]time.Time // when callers broke off
	next     int
	stats    map[string]int
	replied  map[int]bool // orders whose first reply was given
}

func newWorld(seed uint64, p plant) *world {
	w := &world{
		r: rand.New(rand.NewPCG(seed, 1)), plant: p, now: time.Unix(1000, 0), cut: make(map[[2]int]time.Time),
		over: make(map[int]time.Time), jobs: make(map[job.ID]Request), left: make(map[job.ID]time.Time), done: make(map[job.ID]job.Outcome), stats: make(map[string]int), replied: make(map[int]bool),
	}
	for i := range worldWorkers {
		s := &simWorker{id: worker.ID(fmt.Sprint("w", i)), rate: 1 - worker.ClockDrift*w.r.Float64()}
		s.start(w.now)
		w.workers = append(w.workers, s)
	}
	w.groups, w.divided = []int{-1}, make([]time.Time, 1)
	w.takeover(0)
	return w
}

func (s *simWorker) start(now time.Time) {
	s.incarnation++
	s.born, s.fence, s.deadline, s.number, s.ended, s.sequence = now, 0, 0, 0, nil, 0
	s.running, s.highest = make(map[job.Task]simRun), make(map[job.Task]job.Run)
}

func (s *simWorker) announcement(now time.Time) worker.Announcement {
	s.sequence++
	return worker.Announcement{
		Worker: s.id, Incarnation: s.incarnation, Sequence: s.sequence, Service: "s", Address: string(s.id),
		Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: s.clock(now),
	}
}

// takeover makes a new dispatcher for a group, to which the gates hand their open
// jobs.
func (w *world) takeover(g lead.Group) {
	c := Config{Fence: lead.Fence(len(w.pools) + 1), LeaseMax: time.Second, StopMax: 50 * time.Millisecond}
	if w.plant != plantDivisionHid {
		c.DividedAt = w.divided[g]
	}
	p := New(w.now, c)
	w.pools = append(w.pools, p)
	w.groups[g] = len(w.pools) - 1
	for _, s := range w.workers {
		if w.division.GroupOf(string(s.id)) == g {
			p.UpdateWorker(w.now, worker.Record{Announcement: s.announcement(w.now), AnnouncedAt: w.now})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		r := w.jobs[id]
		if _, over := w.done[id]; !over && w.division.GroupOf(string(id)) == g {
			r.MayBeRunning = true
			p.Submit(w.now, r)
		}
	}
}

// divide divides the workers into another number of groups. The old dispatchers
// learn of it with the next sign of life, as do the VMs that claim the new groups.
func (w *world) divide() {
	for _, i := range w.groups {
		if i >= 0 {
			w.over[i] = w.now.Add(w.learns())
		}
	}
	w.division = lead.Division{Epoch: w.division.Epoch + 1, Groups: 1 + (w.division.GroupCount()+w.r.IntN(2))%3}
	w.groups, w.divided = nil, nil
	for range w.division.GroupCount() {
		w.groups = append(w.groups, -1)
		w.divided = append(w.divided, w.now.Add(w.learns()))
	}
	w.stats["divisions"]++
}

// learns draws how long a sign of life takes.
func (w *world) learns() time.Duration { return time.Duration(w.r.IntN(300)) * time.Millisecond }

// owner returns the dispatcher of the group that a worker or job belongs to.
func (w *world) owner(id string) (*Pool, bool) {
	i := w.groups[w.division.GroupOf(id)]
	if i < 0 {
		return nil, false
	}
	return w.pools[i], true
}

// gaveUp reports whether a dispatcher does nothing any more.
func (w *world) gaveUp(i int) bool {
	at, replaced := w.over[i]
	return replaced && !w.now.Before(at)
}

// step lets one step of time pass and returns the first promise that broke.
func (w *world) step() error {
	w.now = w.now.Add(stepTime)
	w.misfortune()
	w.submit()
	w.deliver()
	for _, s := range w.workers {
		w.work(s)
	}
	for i, p := range w.pools {
		if w.gaveUp(i) {
			continue
		}
		if w.r.IntN(4) == 0 {
			p.Tick(w.now)
		}
		w.collect(i)
	}
	return w.check()
}

// misfortune injects restarts, outages, cuts, takeovers and divisions at random.
func (w *world) misfortune() {
	s := w.workers[w.r.IntN(worldWorkers)]
	switch w.r.IntN(900) {
	case 0: // starts again under its name
		s.start(w.now)
		w.stats["restarts"]++
	case 1: // is dark for a while
		s.start(w.now)
		s.down = w.now.Add(time.Duration(w.r.IntN(2000)) * time.Millisecond)
		w.stats["dark"]++
	case 2, 3, 6:
		w.cut[[2]int{w.groups[w.r.IntN(len(w.groups))], w.r.IntN(worldWorkers)}] = w.now.Add(time.Duration(w.r.IntN(2500)) * time.Millisecond)
		w.stats["cuts"]++
	case 4:
		if g := w.r.IntN(len(w.groups)); len(w.pools) < 8 && w.groups[g] >= 0 {
			// The old dispatcher was frozen, and gives up when it wakes; or it is cut
			// off from all other VMs, and gives up soon after (lead.Leadership).
			w.over[w.groups[g]] = w.now.Add(time.Duration(w.r.IntN(2)*w.r.IntN(500)) * time.Millisecond)
			w.takeover(lead.Group(g))
			w.stats["takeovers"]++
		}
	case 5:
		if w.stats["divisions"] < 2 {
			w.divide()
		}
	}
	for g, i := range w.groups {
		if i < 0 && !w.now.Before(w.divided[g]) {
			w.takeover(lead.Group(g))
		}
	}
	for _, s := range w.workers {
		if w.r.IntN(100) == 0 && !w.now.Before(s.down) {
			if p, ok := w.owner(string(s.id)); ok {
				p.UpdateWorker(w.now, worker.Record{Announcement: s.announcement(w.now), AnnouncedAt: w.now})
			}
		}
	}
}

// submit hands in a job, again, or withdraws one.
func (w *world) submit() {
	switch w.r.IntN(60) {
	case 0:
		w.next++
		r := Request{
			Job: job.Job{ID: job.ID(fmt.Sprint("j", w.next)), Steps: []job.Step{{
				Count: 1 + w.r.IntN(4), Need: worker.Resources{MilliCores: 6800, MemoryMB: 10}, Estimate: time.Duration(20+w.r.IntN(600)) * time.Millisecond,
			}}},
			Row: "row", Service: "s", MaxAttempts: 3, Stretch: 3, Latency: time.Second, RemainingWait: 4 * time.Second,
		}
		w.jobs[r.Job.ID] = r
		if p, ok := w.owner(string(r.Job.ID)); ok {
			p.Submit(w.now, r)
		}
		w.stats["jobs"]++
	case 1:
		if w.next > 0 { // comes again, by another gate
			id := job.ID(fmt.Sprint("j", 1+w.r.IntN(w.next)))
			if p, ok := w.owner(string(id)); ok && w.done[id] == "" && w.now.Sub(w.left[id]) > comesAgain {
				p.Submit(w.now, w.jobs[id])
			}
		}
	case 2:
		if w.next > 0 && w.r.IntN(4) == 0 {
			id := job.ID(fmt.Sprint("j", 1+w.r.IntN(w.next)))
			if p, ok := w.owner(string(id)); ok {
				if a, inHand := p.Lookup(id); inHand {
					p.Withdraw(w.now, a)
				}
				w.left[id] = w.now
				w.stats["withdrawn"]++
			}
		}
	}
}

// collect takes a dispatcher's orders and answers.
func (w *world) collect(i int) {
	orders, answers := w.pools[i].TakePending()
	// The pool's maps have no order; the schedule must not depend on it.
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Kind, b.Kind), a.Task.Compare(b.Task))
	})
	for _, o := range orders {
		w.stats["orders"]++
		delay := time.Duration(1+w.r.IntN(6)) * time.Millisecond
		f := flight{id: w.stats["orders"], pool: i, order: o, at: w.now.Add(delay)}
		switch w.r.IntN(150) {
		case 0: // carried out late, without an answer
			late := 200 + w.r.IntN(8000)
			if w.r.IntN(2) == 0 {
				late = 200 + w.r.IntN(500) // before its deadline
			}
			f.at, f.lost = w.now.Add(time.Duration(late)*time.Millisecond), true
		case 1:
			f.lost = true
		}
		w.flights = append(w.flights, f)
		// The dispatcher gives up on an answer after its timeout.
		w.flights = append(w.flights, flight{id: f.id, pool: i, order: o, at: w.now.Add(o.Wait + OrderTimeout), reply: &Reply{Order: o}})
	}
	for _, a := range answers {
		if !slices.Contains(w.groups, i) {
			continue
		}
		w.done[a.Job] = a.Outcome
		w.stats[string(a.Outcome)]++
	}
}

// deliver carries out what has arrived.
func (w *world) deliver() {
	due := w.flights
	w.flights = nil
	for _, f := range due {
		if f.at.After(w.now) {
			w.flights = append(w.flights, f)
			continue
		}
		if f.reply != nil {
			w.reply(f)
			continue
		}
		s := w.find(f.order.Worker)
		if w.now.Before(s.down) || w.now.Before(w.cut[[2]int{f.pool, w.index(s)}]) {
			continue
		}
		if f.order.Wait > 0 && len(s.ended) == 0 && f.order.Fence >= s.fence {
			if f.until.IsZero() {
				f.until = w.now.Add(f.order.Wait)
				s.extend(f.order.Deadline, s.clock(w.now))
			}
			if w.now.Before(f.until) {
				w.flights = append(w.flights, f)
				continue
			}
		}
		r := w.execute(s, f.order)
		if !f.lost {
			wait := time.Duration(1+w.r.IntN(6)) * time.Millisecond
			w.flights = append(w.flights, flight{id: f.id, pool: f.pool, order: f.order, at: w.now.Add(wait), reply: &r})
		}
	}
}

// reply gives a dispatcher the first reply to an order.
func (w *world) reply(f flight) {
	if w.replied[f.id] {
		return
	}
	w.replied[f.id] = true
	if w.gaveUp(f.pool) {
		return
	}
	r := *f.reply
	r.ReceivedAt = w.now
	if r.AnsweredBy == 0 && !r.HasClock {
		switch {
		case w.plant == plantUnsent && r.Kind == StartOrder:
			r.Refusal = RefusedUnsent
		case w.plant == plantStopForged && r.Kind == StopOrder:
			r.Done = true
		}
	}
	if w.plant == plantAnswererHid {
		r.AnsweredBy = 0
	}
	w.pools[f.pool].Receive(w.now, r)
}

func (w *world) find(id worker.ID) *simWorker {
	for _, s := range w.workers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (w *world) index(s *simWorker) int {
	for i, o := range w.workers {
		if o == s {
			return i
		}
	}
	return -1
}

// execute carries out one order as the protocol says.
func (w *world) execute(s *simWorker, o Order) Reply {
	clock := s.clock(w.now)
	r := Reply{Order: o, Clock: clock, HasClock: true, AnsweredBy: s.incarnation}
	if o.Fence < s.fence && w.plant != plantFenceIgnored {
		r.Refusal = RefusedFence
		return r
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Kind {
	case StartOrder:
		r.Refusal = w.begin(s, o, clock)
		r.Done = r.Refusal == ""
	case StopOrder:
		r.Done = true
		s.highest[o.Task] = max(s.highest[o.Task], o.Run)
		if now, there := s.running[o.Task]; there && now.run <= o.Run {
			s.end(o.Task, EndedOther)
		}
	case RenewOrder:
		r.Done = true
		kept := s.ended[:0]
		for _, e := range s.ended {
			if e.Number > o.EndsSeen {
				kept = append(kept, e)
			}
		}
		s.ended = kept
		s.extend(o.Deadline, clock)
		r.Ended = append(r.Ended, s.ended...)
		for _, t := range slices.SortedFunc(maps.Keys(s.running), job.Task.Compare) {
			run := s.running[t]
			r.Running = append(r.Running, RunningTask{Task: t, Run: run.run, Percent: int(100 * (run.whole - run.left) / run.whole)})
		}
	}
	return r
}

func (s *simWorker) extend(d, clock worker.Clock) {
	s.deadline = max(s.deadline, min(d, clock+worker.Clock(time.Second)))
}

func (w *world) begin(s *simWorker, o Order, clock worker.Clock) Refusal {
	if o.Deadline <= clock {
		return RefusedLate
	}
	s.extend(o.Deadline, clock)
	if now, there := s.running[o.Task]; there && now.run == o.Run {
		return ""
	}
	if o.Run <= s.highest[o.Task] && w.plant != plantOldTaken {
		return RefusedOld
	}
	if len(s.running) >= 2 {
		return RefusedRoom
	}
	s.highest[o.Task] = o.Run
	takes := time.Duration(10+w.r.IntN(400)) * time.Millisecond
	if w.r.IntN(4) == 0 {
		takes *= 5
	}
	s.running[o.Task] = simRun{o.Run, takes, takes}
	w.stats["starts"]++
	return ""
}

func (s *simWorker) end(t job.Task, how EndKind) {
	s.number++
	s.ended = append(s.ended, End{Number: s.number, Task: t, Run: s.running[t].run, Kind: how})
	delete(s.running, t)
}

// work lets the runs on s go on, end or lapse.
func (w *world) work(s *simWorker) {
	lapsed := s.clock(w.now) > s.deadline && w.plant != plantLeasesEndless
	for _, t := range slices.SortedFunc(maps.Keys(s.running), job.Task.Compare) {
		run := s.running[t]
		run.left -= stepTime
		s.running[t] = run
		switch {
		case lapsed:
			s.end(t, EndedLapsed)
			w.stats["lapsed"]++
		case run.left <= 0 && w.r.IntN(40) == 0:
			s.end(t, EndedFailed)
		case run.left <= 0:
			s.end(t, EndedDone)
		}
	}
}

// check returns an error if a task runs twice at once on workers that are up.
func (w *world) check() error {
	where := make(map[job.Task]worker.ID)
	for _, s := range w.workers {
		for t := range s.running {
			if other, twice := where[t]; twice {
				return fmt.Errorf("at %s task %v runs on %s and %s", w.now.Sub(time.Unix(1000, 0)), t, other, s.id)
			}
			where[t] = s.id
		}
	}
	return nil
}

func schedule(seed uint64, p plant) (map[string]int, error) {
	w := newWorld(seed, p)
	for range scheduleSteps {
		if err := w.step(); err != nil {
			return w.stats, err
		}
	}
	return w.stats, nil
}

// TestNoTaskRunsTwiceAtOnce: orders that are lost, late, crossed or answered
// late, workers that start again under their name, go dark or are cut off,
// clocks that are slow, takeovers with the old dispatcher frozen, and workers that
// are divided anew (issues 10 and 12).
func TestNoTaskRunsTwiceAtOnce(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(scheduleSeeds) {
		stats, err := schedule(seed, plantNothing)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for k, n := range stats {
			total[k] += n
		}
	}
	t.Log(total)
	for _, k := range []string{"jobs", "starts", "completed", "takeovers", "restarts", "dark", "cuts", "withdrawn", "lapsed", "divisions"} {
		if total[k] < scheduleSeeds/4 {
			t.Errorf("%d %s in %d schedules: too few to show anything", total[k], k, scheduleSeeds)
		}
	}
	if total["completed"]*2 < total["jobs"] {
		t.Errorf("%d of %d jobs completed", total["completed"], total["jobs"])
	}
}

// TestPlantedPoolFaultsAreCaught shows that the checker can fail.
func TestPlantedPoolFaultsAreCaught(t *testing.T) {
	for _, p := range []plant{plantUnsent, plantStopForged, plantLeasesEndless, plantFenceIgnored, plantAnswererHid, plantOldTaken, plantDivisionHid} {
		caught := false
		for seed := uint64(0); seed < plantSeeds && !caught; seed++ {
			_, err := schedule(seed, p)
			caught = err != nil
		}
		if !caught {
			t.Errorf("%s: not caught in %d schedules", p, plantSeeds)
		}
	}
}

// TestLateStartInALaterLife: a start without an answer that a worker carries out
// after it started again under its name, before the dispatcher reaches its new life.
// These seeds of more schedules than the standard ones break the promise; see
// KNOWN-RED.txt (issue 10).
func TestLateStartInALaterLife(t *testing.T) {
	for _, seed := range []uint64{2577, 4190, 7630} {
		if _, err := schedule(seed, plantNothing); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
