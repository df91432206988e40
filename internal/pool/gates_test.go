package pool

import (
	"slices"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// gateMoves records when the gates of jobs left dispatchers that were replaced, and when those of
// offloaded jobs were last heard.
type gateMoves struct {
	replaced map[int]bool // dispatchers, as indexes
	leftAt   map[gateOfJob]time.Time
}

// gateOfJob names the gate of a job at a dispatcher.
type gateOfJob struct {
	pool int
	job  job.ID
}

func newGateMoves() gateMoves {
	return gateMoves{replaced: make(map[int]bool), leftAt: make(map[gateOfJob]time.Time)}
}

// leave records that the gate of a job has left all dispatchers that were replaced by then.
func (m *gateMoves) leave(at time.Time, id job.ID) {
	for i := range m.replaced {
		if _, left := m.leftAt[gateOfJob{i, id}]; !left {
			m.leftAt[gateOfJob{i, id}] = at
		}
	}
}

// lose records that the gate of a job was lost at a time that may be past.
func (m *gateMoves) lose(at time.Time, pool int, id job.ID) { m.leftAt[gateOfJob{pool, id}] = at }

// contact returns the contact of a dispatcher with the gate of a job.
func (m *gateMoves) contact(now time.Time, pool int, id job.ID) GateContact {
	if at, left := m.leftAt[gateOfJob{pool, id}]; left {
		now = at
	}
	return GateContact{HeardAt: now, ConfirmedAt: now}
}

// withdrawLost withdraws the jobs of lost gates, as package group does.
func (sim *simulation) withdrawLost() {
	for key, at := range sim.gates.leftAt {
		if a, pending := sim.pools[key.pool].Lookup(key.job); pending && !sim.hasStopped(key.pool) && sim.now.Sub(at) >= MaxGateSilence {
			sim.pools[key.pool].Withdraw(sim.now, a)
			sim.stats["withdrawn by silence"]++
		}
	}
}

// submitTo submits a job to a dispatcher; its gate leaves those that were replaced.
func (sim *simulation) submitTo(p *Pool, r Request) {
	sim.gates.leave(sim.now, r.Job.ID)
	sim.forwards.record(slices.Index(sim.pools, p), r.Job.ID)
	p.Submit(sim.now, r)
}

// watchedHarness returns a harness with workers that have listed no runs, whose dispatcher asks contact for
// the gates of its jobs.
func watchedHarness(t *testing.T, workers int, contact func(now time.Time) GateContact) *harness {
	h := newHarness(t, workers)
	h.pool.config.GateContact = func(now time.Time, _ Admission) GateContact { return contact(now) }
	return h
}

// TestLeaseEndsBeforeCallerRetries: the bounds of the leases of a gate that is not heard.
func TestLeaseEndsBeforeCallerRetries(t *testing.T) {
	slowest := worker.LapsedBy(time.Time{}, leaseDuration).Sub(time.Time{})
	if longest := maxLeaseSilence + slowest; longest >= callerRetryDelay {
		t.Errorf("a run may last for %s after the last message of its gate, its caller submits the job again after %s", longest, callerRetryDelay)
	}
	const longestLease = time.Second // of a worker that has restarted
	if longest := maxLeaseSilence + OrderTimeout + worker.LapsedBy(time.Time{}, longestLease).Sub(time.Time{}); longest > maxRunSilence {
		t.Errorf("a run on a worker that has restarted may last for %s after the last message of its gate, jobs that it forwards wait for %s", longest, maxRunSilence)
	}
	if MaxGateSilence >= maxLeaseSilence+leaseDuration {
		t.Errorf("the jobs of a silent gate are withdrawn after %s, when leases have lapsed", MaxGateSilence)
	}
}

// startPatientJob submits a job of one task whose caller waits for 10 s, and acknowledges its start, which it returns.
func (h *harness) startPatientJob() Order {
	h.t.Helper()
	h.pool.Submit(h.now, patientRequest(10*time.Second))
	starts := h.ordersOfKind(StartOrder)
	if len(starts) != 1 {
		h.t.Fatalf("starts %+v, want 1", starts)
	}
	h.reply(starts[0], Reply{Done: true})
	return starts[0]
}

// TestRunOfSilentGateGetsNoLease: a dispatcher extended the leases of a job that its gate had forwarded to the
// next one until the caller's deadline (issue 50).
func TestRunOfSilentGateGetsNoLease(t *testing.T) {
	var heardAt time.Time
	h := watchedHarness(t, 1, func(time.Time) GateContact { return GateContact{HeardAt: heardAt, ConfirmedAt: heardAt} })
	heardAt = h.now
	start := h.startPatientJob()
	var last time.Time
	for h.now.Sub(heardAt) < 2*time.Second {
		h.advance(5 * time.Millisecond)
		orders, _ := h.takePending()
		for _, o := range orders {
			if o.Deadline != 0 {
				last = h.now
			}
			r := Reply{Done: true}
			if o.Kind == RenewOrder {
				r.Running = []RunningTask{{Task: start.Task, Run: start.Run}}
			}
			h.reply(o, r)
		}
	}
	if silence := last.Sub(heardAt); last.IsZero() || silence+leaseDuration > callerRetryDelay {
		t.Errorf("the newest lease was given %s after the gate was heard", silence)
	}
}

// TestLapseIsProvenByGate: a dispatcher that was replaced started a task again whose run the next one had
// adopted, as the leases had lapsed by its own reckoning (issue 50, seed 206 of TestNoTaskRunsTwiceUnderItsPredecessor).
func TestLapseIsProvenByGate(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed bool // the gate is known to have stayed
		starts    int
	}{{"the gate may have forwarded the job", false, 0}, {"the gate has not forwarded the job", true, 1}} {
		startedAt := time.Time{}
		h := watchedHarness(t, 2, func(now time.Time) GateContact {
			if c.confirmed {
				return GateContact{HeardAt: now, ConfirmedAt: now}
			}
			return GateContact{HeardAt: now, ConfirmedAt: startedAt}
		})
		startedAt = h.now
		h.pool.Submit(h.now, patientRequest(10*time.Second))
		starts := h.ordersOfKind(StartOrder)
		if len(starts) != 1 {
			t.Fatalf("%s: starts %+v, want 1", c.name, starts)
		}
		h.reply(starts[0], Reply{Done: true})
		again := 0
		for h.now.Sub(startedAt) < 3*time.Second {
			h.advance(5 * time.Millisecond)
			orders, _ := h.takePending()
			for _, o := range orders {
				switch {
				case o.Worker == starts[0].Worker:
					h.reply(o, Reply{})
				case o.Kind == StartOrder:
					again++
					h.reply(o, Reply{Done: true})
				default:
					r := Reply{Done: true}
					if again > 0 {
						r.Running = []RunningTask{{Task: starts[0].Task, Run: starts[0].Run + 1}}
					}
					h.reply(o, r)
				}
			}
		}
		if again != c.starts {
			t.Errorf("%s: the task was started %d times again, want %d", c.name, again, c.starts)
		}
	}
}

