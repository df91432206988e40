package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/worker"
)

// OrderKind is the kind of an [Order].
type OrderKind int

// The kinds of orders.
const (
	StartOrder OrderKind = iota + 1 // start a task
	StopOrder                       // stop a run of a task
	RenewOrder                      // extend the leases (lease renewal), and list what runs and what ended
)

// Order is one call to a worker. Each carries the fence, a fencing token: a worker
// refuses it if it has seen a higher one.
type Order struct {
	Kind        OrderKind
	Worker      worker.ID
	Incarnation worker.Incarnation // the incarnation that the order is meant for
	Address     string
	Fence       lead.Fence
	Sent        time.Time // on the dispatcher's clock, when the order was queued

	Task job.Task // to start or stop; unset in a renewal
	Run  job.Run  // number of the run; a worker starts none that it has seen, nor an earlier one
	Spec string   // of a start: what to run

	// Of a start, for the log: whether an earlier order of the run got no reply, and what the
	// dispatcher knew of the worker when it queued the order.
	Repeated bool
	Known    WorkerNews

	Deadline worker.Clock  // new expiry of all leases on the worker, on its clock; 0 extends none. A start that arrives after it is refused
	EndsSeen uint64        // of a renewal: the worker may forget the ends up to this number
	Wait     time.Duration // of a renewal: how long the worker may wait for an end before it replies
}

// WorkerNews is the newest announcement of a worker that a dispatcher knows, for the log. It
// may be of another incarnation than the one that an order is meant for.
type WorkerNews struct {
	Incarnation  worker.Incarnation
	Sequence     uint64
	Leaving      bool
	Deregistered bool
	AnnouncedAt  time.Time
	RepliedAt    time.Time // when the worker last replied to an order; zero if it has not
}

// Refusal is the reason why a worker did not carry out an order. A job that is refused
// gets an [Answer] instead.
type Refusal string

// The refusals. After any of them nothing was done for this order, and nothing will be.
const (
	RefusedFence       Refusal = "fence"       // the worker has seen a higher fence
	RefusedOld         Refusal = "old"         // the worker has seen this run of the task, or a later one
	RefusedLate        Refusal = "late"        // the order's deadline has passed on the worker's clock
	RefusedRoom        Refusal = "room"        // the task does not fit
	RefusedIncarnation Refusal = "incarnation" // another worker replied at the address, so the incarnation that was meant has ended
	RefusedUnhealthy   Refusal = "unhealthy"   // the worker accepts no tasks now
	RefusedInvalid     Refusal = "invalid"     // the worker cannot read the order
	RefusedUnsent      Refusal = "unsent"      // the order was never sent
)

// Reply is the result of an Order: done, refused, or no reply in time. It comes from a
// worker; an [Answer] goes to the caller of a job.
type Reply struct {
	Order
	ReceivedAt time.Time // on the dispatcher's clock, when the reply arrived
	Done       bool      // the worker carried it out
	Refusal    Refusal   // if empty and Done is false, there was no reply: the order may have been carried out, or may still be
	// NoListener reports that the worker's host refused the connection, since no process
	// listened at the address.
	NoListener bool
	// RepliedBy is the incarnation that replied, or 0 if the reply does not say.
	// A worker that restarted under its old name carries out orders that were meant
	// for its previous incarnation.
	RepliedBy worker.Incarnation
	Clock     worker.Clock  // reading of the worker's clock, if HasClock
	HasClock  bool          // the reply has a Clock
	Running   []RunningTask // of a renewal: all runs on the worker
	EndedRuns []End         // of a renewal: the ends after EndsSeen
}

// Unanswered reports that there was no reply, so that the order may have been carried out, or
// may still be.
func (r Reply) Unanswered() bool { return !r.Done && r.Refusal == "" }

// LateStart returns the record of a start without a reply.
func (r Reply) LateStart() latestart.Record {
	return latestart.Record{Task: r.Task, Run: r.Run, Worker: r.Worker, Expires: r.Sent.Add(lateOrderLimit)}
}

// RunningTask is one entry of a worker's list of its runs.
type RunningTask struct {
	Task    job.Task
	Run     job.Run
	Percent int // percentage done, as the worker reports it
}

// EndKind is how a run ended.
type EndKind string

// The kinds of ends that this package distinguishes.
const (
	EndedDone   EndKind = "done"
	EndedFailed EndKind = "failed"
	EndedLapsed EndKind = "lapsed" // its lease expired
	EndedOther  EndKind = "other"  // stopped, or ended in favor of other tasks
)

// End is one entry of a worker's list of runs that ended.
type End struct {
	Number uint64 // counts the ends of an incarnation from 1
	Task   job.Task
	Run    job.Run
	Kind   EndKind
}
