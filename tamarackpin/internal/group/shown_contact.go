package group

import (
	"slices"
	"time"

	"tamarackpin.example/internal/vm"
)

// shownContact is what this process has shown another VM of its being in contact.
type shownContact struct {
	until           time.Time // the newest time that a stamp told
	calledAt        time.Time // of the newest call
	unansweredSince time.Time // when the first call was made since that VM was last heard; zero if there was none
}

// extend makes until a later time; an earlier one changes nothing.
func (c *shownContact) extend(until time.Time) {
	if until.After(c.until) {
		c.until = until
	}
}

// maxCallGap is the time without a call to a VM after which it is not missing any answers: longer than between two
// heartbeats to a leader that does not answer, or two pings.
const maxCallGap = time.Second

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
	if now.Before(shown) { // a later call came first
		shown = now
	}
	return g.stampAt(earlier(shown, g.callersKnownUntil(now)))
}

// callersKnownUntil returns the newest time, not after now, such that this VM has ended the jobs of all callers that had left by
// then. Its messages show contact up to that time only.
func (g *Group) callersKnownUntil(now time.Time) time.Time {
	if g.config.CallersKnownUntil == nil {
		return now
	}
	return g.config.CallersKnownUntil(now)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// replyStamp returns the stamp of a reply that is made now.
func (g *Group) replyStamp(to vm.ID, now time.Time) stamp {
	return g.stampAt(earlier(g.contacts.showReply(to, now), g.callersKnownUntil(now)))
}

// show returns the time for the stamp of a call to a VM, and records it. The dispatcher there starts the tasks of this
// gate's jobs, and extends their leases, by the newest such time. It stands still while that VM does not answer for
// longer than exchangeTimeout, or the connection has failed: it may be replaced soon, and jobs wait less at the next
// dispatcher then. It also stands still at the time of a withdrawal that messages to that VM can't list.
func (s *lastContacts) show(to vm.ID, now time.Time, connected bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.shown[to]
	switch limit := c.unansweredSince.Add(exchangeTimeout); {
	case c.unansweredSince.IsZero() || now.Sub(c.calledAt) > maxCallGap:
		c.unansweredSince = now
		c.extend(s.capUnlisted(to, now))
	case !connected:
	case now.Before(limit):
		c.extend(s.capUnlisted(to, now))
	default:
		c.extend(s.capUnlisted(to, limit))
	}
	if now.After(c.calledAt) {
		c.calledAt = now
	}
	s.setShown(to, c)
	return s.capUnlisted(to, c.until)
}

// showReply returns the time for the stamp of a reply to a VM that was just heard, and records it: the present one, or that of
// a withdrawal that messages to that VM can't list.
func (s *lastContacts) showReply(to vm.ID, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := shownContact{until: s.shown[to].until}
	at := s.capUnlisted(to, now)
	c.extend(at)
	s.setShown(to, c)
	return at
}

// heldWithdrawal is a withdrawal from a VM that is not acknowledged yet.
type heldWithdrawal struct {
	number    uint64 // of the ticket
	startedAt time.Time
}

// maxListedWithdrawals bounds the withdrawals that a message lists.
const maxListedWithdrawals = 128

// hold has messages to a VM list a withdrawal that starts now until release is called. Stamps for a VM that does not read
// the list, or if the list is full, stand still at the present time meanwhile.
func (s *lastContacts) hold(to vm.ID, number uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(map[vm.ID][]heldWithdrawal)
	}
	s.held[to] = append(s.held[to], heldWithdrawal{number, now})
}

// release ends hold.
func (s *lastContacts) release(to vm.ID, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[to] = slices.DeleteFunc(s.held[to], func(w heldWithdrawal) bool { return w.number == number })
	if len(s.held[to]) == 0 {
		delete(s.held, to)
	}
}

// withdrawalsFor returns the ticket numbers that a message to a VM lists. The stamp of the message must be made before:
// of the withdrawals until then, the list has all that don't stop the stamps and are not acknowledged.
func (s *lastContacts) withdrawalsFor(to vm.ID) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var numbers []uint64
	for _, w := range s.held[to][:s.listed(to)] {
		numbers = append(numbers, w.number)
	}
	return numbers
}

// listed returns how many of the withdrawals that are held for a VM, from the oldest on, its messages list. s.mu is held.
func (s *lastContacts) listed(to vm.ID) int {
	if len(s.held[to]) == 0 || !s.processes[process{to, s.newest[to].Incarnation}].readsWithdrawals {
		return 0
	}
	return min(len(s.held[to]), maxListedWithdrawals)
}

// capUnlisted returns t, or the time of the oldest withdrawal from a VM that its messages don't list if that is earlier.
// s.mu is held.
func (s *lastContacts) capUnlisted(to vm.ID, t time.Time) time.Time {
	for _, w := range s.held[to][s.listed(to):] {
		if w.startedAt.Before(t) {
			t = w.startedAt
		}
	}
	return t
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

// ReadsRefusedBy reports whether the dispatcher to is known to read the field RefusedBy of a request.
func (g *Group) ReadsRefusedBy(to Leader) bool {
	return to.VM == g.self.VM || g.contacts.of(process{to.VM, to.Claim.Incarnation}).readsRefusedBy
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
