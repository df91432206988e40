package worker

import (
	"maps"
	"time"
)

// AnnouncementTimeout is how long a worker is not heard before it gets no new tasks: two
// announcements, which come every 1.5 s, and a half.
const AnnouncementTimeout = 3750 * time.Millisecond

// retention is how long a worker that is not heard is remembered, so that an
// announcement that was overtaken does not bring it back: longer than any
// partition that the platform names.
const retention = time.Minute

// Record is a worker's newest announcement and when it was heard.
type Record struct {
	Announcement
	Deregistered bool      // it deregistered
	AnnouncedAt  time.Time // local time
	ChangeCursor Cursor    // when it last said something new
	SeenCursor   Cursor    // when it was last heard
}

// Usable reports whether the worker may be given a task.
func (r Record) Usable(now time.Time) bool {
	return !r.Deregistered && !r.Leaving && now.Sub(r.AnnouncedAt) < AnnouncementTimeout
}

// Cursor counts what a Registry took in. It is of use to that Registry only.
type Cursor uint64

// Registry keeps the newest announcement of each worker. It is not safe for
// concurrent use. The zero Registry is empty.
type Registry struct {
	records map[ID]Record
	cursor  Cursor
}

// Observe takes in an announcement that was made age ago. It reports whether
// the worker said something new; an overtaken announcement says nothing.
func (b *Registry) Observe(now time.Time, a Announcement, age time.Duration) bool {
	old, known := b.records[a.Worker]
	if known && !a.newerThan(old.Announcement) {
		return false
	}
	if b.records == nil {
		b.records = make(map[ID]Record)
	}
	b.cursor++
	r := Record{Announcement: a, AnnouncedAt: now.Add(-age), ChangeCursor: b.cursor, SeenCursor: b.cursor}
	changed := !known || old.Deregistered || !a.sameAs(old.Announcement)
	if !changed {
		r.ChangeCursor = old.ChangeCursor
	}
	b.records[a.Worker] = r
	return changed
}

// Deregister takes in that an incarnation of a worker deregistered, or the one that is
// known if i is 0. Later announcements of the same incarnation are late ones.
func (b *Registry) Deregister(id ID, i Incarnation) {
	r, known := b.records[id]
	if !known || r.Deregistered || i != 0 && i != r.Incarnation {
		return
	}
	b.cursor++
	r.Deregistered, r.Leaving, r.ChangeCursor, r.SeenCursor = true, true, b.cursor, b.cursor
	r.Sequence = ^uint64(0)
	b.records[id] = r
}

// Get returns what was heard of a worker.
func (b *Registry) Get(id ID) (Record, bool) {
	r, ok := b.records[id]
	return r, ok
}

// All calls yield for every worker.
func (b *Registry) All(yield func(Record) bool) {
	for _, r := range b.records {
		if !yield(r) {
			return
		}
	}
}

// Cursor returns the present Cursor.
func (b *Registry) Cursor() Cursor { return b.cursor }

// Forget drops workers that were not heard for long.
func (b *Registry) Forget(now time.Time) {
	maps.DeleteFunc(b.records, func(_ ID, r Record) bool { return now.Sub(r.AnnouncedAt) > retention })
}
