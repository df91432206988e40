package group

import (
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// groupState is this VM's state in one group of workers.
type groupState struct {
	leadership      *lead.Leadership
	pool            *pool.Pool // nil unless this VM leads
	fence           lead.Fence // of the newest pool
	waiters         map[pool.Admission][]waiter
	admissions      map[Ticket]pool.Admission // the admission that each waiter waits for
	givenBack       withdrawals               // the calls that were answered as of jobs that were never started
	cursor          worker.Cursor             // position up to which the pool has received workers
	interferenceLog interferenceLog           // of the newest pool
	// runsKnownLogged reports that it was logged that the pool knows the runs of earlier dispatchers.
	runsKnownLogged bool
	// workersIncomplete reports that there may be workers that the pool has not received.
	workersIncomplete bool
	// predecessor is the claim of a dispatcher that is to be asked for its runs, zero if there is none.
	predecessor lead.Claim
	// runsInherited reports that only workers that are known here have runs of earlier dispatchers.
	runsInherited bool
	// ended is the last leadership of this process that another one replaced.
	ended endedLeadership
	// syncedFor is the newest claim for which the control VMs were asked at once, so that its holder can fetch
	// the workers from here.
	syncedFor lead.Fence
	withheld  withheldStarts // of the pool, as of the last line of the log
}

// endedLeadership is what a dispatcher that was replaced tells its successor.
type endedLeadership struct {
	fence     lead.Fence
	runsKnown bool // all runs that go on are on workers that this process knows
}

func newGroupState(l *lead.Leadership) *groupState {
	return &groupState{leadership: l, waiters: make(map[pool.Admission][]waiter), admissions: make(map[Ticket]pool.Admission)}
}

// dropPool discards the pool and its waiters; each waiting gate is told to forward its job
// again, and whether that was never started. It leaves the leadership as it is.
func (s *groupState) dropPool(now time.Time) {
	for a, list := range s.waiters {
		neverStarted := s.pool != nil && s.pool.NeverStarted(now, a)
		delete(s.waiters, a) // each receives one result, also if a panic ends this and it is called again
		for _, w := range list {
			if neverStarted {
				s.givenBack.add(now, w.ticket)
			}
			w.done <- result{dropped: true, neverStarted: neverStarted}
		}
	}
	s.pool = nil
	clear(s.admissions)
}

// submit passes a job to the pool and registers the waiter. The waiter receives only the
// answer to this admission.
func (s *groupState) submit(now time.Time, r pool.Request, w waiter) {
	a := s.pool.Submit(now, r)
	s.waiters[a] = append(s.waiters[a], w)
	s.admissions[w.ticket] = a
}

// deliverAnswers passes answers to the gates that wait for them.
func (s *groupState) deliverAnswers(answers []pool.Answer) {
	for _, a := range answers {
		for i, w := range s.waiters[a.Admission] {
			a.Offered = a.Offered && i == 0 // the choice is that of the first gate
			w.done <- result{answer: a}
			delete(s.admissions, w.ticket)
		}
		delete(s.waiters, a.Admission)
	}
}

// withdraw removes a waiter and reports whether it was there. The job is withdrawn from
// the pool unless another gate waits for the same admission, and neverStarted says that no dispatcher has started it.
func (s *groupState) withdraw(now time.Time, w withdrawal) (waits, neverStarted bool) {
	a, waits := s.admissions[w.Ticket]
	if !waits {
		neverStarted = s.givenBack.remove(w.Ticket) // its answer may have been on its way when the gate canceled the call
		return neverStarted, neverStarted
	}
	delete(s.admissions, w.Ticket)
	s.waiters[a] = slices.DeleteFunc(s.waiters[a], func(one waiter) bool {
		if one.ticket == w.Ticket {
			one.done <- result{dropped: true}
		}
		return one.ticket == w.Ticket
	})
	if len(s.waiters[a]) > 0 {
		return true, false
	}
	delete(s.waiters, a)
	if s.pool != nil {
		neverStarted = s.pool.NeverStarted(now, a)
		s.pool.Withdraw(now, a)
	}
	return true, neverStarted
}

// withdrawAll removes the waiters whose tickets match.
func (s *groupState) withdrawAll(now time.Time, matches func(Ticket) bool) {
	for t := range s.admissions {
		if matches(t) {
			s.withdraw(now, withdrawal{Ticket: t})
		}
	}
}

// release has the pool answer the job of a waiter if it has not started, and reports whether the waiter is
// there. A job that another gate waits for as well goes on.
func (s *groupState) release(now time.Time, t Ticket) bool {
	a, waits := s.admissions[t]
	if waits && s.pool != nil && len(s.waiters[a]) == 1 {
		s.pool.Release(now, a)
	}
	return waits
}
