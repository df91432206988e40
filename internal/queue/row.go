package queue

import (
	"time"

	"tamarackpin.example/internal/table"
)

// rowState is what the Queue keeps of one row of the table.
type rowState struct {
	row      table.Row
	listed   bool // the present table has the row
	heap     taskHeap
	inFlight int
	// settled and pending are the weighted service that the row was given, in
	// seconds over weight: by tasks that ended, as measured, and by tasks that
	// run, as expected. Among rows that wait, the one with the least sum goes
	// first. Only what is settled is a level for others to come in at: what is
	// pending may turn out to be much less.
	settled, pending float64
	backlog          time.Duration // sum of Expected over the waiting tasks
	bucket           bucket
	place            int // index in Queue.backlogged, or -1
}

func (r *rowState) idle() bool { return len(r.heap) == 0 && r.inFlight == 0 }

// weighted returns service d as the row is charged for it.
func (r *rowState) weighted(d time.Duration) float64 {
	return d.Seconds() / float64(max(1, r.row.Weight))
}
