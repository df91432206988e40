package code

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/wire"
)

// Error is a refusal or failure as it goes to a caller, an operator or a peer.
type Error struct {
	Code       Code          `json:"code"`
	Name       string        `json:"name"`
	Outcome    Outcome       `json:"outcome"`
	Message    string        `json:"message"`
	RetryAfter wire.Duration `json:"retry_after,omitzero"` // hint; zero means none
}

// New returns an Error with the outcome that c stands for.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Name: c.String(), Outcome: c.Entry().Outcome, Message: fmt.Sprintf(format, args...)}
}

// WithRetry returns a copy of e that carries the hint d.
func (e *Error) WithRetry(d wire.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy of e with outcome o, for the one place that
// knows more than the code does.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// Error returns the name, the number and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d): %s", e.Name, e.Code, e.Message) }

// Of returns the Error in err's chain, or one with [Internal] around err's
// text. It returns nil for nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
