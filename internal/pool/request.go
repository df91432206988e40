package pool

import (
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// Request is a job as a gate forwards it to the dispatcher of a group. It is sent
// between entry VMs as JSON; the tags keep the names that earlier builds read.
type Request struct {
	Job           job.Job
	Row           routes.RowName // row of the operators' table that the job belongs to
	Service       worker.Service // of the workers that may run it
	Priority      int            // of the Row; not used by the Pool
	MaxAttempts   int            // once a task has failed this many times the job fails; 0 means no limit
	Latency       time.Duration  // Latency and Stretch give the latency objective, see routes.Row
	Stretch       float64
	Age           time.Duration // time since the caller sent it
	RemainingWait time.Duration `json:"Patience"` // how much longer the caller waits
	MayBeRunning  bool          `json:"MayRun"`   // it was forwarded to another dispatcher before, so its tasks may be running
	// EarlierContactAge is how long ago, when the message was made, the gate of a job that may be running
	// last sent something that an earlier dispatcher of the job may have received. Builds without it send 0.
	EarlierContactAge time.Duration `json:",omitempty"`
	// CanOffload reports that another group may have room: the job is returned at
	// once, to be offloaded, if it would be late here.
	CanOffload bool `json:"Elsewhere"`
	// OffloadTo is the group to which the gate offloads the job if CanOffload is set and it is
	// returned.
	OffloadTo Destination `json:",omitzero"`
	// OffloadRefused reports that the group to which the job was offloaded has not run it and
	// won't.
	OffloadRefused bool `json:",omitempty"`
	// RefusedBy is the group that has refused the job, with OffloadRefused; zero from gates of earlier builds, and to
	// dispatchers of earlier builds, which refuse the field.
	RefusedBy Destination `json:",omitzero"`
	// Offloaded reports that the job was offloaded here by another group: it is
	// refused at once if it would be late here.
	Offloaded bool `json:"Guest"`
	// Unguarded reports that the workers of Service start tasks beyond their capacity, so
	// that the dispatcher has to know it, see Pool.selectWorker.
	Unguarded bool `json:",omitempty"`
	// GateHeardAt is when the gate sent the newest message that arrived, as GateContact.HeardAt; zero stands for
	// the time of Submit.
	GateHeardAt time.Time `json:"-"`
}

// Answer is the outcome of an Admission. It answers every Request that returned that
// Admission. It is sent between entry VMs as JSON; the tags keep the names that earlier
// builds read.
type Answer struct {
	Admission
	Outcome      job.Outcome
	Reason       string        // for the log and the caller
	RetryAfter   time.Duration // of a refused job: when the caller may try again
	TryElsewhere bool          `json:"Elsewhere"` // of a refused job: another group may still meet the objective deadline
	OffloadTo    Destination   `json:",omitzero"` // of a job with TryElsewhere: the group that it is offloaded to, or that may be running it since an earlier try
	// Offered reports that OffloadTo is the choice of the Request, and that no other try of the job was offloaded there. Only
	// the first of several gates that wait for the job has it.
	Offered bool `json:",omitempty"`
	// FreeSlots is that of a Report of a group that returns a job that was offloaded to it; nil otherwise, and from builds of
	// before. Earlier builds ignore it, as it is in a reply.
	FreeSlots *int         `json:",omitempty"`
	Tasks     []TaskRecord `json:"-"` // of a completed job, for the log
}

// TaskRecord is the state of a task when its job was answered, and the end that was counted for it.
type TaskRecord struct {
	Step        int                `json:"step"`
	Index       int                `json:"index"`
	Phase       string             `json:"phase"`
	Run         job.Run            `json:"run"`
	Worker      worker.ID          `json:"worker"` // that listed the end; this and the next two are zero if none was counted
	Incarnation worker.Incarnation `json:"incarnation"`
	EndNumber   uint64             `json:"end"`
}

// Destination names a group that jobs are offloaded to.
type Destination struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Group         lead.Group       `json:"group,omitempty"`
	Epoch         lead.Fence       `json:"epoch,omitempty"` // of the division of workers that the group belongs to
	VM            vm.ID            `json:"vm"`              // VM of its dispatcher when the job was offloaded
}

// SameGroup reports whether d and o name one group; its dispatcher may have changed.
func (d Destination) SameGroup(o Destination) bool {
	return d.FailureDomain == o.FailureDomain && d.Group == o.Group && d.Epoch == o.Epoch
}

// Destination returns the group of a report.
func (r Report) Destination() Destination {
	return Destination{FailureDomain: r.FailureDomain, Group: r.Group, Epoch: r.Epoch, VM: r.VM}
}

// Report is what a group tells others of itself, so that they can decide whether to
// offload jobs to it.
type Report struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Group         lead.Group       `json:"group,omitempty"`
	Epoch         lead.Fence       `json:"epoch,omitempty"` // of the division of workers that the group belongs to; 0 before the first
	VM            vm.ID            `json:"vm"`              // VM of the dispatcher
	Fence         lead.Fence       `json:"fence"`
	FreeSlots     int              `json:"free_places"` // free capacity, in tasks of mean need (see meanNeed), less all tasks of jobs with waiting tasks and the rise of the group's own demand; may be negative
}

// minFreeSlots is the least number of free slots at which a group accepts offloaded
// jobs: room for a mean job of each kind, so that its own jobs do not wait for them.
const minFreeSlots = 8

// AcceptsOffload reports whether the group has room for jobs of other groups.
func (r Report) AcceptsOffload() bool { return r.FreeSlots >= minFreeSlots }
