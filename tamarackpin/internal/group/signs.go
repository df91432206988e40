package group

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
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
	// confirmedAt is a time after which that VM made the newest heartbeat whose claims this VM knows; zero
	// before the first.
	confirmedAt time.Time
	newest      stamp // of the newest heartbeat
}

// stamp tells when a process made a heartbeat, on its own clock.
type stamp struct {
	Incarnation vm.Incarnation `json:"incarnation"`
	Age         wire.Duration  `json:"age"` // of the process
}

// stampAt returns the stamp of a heartbeat that is made now.
func (g *Group) stampAt(now time.Time) stamp {
	return stamp{g.self.Incarnation, wire.Duration(now.Sub(g.startedAt).Truncate(time.Millisecond))}
}

// stampedAt returns when this process made a stamp, or the zero time if an earlier process did.
func (g *Group) stampedAt(s stamp) time.Time {
	if s.Incarnation != g.self.Incarnation {
		return time.Time{}
	}
	return g.startedAt.Add(s.Age.Std())
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

// recordStamp records the stamp of a heartbeat, to be returned with the next one to its sender.
func (s *signsOfLife) recordStamp(id vm.ID, made stamp) {
	s.update(id, func(v *signOfLife) {
		if made.Incarnation > v.newest.Incarnation || made.Incarnation == v.newest.Incarnation && made.Age > v.newest.Age {
			v.newest = made
		}
	})
}

// confirm records that a heartbeat whose claims are known was made after the given time.
func (s *signsOfLife) confirm(id vm.ID, after time.Time) {
	s.update(id, func(v *signOfLife) { v.confirmedAt = later(v.confirmedAt, after) })
}

// of returns what the messages of a VM show.
func (s *signsOfLife) of(id vm.ID) signOfLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[id]
}

// gateContact returns what is known of the gates that wait for an admission. A gate of another failure
// domain, which sends no heartbeats, offloads a job to one group only.
func (g *Group) gateContact(now time.Time, waiters []waiter) pool.GateContact {
	var c pool.GateContact
	for _, w := range waiters {
		if w.ticket.Gate == g.self.VM {
			return pool.GateContact{HeardAt: now, ConfirmedAt: now}
		}
		sign := g.signs.of(w.ticket.Gate)
		c.HeardAt = later(c.HeardAt, sign.heardAt)
		if sign.confirmedAt.IsZero() {
			sign.confirmedAt = sign.heardAt
		}
		c.ConfirmedAt = later(c.ConfirmedAt, sign.confirmedAt)
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
