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
	// service is the weighted service that the row was given, in seconds over
	// weight. Among rows that wait, the one with the least goes first.
	service float64
	backlog time.Duration // sum of Expected over the waiting tasks
	bucket  bucket
	place   int // index in Queue.backlogged, or -1
}

func (r *rowState) idle() bool { return len(r.heap) == 0 && r.inFlight == 0 }

func (r *rowState) charge(d time.Duration) {
	r.service += d.Seconds() / float64(max(1, r.row.Weight))
}
