package group

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

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
	// readsContactAge reports that the process reads the field EarlierContactAge of pool.Request.
	readsContactAge bool
}

// shownContact is what this process has shown another VM of its being in contact.
type shownContact struct {
	until           time.Time // the newest time that a stamp told
	calledAt        time.Time // of the newest call
	unansweredSince time.Time // when the first call was made since that VM was last heard; zero if there was none
}

// stamp tells when a process made a message, on its own clock, or an earlier time: see lastContacts.show.
type stamp struct {
	Incarnation vm.Incarnation `json:"incarnation"`
	Age         wire.Duration  `json:"age"` // of the process
}

const (
	// maxClockDrift bounds the difference in rate of the steady clocks of two VMs.
	maxClockDrift = 0.01
	// maxCallGap is the time without a call to a VM after which it is not missing any answers: longer than between two
	// heartbeats to a leader that does not answer, or two pings.
	maxCallGap = time.Second
	// contactLifetime is how long the last contact with a process is kept.
	contactLifetime = time.Minute
)

// stampAt returns the stamp of a message that is made now.
func (g *Group) stampAt(now time.Time) stamp {
	return stamp{g.self.Incarnation, wire.Duration(now.Sub(g.startedAt).Truncate(time.Millisecond))}
}

// stampFor returns the stamp of a call that is made now. It is zero, and left out, until the VM has sent one: earlier
// builds refuse calls with fields that they don't know. Replies always have one.
func (g *Group) stampFor(to vm.ID, now time.Time) stamp {
	if to == g.self.VM {
		return stamp{} // see contactOf
	}
	shown := g.contacts.show(to, now, g.config.Mesh.Connected(to))
	if g.contacts.newestOf(to) == (stamp{}) {
		return stamp{}
	}
	return g.stampAt(shown)
}

// replyStamp returns the stamp of a reply that is made now.
func (g *Group) replyStamp(to vm.ID, now time.Time) stamp {
	g.contacts.showReply(to, now)
	return g.stampAt(now)
}

// show returns the time for the stamp of a call to a VM, and records it. The dispatcher there starts the tasks of this
// gate's jobs, and extends their leases, by the newest such time. It stands still while that VM does not answer for
// longer than exchangeTimeout, or the connection has failed: it may be replaced soon, and jobs wait less at the next
// dispatcher then.
func (s *lastContacts) show(to vm.ID, now time.Time, connected bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.shown[to]
	switch limit := c.unansweredSince.Add(exchangeTimeout); {
	case c.unansweredSince.IsZero() || now.Sub(c.calledAt) > maxCallGap:
		c.unansweredSince, c.until = now, later(c.until, now)
	case !connected:
	case now.Before(limit):
		c.until = later(c.until, now)
	default:
		c.until = later(c.until, limit)
	}
	c.calledAt = later(c.calledAt, now)
	s.setShown(to, c)
	return c.until
}

// showReply records that a reply to a VM that was just heard has the present time.
func (s *lastContacts) showReply(to vm.ID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setShown(to, shownContact{until: later(s.shown[to].until, now)})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answered records that a VM answered a call.
func (s *lastContacts) answered(id vm.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWait(id)
}

// endWait records that no call to a VM waits for its first answer. s.mu is held.
func (s *lastContacts) endWait(id vm.ID) {
	if c, shown := s.shown[id]; shown {
		c.unansweredSince = time.Time{}
		s.shown[id] = c
	}
}

// setShown sets the contact that was shown to a VM. s.mu is held.
func (s *lastContacts) setShown(to vm.ID, c shownContact) {
	if s.shown == nil {
		s.shown = make(map[vm.ID]shownContact)
	}
	s.shown[to] = c
}

// isAnswering reports whether no call to a VM has been without an answer for exchangeTimeout.
func (s *lastContacts) isAnswering(id vm.ID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.shown[id].unansweredSince
	return since.IsZero() || now.Sub(since) < exchangeTimeout
}

// ContactAge returns how long ago this VM last showed contact to any dispatcher, other than the one in to, that has had a job. It
// returns zero if the process in to is not known to read it, or if an earlier dispatcher sends no stamps, and so may count
// a message as of its arrival. It returns contactLifetime at most.
func (g *Group) ContactAge(now time.Time, earlier []Leader, to Leader) time.Duration {
	c := &g.contacts
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := (process{to.VM, to.Claim.Incarnation}); to.VM != g.self.VM && (c.newest[p.vm].Incarnation != p.incarnation || !c.processes[p].readsContactAge) {
		return 0
	}
	age := contactLifetime
	for _, l := range earlier {
		if l.Claim == to.Claim {
			continue
		}
		at := c.shown[l.VM].until
		if at.IsZero() || c.newest[l.VM] == (stamp{}) { // this VM itself, too
			return 0
		}
		age = min(age, now.Sub(at))
	}
	return age
}

// stampedAt returns when this process made a stamp, or the zero time if another one did.
func (g *Group) stampedAt(s stamp) time.Time {
	if s.Incarnation != g.self.Incarnation {
		return time.Time{}
	}
	return g.startedAt.Add(s.Age.Std())
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
	s.update(p, func(v *lastContact) { v.heardAt = later(v.heardAt, sentAt) })
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
		return pool.GateContact{HeardAt: now, ConfirmedAt: now}
	}
	last := g.contacts.of(t.process())
	if unstamped := g.contacts.of(process{vm: t.Gate}); unstamped.heardAt.After(last.heardAt) {
		last.heardAt = unstamped.heardAt // by a ping of an earlier build
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

// withdrawLost withdraws the jobs of the gates that have been silent for too long.
func (g *Group) withdrawLost(now time.Time) {
	lost := make(map[process]int)
	for _, s := range g.groups {
		for t := range s.admissions {
			if now.Sub(g.contactOf(now, t).HeardAt) >= pool.MaxGateSilence {
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
