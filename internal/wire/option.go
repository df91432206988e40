package wire

import "encoding/json"

// Option is a value that may be absent. The zero Option is absent. In JSON an
// absent Option is null.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{v, true} }

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Or returns the value, or fallback when absent.
func (o Option[T]) Or(fallback T) T {
	if o.ok {
		return o.value
	}
	return fallback
}

// IsZero reports absence, for omitzero.
func (o Option[T]) IsZero() bool { return !o.ok }

// MarshalJSON writes the value or null.
func (o Option[T]) MarshalJSON() ([]byte, error) {
	if !o.ok {
		return []byte("null"), nil
	}
	return json.Marshal(o.value)
}

// UnmarshalJSON takes a value or null.
func (o *Option[T]) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		*o = Option[T]{}
		return nil
	}
	if err := json.Unmarshal(b, &o.value); err != nil {
		return err
	}
	o.ok = true
	return nil
}
