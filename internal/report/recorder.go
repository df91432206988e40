package report

import (
	"maps"
	"slices"
	"sync"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/wire"
)

// MaxRows bounds the rows that a Recorder counts apart. What comes beyond is
// counted in the row of [OtherKey].
const MaxRows = 512

// OtherKey is the row for what came beyond [MaxRows].
var OtherKey = party.Key{Party: "other", Kind: "other"}

// Recorder counts on one entry VM. It is safe for concurrent use. The zero
// Recorder has counted nothing.
type Recorder struct {
	mu       sync.Mutex // guards all below
	rows     map[party.Key]*Row
	messages map[Use]Traffic
	idle     Idle
}

// row returns the counts of k. The caller holds mu.
func (r *Recorder) row(k party.Key) *Row {
	if row := r.rows[k]; row != nil {
		return row
	}
	if r.rows == nil {
		r.rows = make(map[party.Key]*Row)
	}
	if len(r.rows) >= MaxRows && k != OtherKey {
		return r.row(OtherKey)
	}
	row := &Row{Key: k, Replies: make(map[code.Code]uint64), TaskEnds: make(map[code.Code]uint64)}
	r.rows[k] = row
	return row
}

// Request counts a request of row k and its result. ideal is the time it would
// have taken on an idle system; zero if it was not run.
func (r *Recorder) Request(k party.Key, c code.Code, response, ideal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(k)
	row.Requests++
	row.Replies[c]++
	row.countsRatio(response, ideal)
}

// Submission counts a submission of row k.
func (r *Recorder) Submission(k party.Key, resubmitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(k)
	row.Submissions++
	if resubmitted {
		row.Resubmitted++
	}
}

// SubmissionEnd counts the result of a submission of row k.
func (r *Recorder) SubmissionEnd(k party.Key, c code.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row(k).Replies[c]++
}

// Task counts a task of row k that was started on a target and its result.
func (r *Recorder) Task(k party.Key, c code.Code, wait, service time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(k)
	row.Tasks++
	row.TaskEnds[c]++
	row.Wait.RecordDuration(wait)
	row.Service.RecordDuration(service)
}

// Message counts messages of one use; wasted ones did no useful work.
func (r *Recorder) Message(u Use, sent, wasted, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.messages == nil {
		r.messages = make(map[Use]Traffic)
	}
	t := r.messages[u]
	t.add(Traffic{uint64(sent), uint64(wasted), uint64(bytes)})
	r.messages[u] = t
}

// Slots counts the slot time of a past interval: free of slots were free, and
// waiting tasks waited.
func (r *Recorder) Slots(interval time.Duration, slots, free, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle.Slots += wire.Duration(interval * time.Duration(slots))
	r.idle.Free += wire.Duration(interval * time.Duration(free))
	r.idle.FreeWhileWaiting += wire.Duration(interval * time.Duration(min(free, waiting)))
}

// Part returns a copy of the counts.
func (r *Recorder) Part() Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Part{Idle: r.idle, Messages: maps.Clone(r.messages)}
	for _, k := range slices.SortedFunc(maps.Keys(r.rows), party.Key.Compare) {
		var sum Row
		sum.Key = k
		sum.Merge(r.rows[k])
		p.Rows = append(p.Rows, &sum)
	}
	return p
}
