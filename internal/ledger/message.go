package ledger

import (
	"tamarackpin.example/internal/submission"
)

// Position counts the records of a ledger in the order of its primary.
type Position uint64

// Append carries records from the primary to a follower. A transfer replaces
// all that the follower holds.
type Append struct {
	Ledger     submission.LedgerID   `json:"ledger"`
	Generation submission.Generation `json:"generation"`
	Epoch      submission.Epoch      `json:"epoch"`
	Transfer   bool                  `json:"transfer,omitempty"` // Records make the whole state, up to First
	First      Position              `json:"first"`              // position before the first record
	Records    []byte                `json:"records,omitempty"`  // encoded, one behind the other
}

// Ack is a follower's answer to an Append.
type Ack struct {
	Generation submission.Generation `json:"generation"`
	Epoch      submission.Epoch      `json:"epoch"`                // the newest that the follower knows
	Accepted   bool                  `json:"accepted"`             // false: of another epoch, nothing was taken
	Next       Position              `json:"next"`                 // all before it is held
	NeedState  bool                  `json:"need_state,omitempty"` // the follower holds nothing to append to
}
