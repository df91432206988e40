// Package queue schedules the tasks of one entry VM: it decides which waiting task
// starts next and which tasks are refused on arrival. It applies the weights and
// limits of package table; of targets it knows only how many slots there are and
// which rows can run now. The dispatch goroutine of the server owns the only Queue.
package queue

import (
	"time"

	"tamarackpin.example/internal/party"
)

// TaskID identifies a task within its entry VM.
type TaskID uint64

// Task is a waiting or running task.
type Task struct {
	ID       TaskID
	Key      party.Key
	Arrived  time.Time
	Deadline time.Time
	Expected time.Duration // estimated service time
	Guessed  bool          // Expected was declared or is a default, not measured
}

// earlier orders the tasks of one row: earliest deadline first, then shortest,
// then first admitted.
func (t *Task) earlier(o *Task) bool {
	if !t.Deadline.Equal(o.Deadline) {
		return t.Deadline.Before(o.Deadline)
	}
	if t.Expected != o.Expected {
		return t.Expected < o.Expected
	}
	return t.ID < o.ID
}
