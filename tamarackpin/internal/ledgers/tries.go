package ledgers

import (
	"tamarackpin.example/internal/code"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// tries is what became of the tries to hand a submission to its ledger. The zero
// tries had none.
type tries struct {
	open bool // one left and had no answer: it may be taken in later than those after it
}

// observe takes in the error of a try, if it had one.
func (t *tries) observe(err error) {
	if err == nil || peer.NotSent(err) {
		return
	}
	if _, answered := peer.Refusal(err); !answered {
		t.open = true
	}
}

// refusal returns what a refusal of the last try says of all of them.
func (t tries) refusal(e *code.Error) *code.Error {
	if e == nil || !t.open || e.Outcome != code.NotRun {
		return e
	}
	return e.WithOutcome(code.MayHaveRun)
}
