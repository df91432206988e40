package worker

import (
	"maps"
	"slices"
	"time"
)

// AnnouncementTimeout is the age of the newest announcement from which a worker
// gets no new tasks: two and a half announcement intervals of 1.5 s.
const AnnouncementTimeout = 3750 * time.Millisecond

// retention is how long a Record is kept after its announcement, so that a
// delayed announcement does not bring the worker back: longer than any partition
// that the platform states.
const retention = time.Minute

// Record is a worker's newest announcement, with the times of its receipt.
type Record struct {
	Announcement
	Deregistered bool
	AnnouncedAt  time.Time // local time
	ChangeCursor Cursor    // of the last change of anything but sequence and clock
	SeenCursor   Cursor    // of the last announcement or deregistration
	// Replaced has the incarnations that this one replaced, the newest first, at most maxReplaced.
	Replaced []Incarnation
}

// maxReplaced bounds Record.Replaced. Only announcements that are still on their way are
// compared with it.
const maxReplaced = 8

// Usable reports whether the worker may be given a task: it is neither leaving
// nor deregistered, and its announcement is younger than AnnouncementTimeout.
func (r Record) Usable(now time.Time) bool {
	return !r.Deregistered && !r.Leaving && now.Sub(r.AnnouncedAt) < AnnouncementTimeout
}

// Cursor counts the updates of a Registry. Cursors of different Registries are
// not comparable.
type Cursor uint64

// Registry keeps the newest announcement of each worker. It is not safe for
// concurrent use. The zero Registry is empty.
type Registry struct {
	records map[ID]Record
	claims  map[ID]claim
	cursor  Cursor
}

// Observation is what an announcement changed in a [Registry].
type Observation int

// The observations.
const (
	Outdated Observation = iota // the recorded announcement is as new or newer
	Renewed                     // only sequence and clock changed
	Changed                     // anything else changed
	// Unproven is an announcement of another incarnation than the recorded one, which may be an earlier
	// one: it was not recorded. The next one of that incarnation may be.
	Unproven
)

// claim is an announcement of an incarnation that may be the present one.
type claim struct {
	Announcement
	at time.Time // local time
}

// minClaimAge is the least time between two announcements that prove an incarnation to be the
// present one: a worker that was not acknowledged tries again sooner.
const minClaimAge = 500 * time.Millisecond

// confirmedBy reports whether a second announcement of the same incarnation, recorded at now, proves
// that it is the present one. It arrived as much later than the first as it was made later; a
// partition that ends delivers what it delayed at once.
func (c claim) confirmedBy(now time.Time, a Announcement) bool {
	if c.Incarnation != a.Incarnation || a.Sequence <= c.Sequence {
		return false
	}
	between := now.Sub(c.at)
	return between >= minClaimAge && (a.Clock == 0 || c.Clock == 0 || between >= time.Duration(a.Clock-c.Clock)*3/4)
}

// Observe records an announcement that was made age ago. replaced has the incarnations that its
// incarnation has replaced in the Registry that it came from, if it is not from the worker itself.
//
// An incarnation is the time of day at which the worker started, so a worker whose clock was set back
// may start with a lower one than before. A higher incarnation replaces the recorded one
// at once. A lower one, or one that was replaced, may be that of a delayed announcement; it
// replaces the recorded one with its second announcement, if that shows that the
// incarnation is alive and the recorded one has not announced itself in between, or if it has replaced
// the recorded one elsewhere.
func (g *Registry) Observe(now time.Time, a Announcement, age time.Duration, replaced []Incarnation) Observation {
	if g.records == nil {
		g.records, g.claims = make(map[ID]Record), make(map[ID]claim)
	}
	at := now.Add(-age)
	old, known := g.records[a.Worker]
	switch {
	case !known:
	case a.Incarnation == old.Incarnation:
		if a.Sequence <= old.Sequence {
			return Outdated
		}
	case slices.Contains(replaced, old.Incarnation) && !slices.Contains(old.Replaced, a.Incarnation):
	case a.Incarnation < old.Incarnation || slices.Contains(old.Replaced, a.Incarnation):
		c, claimed := g.claims[a.Worker]
		claimed = claimed && old.AnnouncedAt.Before(c.at)
		if !claimed || !c.confirmedBy(at, a) {
			if !claimed || c.Incarnation != a.Incarnation {
				g.claims[a.Worker] = claim{a, at}
			}
			return Unproven
		}
	}
	g.cursor++
	r := Record{Announcement: a, AnnouncedAt: at, ChangeCursor: g.cursor, SeenCursor: g.cursor, Replaced: old.Replaced}
	if known && a.Incarnation != old.Incarnation || len(replaced) > 0 {
		r.Replaced = mergeReplaced(a.Incarnation, old, replaced)
		delete(g.claims, a.Worker)
	}
	changed := !known || old.Deregistered || !a.sameAs(old.Announcement)
	if !changed {
		r.ChangeCursor = old.ChangeCursor
	}
	g.records[a.Worker] = r
	if changed {
		return Changed
	}
	return Renewed
}

// mergeReplaced returns Record.Replaced of an incarnation that follows the Record old, if that is not
// empty, and has replaced others elsewhere.
func mergeReplaced(i Incarnation, old Record, elsewhere []Incarnation) []Incarnation {
	var list []Incarnation
	for _, o := range slices.Concat([]Incarnation{old.Incarnation}, elsewhere, old.Replaced) {
		if o != 0 && o != i && !slices.Contains(list, o) && len(list) < maxReplaced {
			list = append(list, o)
		}
	}
	return list
}

// Deregister records that incarnation i of a worker deregistered, or the known
// one if i is 0. Announcements of that incarnation that arrive afterwards are
// ignored.
func (g *Registry) Deregister(id ID, i Incarnation) {
	r, known := g.records[id]
	if !known || r.Deregistered || i != 0 && i != r.Incarnation {
		return
	}
	g.cursor++
	r.Deregistered, r.Leaving, r.ChangeCursor, r.SeenCursor = true, true, g.cursor, g.cursor
	r.Sequence = ^uint64(0)
	g.records[id] = r
}

// Get returns the Record of a worker, if there is one.
func (g *Registry) Get(id ID) (Record, bool) {
	r, ok := g.records[id]
	return r, ok
}

// All is an iterator over the Records of all workers, in no order.
func (g *Registry) All(yield func(Record) bool) {
	for _, r := range g.records {
		if !yield(r) {
			return
		}
	}
}

// Cursor returns the Cursor of the last update.
func (g *Registry) Cursor() Cursor { return g.cursor }

// Forget drops the Records whose announcement is older than retention.
func (g *Registry) Forget(now time.Time) {
	maps.DeleteFunc(g.records, func(_ ID, r Record) bool { return now.Sub(r.AnnouncedAt) > retention })
	maps.DeleteFunc(g.claims, func(_ ID, c claim) bool { return now.Sub(c.at) > retention })
}
