package group

import (
	"math/rand/v2"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
)

const (
	refusalSeeds = 32
	faultSeeds   = 100
	// givenBackSeeds is the number of schedules in which jobs that were never started are given back.
	givenBackSeeds = 200
	scheduleSteps  = 1000
	stepTime       = 5 * time.Millisecond
	// jobArrivalPeriod ends 1.5 s before the schedule, so that the last jobs have time to
	// start after a refusal.
	jobArrivalPeriod = 3500 * time.Millisecond
	gateCount        = 4
	workersPerGroup  = 3
	// callerRetryDelay is the delay stated by the platform after which callers retry an
	// attempt without an answer.
	callerRetryDelay = 1300 * time.Millisecond
	// gateNoLeaderTimeout and gateRetryInterval are noLeaderTimeout and retryInterval of package gate.
	gateNoLeaderTimeout = 1500 * time.Millisecond
	gateRetryInterval   = 10 * time.Millisecond
)

// fault is a fault injected into the simulated gates and dispatchers, which checkRefusal
// must detect.
type fault string

const (
	noFault                          fault = ""
	faultAnswersByJob                fault = "a dispatcher delivers an answer to every gate that waits for the job id, whatever the admission"
	faultRepliesByJob                fault = "a gate takes the reply to a cancelled forward for the reply to the next one"
	faultMayBeRunningLost            fault = "a gate forwards a job again without MayBeRunning"
	faultDroppedNotAdmitted          fault = "a dispatcher that lost its leadership replies that it never admitted the job"
	faultTakeoverIgnoresMayBeRunning fault = "a dispatcher that took over ignores MayBeRunning"
	faultOffloadedNotAdmitted        fault = "a gate takes an offloaded job for not admitted when the other group becomes unreachable"
	faultStartedNeverStarted         fault = "a dispatcher says that it never started a job although it did"
	faultGivesUpNotRun               fault = "a gate that gives up answers not run although the job may run"
)

// scheduledEvent is a callback due at a simulated time.
type scheduledEvent struct {
	at time.Time
	do func()
}

// world simulates gates, callers and two groups of workers with their successive
// dispatchers, in steps of stepTime. All randomness comes from r.
type world struct {
	r           *rand.Rand
	fault       fault
	startedAt   time.Time
	now         time.Time
	gates       []*simGate
	workers     [2][]*simWorker
	leaders     [2]*simDispatcher // the latest of each group
	dispatchers []*simDispatcher
	events      []scheduledEvent
	jobs        []*simJob
	attempts    []*simAttempt // unfinished
	lastCall    uint64        // number of the last forward
	fence       lead.Fence
	faultOdds   int // a step has a fault with probability 12/faultOdds: injectFault has 12 cases
	jobOdds     int // a step has a new job with probability 1/jobOdds
	stats       map[string]int
	err         error // of the first job found refused and started
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

// after schedules do for the first later step at or after now + d.
func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, scheduledEvent{w.now.Add(d), do})
}

// randomDelay draws a duration of whole milliseconds in [from, to).
func (w *world) randomDelay(from, to int) time.Duration {
	return time.Duration(from+w.r.IntN(to-from)) * time.Millisecond
}

// messageDelay draws the latency of a message.
func (w *world) messageDelay() time.Duration { return w.randomDelay(1, 7) }

// oneIn draws true with a probability of 1/n.
func (w *world) oneIn(n int) bool { return w.r.IntN(n) == 0 }

// step advances the simulation by stepTime.
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

// injectFault causes a random outage, takeover or restart, or in most steps none. A
// schedule has at most two takeovers and repeated claims in all.
func (w *world) injectFault() {
	switch g := w.r.IntN(2); w.r.IntN(w.faultOdds) {
	case 0, 1, 2, 3, 4, 5:
		w.blockDispatcher(w.leaders[g])
	case 6, 7:
		switch {
		case w.stats["takeovers"]+w.stats["leadership reclaimed"] >= 2:
		case w.oneIn(3): // the leader claims its group again, with a new fence
			w.leaders[g].reclaimPending = true
			w.stats["leadership reclaimed"]++
		default:
			w.takeover(g)
			w.stats["takeovers"]++
		}
	case 8: // a worker restarts under its id and may be down for a while
		s := w.workers[g][w.r.IntN(workersPerGroup)]
		s.start()
		if w.oneIn(2) {
			s.downUntil = w.now.Add(w.randomDelay(0, 1000))
		}
		w.stats["restarts"]++
	case 9, 10, 11: // one gate loses a leader for a moment
		w.gates[w.r.IntN(gateCount)].loseLeader(w, w.leaders[g], w.randomDelay(5, 400))
	}
}

