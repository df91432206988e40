// Package vm describes the entry VMs of a deployment: who they are, the
// heartbeats they send one another, and the [View] that each keeps of the
// others. It decides who counts as alive; it sends nothing itself.
package vm

import (
	"regexp"

	"github.com/cockroachdb/errors"
)

// ID names one entry VM.
type ID string

// FailureDomain names one failure domain.
type FailureDomain string

// Incarnation tells the runs of one entry VM apart; a later run has a larger
// one. It is the wall clock at start in milliseconds, used for nothing else.
type Incarnation int64

// MaxNameBytes bounds every name in the project's formats.
const MaxNameBytes = 64

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// CheckName returns an error unless s is a lower-case name of at most
// [MaxNameBytes] letters, digits, dashes and underscores.
func CheckName(s string) error {
	if len(s) > MaxNameBytes || !namePattern.MatchString(s) {
		return errors.Newf("name %.80q: want 1 to %d of a-z, 0-9, '-' and '_', starting with a letter or digit", s, MaxNameBytes)
	}
	return nil
}
