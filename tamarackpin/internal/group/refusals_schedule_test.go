package group

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
)

// Sizes of the random schedules.
const (
	refusalSeeds  = 32
	faultSeeds    = 100
	scheduleSteps = 1000
	stepTime      = 5 * time.Millisecond
	// jobArrivalPeriod leaves the last jobs time to start after a refusal.
	jobArrivalPeriod = 3500 * time.Millisecond
	gateCount        = 4
	workersPerGroup  = 3
	// callerRetryDelay is how long after a try without an answer callers send a job again,
	// as the platform states it.
	callerRetryDelay = 1300 * time.Millisecond
	// gateNoLeaderTimeout and gateRetryInterval are noLeaderTimeout and retryInterval of package gate.
	gateNoLeaderTimeout = 1500 * time.Millisecond
	gateRetryInterval   = 10 * time.Millisecond
)

// fault is a fault of the simulated gates and dispatchers, which checkRefusal must detect.
type fault string

const (
	noFault                    fault = ""
	faultAnswersByJob          fault = "an answer is told to every gate that waits for a job of its id"
	faultRepliesByJob          fault = "a gate takes the reply to a hand-over that it broke off for that to the next"
	faultMayRunLost            fault = "a gate hands in again without saying that the job may run"
	faultDroppedNotAdmitted    fault = "a dispatcher that lost its lead says that it never took the job"
	faultTakeoverIgnoresMayRun fault = "a dispatcher that took over does not read that the job may run"
	faultOffloadedNotAdmitted  fault = "a gate takes a guest that it cannot hear of any more for not taken"
	faultGivesUpNotRun         fault = "a gate that gives up says that the job was not run"
)

// scheduledEvent is something on its way.
type scheduledEvent struct {
	at time.Time
	do func()
}

// world is the gates, the callers, two groups of workers with their dispatchers in
// turn, and what is on its way.
type world struct {
	r           *rand.Rand
	fault       fault
	startedAt   time.Time
	now         time.Time
	gates       []*simGate
	workers     [2][]*simWorker
	leaders     [2]*simDispatcher // the newest of each group
	dispatchers []*simDispatcher
	events      []scheduledEvent
	jobs        []*simJob
	attempts    []*simAttempt // that are not over
	lastCall    uint64        // of the last hand-over
	fence       lead.Fence
	faultOdds   int // the higher, the rarer
	jobOdds     int // the higher, the fewer jobs come
	stats       map[string]int
	err         error // the first promise that broke
}

func newWorld(seed uint64, f fault) *world {
	startedAt := time.Unix(1000, 0)
	w := &world{r: rand.New(rand.NewPCG(seed, 17)), fault: f, startedAt: startedAt, now: startedAt, stats: make(map[string]int)}
	w.faultOdds, w.jobOdds = 300+w.r.IntN(1200), 6+w.r.IntN(12)
	for i := range gateCount {
		w.gates = append(w.gates, &simGate{index: i})
	}
	for g := range w.workers {
		for i := range workersPerGroup {
			w.workers[g] = append(w.workers[g], newSimWorker(w, g, i))
		}
		w.takeover(g)
	}
	return w
}

// after has something happen later.
func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, scheduledEvent{w.now.Add(d), do})
}

// randomDelay draws a time from some milliseconds up to others.
func (w *world) randomDelay(from, to int) time.Duration {
	return time.Duration(from+w.r.IntN(to-from)) * time.Millisecond
}

// messageDelay draws how long a message takes.
func (w *world) messageDelay() time.Duration { return w.randomDelay(1, 7) }

// oneIn is true once in n times.
func (w *world) oneIn(n int) bool { return w.r.IntN(n) == 0 }

