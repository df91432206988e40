package submission

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
)

// State is how far a submission has come.
type State string

// The states. Complete and Failed are final.
const (
	Running  State = "running"
	Complete State = "complete"
	Failed   State = "failed"
)

// UnmarshalText takes one of the states.
func (s *State) UnmarshalText(b []byte) error {
	switch v := State(b); v {
	case Running, Complete, Failed:
		*s = v
		return nil
	}
	return errors.Newf("state %q is none of running, complete, failed", b)
}

// Status tells what became of a submission. Answers are there when it is
// complete, one for each task in order, and not otherwise.
type Status struct {
	ID      ID                `json:"id"`
	State   State             `json:"state"`
	Code    code.Code         `json:"code"`
	Name    string            `json:"name"`
	Outcome code.Outcome      `json:"outcome"`
	Message string            `json:"message,omitempty"`
	Tasks   int               `json:"tasks"`
	Started int               `json:"started"`
	Ended   int               `json:"ended"`
	Answers []json.RawMessage `json:"answers,omitempty"`
}
