package group

import (
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
)

// TestSuspendedGateIsHeardAgain: the steady clock of a gate that was suspended for some seconds lags behind, and its dispatcher took
// all its later messages for as much delayed: it admitted none of its jobs.
func TestSuspendedGateIsHeardAgain(t *testing.T) {
	const other, suspended = "ip-0a000002", 3 * time.Second
	startedAt := time.Now()
	var total time.Duration
	gate, _, _ := newTestGroup(other, startedAt, nil)
	gate.config.SuspendedTime = func() time.Duration { return total }
	var dispatcher lastContacts
	p := process{other, gate.self.Incarnation}
	// silence returns the time since the gate was heard, after a message that it makes now, on the clock of its dispatcher.
	silence := func(now time.Time) time.Duration {
		at := now.Add(total)
		return at.Sub(dispatcher.record(at, p, gate.stampAt(now)))
	}
	for now := startedAt; now.Before(startedAt.Add(3 * time.Second)); now = now.Add(150 * time.Millisecond) {
		if s := silence(now); s > 100*time.Millisecond {
			t.Errorf("before the suspension, the gate seems silent for %s", s)
		}
	}
	checkedAt := startedAt.Add(3 * time.Second)
	total = suspended
	wokeAt := checkedAt.Add(10 * time.Millisecond)
	if s := silence(wokeAt); s < pool.MaxGateSilence {
		t.Errorf("before the gate has noticed the suspension, it seems silent for %s", s)
	}
	gate.noteSuspension(wokeAt.Add(20 * time.Millisecond))
	if s := silence(checkedAt); s < pool.MaxGateSilence {
		t.Errorf("the check of a caller before the suspension seems to be %s old", s)
	}
	now := wokeAt.Add(100 * time.Millisecond)
	if s := silence(now); s > 100*time.Millisecond {
		t.Errorf("after the suspension, the gate seems silent for %s", s)
	}
	for _, at := range []time.Time{startedAt.Add(time.Second), now} {
		if read := gate.stampedAt(gate.stampAt(at)); at.Sub(read).Abs() > time.Millisecond {
			t.Errorf("a stamp of %s is read as of %s", at.Sub(startedAt), read.Sub(startedAt))
		}
	}
}

// TestSuspendedDispatcherStepsDown: a dispatcher that was suspended found no pause by its steady clock, and ordered what was queued
// although it had been replaced meanwhile.
func TestSuspendedDispatcherStepsDown(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		leads     bool
	}{{400 * time.Millisecond, true}, {3 * time.Second, false}} {
		g, starts := newLeadingGroup(t)
		g.addWorker(t, "w1")
		for at := time.Now().Add(-time.Minute); at.Before(time.Now()); at = at.Add(200 * time.Millisecond) {
			g.tickLeaderships(at)
		}
		g.tickedAt = time.Now()
		g.config.SuspendedTime = func() time.Duration { return c.suspended }
		g.tick(time.Now())
		g.groups[0].pool.Submit(time.Now(), pool.Request{Job: job.Job{ID: "j", Steps: []job.Step{{Count: 1}}}, Service: "s", Stretch: 3, Latency: time.Minute, RemainingWait: time.Minute})
		g.applyDecisions(t.Context(), time.Now())
		g.calls.Wait()
		if leads := g.groups[0].leadership.IsLeader(); leads != c.leads || len(starts) > 0 != c.leads {
			t.Errorf("after a suspension of %s it leads: %v, %d starts", c.suspended, leads, len(starts))
		}
	}
}
