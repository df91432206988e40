package interference

import "github.com/cockroachdb/errors"

// Mode says what a dispatcher does about rows that slow each other down.
type Mode string

// The modes. The zero Mode is off.
const (
	Off     Mode = "off"
	Observe Mode = "observe" // learn, log and show pairs, without using them
	Avoid   Mode = "avoid"   // also place the rows of a pair apart where there is capacity
)

// UnmarshalText takes a mode by its name.
func (m *Mode) UnmarshalText(b []byte) error {
	switch Mode(b) {
	case Off, Observe, Avoid:
		*m = Mode(b)
		return nil
	}
	return errors.New("want off, observe or avoid")
}

// Observes reports whether runs are observed.
func (m Mode) Observes() bool { return m == Observe || m == Avoid }
