package group

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// lastContacts holds the last contact with other processes. The zero value has none. It is safe for concurrent
// use.
type lastContacts struct {
	mu        sync.Mutex // guards the fields below
	processes map[process]lastContact
	newest    map[vm.ID]stamp // of the newest message of each VM
	shown     map[vm.ID]shownContact
	held      map[vm.ID][]heldWithdrawal // in the order of their starts
}

// process is one process of a VM.
type process struct {
	vm          vm.ID
	incarnation vm.Incarnation
}

// lastContact is the last contact with one process.
type lastContact struct {
	heardAt time.Time // when it sent the newest message that arrived
	// confirmedAt is a time after which it made a heartbeat whose claims this VM knows; zero before the first.
	confirmedAt time.Time
	startedAt   time.Time // estimate of its start, on the clock of this process: later than that by the least delay of a message
	arrivedAt   time.Time // of the newest message
	// datedAt is when a message with a stamp was made that it has answered. From the next one on it can tell their age.
	datedAt time.Time
	// readsContactAge reports that the process reads the field EarlierContactAge of pool.Request.
	readsContactAge bool
	// readsRefusedBy reports that the process reads the field RefusedBy of pool.Request.
	readsRefusedBy bool
	// readsWithdrawals reports that the process reads the list of withdrawals in messages.
	readsWithdrawals bool
	// readsEvacuations reports that the process reads evacuations in heartbeats, and evacuationRevision is the newest that it
	// has told.
	readsEvacuations   bool
	evacuationRevision evacuation.Revision
}

// stamp tells when a process made a message, on its own clock, or an earlier time: see lastContacts.show.
type stamp struct {
	Incarnation vm.Incarnation `json:"incarnation"`
	Age         wire.Duration  `json:"age"` // of the process
}

const (
	// maxClockDrift bounds the difference in rate of the steady clocks of two VMs.
	maxClockDrift = 0.01
	// contactLifetime is how long the last contact with a process is kept.
	contactLifetime = time.Minute
)

// stampAt returns the stamp of a message that is made now. A time before a suspension of this VM was noticed gets an old stamp.
func (g *Group) stampAt(now time.Time) stamp {
	age := now.Sub(g.startedAt) + g.suspensions.until(now)
	return stamp{g.self.Incarnation, wire.Duration(age.Truncate(time.Millisecond))}
}

// stampedAt returns when this process made a stamp, or the zero time if another one did.
func (g *Group) stampedAt(s stamp) time.Time {
	if s.Incarnation != g.self.Incarnation {
		return time.Time{}
	}
	return g.suspensions.steady(g.startedAt, s.Age.Std())
}

func (s *lastContacts) update(p process, f func(*lastContact)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes == nil {
		s.processes, s.newest = make(map[process]lastContact), make(map[vm.ID]stamp)
	}
	v := s.processes[p]
	f(&v)
	s.processes[p] = v
}

// record records a message that arrives now, and returns when it was made, as estimated from the least delayed message of
// that process. For a message without a stamp, of an earlier build, that is its arrival.
func (s *lastContacts) record(now time.Time, p process, made stamp) (sentAt time.Time) {
	sentAt = s.recordArrival(now, p, made)
	s.hear(p, sentAt)
	return sentAt
}

// hear records that a process sent a message at the given time, by which the dispatcher here may start its jobs.
func (s *lastContacts) hear(p process, sentAt time.Time) {
	s.update(p, func(v *lastContact) {
		if sentAt.After(v.heardAt) {
			v.heardAt = sentAt
		}
	})
}

// recordMessage records a message that arrives now, as lastContacts.record does, and the ticket numbers of withdrawals that it
// lists. The message says that the other jobs of its gate are wanted, so it counts as heard only when Run has handled them.
func (g *Group) recordMessage(ctx context.Context, now time.Time, p process, made stamp, withdrawn []uint64) (sentAt time.Time, err error) {
	sentAt = g.contacts.recordArrival(now, p, made)
	return sentAt, g.hear(ctx, p, sentAt, withdrawn)
}

// hear does what lastContacts.hear does, after Run has handled the listed withdrawals.
func (g *Group) hear(ctx context.Context, p process, sentAt time.Time, withdrawn []uint64) error {
	if len(withdrawn) == 0 {
		g.contacts.hear(p, sentAt)
		return nil
	}
	return g.withdrawals.Put(ctx, func(g *Group, now time.Time) {
		for _, number := range withdrawn {
			g.handleWithdrawal(now, withdrawal{Ticket: Ticket{p.vm, p.incarnation, number}})
		}
		g.contacts.hear(p, sentAt)
	})
}

