package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/submission"
)

// entryBytes is counted for an Entry beside its bodies and answers.
const entryBytes = 256

// Ledger is the state that follows from a list of records. The same records
// give the same Ledger, but for its local times. It is not safe for concurrent
// use. The zero Ledger is empty.
type Ledger struct {
	entries  map[submission.Sequence]*Entry
	finished []submission.Sequence // in the order of their Finished records
	undrop   int                   // index in finished of the first that still has its answers
	// watermark is the latest Sequence that was forgotten. An unknown sequence
	// up to it may have been known once.
	watermark submission.Sequence
	bytes     int
	openBytes int                   // of bytes, those of running submissions
	results   []submission.Sequence // finished since TakeResults
}

// Entry returns what is known of s.
func (l *Ledger) Entry(s submission.Sequence) (*Entry, bool) {
	e, ok := l.entries[s]
	return e, ok
}

// MayBeForgotten reports whether an unknown s may have been known once.
func (l *Ledger) MayBeForgotten(s submission.Sequence) bool { return !s.After(l.watermark) }

// Status returns what a caller is told of id; the generation is the caller's
// to compare.
func (l *Ledger) Status(id submission.ID) (submission.Status, *code.Error) {
	if e, ok := l.entries[id.Sequence]; ok {
		return e.status(id), nil
	}
	if l.MayBeForgotten(id.Sequence) {
		return submission.Status{}, code.New(code.OutcomeUnknown, "submission %s is past its retention", id)
	}
	return submission.Status{}, code.New(code.UnknownSubmission, "nothing was submitted under %s", id)
}

// Bytes returns the memory that counts against the bound on answers and bodies.
func (l *Ledger) Bytes() int { return l.bytes }

// Len returns the number of submissions known.
func (l *Ledger) Len() int { return len(l.entries) }

// Open returns the entries that run, in the order of their sequences.
func (l *Ledger) Open() []*Entry {
	var open []*Entry
	for _, e := range l.entries {
		if e.Running() {
			open = append(open, e)
		}
	}
	slices.SortFunc(open, func(a, b *Entry) int {
		if a.Sequence.After(b.Sequence) {
			return 1
		}
		return -1
	})
	return open
}

// TakeResults returns the submissions that finished since the last call.
func (l *Ledger) TakeResults() []submission.Sequence {
	results := l.results
	l.results = nil
	return results
}

// Apply takes in one record. An error means that the record does not follow
// from those before it; the Ledger is then unchanged.
func (l *Ledger) Apply(now time.Time, r Record) error {
	switch r.Kind {
	case Opened:
		return l.open(now, r)
	case Floor:
		l.raise(r.Sequence)
		return nil
	}
	e, ok := l.entries[r.Sequence]
	if !ok {
		return errors.Newf("record of kind %d for unknown submission %v", r.Kind, r.Sequence)
	}
	switch r.Kind {
	case Started:
		return e.start(r.Task, r.Count)
	case Returned:
		return e.giveBack(r.Task)
	case Ended:
		return l.end(e, r)
	case Finished:
		return l.finish(now, e, r)
	case Dropped:
		return l.drop(e)
	case Forgotten:
		return l.forget(e)
	}
	return errors.Newf("record of unknown kind %d", r.Kind)
}

func (l *Ledger) open(now time.Time, r Record) error {
	if _, twice := l.entries[r.Sequence]; twice || l.MayBeForgotten(r.Sequence) {
		return errors.Newf("submission %v is opened a second time", r.Sequence)
	}
	if l.entries == nil {
		l.entries = make(map[submission.Sequence]*Entry)
	}
	e := &Entry{
		Sequence: r.Sequence,
		Digest:   r.Open.Digest,
		Key:      r.Open.Key,
		Deadline: now.Add(r.Open.Remaining.Std()),
		Tasks:    r.Open.Tasks,
		states:   make([]taskState, len(r.Open.Tasks)),
	}
	e.bytes = entryBytes
	for _, t := range e.Tasks {
		e.bytes += len(t.Body)
	}
	l.bytes += e.bytes
	l.openBytes += e.bytes
	l.entries[r.Sequence] = e
	return nil
}

