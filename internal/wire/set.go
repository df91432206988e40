package wire

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// Set is a set of small values, written in JSON as a sorted list. The zero
// Set is empty and may be read, but not added to.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a Set of vs.
func NewSet[T cmp.Ordered](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s[v] = struct{}{}
	}
	return s
}

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }

// MarshalJSON writes the members in ascending order.
func (s Set[T]) MarshalJSON() ([]byte, error) {
	if len(s) == 0 {
		return []byte("[]"), nil
	}
	return json.Marshal(s.Sorted())
}

// UnmarshalJSON takes a list.
func (s *Set[T]) UnmarshalJSON(b []byte) error {
	var vs []T
	if err := json.Unmarshal(b, &vs); err != nil {
		return err
	}
	*s = NewSet(vs...)
	return nil
}
