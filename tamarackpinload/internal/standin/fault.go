// Package standin is targets that only pretend to work, for tests and
// measurements: each sleeps for as long as the work would take at its speed.
// They keep a record of every start, which is the judge of whether a task was
// started twice.
package standin

import "github.com/cockroachdb/errors"

// Fault is how a Target misbehaves.
type Fault string

// The faults.
const (
	NoFault   Fault = "none"
	Slow      Fault = "slow"       // takes ten times as long
	FailsAll  Fault = "fails_all"  // answers every task with a failure, at once
	Truncates Fault = "truncates"  // cuts its answers short
	Crosses   Fault = "crosses"    // answers with the name of other work
	Hangs     Fault = "hangs"      // never answers
	Drops     Fault = "drops"      // closes the connection in place of an answer
	RefusesIt Fault = "refuses"    // refuses every task unrun
	BadDigest Fault = "bad_digest" // sends a digest that does not match
)

var all = []Fault{NoFault, Slow, FailsAll, Truncates, Crosses, Hangs, Drops, RefusesIt, BadDigest}

// ParseFault returns the Fault with this name.
func ParseFault(name string) (Fault, error) {
	for _, f := range all {
		if string(f) == name {
			return f, nil
		}
	}
	return NoFault, errors.Newf("fault %q: want one of %v", name, all)
}
