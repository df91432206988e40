package ledger

import (
	"encoding/json"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/submission"
)

// taskState is how far one task has come.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskStarted
	taskEnded
)

// Entry is what a Ledger knows of one submission.
type Entry struct {
	Sequence submission.Sequence
	Digest   submission.Digest
	Key      party.Key
	Deadline time.Time // local
	Tasks    []submission.Task
	Final    code.Code // 0 while it runs
	Message  string
	EndedAt  time.Time // local, of the Finished record

	// Failure is the first result of a task that was not OK, while the
	// submission has no result yet.
	Failure code.Code

	states  []taskState
	answers []json.RawMessage
	started int
	ended   int
	dropped bool // the answers are no longer kept
	bytes   int
}

// Running reports whether the submission has no result yet.
func (e *Entry) Running() bool { return e.Final == 0 }

// Started reports whether any task was ever started.
func (e *Entry) Started() bool { return e.started > 0 }

// Waiting returns the tasks that have no start record.
func (e *Entry) Waiting() []int { return e.tasksIn(taskWaiting) }

// InDoubt returns the tasks that have a start record and no end.
func (e *Entry) InDoubt() []int { return e.tasksIn(taskStarted) }

func (e *Entry) tasksIn(s taskState) []int {
	var tasks []int
	for i, state := range e.states {
		if state == s {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// AllEnded reports whether every task ended.
func (e *Entry) AllEnded() bool { return e.ended == len(e.states) }

// status returns what a caller is told of e.
func (e *Entry) status(id submission.ID) submission.Status {
	s := submission.Status{ID: id, Tasks: len(e.states), Started: e.started, Ended: e.ended, Message: e.Message}
	switch {
	case e.Running():
		s.State = submission.Running
		return s
	case e.Final == code.OK:
		s.State = submission.Complete
		s.Code = code.OK
		if e.dropped {
			s.Code = code.AnswerExpired
		} else {
			s.Answers = e.answers
		}
	default:
		s.State = submission.Failed
		s.Code = e.Final
	}
	s.Name = s.Code.String()
	s.Outcome = s.Code.Entry().Outcome
	return s
}
