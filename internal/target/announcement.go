// Package target describes the targets that run tasks. Targets announce
// themselves; a [Book] holds their leases, [Slots] counts the slots of each that
// this entry VM may use, [Health] finds failing targets, and [Split] divides a
// target's slots among the entry VMs of its failure domain. The HTTP handlers are
// in the server.
package target

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/vm"
)

// ID identifies a target.
type ID string

// Limits that [Announcement.Check] enforces.
const (
	MaxSlots       = 1024
	MaxConnections = 65_536
	MaxKinds       = 256
)

// Announcement is a target's description of itself, sent at every renewal.
type Announcement struct {
	Target        ID               `json:"target"`
	Address       string           `json:"address"` // IP and port on which it accepts tasks over HTTP
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Incarnation   vm.Incarnation   `json:"incarnation"` // grows with each start of the target
	Sequence      uint64           `json:"sequence"`    // grows with each announcement of an incarnation
	Slots         int              `json:"slots"`       // tasks that it runs at once
	Connections   int              `json:"connections"` // connections that it accepts at once
	Kinds         []party.Kind     `json:"kinds"`
	Leaving       bool             `json:"leaving,omitempty"` // accepts no new tasks
	Rack          string           `json:"rack,omitempty"`
}

// Check returns an error that names the field for which the announcement is invalid.
func (a Announcement) Check() error {
	if err := vm.CheckName(string(a.Target)); err != nil {
		return errors.Wrap(err, "target")
	}
	if err := vm.CheckName(string(a.FailureDomain)); err != nil {
		return errors.Wrap(err, "failure_domain")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Newf("address %.80q: want an IP number and a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return errors.Newf("slots %d: want 1 to %d", a.Slots, MaxSlots)
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		return errors.Newf("connections %d: want 1 to %d", a.Connections, MaxConnections)
	}
	if len(a.Kinds) < 1 || len(a.Kinds) > MaxKinds {
		return errors.Newf("%d kinds: want 1 to %d", len(a.Kinds), MaxKinds)
	}
	for _, k := range a.Kinds {
		if err := vm.CheckName(string(k)); err != nil {
			return errors.Wrap(err, "kinds")
		}
	}
	return nil
}

// Runs reports whether the target accepts tasks of kind k.
func (a Announcement) Runs(k party.Kind) bool { return slices.Contains(a.Kinds, k) }

// newerThan orders the announcements of one target, by whatever route they arrived.
func (a Announcement) newerThan(o Announcement) bool {
	if a.Incarnation != o.Incarnation {
		return a.Incarnation > o.Incarnation
	}
	return a.Sequence > o.Sequence
}

// Renewal stands for an announcement that differs from the target's previous one in
// its sequence only.
type Renewal struct {
	Target      ID             `json:"target"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Sequence    uint64         `json:"sequence"`
}

// EqualExceptSequence reports whether a differs from o at most in its sequence, so
// that a Renewal can replace it.
func (a Announcement) EqualExceptSequence(o Announcement) bool {
	return slices.Equal(a.Kinds, o.Kinds) && a.Target == o.Target && a.Address == o.Address && a.FailureDomain == o.FailureDomain &&
		a.Incarnation == o.Incarnation && a.Slots == o.Slots && a.Connections == o.Connections && a.Leaving == o.Leaving && a.Rack == o.Rack
}
