package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// Counts holds figures for metrics: the present numbers of tasks, and totals since
// the Pool was made.
type Counts struct {
	// Waiting and Assigned are numbers of tasks as of the last Tick. Assigned counts
	// every task that has a worker, also those starting, stopping and in doubt.
	Waiting, Assigned                                int
	Started, Done, Failed, Lapsed, Requeued, InDoubt int
	// StartsWithheld counts the tasks that did not start since the failure domain is evacuated, and JobsMoved the
	// jobs that were returned to their gates for that, to be offloaded.
	StartsWithheld, JobsMoved int
	// RefusedOrders counts the orders that workers refused, or that were never sent;
	// refused jobs are not counted.
	RefusedOrders map[Refusal]int
	// PairsKnown is the present number of pairs of rows known to slow each other down, and PlacedApart counts the tasks
	// placed on another worker because of one.
	PairsKnown, PlacedApart int
}

// FoundRun is a run that a worker listed although this Pool had not ordered it there: one of an
// earlier dispatcher, or a late start.
type FoundRun struct {
	Task          job.Task
	Run           job.Run
	Worker        worker.ID
	Incarnation   worker.Incarnation
	AssignedTo    worker.ID     // worker on which this Pool has the task; empty if none
	TaskPhase     string        // phase that the task had; empty if this Pool does not have its job
	KnownFor      time.Duration // how long this Pool has known the worker
	ListedBefore  bool          // the worker had listed its runs since the takeover without this one, in any incarnation
	SinceTakeover time.Duration
}

// TakeFound returns the runs found since its last call.
func (p *Pool) TakeFound() []FoundRun {
	found := p.found
	p.found = nil
	return found
}
