// Package queue decides which waiting task is started next on one entry VM,
// and which is refused on arrival. It shares out by the weights and limits of
// package table and knows nothing of targets beyond which kinds can run now.
// The server's dispatch goroutine owns the one Queue.
package queue

import (
	"time"

	"tamarackpin.example/internal/party"
)

// TaskID names one task within its entry VM.
type TaskID uint64

// Task is one task that waits or runs.
type Task struct {
	ID       TaskID
	Key      party.Key
	Arrived  time.Time
	Deadline time.Time
	Expected time.Duration // estimated service time
	Guessed  bool          // Expected rests on a declaration or a default, not on measurements
}

// earlier orders the tasks of one row: earliest deadline first, then the
// shortest, then first come.
func (t *Task) earlier(o *Task) bool {
	if !t.Deadline.Equal(o.Deadline) {
		return t.Deadline.Before(o.Deadline)
	}
	if t.Expected != o.Expected {
		return t.Expected < o.Expected
	}
	return t.ID < o.ID
}
