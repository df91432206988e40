package target

import (
	"maps"
	"slices"
	"time"
)

// Lease times. A target renews every RenewInterval; its lease lasts LeaseDuration
// from the announcement, so that after its death it gets nothing for longer
// than that.
const (
	RenewInterval = 800 * time.Millisecond
	LeaseDuration = 2500 * time.Millisecond
)

// keepLeft is how long the Book remembers a target that left, so that an
// overtaken announcement does not bring it back.
const keepLeft = time.Minute

// Lease is one target's place in the Book.
type Lease struct {
	Announcement
	Expires time.Time // local time
}

// Book keeps the leases of the targets. It is not safe for concurrent use. The
// zero Book is empty.
type Book struct {
	leases map[ID]Lease
}

// Observe takes in an announcement that left the target age ago and reports
// whether it was newer than what the Book held. An older one changes nothing,
// so the same target may be announced through several entry VMs.
func (b *Book) Observe(now time.Time, a Announcement, age time.Duration) bool {
	old, known := b.leases[a.Target]
	if known && !a.newerThan(old.Announcement) {
		return false
	}
	if b.leases == nil {
		b.leases = make(map[ID]Lease)
	}
	b.leases[a.Target] = Lease{Announcement: a, Expires: now.Add(LeaseDuration - age)}
	return true
}

// Renew takes in a Renewal that left the target age ago. It prolongs the lease
// only of a target whose announcement of the same incarnation is known and not
// leaving.
func (b *Book) Renew(now time.Time, r Renewal, age time.Duration) {
	l, known := b.leases[r.Target]
	if !known || l.Leaving || l.Incarnation != r.Incarnation {
		return
	}
	a := l.Announcement
	a.Sequence = r.Sequence
	b.Observe(now, a, age)
}

// Usable reports whether id may be given work.
func (b *Book) Usable(now time.Time, id ID) bool {
	l, ok := b.leases[id]
	return ok && l.usable(now)
}

// Live returns the leases that may be given work, in the order of their ids.
func (b *Book) Live(now time.Time) []Lease {
	var live []Lease
	for _, id := range slices.Sorted(maps.Keys(b.leases)) {
		if l := b.leases[id]; l.usable(now) {
			live = append(live, l)
		}
	}
	return live
}

// Forget drops the leases that ended long ago.
func (b *Book) Forget(now time.Time) {
	maps.DeleteFunc(b.leases, func(_ ID, l Lease) bool { return now.Sub(l.Expires) > keepLeft })
}

func (l Lease) usable(now time.Time) bool { return !l.Leaving && now.Before(l.Expires) }
