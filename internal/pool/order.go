package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// OrderKind says what a worker is asked to do.
type OrderKind int

// The kinds of orders.
const (
	StartOrder OrderKind = iota + 1 // start a task
	StopOrder                       // stop a run of a task
	RenewOrder                      // extend the leases and list what runs and what ended
)

// Order is one call to a worker.
type Order struct {
	Kind        OrderKind
	Worker      worker.ID
	Incarnation worker.Incarnation // that it is meant for
	Address     string
	Fence       lead.Fence
	Sent        time.Time

	Task job.Task // of a start or a stop
	Run  job.Run
	Spec string

	Deadline worker.Clock // up to which everything on the worker may run; 0 extends nothing
	EndsSeen uint64       // ends up to here may be forgotten
	Wait     time.Duration
}

// Refusal says why a worker did not do what it was asked.
type Refusal string

// The refusals. After any of them nothing was done.
const (
	RefusedFence       Refusal = "fence"       // it has seen a higher fence
	RefusedOld         Refusal = "old"         // it has seen this run of the task, or a later one
	RefusedLate        Refusal = "late"        // the order's deadline has passed on its clock
	RefusedRoom        Refusal = "room"        // the task does not fit
	RefusedIncarnation Refusal = "incarnation" // it started again since
	RefusedUnhealthy   Refusal = "unhealthy"   // it takes nothing now
	RefusedInvalid     Refusal = "invalid"     // it cannot read the order
	RefusedUnsent      Refusal = "unsent"      // the order never left
)

// Reply is what came back for an Order.
type Reply struct {
	Order
	ReceivedAt time.Time // local time of arrival
	Done       bool      // the worker did it
	Refusal    Refusal   // empty with Done false: no answer, so it may be done, also later
	// AnsweredBy is the incarnation that answered, if it said so. One that started
	// again under its old name carries out what was meant for the last.
	AnsweredBy worker.Incarnation
	Clock      worker.Clock
	HasClock   bool // Clock was in the answer
	Running    []RunningTask
	Ended      []End
}

// RunningTask is one row of a worker's list of what runs.
type RunningTask struct {
	Task    job.Task
	Run     job.Run
	Percent int // done, as the worker sees it
}

// EndKind says how a run ended.
type EndKind string

// The ends of runs that this package tells apart.
const (
	EndedDone   EndKind = "done"
	EndedFailed EndKind = "failed"
	EndedLapsed EndKind = "lapsed" // its lease ran out
	EndedOther  EndKind = "other"  // stopped, or for the sake of others
)

// End is one row of a worker's list of what ended.
type End struct {
	Number uint64 // from 1 in each incarnation
	Task   job.Task
	Run    job.Run
	Kind   EndKind
}
