package group

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
)

// signsOfLife holds what the messages of other VMs show of them. The zero value has none. It is safe for
// concurrent use.
type signsOfLife struct {
	mu  sync.Mutex // guards vms
	vms map[vm.ID]signOfLife
}

// signOfLife is what the messages of one VM show.
type signOfLife struct {
	heardAt time.Time // arrival of the newest message
}

func (s *signsOfLife) update(id vm.ID, f func(*signOfLife)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vms == nil {
		s.vms = make(map[vm.ID]signOfLife)
	}
	v := s.vms[id]
	f(&v)
	s.vms[id] = v
}

// record records the arrival of a message.
func (s *signsOfLife) record(id vm.ID, at time.Time) {
	s.update(id, func(v *signOfLife) { v.heardAt = later(v.heardAt, at) })
}

// of returns what the messages of a VM show.
func (s *signsOfLife) of(id vm.ID) signOfLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[id]
}

// gateContact returns what is known of the gates that wait for an admission.
func (g *Group) gateContact(now time.Time, waiters []waiter) pool.GateContact {
	var c pool.GateContact
	for _, w := range waiters {
		if w.ticket.Gate == g.self.VM {
			return pool.GateContact{HeardAt: now}
		}
		c.HeardAt = later(c.HeardAt, g.signs.of(w.ticket.Gate).heardAt)
	}
	return c
}

// withdrawLost withdraws the jobs of the gates that have been silent for too long.
func (g *Group) withdrawLost(now time.Time) {
	for _, s := range g.groups {
		for t := range s.admissions {
			if t.Gate == g.self.VM {
				continue
			}
			if silence := now.Sub(g.signs.of(t.Gate).heardAt); silence >= pool.MaxGateSilence {
				event.Log(g.config.Log, event.GateLost, zap.String("job", string(s.admissions[t].Job)), zap.String("gate", string(t.Gate)), zap.Duration("silence", silence))
				s.withdraw(now, withdrawal{Ticket: t})
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
