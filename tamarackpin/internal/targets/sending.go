// Package targets speaks HTTP with targets: a [Sender] sends them tasks and
// checks what they answer, a [Handler] takes in their announcements. Which
// target gets which task is decided by package dispatch.
package targets

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/target"
)

// Sending is one task on its way to one target.
type Sending struct {
	Name       string // unlike that of any other sending
	Key        party.Key
	Lease      target.Lease
	Submission string // empty for a request
	Limit      time.Duration
	Body       []byte
}

// Result is what became of a Sending.
type Result struct {
	Code    code.Code
	Message string
	Answer  []byte
	Service time.Duration
	// Unrun is true if the task cannot have been run: no byte left, or the
	// target said so. Avoid is then for how long the target gets no other.
	Unrun bool
	Avoid time.Duration
}
