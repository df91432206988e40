// Package job describes jobs: tasks with the room that they need, in steps, with
// one answer for all. What becomes of them is up to package pool.
package job

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/worker"
)

// ID names a job; its caller makes it up and keeps it when it asks again.
type ID string

// MaxSpecBytes bounds the opaque text that tasks are started with.
const MaxSpecBytes = 4000

// MaxTasks bounds the tasks of a job, as the size that decides the design says.
const MaxTasks = 2000

// Task names one task of a job.
type Task struct {
	Job   ID  `json:"job"`
	Step  int `json:"step"`
	Index int `json:"index"`
}

// Compare orders tasks by job, step and index.
func (t Task) Compare(o Task) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Run numbers the starts of one task from 1.
type Run int

// Step is a number of like tasks.
type Step struct {
	Count     int              `json:"count"`
	Need      worker.Resources `json:"need"` // of each task
	Estimate  time.Duration    `json:"estimate"`
	After     []int            `json:"after,omitempty"`     // earlier steps that must have ended
	DataRack  worker.Rack      `json:"data_rack,omitempty"` // tasks run faster there
	Label     string           `json:"label,omitempty"`     // that the worker must have
	PerWorker int              `json:"per_worker,omitempty"`
}

// Job is what a caller hands in.
type Job struct {
	ID    ID     `json:"id"`
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
}

// TaskCount returns the number of tasks of all steps.
func (j Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// Check returns an error for a job that cannot be run.
func (j Job) Check() error {
	if j.ID == "" {
		return errors.New("job without an id")
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.Newf("job %s: specification of %d bytes: want at most %d", j.ID, len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 {
		return errors.Newf("job %s: no steps", j.ID)
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return errors.Wrapf(err, "job %s: step %d", j.ID, i)
		}
		total += s.Count
	}
	if total > MaxTasks {
		return errors.Newf("job %s: %d tasks: want at most %d", j.ID, total, MaxTasks)
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Newf("%d tasks: want 1 to %d", s.Count, MaxTasks)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.PerWorker < 0 {
		return errors.New("a number is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Newf("depends on step %d, which is not an earlier one", a)
		}
	}
	return nil
}
