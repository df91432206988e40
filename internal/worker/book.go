package worker

import (
	"maps"
	"time"
)

// SilentAfter is how long a worker is not heard before it gets no new tasks: two
// announcements, which come every 1.5 s, and a half.
const SilentAfter = 3750 * time.Millisecond

// forgetAfter is how long a worker that is not heard is remembered, so that an
// announcement that was overtaken does not bring it back: longer than any
// partition that the platform names.
const forgetAfter = time.Minute

// Heard is a worker's newest announcement and when it was heard.
type Heard struct {
	Announcement
	Gone  bool      // it deregistered
	At    time.Time // local time
	Since Cursor    // when it last said something new
	Beat  Cursor    // when it was last heard
}

// Usable reports whether the worker may be given a task.
func (h Heard) Usable(now time.Time) bool {
	return !h.Gone && !h.Leaving && now.Sub(h.At) < SilentAfter
}

// Cursor counts what a Book took in. It is of use to that Book only.
type Cursor uint64

// Book keeps the newest announcement of each worker. It is not safe for
// concurrent use. The zero Book is empty.
type Book struct {
	heard  map[ID]Heard
	cursor Cursor
}

// Observe takes in an announcement that was made age ago. It reports whether
// the worker said something new; an overtaken announcement says nothing.
func (b *Book) Observe(now time.Time, a Announcement, age time.Duration) bool {
	old, known := b.heard[a.Worker]
	if known && !a.newerThan(old.Announcement) {
		return false
	}
	if b.heard == nil {
		b.heard = make(map[ID]Heard)
	}
	b.cursor++
	h := Heard{Announcement: a, At: now.Add(-age), Since: b.cursor, Beat: b.cursor}
	news := !known || old.Gone || !a.sameAs(old.Announcement)
	if !news {
		h.Since = old.Since
	}
	b.heard[a.Worker] = h
	return news
}

// Leave takes in that an incarnation of a worker deregistered, or the one that is
// known if i is 0. Later announcements of the same incarnation are late ones.
func (b *Book) Leave(id ID, i Incarnation) {
	h, known := b.heard[id]
	if !known || h.Gone || i != 0 && i != h.Incarnation {
		return
	}
	b.cursor++
	h.Gone, h.Leaving, h.Since, h.Beat = true, true, b.cursor, b.cursor
	h.Sequence = ^uint64(0)
	b.heard[id] = h
}

// Get returns what was heard of a worker.
func (b *Book) Get(id ID) (Heard, bool) {
	h, ok := b.heard[id]
	return h, ok
}

// All calls yield for every worker.
func (b *Book) All(yield func(Heard) bool) {
	for _, h := range b.heard {
		if !yield(h) {
			return
		}
	}
}

// Cursor returns the present Cursor.
func (b *Book) Cursor() Cursor { return b.cursor }

// Forget drops workers that were not heard for long.
func (b *Book) Forget(now time.Time) {
	maps.DeleteFunc(b.heard, func(_ ID, h Heard) bool { return now.Sub(h.At) > forgetAfter })
}