// start is the heart of "no task starts twice": only a waiting task of a
// running submission can be started.
func (e *Entry) start(first, count int) error {
	if !e.Running() || count < 1 || first+count > len(e.states) {
		return errors.Newf("tasks %d+%d of submission %v cannot start", first, count, e.Sequence)
	}
	for i := first; i < first+count; i++ {
		if e.states[i] != taskWaiting {
			return errors.Newf("task %d of submission %v is started a second time", i, e.Sequence)
		}
	}
	for i := first; i < first+count; i++ {
		e.states[i] = taskStarted
	}
	e.started += count
	return nil
}

func (e *Entry) giveBack(task int) error {
	if task >= len(e.states) || e.states[task] != taskStarted {
		return errors.Newf("task %d of submission %v is returned but does not run", task, e.Sequence)
	}
	e.states[task] = taskWaiting
	e.started--
	return nil
}

func (l *Ledger) end(e *Entry, r Record) error {
	past := r.Task + max(1, r.Count)
	if past > len(e.states) {
		return errors.Newf("tasks up to %d of submission %v end, of %d", past, e.Sequence, len(e.states))
	}
	for i := r.Task; i < past; i++ {
		if e.states[i] != taskStarted {
			return errors.Newf("task %d of submission %v ends but does not run", i, e.Sequence)
		}
	}
	for i := r.Task; i < past; i++ {
		e.states[i] = taskEnded
	}
	e.ended += past - r.Task
	if r.Code != code.OK && e.Failure == 0 {
		e.Failure = r.Code
	}
	if !e.Running() || r.Code != code.OK || len(r.Answer) == 0 {
		return nil
	}
	if e.answers == nil {
		e.answers = make([]json.RawMessage, len(e.states))
	}
	e.answers[r.Task] = r.Answer
	l.grow(e, len(r.Answer))
	return nil
}

func (l *Ledger) finish(now time.Time, e *Entry, r Record) error {
	if !e.Running() {
		return errors.Newf("submission %v finishes a second time", e.Sequence)
	}
	if r.Code == code.OK && !e.AllEnded() {
		return errors.Newf("submission %v is complete with %d of %d tasks ended", e.Sequence, e.ended, len(e.states))
	}
	l.openBytes -= e.bytes
	e.Final, e.Message, e.EndedAt = r.Code, r.Message, now
	for _, t := range e.Tasks {
		l.grow(e, -len(t.Body))
	}
	e.Tasks = nil
	if r.Code != code.OK {
		l.dropAnswers(e)
	}
	l.finished = append(l.finished, e.Sequence)
	l.results = append(l.results, e.Sequence)
	return nil
}

func (l *Ledger) drop(e *Entry) error {
	if e.Running() {
		return errors.Newf("submission %v loses its answers while it runs", e.Sequence)
	}
	l.dropAnswers(e)
	return nil
}

func (l *Ledger) dropAnswers(e *Entry) {
	for _, a := range e.answers {
		l.grow(e, -len(a))
	}
	e.answers = nil
	e.dropped = true
}

func (l *Ledger) forget(e *Entry) error {
	if e.Running() || len(l.finished) == 0 || l.finished[0] != e.Sequence {
		return errors.Newf("submission %v is forgotten out of turn", e.Sequence)
	}
	l.finished = l.finished[1:]
	l.undrop = max(0, l.undrop-1)
	l.bytes -= e.bytes
	delete(l.entries, e.Sequence)
	l.raise(e.Sequence)
	return nil
}

func (l *Ledger) raise(s submission.Sequence) {
	if s.After(l.watermark) {
		l.watermark = s
	}
}

func (l *Ledger) grow(e *Entry, n int) {
	e.bytes += n
	l.bytes += n
	if e.Running() {
		l.openBytes += n
	}
}