// step lets one step of time pass.
func (w *world) step() {
	w.now = w.now.Add(stepTime)
	w.injectFault()
	if w.now.Sub(w.startedAt) < jobArrivalPeriod && w.oneIn(w.jobOdds) {
		w.newJob()
	}
	pending := w.events
	w.events = nil
	for _, e := range pending {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
	for _, workers := range w.workers {
		for _, s := range workers {
			s.advance()
		}
	}
	for _, d := range w.dispatchers {
		d.step()
	}
	attempts := w.attempts
	w.attempts = nil
	for _, t := range attempts {
		if t.step(); !t.finished {
			w.attempts = append(w.attempts, t)
		}
	}
}

// injectFault has something go wrong now and then.
func (w *world) injectFault() {
	switch g := w.r.IntN(2); w.r.IntN(w.faultOdds) {
	case 0, 1, 2, 3, 4, 5:
		w.blockDispatcher(w.leaders[g])
	case 6, 7:
		switch {
		case w.stats["takeovers"]+w.stats["leads again"] >= 2:
		case w.oneIn(3): // it claims its own group with a new fence
			w.leaders[g].reclaimPending = true
			w.stats["leads again"]++
		default:
			w.takeover(g)
			w.stats["takeovers"]++
		}
	case 8: // starts again under its name, and may be dark for a while
		s := w.workers[g][w.r.IntN(workersPerGroup)]
		s.start()
		if w.oneIn(2) {
			s.downUntil = w.now.Add(w.randomDelay(0, 1000))
		}
		w.stats["restarts"]++
	case 9, 10, 11: // one gate does not hear a dispatcher for a moment
		w.gates[w.r.IntN(gateCount)].loseLeader(w, w.leaders[g], w.randomDelay(5, 400))
	}
}

// blockDispatcher has the commands of a dispatcher pile up. Most gates lose it for a
// moment and may find it again before it has caught up.
func (w *world) blockDispatcher(d *simDispatcher) {
	d.blockedUntil = w.now.Add(w.randomDelay(50, 700))
	w.stats["behind"]++
	for _, g := range w.gates {
		if !w.oneIn(3) {
			w.after(w.randomDelay(0, 300), func() { g.loseLeader(w, d, w.randomDelay(5, 300)) })
		}
	}
}

// takeover has another entry VM lead a group. The dispatcher of before, which may
// be frozen, learns of it later, as do the gates.
func (w *world) takeover(group int) {
	old := w.leaders[group]
	d := &simDispatcher{w: w, group: group, vm: w.r.IntN(gateCount), state: newGroupState(nil)}
	w.leaders[group], w.dispatchers = d, append(w.dispatchers, d)
	if old != nil {
		old.replacedAt = w.now.Add(w.randomDelay(0, 500))
		if w.oneIn(2) {
			old.blockedUntil = old.replacedAt
		}
	}
	d.acquireLeadership()
}

// announceLeader has the gates learn who leads.
func (w *world) announceLeader(current leader) {
	group := current.d.group
	for _, g := range w.gates {
		if g.leaders[group].d == nil || current.d.vm == g.index {
			g.leaders[group] = current
			continue
		}
		if w.oneIn(3) {
			g.loseLeader(w, g.leaders[group].d, w.randomDelay(1, 400))
		}
		w.after(w.randomDelay(1, 400), func() {
			if g.leaders[group].fence < current.fence {
				g.leaders[group] = current
			}
		})
	}
}

func refusalSchedule(seed uint64, f fault) (map[string]int, error) {
	w := newWorld(seed, f)
	for range scheduleSteps {
		if w.step(); w.err != nil {
			break
		}
	}
	for _, j := range w.jobs {
		j.addStats()
	}
	return w.stats, w.err
}

// TestRefusedJobsStayRefusedUnderRandomSchedules: a job whose caller was told only
// that it is not run has no task started, before or after, whatever is behind, lost,
// late or taken over (issue 17).
func TestRefusedJobsStayRefusedUnderRandomSchedules(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(refusalSeeds) {
		stats, err := refusalSchedule(seed, noFault)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for k, n := range stats {
			total[k] += n
		}
	}
	t.Log(total)
	for _, k := range []string{
		"refused", "completed", "abandoned", "starts", "behind", "takeovers", "restarts", "broken off", "handed in again",
		"withdrawn late", "withdrawn first", "withdrawn never", "late starts", "lost orders", "guests", "resent", "dropped", "batches of two lives",
	} {
		if total[k] < refusalSeeds/4 {
			t.Errorf("%d %s in %d schedules: too few to show anything", total[k], k, refusalSeeds)
		}
	}
	if n := total["started for nobody"]; n > 0 {
		t.Errorf("%d tasks of jobs in hand started with no gate on the dispatcher's list", n)
	}
	if total["refused"]*10 < total["jobs"] || total["completed"]*4 < total["jobs"] {
		t.Errorf("%d of %d jobs refused, %d completed: want a tenth and a quarter", total["refused"], total["jobs"], total["completed"])
	}
}

// TestInjectedRefusalFaultsAreDetected shows that checkRefusal can fail.
func TestInjectedRefusalFaultsAreDetected(t *testing.T) {
	for _, f := range []fault{
		faultAnswersByJob, faultRepliesByJob, faultMayRunLost, faultDroppedNotAdmitted, faultTakeoverIgnoresMayRun, faultOffloadedNotAdmitted, faultGivesUpNotRun,
	} {
		detected := false
		for seed := uint64(0); seed < faultSeeds && !detected; seed++ {
			_, err := refusalSchedule(seed, f)
			if detected = err != nil; detected {
				t.Logf("%s: seed %d: %v", f, seed, err)
			}
		}
		if !detected {
			t.Errorf("%s: not caught in %d schedules", f, faultSeeds)
		}
	}
}
