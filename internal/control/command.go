// Package control is what the control quorum decides about: the table of
// weights and limits, and which entry VMs hold each ledger. A [State] is the
// state machine behind the replicated log of package quorum; a [View] is what
// every entry VM acts on; [Plan] is how the quorum's leader repairs the
// assignments of ledgers.
package control

import (
	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
)

// Command is one entry of the replicated log: one of its fields is set, or
// none for a barrier.
type Command struct {
	Change *table.Change `json:"change,omitempty"`
	Assign *Assign       `json:"assign,omitempty"`
}

// Assign replaces one assignment by the next, if it is still the present one.
type Assign struct {
	Generation submission.Generation `json:"generation"` // of the present one; 0 if there is none
	Epoch      submission.Epoch      `json:"epoch"`
	Next       ledger.Assignment     `json:"next"`
}

// Check returns an error for an Assign that no entry VM proposes.
func (a Assign) Check() error {
	if err := a.Next.Check(); err != nil {
		return err
	}
	sameGeneration := a.Next.Generation == a.Generation && a.Next.Epoch == a.Epoch+1
	newGeneration := a.Next.Generation == a.Generation+1 && a.Next.Epoch == 1
	if !sameGeneration && !newGeneration {
		return errors.Newf("ledger %s: generation %d, epoch %d does not follow %d, %d",
			a.Next.Ledger, a.Next.Generation, a.Next.Epoch, a.Generation, a.Epoch)
	}
	return nil
}

// Result is what became of a Command.
type Result struct {
	Index   quorum.Index  `json:"index"`             // of the state afterwards
	Version table.Version `json:"version,omitempty"` // the table that a change made
	Refusal *code.Error   `json:"refusal,omitempty"`
}
