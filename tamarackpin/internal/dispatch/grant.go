// Package dispatch is the goroutine that joins waiting tasks with free slots.
// It owns the queue, the slots, the health and the learned times of this entry
// VM, and decides with them alone; what is granted a slot is sent to its target
// by the one who asked, who reports back how it ended.
package dispatch

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/wire"
)

// Grant gives a task a slot, or tells why it gets none.
type Grant struct {
	Task      queue.Task
	Lease     target.Lease
	TimeLimit time.Duration // for the run
	Refusal   *code.Error
}

// Asked is a task together with whom to tell. Tell must not block.
type Asked struct {
	Task     queue.Task // ID and Expected are filled in by the Dispatcher
	Declared time.Duration
	Tell     func(Grant)
}

// End says how a granted task ended.
type End struct {
	Task    queue.TaskID
	Code    code.Code
	Service time.Duration
}

// Settled is what the Dispatcher makes of an End.
type Settled struct {
	// Ideal is how long the task would have run on the fastest target.
	Ideal time.Duration
}

// TargetState is one target as this entry VM sees it.
type TargetState struct {
	target.Announcement
	target.Usage
	ExpiresIn wire.Duration `json:"expires_in"`
	Speed     float64       `json:"speed"`
	SetAside  bool          `json:"set_aside"`
}
