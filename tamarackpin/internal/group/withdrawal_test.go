package group

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

func oneTask(id job.ID, takes time.Duration) pool.Request {
	return pool.Request{
		Job: job.Job{ID: id, Steps: []job.Step{{Count: 1, Need: worker.Room{MilliCores: 1000}, Estimate: takes}}},
		Row: "row", Service: "s", Stretch: 1.6, Latency: 60 * time.Millisecond, RemainingWait: 10 * time.Second,
	}
}

// TestJobWithdrawnBeforeItCameIsNotStarted: a withdrawal overtakes the hand-over that
// it withdraws (issue 17).
func TestJobWithdrawnBeforeItCameIsNotStarted(t *testing.T) {
	g, starts := dispatching(t)
	g.observe(t, "w1")
	now, ticket := time.Now(), Ticket{"ip-0a000002", 1, 1}
	g.dismiss(now, withdrawal{ticket, "j"})
	if g.admit(now, work{ticket, 0, 0, oneTask("j", time.Second)}, make(chan result, 1)) {
		t.Error("it was taken in")
	}
	g.settle(t.Context(), now)
	select {
	case o := <-starts:
		t.Errorf("task %v was started for nobody", o.Task)
	case <-time.After(50 * time.Millisecond):
	}
	g.dismiss(now, withdrawal{ticket, "j"})
	g.early.forget(now.Add(withdrawnFor + 1))
	if len(g.early.at) > 0 {
		t.Errorf("%d withdrawals are kept", len(g.early.at))
	}
}

// TestTriesOfAGateInAnyOrder: a hand-over, its withdrawal and the next hand-over come at
// one moment, the workers are full. A gate that is told that the job was not run is told
// the truth, and once the second hand-over is withdrawn nothing is in hand (issue 17).
func TestTriesOfAGateInAnyOrder(t *testing.T) {
	const first, withdrawn, second = "first try", "its withdrawal", "second try"
	orders := [][]string{
		{first, withdrawn, second},
		{first, second, withdrawn},
		{withdrawn, first, second},
		{withdrawn, second, first},
		{second, first, withdrawn},
		{second, withdrawn, first},
	}
	for _, takes := range []time.Duration{100 * time.Millisecond, 3 * time.Second} { // refused at once, or left to wait
		for _, order := range orders {
			g, starts := dispatching(t)
			g.observe(t, "w1")
			now := time.Now()
			g.admit(now, work{Ticket{"ip-0a000002", 1, 9}, 0, 0, oneTask("full", 2*time.Second)}, make(chan result, 1))
			g.settle(t.Context(), now)
			<-starts
			tickets := map[string]Ticket{first: {"ip-0a000002", 1, 1}, second: {"ip-0a000002", 1, 2}}
			told := make(chan result, 1)
			for _, what := range order {
				r := oneTask("j", takes)
				switch what {
				case first:
					g.admit(now, work{tickets[first], 0, 0, r}, make(chan result, 1))
				case withdrawn:
					g.dismiss(now, withdrawal{tickets[first], "j"})
				case second:
					r.MayBeRunning = true
					g.admit(now, work{tickets[second], 0, 0, r}, told)
				}
			}
			g.settle(t.Context(), now)
			a, inHand := g.parts[0].pool.Lookup("j")
			select {
			case r := <-told:
				if inHand && !r.dropped && r.answer.Outcome == job.NotRun {
					t.Errorf("%v, %s: refused as not run, and %+v is in hand", order, takes, a)
				}
			default:
			}
			g.dismiss(now, withdrawal{tickets[second], "j"})
			if _, inHand := g.parts[0].pool.Lookup("j"); inHand {
				t.Errorf("%v, %s: both hand-overs were withdrawn, and the job is in hand", order, takes)
			}
		}
	}
}
