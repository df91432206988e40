package group

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// dispatching returns the Group of a VM that leads its only group, with one worker
// whose room is for one task, and the starts that the worker was ordered.
func dispatching(t *testing.T) (*Group, chan pool.Order) {
	begun := time.Now().Add(-time.Minute)
	g, _, _ := started("ip-0a000001", begun, nil)
	starts := make(chan pool.Order, 100)
	g.config.LeaseMax, g.config.StopMax = time.Second, 50*time.Millisecond
	g.config.Call = func(_ context.Context, o pool.Order) pool.Reply {
		if o.Kind == pool.StartOrder {
			starts <- o
		}
		return pool.Reply{Done: true, AnsweredBy: 1, Clock: worker.Clock(time.Minute), HasClock: true}
	}
	for at := begun; g.parts[0].pool == nil; at = at.Add(restTick) {
		if time.Since(at) < 0 {
			t.Fatal("it did not take the lead")
		}
		g.claim(at)
	}
	return g, starts
}

// observe has the dispatcher learn of a worker, and look at it.
func (g *Group) observe(t *testing.T, id worker.ID) {
	now := time.Now()
	g.parts[0].pool.UpdateWorker(now, worker.Heard{At: now, Announcement: worker.Announcement{
		Worker: id, Incarnation: 1, Sequence: 1, Service: "s", Address: "10.0.0.9:1", Room: worker.Room{MilliCores: 1000}, Clock: worker.Clock(time.Minute),
	}})
	g.settle(t.Context(), now)
	g.next(t)
}

// next takes in one command and those that wait behind it, as Run does.
func (g *Group) next(t *testing.T) {
	select {
	case c := <-g.ring.Out():
		c(g, time.Now())
		g.drain()
		g.settle(t.Context(), time.Now())
	case <-time.After(time.Second):
		t.Fatal("nothing came for the dispatcher")
	}
}

// waitFor waits until so many commands wait for the dispatcher.
func (g *Group) waitFor(t *testing.T, commands int) {
	for begun := time.Now(); g.ring.Len() < commands; time.Sleep(time.Millisecond) {
		if time.Since(begun) > time.Second {
			t.Fatalf("%d commands wait, want %d", g.ring.Len(), commands)
		}
	}
}

// TestRefusedJobIsNotStarted: a dispatcher that is behind finds two tries of one gate
// to hand a job in. The refusal of the first must not be told as that of the second,
// which is in hand and starts as soon as there is room (issue 17).
func TestRefusedJobIsNotStarted(t *testing.T) {
	g, starts := dispatching(t)
	g.observe(t, "w1")
	handIn := func(id job.ID, number uint64, mayRun bool, takes time.Duration) chan outcome {
		before := g.ring.Len()
		told := make(chan outcome, 1)
		go func() {
			o, err := g.run(t.Context(), work{Ticket{"ip-0a000002", vm.Incarnation(1), number}, 0, 0, pool.Request{
				Job: job.Job{ID: id, Steps: []job.Step{{Count: 1, Need: worker.Room{MilliCores: 1000}, Estimate: takes}}},
				Row: "row", Service: "s", Stretch: 1.6, Latency: 60 * time.Millisecond, RemainingWait: time.Second, MayBeRunning: mayRun,
			}})
			if err == nil {
				told <- o
			}
		}()
		g.waitFor(t, before+1)
		return told
	}
	handIn("first", 1, false, 10*time.Second) // takes all the room
	g.next(t)
	if o := <-starts; o.Task.Job != "first" {
		t.Fatalf("%s was started, want the first job", o.Task.Job)
	}
	g.next(t) // the worker's answer
	handIn("second", 2, false, 100*time.Millisecond)
	again := handIn("second", 3, true, 100*time.Millisecond)
	g.next(t)
	g.observe(t, "w2")
	var refused bool
	select {
	case o := <-again:
		refused = o.Leads && o.Answer.Outcome == job.NotRun
	case <-time.After(50 * time.Millisecond):
	}
	select {
	case o := <-starts:
		if refused {
			t.Errorf("job %s was refused as not run, and its task %v was started", o.Task.Job, o.Task)
		}
	case <-time.After(time.Second):
		t.Error("the job that was handed in again was not started, with room for it")
	}
}
