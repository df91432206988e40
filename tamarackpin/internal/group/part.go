package group

import (
	"slices"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// part is this VM's part in one group of workers.
type part struct {
	leadership *lead.Leadership
	pool       *pool.Pool // nil unless this VM leads
	waiters    map[pool.Admission][]waiter
	admitted   map[Ticket]pool.Admission // what each waiter waits for
	cursor     worker.Cursor             // workers are known to the pool up to here
}

func newPart(l *lead.Leadership) *part {
	return &part{leadership: l, waiters: make(map[pool.Admission][]waiter), admitted: make(map[Ticket]pool.Admission)}
}

// dropPool ends this VM's lead: gates hand their jobs to the next leader.
func (p *part) dropPool() {
	p.pool = nil
	for _, list := range p.waiters {
		for _, w := range list {
			w.done <- result{dropped: true}
		}
	}
	clear(p.waiters)
	clear(p.admitted)
}

// submit hands a job to the pool for a gate, which waits for the answer to that
// admission and to no other of the same job.
func (p *part) submit(now time.Time, r pool.Request, w waiter) {
	a := p.pool.Submit(now, r)
	p.waiters[a] = append(p.waiters[a], w)
	p.admitted[w.ticket] = a
}

// answer tells the gates the answers to their jobs.
func (p *part) answer(answers []pool.Answer) {
	for _, a := range answers {
		for _, w := range p.waiters[a.Admission] {
			w.done <- result{answer: a}
			delete(p.admitted, w.ticket)
		}
		delete(p.waiters, a.Admission)
	}
}

// withdraw takes in that a gate does not wait any more, and reports whether it did.
// The job goes on if another waits for the same admission.
func (p *part) withdraw(now time.Time, w withdrawal) bool {
	a, waits := p.admitted[w.Ticket]
	if !waits {
		return false
	}
	delete(p.admitted, w.Ticket)
	p.waiters[a] = slices.DeleteFunc(p.waiters[a], func(one waiter) bool {
		if one.ticket == w.Ticket {
			one.done <- result{dropped: true}
		}
		return one.ticket == w.Ticket
	})
	if len(p.waiters[a]) > 0 {
		return true
	}
	delete(p.waiters, a)
	if p.pool != nil {
		p.pool.Withdraw(now, a)
	}
	return true
}
