package member

import (
	"context"
	"maps"
	"time"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// told is what another entry VM was last told of a target in full.
type told struct {
	announcement target.Announcement
	renewals     int // since
}

// fullEvery is how many times in a row a target is passed on before its
// announcement is in full again, for those who missed it.
const fullEvery = 10

// passed is an announcement that is to be passed on.
type passed struct {
	announcement target.Announcement
	heard        time.Time
}

// Announce takes in what a target said to this entry VM.
func (m *Member) Announce(a target.Announcement) {
	now := time.Now()
	m.mu.Lock()
	known := m.book.Usable(now, a.Target)
	newer := m.book.Observe(now, a, 0)
	urgent := newer && (a.Leaving || !known)
	var to []vm.ID
	if newer {
		to = m.queuePass(now, a)
	}
	m.mu.Unlock()
	if !urgent {
		return
	}
	m.refresh()
	for _, id := range to {
		go m.pass(context.Background(), id)
	}
}

// queuePass notes a for the other entry VMs of the target's failure domain.
// The caller holds mu.
func (m *Member) queuePass(now time.Time, a target.Announcement) []vm.ID {
	var to []vm.ID
	for _, v := range m.config.VMs {
		if v.VM == m.config.Self.VM || v.FailureDomain != a.FailureDomain {
			continue
		}
		if m.passOn[v.VM] == nil {
			m.passOn[v.VM] = make(map[target.ID]passed)
		}
		m.passOn[v.VM][a.Target] = passed{a, now}
		to = append(to, v.VM)
	}
	return to
}

// Announced carries what was heard of targets from one entry VM to another.
type Announced struct {
	Announcements []Aged        `json:"announcements,omitempty"`
	Renewals      []AgedRenewal `json:"renewals,omitempty"` // of what was carried in full before
}

// Aged is an announcement with the time since the sender heard it.
type Aged struct {
	target.Announcement
	Age wire.Duration `json:"age"`
}

// AgedRenewal is a renewal with the time since the sender heard it.
type AgedRenewal struct {
	target.Renewal
	Age wire.Duration `json:"age"`
}

// Check returns an error if an announcement cannot be used.
func (a Announced) Check() error {
	for _, one := range a.Announcements {
		if err := one.Announcement.Check(); err != nil {
			return err
		}
	}
	return nil
}

// pass sends what waits for entry VM to.
func (m *Member) pass(ctx context.Context, to vm.ID) {
	now := time.Now()
	m.mu.Lock()
	alive := m.view.Alive(now, to)
	message := m.takePass(now, to)
	m.mu.Unlock()
	if !alive || len(message.Announcements)+len(message.Renewals) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A loss is mended by the next announcement in full.
	_ = m.config.Mesh.Notify(ctx, to, report.UseTarget, methodAnnounced, message)
}

// takePass returns what waits for entry VM to: as a renewal where that says all.
// The caller holds mu.
func (m *Member) takePass(now time.Time, to vm.ID) Announced {
	var message Announced
	waiting := m.passOn[to]
	delete(m.passOn, to)
	if m.told[to] == nil {
		m.told[to] = make(map[target.ID]told)
	}
	for id, p := range waiting {
		a, age := p.announcement, wire.Duration(now.Sub(p.heard)).Round()
		last := m.told[to][id]
		last.renewals++
		if last.renewals < fullEvery && a.EqualExceptSequence(last.announcement) {
			m.told[to][id] = last
			message.Renewals = append(message.Renewals, AgedRenewal{target.Renewal{Target: id, Incarnation: a.Incarnation, Sequence: a.Sequence}, age})
			continue
		}
		m.told[to][id] = told{announcement: a}
		message.Announcements = append(message.Announcements, Aged{a, age})
	}
	return message
}

func (m *Member) announced(_ context.Context, _ vm.ID, a Announced) (struct{}, error) {
	now := time.Now()
	changed := false
	m.mu.Lock()
	for _, one := range a.Announcements {
		newer := m.book.Observe(now, one.Announcement, one.Age.Std())
		changed = changed || newer && (one.Leaving || !m.live[one.Target])
	}
	for _, one := range a.Renewals {
		m.book.Renew(now, one.Renewal, one.Age.Std())
	}
	m.mu.Unlock()
	if changed {
		m.refresh()
	}
	return struct{}{}, nil
}

// forgetTold drops what others were told of targets that are gone. The caller
// holds mu.
func (m *Member) forgetTold(now time.Time) {
	for _, t := range m.told {
		maps.DeleteFunc(t, func(id target.ID, _ told) bool { return !m.book.Usable(now, id) })
	}
}
