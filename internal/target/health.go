package target

import (
	"maps"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/wire"
)

// Rules for setting a target aside.
const (
	failuresToSetAside = 5               // in a row, without a success
	rowsToSetAside     = 2               // across which they must be spread
	probeEvery         = 2 * time.Second // one task, while set aside
	maxSetAsidePart    = 0.3             // of the known targets, at most
)

// record is what Health keeps of one target.
type record struct {
	failures int
	rows     wire.Set[string]
	aside    bool
	probed   time.Time
}

// Health finds targets that fail everything they start. Failures of one row
// alone speak against the row, not against the target. It is not safe for
// concurrent use. The zero Health trusts every target.
type Health struct {
	records map[ID]*record
	avoided map[ID]avoidance
}

// avoidance keeps tasks from a target that did not take one.
type avoidance struct {
	until  time.Time
	streak int // of tasks not taken, without a success between
}

// maxDoublings bounds how the time grows for which a target is avoided.
const maxDoublings = 6

// BackOff takes in that target id did not take a task. It gets no other for the
// time d, doubled for each one before that it did not take either.
func (h *Health) BackOff(now time.Time, id ID, d time.Duration) {
	if h.avoided == nil {
		h.avoided = make(map[ID]avoidance)
	}
	a := h.avoided[id]
	a.until = now.Add(d << min(a.streak, maxDoublings))
	a.streak++
	h.avoided[id] = a
}

// Observe takes in the end of a task of row k on target id; known is the
// number of live targets.
func (h *Health) Observe(now time.Time, id ID, k party.Key, ok bool, known int) {
	if h.records == nil {
		h.records = make(map[ID]*record)
	}
	if ok {
		delete(h.records, id)
		delete(h.avoided, id)
		return
	}
	r := h.records[id]
	if r == nil {
		r = &record{rows: wire.NewSet[string]()}
		h.records[id] = r
	}
	r.failures++
	r.rows[k.String()] = struct{}{}
	bad := r.failures >= failuresToSetAside && len(r.rows) >= rowsToSetAside
	if bad && !r.aside && float64(h.aside()+1) <= maxSetAsidePart*float64(known) {
		r.aside = true
		r.probed = now
	}
}

func (h *Health) aside() int {
	n := 0
	for _, r := range h.records {
		if r.aside {
			n++
		}
	}
	return n
}

// Usable reports whether id may be given a task now. A target that was set
// aside gets one probe at a time.
func (h *Health) Usable(now time.Time, id ID) bool {
	if now.Before(h.avoided[id].until) {
		return false
	}
	r := h.records[id]
	return r == nil || !r.aside || now.Sub(r.probed) >= probeEvery
}

// Sent takes in that id was given a task.
func (h *Health) Sent(now time.Time, id ID) {
	if r := h.records[id]; r != nil {
		r.probed = now
	}
}

// Quarantined reports whether id is set aside.
func (h *Health) Quarantined(id ID) bool {
	r := h.records[id]
	return r != nil && r.aside
}

// Forget drops the targets that keep reports false for.
func (h *Health) Forget(keep func(ID) bool) {
	maps.DeleteFunc(h.records, func(id ID, _ *record) bool { return !keep(id) })
	maps.DeleteFunc(h.avoided, func(id ID, _ avoidance) bool { return !keep(id) })
}
