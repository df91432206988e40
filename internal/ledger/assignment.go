package ledger

import (
	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/vm"
)

// Holder is one run of one entry VM. A restarted one is another Holder: what
// was in its memory is gone.
type Holder struct {
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
}

// IsZero reports whether h names nobody, for omitzero.
func (h Holder) IsZero() bool { return h == Holder{} }

// Assignment says who holds a ledger. The control quorum makes them; of each
// generation and epoch there is one at most.
type Assignment struct {
	Ledger     submission.LedgerID   `json:"ledger"`
	Generation submission.Generation `json:"generation"`
	Epoch      submission.Epoch      `json:"epoch"`
	Primary    Holder                `json:"primary"`
	Backup     Holder                `json:"backup,omitzero"`  // its acknowledgement is required
	Joining    Holder                `json:"joining,omitzero"` // receives the state and is not required yet
}

// Check returns an error for an Assignment that the quorum never makes.
func (a Assignment) Check() error {
	if a.Epoch == 0 || a.Generation == 0 {
		return errors.Newf("ledger %s: generation %d, epoch %d: want both over 0", a.Ledger, a.Generation, a.Epoch)
	}
	if a.Primary.IsZero() {
		return errors.Newf("ledger %s has no primary", a.Ledger)
	}
	if a.Primary == a.Backup || a.Primary == a.Joining || !a.Backup.IsZero() && !a.Joining.IsZero() {
		return errors.Newf("ledger %s: primary, backup and joining overlap", a.Ledger)
	}
	return nil
}

// Newer reports whether a replaces o.
func (a Assignment) Newer(o Assignment) bool {
	if a.Generation != o.Generation {
		return a.Generation > o.Generation
	}
	return a.Epoch > o.Epoch
}

// Role is what an entry VM is to a ledger.
type Role string

// The roles.
const (
	NoRole  Role = ""
	Primary Role = "primary"
	Backup  Role = "backup"
	Joining Role = "joining"
)

// RoleOf returns the role of h under a.
func (a Assignment) RoleOf(h Holder) Role {
	switch h {
	case a.Primary:
		return Primary
	case a.Backup:
		return Backup
	case a.Joining:
		return Joining
	}
	return NoRole
}
