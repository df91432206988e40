package ledgers

import (
	"testing"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// TestRefusalAfterATryWithoutAnswer: the first try is broken off and still on its way,
// the second is refused. The first may be taken in yet, so the submission is not
// called not run (issue 17).
func TestRefusalAfterATryWithoutAnswer(t *testing.T) {
	lost := errors.New("connection is closed")
	full := code.New(code.QueueFull, "the queue is full")
	for _, c := range []struct {
		name  string
		tries []error
		want  code.Outcome
	}{
		{"refused at once", []error{full}, code.NotRun},
		{"never sent, then refused", []error{errors.Mark(lost, peer.ErrNotSent), full}, code.NotRun},
		{"another is primary, then refused", []error{code.New(code.LedgerUnreachable, "not here"), full}, code.NotRun},
		{"no answer, then refused", []error{errors.Wrap(lost, "calling"), full}, code.MayHaveRun},
		{"no answer, never sent, then refused", []error{lost, errors.Mark(lost, peer.ErrNotSent), full}, code.MayHaveRun},
	} {
		var all tries
		for _, err := range c.tries {
			all.observe(err)
		}
		if got := all.refusal(full); got.Outcome != c.want || got.Code != full.Code {
			t.Errorf("%s: %v, outcome %s, want %s", c.name, got, got.Outcome, c.want)
		}
	}
	if got := (tries{open: true}).refusal(nil); got != nil {
		t.Errorf("without a refusal: %v", got)
	}
}
