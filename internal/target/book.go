package target

import (
	"maps"
	"slices"
	"time"
)

// Lease times. A target renews every RenewInterval. Its lease lasts LeaseDuration
// from the time of the announcement, so that a dead target is given tasks for no
// longer than that.
const (
	RenewInterval = 800 * time.Millisecond
	LeaseDuration = 2500 * time.Millisecond
)

// expiredRetention is how long the Book remembers an expired lease, so that a late,
// older announcement does not bring back a target that left.
const expiredRetention = time.Minute

// Lease is a target's newest announcement and the end of its lease.
type Lease struct {
	Announcement
	Expires time.Time // local time
}

// Book holds the leases of the targets. It is not safe for concurrent use. The zero
// Book is empty.
type Book struct {
	leases map[ID]Lease
}

// Observe records an announcement that the target sent age ago and reports whether it
// is newer than the recorded one. Any other changes nothing, so a target may be
// announced through several entry VMs.
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

// Renew records a Renewal that the target sent age ago. It extends the lease only if
// the recorded announcement has the same incarnation and is not leaving.
func (b *Book) Renew(now time.Time, r Renewal, age time.Duration) {
	l, known := b.leases[r.Target]
	if !known || l.Leaving || l.Incarnation != r.Incarnation {
		return
	}
	a := l.Announcement
	a.Sequence = r.Sequence
	b.Observe(now, a, age)
}

// Usable reports whether id may be given tasks: its lease is valid and it is not
// leaving.
func (b *Book) Usable(now time.Time, id ID) bool {
	l, ok := b.leases[id]
	return ok && l.usable(now)
}

// Live returns the leases of the usable targets, ordered by id.
func (b *Book) Live(now time.Time) []Lease {
	var live []Lease
	for _, id := range slices.Sorted(maps.Keys(b.leases)) {
		if l := b.leases[id]; l.usable(now) {
			live = append(live, l)
		}
	}
	return live
}

// Forget drops the leases that expired more than expiredRetention ago.
func (b *Book) Forget(now time.Time) {
	maps.DeleteFunc(b.leases, func(_ ID, l Lease) bool { return now.Sub(l.Expires) > expiredRetention })
}

func (l Lease) usable(now time.Time) bool { return !l.Leaving && now.Before(l.Expires) }
