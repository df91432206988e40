package worker

import (
	"maps"
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
}

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
	cursor  Cursor
}

// Observe records an announcement that was made age ago. It reports whether
// anything but sequence and clock changed; an announcement that is not newer than
// the recorded one is ignored.
func (g *Registry) Observe(now time.Time, a Announcement, age time.Duration) bool {
	old, known := g.records[a.Worker]
	if known && !a.newerThan(old.Announcement) {
		return false
	}
	if g.records == nil {
		g.records = make(map[ID]Record)
	}
	g.cursor++
	r := Record{Announcement: a, AnnouncedAt: now.Add(-age), ChangeCursor: g.cursor, SeenCursor: g.cursor}
	changed := !known || old.Deregistered || !a.sameAs(old.Announcement)
	if !changed {
		r.ChangeCursor = old.ChangeCursor
	}
	g.records[a.Worker] = r
	return changed
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
}
