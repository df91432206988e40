// Package party names the parties whose work the system runs, and the kinds of
// work that each asks for. The weights and limits of a party are rows of
// package table.
package party

import (
	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/vm"
)

// ID names one party.
type ID string

// Kind names one kind of request, such as "slot_booking".
type Kind string

// Key names the row of the table that a task belongs to.
type Key struct {
	Party ID   `json:"party"`
	Kind  Kind `json:"kind"`
}

// Check returns an error unless both names are well formed.
func (k Key) Check() error {
	if err := vm.CheckName(string(k.Party)); err != nil {
		return errors.Wrap(err, "party")
	}
	return errors.Wrap(vm.CheckName(string(k.Kind)), "kind")
}

// String returns the party and the kind with a slash between them.
func (k Key) String() string { return string(k.Party) + "/" + string(k.Kind) }

// Compare orders keys by party, then by kind.
func (k Key) Compare(o Key) int {
	switch {
	case k == o:
		return 0
	case k.Party < o.Party || k.Party == o.Party && k.Kind < o.Kind:
		return -1
	}
	return 1
}
