// Package request holds the one-answer request of a caller and its reply, as
// they travel over the callers' interface and between entry VMs.
package request

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
)

// MaxBodyBytes bounds the opaque body of one request or task.
const MaxBodyBytes = 256 << 10

// Request asks for one answer.
type Request struct {
	party.Key
	Deadline   wire.Duration   `json:"deadline,omitzero"` // from arrival; zero takes the row's
	Declared   wire.Duration   `json:"declared,omitzero"` // expected run time; zero means unknown
	Idempotent bool            `json:"idempotent,omitempty"`
	Body       json.RawMessage `json:"body"` // opaque
}

// Check returns an error for a request that cannot be taken.
func (r Request) Check() error {
	if err := r.Key.Check(); err != nil {
		return err
	}
	if r.Deadline > table.MaxDeadline {
		return errors.Newf("deadline %s: want at most %s", r.Deadline, table.MaxDeadline)
	}
	if len(r.Body) == 0 {
		return errors.New("body is missing")
	}
	if len(r.Body) > MaxBodyBytes {
		return errors.Newf("body of %d bytes: want at most %d", len(r.Body), MaxBodyBytes)
	}
	return nil
}

// Reply is the answer to a Request, or what stood in its way.
type Reply struct {
	Code       code.Code       `json:"code"`
	Name       string          `json:"name"`
	Outcome    code.Outcome    `json:"outcome"`
	Message    string          `json:"message,omitempty"`
	RetryAfter wire.Duration   `json:"retry_after,omitzero"`
	Waited     wire.Duration   `json:"waited,omitzero"`  // from arrival to the start
	Service    wire.Duration   `json:"service,omitzero"` // from the start to the answer
	Answer     json.RawMessage `json:"answer,omitempty"`
}

// Failed returns the Reply that stands for e.
func Failed(e *code.Error) Reply {
	return Reply{Code: e.Code, Name: e.Name, Outcome: e.Outcome, Message: e.Message, RetryAfter: e.RetryAfter}
}

// Answered returns the Reply that carries answer.
func Answered(answer json.RawMessage) Reply {
	return Reply{Code: code.OK, Name: code.OK.String(), Outcome: code.Ran, Answer: answer}
}

// Err returns the refusal or failure in r, or nil if r carries an answer.
func (r Reply) Err() *code.Error {
	if r.Code == code.OK {
		return nil
	}
	return &code.Error{Code: r.Code, Name: r.Name, Outcome: r.Outcome, Message: r.Message, RetryAfter: r.RetryAfter}
}
