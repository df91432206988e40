package ledgers

import (
	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// The methods between entry VMs.
const (
	methodAppend peer.Method = "ledger.append"
	methodIssue  peer.Method = "ledger.issue"
	methodSubmit peer.Method = "ledger.submit"
	methodStatus peer.Method = "ledger.status"
	methodCancel peer.Method = "ledger.cancel"

	methodArchived peer.Method = "ledger.archived"
)

// MaxIssue is how many ids may be asked for at once.
const MaxIssue = 1000

// issueRequest asks a ledger's primary for ids.
type issueRequest struct {
	Ledger submission.LedgerID `json:"ledger"`
	Count  int                 `json:"count"`
}

// Check returns an error for a count out of bounds.
func (r issueRequest) Check() error {
	if r.Count < 1 || r.Count > MaxIssue {
		return errors.Newf("count %d: want 1 to %d", r.Count, MaxIssue)
	}
	return nil
}

// issued is the answer to an issueRequest.
type issued struct {
	IDs []submission.ID `json:"ids"`
}

// submitRequest passes a submission to its ledger's primary.
type submitRequest struct {
	ID         submission.ID         `json:"id"`
	Submission submission.Submission `json:"submission"`
	Wait       wire.Duration         `json:"wait"` // for the result
}

// Check returns an error for a submission that cannot be taken.
func (r submitRequest) Check() error { return r.Submission.Check() }

// statusRequest asks what became of a submission.
type statusRequest struct {
	ID   submission.ID `json:"id"`
	Wait wire.Duration `json:"wait"` // for the result
}

// cancelRequest asks for the end of a submission.
type cancelRequest struct {
	ID submission.ID `json:"id"`
}
