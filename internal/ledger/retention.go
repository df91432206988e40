package ledger

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/submission"
)

// Retention bounds what a Ledger keeps of finished submissions.
type Retention struct {
	Submissions int           // finished submissions known by id
	Bytes       int           // bodies and answers
	Answers     time.Duration // age of answers
}

// Expired returns the records that bring l within r. The primary appends
// them, so that all copies forget alike.
func (l *Ledger) Expired(now time.Time, r Retention) []Record {
	var records []Record
	surplus := len(l.finished) - r.Submissions
	for i := range max(0, surplus) {
		records = append(records, Record{Kind: Forgotten, Sequence: l.finished[i]})
	}
	excess := l.bytes - r.Bytes
	for i := max(l.undrop, surplus, 0); i < len(l.finished); i++ {
		e := l.entries[l.finished[i]]
		if excess <= 0 && now.Sub(e.EndedAt) < r.Answers {
			break
		}
		l.undrop = i + 1
		if e.dropped {
			continue
		}
		excess -= e.bytes - entryBytes
		records = append(records, Record{Kind: Dropped, Sequence: e.Sequence})
	}
	return records
}

// Room refuses a submission of tasks that cannot be opened within r even once
// the answers of finished ones are dropped.
func (l *Ledger) Room(r Retention, tasks []submission.Task) *code.Error {
	if l.openBytes+bodyBytes(tasks)+entryBytes > r.Bytes {
		return code.New(code.LedgerFull, "running submissions hold %d of %d bytes", l.openBytes, r.Bytes)
	}
	return nil
}

// bodyBytes returns the bytes of the bodies of tasks.
func bodyBytes(tasks []submission.Task) int {
	n := 0
	for _, t := range tasks {
		n += len(t.Body)
	}
	return n
}