// TestSilentGateBlocksItsWorker: a start or renewal for another job extends all leases on a worker, also those of a
// silent gate's job, and of one that was withdrawn and whose stop gets no reply.
func TestSilentGateBlocksItsWorker(t *testing.T) {
	var heardAt time.Time
	h := newHarness(t, 1)
	h.pool.config.GateContact = func(now time.Time, a Admission) GateContact {
		if a.Job == "silent" {
			now = heardAt
		}
		return GateContact{HeardAt: now, ConfirmedAt: now}
	}
	heardAt = h.now
	submit := func(id job.ID) Admission {
		r := patientRequest(10 * time.Second)
		r.Job.ID, r.GateHeardAt = id, h.now
		return h.pool.Submit(h.now, r)
	}
	a := submit("silent")
	first := h.ordersOfKind(StartOrder)
	if len(first) != 1 {
		t.Fatalf("starts %+v, want 1", first)
	}
	h.reply(first[0], Reply{Done: true})
	for h.now.Sub(heardAt) < 2*time.Second {
		h.advance(5 * time.Millisecond)
		switch silence := h.now.Sub(heardAt); silence {
		case maxLeaseSilence + 10*time.Millisecond:
			submit("other")
		case MaxGateSilence:
			h.pool.Withdraw(h.now, a)
		}
		orders, _ := h.takePending()
		for _, o := range orders {
			if silence := o.Sent.Sub(heardAt); o.Deadline != 0 && silence > maxLeaseSilence && silence < callerRetryDelay {
				t.Errorf("%s after the last sign of its gate, a lease on its worker by %+v", silence, o)
			}
			if o.Kind == StopOrder {
				h.reply(o, Reply{})
				continue
			}
			h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: first[0].Task, Run: first[0].Run}}})
		}
	}
}

