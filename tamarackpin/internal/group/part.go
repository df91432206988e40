package group

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/worker"
)

// part is this VM's part in one group of workers.
type part struct {
	leadership *lead.Leadership
	pool       *pool.Pool // nil unless this VM leads
	waiters    map[job.ID][]waiter
	cursor     worker.Cursor // workers are known to the pool up to here
}

func newPart(l *lead.Leadership) *part {
	return &part{leadership: l, waiters: make(map[job.ID][]waiter)}
}

// dropPool ends this VM's lead: gates hand their jobs to the next leader.
func (p *part) dropPool() {
	p.pool = nil
	for id, list := range p.waiters {
		for _, w := range list {
			w.done <- result{dropped: true}
		}
		delete(p.waiters, id)
	}
}

// answer tells the gates the answers to their jobs.
func (p *part) answer(answers []pool.Answer) {
	for _, a := range answers {
		for _, w := range p.waiters[a.Job] {
			w.done <- result{answer: a}
		}
		delete(p.waiters, a.Job)
	}
}

// withdraw takes in that a gate does not wait any more. The job goes on if another
// does.
func (p *part) withdraw(now time.Time, w withdrawal) {
	list, waits := p.waiters[w.Job]
	if !waits {
		return
	}
	kept := list[:0]
	for _, one := range list {
		if one.ticket != w.Ticket {
			kept = append(kept, one)
			continue
		}
		one.done <- result{dropped: true}
	}
	p.waiters[w.Job] = kept
	if len(kept) > 0 {
		return
	}
	delete(p.waiters, w.Job)
	if p.pool != nil {
		p.pool.Withdraw(now, w.Job)
	}
}
