package target

import (
	"maps"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/wire"
)

// Limits for the quarantine of failing targets.
const (
	quarantineFailures = 5               // consecutive failures before a quarantine
	quarantineRows     = 2               // different rows among the tasks that failed
	probeInterval      = 2 * time.Second // one task per interval during a quarantine
	maxQuarantinedPart = 0.3             // largest quarantined fraction of the live targets
)

// record holds the failures of one target since its last success.
type record struct {
	failures    int
	rows        wire.Set[string]
	quarantined bool
	probedAt    time.Time
}

// Health quarantines targets that fail every task and backs off from targets that
// refuse tasks. Failures of only one row are ascribed to the row, not to the
// target. Health is not safe for concurrent use. The zero Health has every target
// usable.
type Health struct {
	records  map[ID]*record
	backoffs map[ID]backoff
}

// backoff is the time in which a target that did not accept a task gets no other.
type backoff struct {
	until  time.Time
	streak int // tasks not accepted since the last success
}

// maxDoublings bounds the growth of the backoff of a target.
const maxDoublings = 6

// BackOff records that target id did not accept a task. It gets no other for d,
// doubled for each task that it did not accept before, since its last success, at
// most maxDoublings times.
func (h *Health) BackOff(now time.Time, id ID, d time.Duration) {
	if h.backoffs == nil {
		h.backoffs = make(map[ID]backoff)
	}
	b := h.backoffs[id]
	b.until = now.Add(d << min(b.streak, maxDoublings))
	b.streak++
	h.backoffs[id] = b
}

// Observe records the end of a task of row k on target id. known is the number of
// live targets, which bounds how many are quarantined. A success ends quarantine
// and backoff.
func (h *Health) Observe(now time.Time, id ID, k party.Key, ok bool, known int) {
	if h.records == nil {
		h.records = make(map[ID]*record)
	}
	if ok {
		delete(h.records, id)
		delete(h.backoffs, id)
		return
	}
	r := h.records[id]
	if r == nil {
		r = &record{rows: wire.NewSet[string]()}
		h.records[id] = r
	}
	r.failures++
	r.rows[k.String()] = struct{}{}
	bad := r.failures >= quarantineFailures && len(r.rows) >= quarantineRows
	if bad && !r.quarantined && float64(h.quarantinedCount()+1) <= maxQuarantinedPart*float64(known) {
		r.quarantined = true
		r.probedAt = now
	}
}

func (h *Health) quarantinedCount() int {
	n := 0
	for _, r := range h.records {
		if r.quarantined {
			n++
		}
	}
	return n
}

// Usable reports whether id may be given a task now. A quarantined target is given
// one task per probeInterval as a probe.
func (h *Health) Usable(now time.Time, id ID) bool {
	if now.Before(h.backoffs[id].until) {
		return false
	}
	r := h.records[id]
	return r == nil || !r.quarantined || now.Sub(r.probedAt) >= probeInterval
}

// Sent records that id was given a task, from which the next probe is timed.
func (h *Health) Sent(now time.Time, id ID) {
	if r := h.records[id]; r != nil {
		r.probedAt = now
	}
}

// Quarantined reports whether id gets only probes, since it failed every task.
func (h *Health) Quarantined(id ID) bool {
	r := h.records[id]
	return r != nil && r.quarantined
}

// Forget drops the targets for which keep returns false.
func (h *Health) Forget(keep func(ID) bool) {
	maps.DeleteFunc(h.records, func(id ID, _ *record) bool { return !keep(id) })
	maps.DeleteFunc(h.backoffs, func(id ID, _ backoff) bool { return !keep(id) })
}