// TestSilentGateOfTwoBlocksLeases: two gates wait for a job. A message of one extended the leases of the job, although the other
// was silent and may have forwarded it.
func TestSilentGateOfTwoBlocksLeases(t *testing.T) {
	var heardAt time.Time // the earliest of both gates
	h := watchedHarness(t, 1, func(time.Time) GateContact { return GateContact{HeardAt: heardAt, ConfirmedAt: heardAt} })
	heardAt = h.now
	start := h.startPatientJob()
	joined := false
	for h.now.Sub(heardAt) < MaxGateSilence {
		h.advance(10 * time.Millisecond)
		silence := h.now.Sub(heardAt)
		if silence > maxLeaseSilence && !joined {
			joined = true
			r := patientRequest(10 * time.Second)
			r.GateHeardAt = h.now
			h.pool.Submit(h.now, r) // of the other gate
		}
		orders, _ := h.takePending()
		for _, o := range orders {
			if silence := o.Sent.Sub(heardAt); silence > maxLeaseSilence && o.Deadline != 0 {
				t.Fatalf("%s after the last message of the first gate a lease by %+v", silence, o)
			}
			h.reply(o, Reply{Done: true, Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
		}
	}
}

// TestForwardedJobWaitsAfterDivision: a gate received a division late; the job that it forwarded was still
// running on a worker of another group, under a dispatcher that had not received the division.
func TestForwardedJobWaitsAfterDivision(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.config.DividedAt = h.now
	h.advance(2 * recoveryDelay)
	r := patientRequest(10 * time.Second)
	r.MayBeRunning = true
	h.pool.Submit(h.now, r)
	forwardedAt := h.now
	for len(h.ordersOfKind(StartOrder)) == 0 && h.now.Sub(forwardedAt) < 2*maxRunSilence {
		h.announce("w0", 1)
		h.advance(10 * time.Millisecond)
	}
	if after := h.now.Sub(forwardedAt); after != maxRunSilence {
		t.Errorf("the job starts %s after its forward, want %s", after, maxRunSilence)
	}
}

// TestForwardedJobMayBeAtLaterDispatcher: a dispatcher that was replaced itself started a job beside a run of its predecessor,
// as the leases that this one had given were over. The next dispatcher had adopted the run and extended
// them (issue 50).
func TestForwardedJobMayBeAtLaterDispatcher(t *testing.T) {
	for _, c := range []struct {
		name  string
		stays time.Duration // that the gate is known to have stayed after it forwarded the job
		start time.Duration // after the forward; 0 stands for none
	}{
		{"the gate may have forwarded it again at once", 0, 0},
		{"the gate may have forwarded it again before the leases expired", maxRunSilence - 5*time.Millisecond, 0},
		{"the gate had not forwarded it again when the leases expired", maxRunSilence, maxRunSilence},
	} {
		h, _ := takeOver(t)
		h.advance(2 * recoveryDelay)
		forwardedAt := h.now
		h.pool.config.GateContact = func(now time.Time, _ Admission) GateContact {
			confirmedAt := forwardedAt.Add(min(c.stays, now.Sub(forwardedAt)))
			return GateContact{HeardAt: now, ConfirmedAt: confirmedAt}
		}
		r := patientRequest(10 * time.Second)
		r.MayBeRunning = true
		h.pool.Submit(h.now, r)
		var startedAfter time.Duration
		for h.now.Sub(forwardedAt) < 3*time.Second && startedAfter == 0 {
			h.announce("w0", 1)
			h.advance(5 * time.Millisecond)
			if starts := h.ordersOfKind(StartOrder); len(starts) > 0 {
				startedAfter = h.now.Sub(forwardedAt)
			}
		}
		if startedAfter != c.start {
			t.Errorf("%s: the job starts after %s, want %s (0s: not)", c.name, startedAfter, c.start)
		}
	}
}
