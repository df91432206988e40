package latestart

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// Record says that a start of a run got no reply, and that its worker may carry it out
// until Expires.
type Record struct {
	Task    job.Task
	Run     job.Run
	Worker  worker.ID
	Expires time.Time // local time; any run that the start leads to has ended by then
}

// compare orders Records by task, worker and run.
func (r Record) compare(o Record) int {
	return cmp.Or(r.Task.Compare(o.Task), cmp.Compare(r.Worker, o.Worker), cmp.Compare(r.Run, o.Run))
}

// Message is a Record as entry VMs send it to each other, whose clocks differ.
type Message struct {
	Task      job.Task      `json:"task"`
	Run       job.Run       `json:"run"`
	Worker    worker.ID     `json:"worker"`
	Remaining time.Duration `json:"remaining"` // until it expires
}

// maxRemaining bounds Message.Remaining, so that a malformed message cannot keep a task
// from starting for long.
const maxRemaining = time.Minute

// Message returns r as it is sent at now.
func (r Record) Message(now time.Time) Message {
	return Message{r.Task, r.Run, r.Worker, r.Expires.Sub(now)}
}

// Record returns the Record of a Message that arrives at now. It expires later than that of
// the sender, by the time that the Message took.
func (m Message) Record(now time.Time) Record {
	return Record{m.Task, m.Run, m.Worker, now.Add(m.Remaining)}
}

// UnmarshalJSON decodes and checks a Message.
func (m *Message) UnmarshalJSON(b []byte) error {
	type plain Message
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return errors.Wrap(err, "decoding a start without a reply")
	}
	if p.Task.Job == "" || p.Worker == "" || p.Run < 1 {
		return errors.New("a start without a reply lacks its task, worker or run")
	}
	if p.Remaining > maxRemaining {
		return errors.Newf("a start without a reply expires in %s: want at most %s", p.Remaining, maxRemaining)
	}
	*m = Message(p)
	return nil
}
