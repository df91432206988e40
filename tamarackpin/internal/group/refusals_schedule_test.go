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
	plantSeeds    = 100
	scheduleSteps = 1000
	stepTime      = 5 * time.Millisecond
	// jobsUntil leaves the last jobs time to start after a refusal.
	jobsUntil    = 3500 * time.Millisecond
	worldGates   = 4
	groupWorkers = 3
	// comesAgain is how long after a try without an answer callers send a job again,
	// as the platform states it.
	comesAgain = 1300 * time.Millisecond
	// gateLeaderWait and gateRetry are leaderWait and retryEvery of package gate.
	gateLeaderWait = 1500 * time.Millisecond
	gateRetry      = 10 * time.Millisecond
)

// plant is a fault of the simulated gates and dispatchers, to see the judge catch it.
type plant string

const (
	plantNothing       plant = ""
	plantAnswersByJob  plant = "an answer is told to every gate that waits for a job of its id"
	plantRepliesByJob  plant = "a gate takes the reply to a hand-over that it broke off for that to the next"
	plantMayRunLost    plant = "a gate hands in again without saying that the job may run"
	plantDroppedBlank  plant = "a dispatcher that lost its lead says that it never took the job"
	plantTakeoverBlank plant = "a dispatcher that took over does not read that the job may run"
	plantGuestBlank    plant = "a gate takes a guest that it cannot hear of any more for not taken"
	plantGivesUpBlank  plant = "a gate that gives up says that the job was not run"
)

// flight is something on its way.
type flight struct {
	at time.Time
	do func()
}

// world is the gates, the callers, two groups of workers with their dispatchers in
// turn, and what is on its way.
type world struct {
	r       *rand.Rand
	plant   plant
	begun   time.Time
	now     time.Time
	gates   []*simGate
	workers [2][]*simWorker
	leaders [2]*simDispatcher // the newest of each group
	all     []*simDispatcher
	flights []flight
	jobs    []*simJob
	tries   []*simTry // that are not over
	number  uint64    // of the last hand-over
	fence   lead.Fence
	trouble int // the higher, the rarer
	rush    int // the higher, the fewer jobs come
	stats   map[string]int
	err     error // the first promise that broke
}

func newWorld(seed uint64, p plant) *world {
	begun := time.Unix(1000, 0)
	w := &world{r: rand.New(rand.NewPCG(seed, 17)), plant: p, begun: begun, now: begun, stats: make(map[string]int)}
	w.trouble, w.rush = 300+w.r.IntN(1200), 6+w.r.IntN(12)
	for i := range worldGates {
		w.gates = append(w.gates, &simGate{index: i})
	}
	for g := range w.workers {
		for i := range groupWorkers {
			w.workers[g] = append(w.workers[g], newSimWorker(w, g, i))
		}
		w.takeover(g)
	}
	return w
}

// after has something happen later.
func (w *world) after(d time.Duration, do func()) {
	w.flights = append(w.flights, flight{w.now.Add(d), do})
}

// some draws a time from some milliseconds up to others.
func (w *world) some(from, to int) time.Duration {
	return time.Duration(from+w.r.IntN(to-from)) * time.Millisecond
}

// way draws how long a message takes.
func (w *world) way() time.Duration { return w.some(1, 7) }

// one is true once in n times.
func (w *world) one(n int) bool { return w.r.IntN(n) == 0 }

// step lets one step of time pass.
func (w *world) step() {
	w.now = w.now.Add(stepTime)
	w.misfortune()
	if w.now.Sub(w.begun) < jobsUntil && w.one(w.rush) {
		w.newJob()
	}
	due := w.flights
	w.flights = nil
	for _, f := range due {
		if f.at.After(w.now) {
			w.flights = append(w.flights, f)
			continue
		}
		f.do()
	}
	for _, workers := range w.workers {
		for _, s := range workers {
			s.work()
		}
	}
	for _, d := range w.all {
		d.step()
	}
	tries := w.tries
	w.tries = nil
	for _, t := range tries {
		if t.step(); !t.over {
			w.tries = append(w.tries, t)
		}
	}
}