// recordArrival does what record does, without hear.
func (s *lastContacts) recordArrival(now time.Time, p process, made stamp) (sentAt time.Time) {
	sentAt = now
	s.update(p, func(v *lastContact) {
		if made != (stamp{}) {
			startedAt := now.Add(-made.Age.Std())
			if v.startedAt.IsZero() {
				v.startedAt = startedAt
			}
			v.startedAt = v.startedAt.Add(time.Duration(maxClockDrift * float64(now.Sub(v.arrivedAt))))
			if startedAt.Before(v.startedAt) {
				v.startedAt = startedAt
			}
			sentAt = v.startedAt.Add(made.Age.Std())
			if newest := s.newest[p.vm]; newest.Incarnation != made.Incarnation || newest.Age < made.Age {
				s.newest[p.vm] = made
			}
		} else if p.incarnation != 0 && p.incarnation != s.newest[p.vm].Incarnation {
			delete(s.newest, p.vm) // it may have gone back to an earlier build
		}
		v.arrivedAt = now
		s.endWait(p.vm)
	})
	return sentAt
}

// confirm records that a heartbeat whose claims are known was made after the given time.
func (s *lastContacts) confirm(p process, after time.Time) {
	s.update(p, func(v *lastContact) {
		if after.After(v.confirmedAt) {
			v.confirmedAt = after
		}
	})
}

// of returns the last contact with a process.
func (s *lastContacts) of(p process) lastContact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[p]
}

// newestOf returns the stamp of the newest message of a VM.
func (s *lastContacts) newestOf(id vm.ID) stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[id]
}

// datesMessages reports whether a VM can tell the age of the messages of this process. It forgets their stamps after contactLifetime.
func (s *lastContacts) datesMessages(id vm.ID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.processes[process{id, s.newest[id].Incarnation}].datedAt
	return !at.IsZero() && now.Sub(at) < contactLifetime/2
}

// expire drops the processes without a message for contactLifetime.
func (s *lastContacts) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.processes, func(_ process, v lastContact) bool { return now.Sub(v.arrivedAt) > contactLifetime })
}

// contactOf returns the contact with the process that made a ticket. A gate of another failure domain sends pings and
// no heartbeats, so it is never confirmed; it offloads a job to one group only.
func (g *Group) contactOf(now time.Time, t Ticket) pool.GateContact {
	if t.Gate == g.self.VM {
		return pool.GateContact{HeardAt: g.callersKnownUntil(now), ConfirmedAt: now}
	}
	last := g.contacts.of(t.process())
	if unstamped := g.contacts.of(process{vm: t.Gate}); last.startedAt.IsZero() && unstamped.heardAt.After(last.heardAt) {
		// By a ping of an earlier build, or of a process that has not heard this VM. One that has sent stamps goes on to do so, so
		// it is of another process then.
		last.heardAt = unstamped.heardAt
	}
	if last.confirmedAt.IsZero() {
		last.confirmedAt = last.heardAt
	}
	return pool.GateContact{HeardAt: last.heardAt, ConfirmedAt: last.confirmedAt}
}

// gateContact returns the contact with the gates that wait for an admission; with several, each field is that of the gate
// with the earliest time.
func (g *Group) gateContact(now time.Time, waiters []waiter) pool.GateContact {
	var c pool.GateContact
	for i, w := range waiters {
		one := g.contactOf(now, w.ticket)
		if i == 0 || one.HeardAt.Before(c.HeardAt) {
			c.HeardAt = one.HeardAt
		}
		if i == 0 || one.ConfirmedAt.Before(c.ConfirmedAt) {
			c.ConfirmedAt = one.ConfirmedAt
		}
	}
	return c
}

// maxUnreadSilence is the silence of a gate after which its jobs are withdrawn by a dispatcher however late its ticks are. A gate that could
// not deliver a withdrawal shows contact again after withdrawTimeout.
const maxUnreadSilence = withdrawTimeout - time.Second

// withdrawLost withdraws the jobs of the gates that have been silent for maxSilence.
func (g *Group) withdrawLost(now time.Time, maxSilence time.Duration) {
	lost := make(map[process]int)
	for _, s := range g.groups {
		for t := range s.admissions {
			if now.Sub(g.contactOf(now, t).HeardAt) >= maxSilence {
				lost[t.process()]++
				s.withdraw(now, withdrawal{Ticket: t})
			}
		}
	}
	for p, jobs := range lost {
		event.Log(g.config.Log, event.GateLost, zap.String("gate", string(p.vm)), zap.Int64("incarnation", int64(p.incarnation)), zap.Int("jobs", jobs),
			zap.Duration("silence", now.Sub(g.contacts.of(p).heardAt)))
	}
}
