package crash

import "github.com/cockroachdb/errors"

// Evidence is what is known of the loss of a worker.
type Evidence string

// The kinds of evidence, in the order in which they replace each other.
const (
	Silent    Evidence = "silent"    // it sent no reply until its leases had lapsed: it crashed, is cut off or paused
	Refused   Evidence = "refused"   // the same, and its host refused connections: no process listened
	Unproven  Evidence = "unproven"  // it has ended, but the task may not have been running there: its start was not acknowledged, a stop was sent, or its lease had lapsed before
	Restarted Evidence = "restarted" // a later incarnation was seen while the task had a lease
	Survived  Evidence = "survived"  // the same incarnation replied later, so it had not crashed
)

// ranks orders the kinds of evidence. Its keys are all of them.
var ranks = map[Evidence]int{Silent: 1, Unproven: 2, Refused: 3, Restarted: 4, Survived: 5}

// final reports whether no later evidence can change what is known.
func (e Evidence) final() bool { return e == Survived || e == Restarted || e == Unproven }

// crashed reports whether the worker is taken to have crashed while it ran the task.
func (e Evidence) crashed() bool { return e == Refused || e == Restarted }

// Check returns an error unless e is one of the kinds above.
func (e Evidence) Check() error {
	if ranks[e] == 0 {
		return errors.Newf("unknown evidence %.40q of the loss of a worker", string(e))
	}
	return nil
}
