package code

import "github.com/cockroachdb/errors"

// Outcome says whether the work behind a reply was run.
type Outcome string

// The three outcomes. NotRun is a promise: it is used only where no byte of
// the work can have reached a target.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
)

// UnmarshalText takes one of the three outcomes.
func (o *Outcome) UnmarshalText(b []byte) error {
	switch v := Outcome(b); v {
	case NotRun, MayHaveRun, Ran:
		*o = v
		return nil
	}
	return errors.Newf("outcome %q is none of not_run, may_have_run, ran", b)
}
