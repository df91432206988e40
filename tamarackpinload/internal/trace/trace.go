// Package trace holds the recorded workloads that the load tool replays: a
// [Trace] is a list of [Event]s, each a request or a submission at its time. A
// trace says what work is asked for, not what became of it.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/wire"
)

// Event is one request or submission.
type Event struct {
	At wire.Duration `json:"at"` // from the begin of the trace
	party.Key
	Deadline   wire.Duration   `json:"deadline,omitzero"`
	Declared   wire.Duration   `json:"declared,omitzero"` // of each task, true or not
	Idempotent bool            `json:"idempotent,omitempty"`
	Urgent     bool            `json:"urgent,omitempty"` // as the table should have it
	Work       []wire.Duration `json:"work"`             // of each task, on a target of speed 1; one is a request
}

// Submission reports whether e is a submission and not a request.
func (e Event) Submission() bool { return len(e.Work) > 1 }

// Check returns an error for an event that cannot be sent.
func (e Event) Check() error {
	if err := e.Key.Check(); err != nil {
		return err
	}
	if len(e.Work) < 1 || len(e.Work) > submission.MaxTasks {
		return errors.Newf("%d pieces of work: want 1 to %d", len(e.Work), submission.MaxTasks)
	}
	return nil
}

// Trace is a workload in the order of time.
type Trace []Event

// Work returns the sum of all work.
func (t Trace) Work() time.Duration {
	var sum time.Duration
	for _, e := range t {
		for _, w := range e.Work {
			sum += w.Std()
		}
	}
	return sum
}

// Write writes t, a line of JSON for each event.
func (t Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for _, e := range t {
		if err := enc.Encode(e); err != nil {
			return errors.Wrap(err, "writing a trace")
		}
	}
	return errors.Wrap(b.Flush(), "writing a trace")
}

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Read reads what Write writes and checks it.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		var e Event
		if err := wire.DecodeStrict(s.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "line %d of the trace", n)
		}
		if err := e.Check(); err != nil {
			return nil, errors.Wrapf(err, "line %d of the trace", n)
		}
		if len(t) > 0 && e.At < t[len(t)-1].At {
			return nil, errors.Newf("line %d of the trace is earlier than the line before", n)
		}
		t = append(t, e)
	}
	return t, errors.Wrap(s.Err(), "reading a trace")
}
