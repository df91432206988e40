// Package wire holds the small value types that the project's JSON formats
// share. It depends on no other package of the project.
package wire

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as text with its unit, such as "250ms".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d as time.Duration writes it.
func (d Duration) String() string { return time.Duration(d).String() }

// IsZero reports whether d is zero, for omitzero.
func (d Duration) IsZero() bool { return d == 0 }

// MarshalText writes d with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText takes what time.ParseDuration takes, without negative values.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("duration %q: want a number with a unit, such as \"250ms\"", b)
	}
	if v < 0 {
		return errors.Newf("duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// Round returns d to the tenth of a millisecond, for compact formats.
func (d Duration) Round() Duration {
	return Duration(time.Duration(d).Round(100 * time.Microsecond))
}