// misfortune has something go wrong now and then.
func (w *world) misfortune() {
	switch g := w.r.IntN(2); w.r.IntN(w.trouble) {
	case 0, 1, 2, 3, 4, 5:
		w.fallBehind(w.leaders[g])
	case 6, 7:
		switch {
		case w.stats["takeovers"]+w.stats["leads again"] >= 2:
		case w.one(3): // it claims its own group with a new fence
			w.leaders[g].claims = true
			w.stats["leads again"]++
		default:
			w.takeover(g)
			w.stats["takeovers"]++
		}
	case 8: // starts again under its name, and may be dark for a while
		s := w.workers[g][w.r.IntN(groupWorkers)]
		s.start()
		if w.one(2) {
			s.down = w.now.Add(w.some(0, 1000))
		}
		w.stats["restarts"]++
	case 9, 10, 11: // one gate does not hear a dispatcher for a moment
		w.gates[w.r.IntN(worldGates)].lose(w, w.leaders[g], w.some(5, 400))
	}
}

// fallBehind has the commands of a dispatcher pile up. Most gates lose it for a
// moment and may find it again before it has caught up.
func (w *world) fallBehind(d *simDispatcher) {
	d.behind = w.now.Add(w.some(50, 700))
	w.stats["behind"]++
	for _, g := range w.gates {
		if !w.one(3) {
			w.after(w.some(0, 300), func() { g.lose(w, d, w.some(5, 300)) })
		}
	}
}

// takeover has another entry VM lead a group. The dispatcher of before, which may
// be frozen, learns of it later, as do the gates.
func (w *world) takeover(group int) {
	old := w.leaders[group]
	d := &simDispatcher{w: w, group: group, vm: w.r.IntN(worldGates), part: newPart(nil)}
	w.leaders[group], w.all = d, append(w.all, d)
	if old != nil {
		old.over = w.now.Add(w.some(0, 500))
		if w.one(2) {
			old.behind = old.over
		}
	}
	d.claim()
}

// tell has the gates learn who leads.
func (w *world) tell(now leader) {
	group := now.d.group
	for _, g := range w.gates {
		if g.follows[group].d == nil || now.d.vm == g.index {
			g.follows[group] = now
			continue
		}
		if w.one(3) {
			g.lose(w, g.follows[group].d, w.some(1, 400))
		}
		w.after(w.some(1, 400), func() {
			if g.follows[group].fence < now.fence {
				g.follows[group] = now
			}
		})
	}
}

func refusalSchedule(seed uint64, p plant) (map[string]int, error) {
	w := newWorld(seed, p)
	for range scheduleSteps {
		if w.step(); w.err != nil {
			break
		}
	}
	for _, j := range w.jobs {
		j.count()
	}
	return w.stats, w.err
}

// TestRefusedJobsStayRefusedUnderRandomSchedules: a job whose caller was told only
// that it is not run has no task started, before or after, whatever is behind, lost,
// late or taken over (issue 17).
func TestRefusedJobsStayRefusedUnderRandomSchedules(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(refusalSeeds) {
		stats, err := refusalSchedule(seed, plantNothing)
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

// TestPlantedRefusalFaultsAreCaught shows that the judge can fail.
func TestPlantedRefusalFaultsAreCaught(t *testing.T) {
	for _, p := range []plant{
		plantAnswersByJob, plantRepliesByJob, plantMayRunLost, plantDroppedBlank, plantTakeoverBlank, plantGuestBlank, plantGivesUpBlank,
	} {
		caught := false
		for seed := uint64(0); seed < plantSeeds && !caught; seed++ {
			_, err := refusalSchedule(seed, p)
			if caught = err != nil; caught {
				t.Logf("%s: seed %d: %v", p, seed, err)
			}
		}
		if !caught {
			t.Errorf("%s: not caught in %d schedules", p, plantSeeds)
		}
	}
}
