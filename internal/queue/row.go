package queue

import (
	"time"

	"tamarackpin.example/internal/table"
)

// rowState is the Queue's state of one row of the table.
type rowState struct {
	row      table.Row
	listed   bool // the current table has the row
	heap     taskHeap
	inFlight int
	// measuredService and expectedService are the service charged to the row, in
	// seconds divided by its weight: for ended tasks as measured, for running
	// tasks as expected. Among the backlogged rows, the one with the least sum
	// goes first. Only measuredService advances Queue.virtualTime, since the service
	// of a running task may turn out to be much less than expected.
	measuredService, expectedService float64
	backlog                          time.Duration // sum of Expected of the waiting tasks
	bucket                           bucket
	backloggedIndex                  int // index in Queue.backlogged, or -1
}

func (r *rowState) idle() bool { return len(r.heap) == 0 && r.inFlight == 0 }

// weighted converts service d to what the row is charged, seconds divided by weight.
func (r *rowState) weighted(d time.Duration) float64 {
	return d.Seconds() / float64(max(1, r.row.Weight))
}
