package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/wire"
)

// Records returns records that make an empty Ledger equal to l, for the
// transfer to a joining copy. Finished submissions come in their order.
func (l *Ledger) Records(now time.Time) []Record {
	records := []Record{{Kind: Floor, Sequence: l.watermark}}
	for _, s := range l.finished {
		records = l.entries[s].records(now, records)
	}
	for _, e := range l.Open() {
		records = e.records(now, records)
	}
	// The floor goes last: opening what lies under it would be refused.
	return append(records[1:], records[0])
}

func (e *Entry) records(now time.Time, records []Record) []Record {
	tasks := e.Tasks
	if tasks == nil {
		tasks = make([]submission.Task, len(e.states))
	}
	records = append(records, Record{Kind: Opened, Sequence: e.Sequence, Open: &Open{
		Digest: e.Digest, Key: e.Key, Tasks: tasks,
		Remaining: wire.Duration(max(0, e.Deadline.Sub(now))),
	}})
	records = e.runs(records, Started, func(i int) bool { return e.states[i] != taskWaiting })
	for i, a := range e.answers {
		if a != nil {
			records = append(records, Record{Kind: Ended, Sequence: e.Sequence, Task: i, Code: code.OK, Answer: slices.Clone(json.RawMessage(a))})
		}
	}
	// A running submission's tasks that ended without an answer failed.
	first := len(records)
	records = e.runs(records, Ended, func(i int) bool {
		return e.states[i] == taskEnded && (e.answers == nil || e.answers[i] == nil)
	})
	for i := first; i < len(records); i++ {
		records[i].Code = e.Failure
		if e.Failure == 0 {
			records[i].Code = code.OK
		}
	}
	if e.Running() {
		return records
	}
	records = append(records, Record{Kind: Finished, Sequence: e.Sequence, Code: e.Final, Message: e.Message})
	if e.dropped && e.Final == code.OK {
		records = append(records, Record{Kind: Dropped, Sequence: e.Sequence})
	}
	return records
}

// runs appends a record of kind for each run of tasks that in holds for.
func (e *Entry) runs(records []Record, kind RecordKind, in func(int) bool) []Record {
	for i := 0; i < len(e.states); i++ {
		first := i
		for i < len(e.states) && in(i) {
			i++
		}
		if i > first {
			records = append(records, Record{Kind: kind, Sequence: e.Sequence, Task: first, Count: i - first})
		}
	}
	return records
}
