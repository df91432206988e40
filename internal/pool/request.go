package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// Request is a job as a gate forwards it.
type Request struct {
	Job           job.Job
	Row           routes.RowName
	Service       worker.Service
	Priority      int
	MaxAttempts   int
	Latency       time.Duration // see routes.Row
	Stretch       float64
	Age           time.Duration // since the caller sent it
	RemainingWait time.Duration // how much longer the caller waits
	MayBeRunning  bool          // it was forwarded to another dispatcher before
	// Elsewhere says that another group may have room: the job is handed back
	// at once if it would be late here.
	CanOffload bool
	// Offloaded says that the job is of another group: it is refused at once if it
	// would be late here.
	Offloaded bool
}

// Answer is the outcome of the Requests of an Admission.
type Answer struct {
	Admission
	Outcome      job.Outcome
	Reason       string        // for the log
	RetryAfter   time.Duration // of a refusal
	TryElsewhere bool          // of a refusal: another group may be in time
}

// Report is what other groups need to know of one before they hand it jobs.
type Report struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Group         lead.Group       `json:"group,omitempty"`
	Epoch         lead.Fence       `json:"epoch,omitempty"` // of the division that has the group; 0 before the first
	VM            vm.ID            `json:"vm"`              // the dispatcher
	Fence         lead.Fence       `json:"fence"`
	FreeSlots     int              `json:"free_places"` // for tasks of the mean size, beside what waits
}

// minFreeSlots is how many free places a group must have to be handed jobs of
// others: room for a mean job of each kind, so that its own do not wait for them.
const minFreeSlots = 8

// AcceptsOffload reports whether the group takes jobs of others.
func (r Report) AcceptsOffload() bool { return r.FreeSlots >= minFreeSlots }