// blockDispatcher makes a dispatcher's commands queue up. Most gates lose it as leader for a
// moment, and may follow it again before it has processed the queue.
func (w *world) blockDispatcher(d *simDispatcher) {
	d.blockedUntil = w.now.Add(w.randomDelay(50, 700))
	w.stats["dispatcher blocked"]++
	for _, g := range w.gates {
		if !w.oneIn(3) {
			w.after(w.randomDelay(0, 300), func() { g.loseLeader(w, d, w.randomDelay(5, 300)) })
		}
	}
}

// takeover gives a group a new leader. The old leader is notified up to 500 ms later and may
// be blocked until then; see announceLeader for the gates.
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

// announceLeader passes a new leader to the gates: at once to the one on its VM and to those
// without a leader, up to 400 ms later to the others.
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

// TestRefusedJobsStayRefusedUnderRandomSchedules guards against a job that is answered as
// not run at every attempt of its caller and has a task started, before or after. It comes
// about when dispatchers lag or are replaced, or messages are lost or late (issue 17).
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
		"refused", "completed", "abandoned", "starts", "dispatcher blocked", "takeovers", "restarts", "cancelled calls", "forwarded again",
		"late withdrawals", "withdrawn before arrival", "lost withdrawals", "late starts", "lost orders", "offloaded", "resent", "dropped", "jobs with two admissions",
		"asked whether started",
	} {
		if total[k] < refusalSeeds/4 {
			t.Errorf("%d %s in %d schedules: too few for the test to be meaningful", total[k], k, refusalSeeds)
		}
	}
	if n := total["started without a waiter"]; n > 0 {
		t.Errorf("%d tasks of pending jobs started with no gate among the dispatcher's waiters", n)
	}
	if total["refused"]*10 < total["jobs"] || total["completed"]*4 < total["jobs"] {
		t.Errorf("%d of %d jobs refused, %d completed: want a tenth and a quarter", total["refused"], total["jobs"], total["completed"])
	}
}

// TestUnstartedJobsAreGivenBackUnderRandomSchedules plays more of these schedules: few jobs wait unstarted at a dispatcher that is
// replaced, and replies by which it gives them back are to be drawn, late ones too.
func TestUnstartedJobsAreGivenBackUnderRandomSchedules(t *testing.T) {
	total := make(map[string]int)
	for seed := uint64(refusalSeeds); seed < refusalSeeds+givenBackSeeds; seed++ {
		stats, err := refusalSchedule(seed, noFault)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for k, n := range stats {
			total[k] += n
		}
	}
	t.Log(total)
	for k, least := range map[string]int{"asked whether started": givenBackSeeds, "late replies to withdrawals": givenBackSeeds / 20, "never started": givenBackSeeds / 20} {
		if total[k] < least {
			t.Errorf("%d %s in %d schedules, want %d", total[k], k, givenBackSeeds, least)
		}
	}
}

// TestInjectedRefusalFaultsAreDetected shows that checkRefusal detects each injected fault
// within faultSeeds schedules.
func TestInjectedRefusalFaultsAreDetected(t *testing.T) {
	for _, f := range []fault{
		faultAnswersByJob, faultRepliesByJob, faultMayBeRunningLost, faultDroppedNotAdmitted, faultTakeoverIgnoresMayBeRunning, faultOffloadedNotAdmitted, faultGivesUpNotRun, faultStartedNeverStarted,
	} {
		detected := false
		for seed := uint64(0); seed < faultSeeds && !detected; seed++ {
			_, err := refusalSchedule(seed, f)
			if detected = err != nil; detected {
				t.Logf("%s: seed %d: %v", f, seed, err)
			}
		}
		if !detected {
			t.Errorf("%s: not detected in %d schedules", f, faultSeeds)
		}
	}
}
