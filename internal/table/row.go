// Package table holds the table of weights and limits: one [Row] for each
// party and kind. A [Snapshot] is one version of it and never changes; a
// [Change] makes the next version. A [Store] is the state machine that decides
// about changes; who holds it and how it is replicated is the server's matter.
package table

import (
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Bounds of the numbers in a row.
const (
	MaxWeight   = 1000
	MaxLimit    = 10_000_000
	MaxDeadline = wire.Duration(10 * time.Minute)
)

// Row gives one party's weight and limits for one kind. Limits are fleet-wide.
type Row struct {
	party.Key
	Weight        int           `json:"weight"`          // share of service under contention
	Urgent        bool          `json:"urgent"`          // goes before every row that is not urgent
	MaxInFlight   int           `json:"max_in_flight"`   // tasks running at once
	MaxQueue      int           `json:"max_queue"`       // tasks waiting at once
	RatePerSecond int           `json:"rate_per_second"` // tasks accepted a second; 0 is no limit
	Deadline      wire.Duration `json:"deadline"`        // for requests that name none
	TimeLimit     wire.Duration `json:"time_limit"`      // for one run of one task
}

// Check returns an error for a row that is out of bounds.
func (r Row) Check() error {
	if faults := r.faults(); len(faults) > 0 {
		return faults[0].err
	}
	return nil
}

// fault is a value of a row that is out of bounds.
type fault struct {
	column string
	err    error
}

// faults returns every value that is out of bounds, in the order of the columns.
func (r Row) faults() []fault {
	var faults []fault
	add := func(column string, err error) {
		if err != nil {
			faults = append(faults, fault{column, err})
		}
	}
	add("party", errors.Wrap(vm.CheckName(string(r.Party)), "party"))
	add("kind", errors.Wrap(vm.CheckName(string(r.Kind)), "kind"))
	for _, f := range []struct {
		name       string
		value      int
		least, top int
	}{
		{"weight", r.Weight, 1, MaxWeight},
		{"max_in_flight", r.MaxInFlight, 1, MaxLimit},
		{"max_queue", r.MaxQueue, 1, MaxLimit},
		{"rate_per_second", r.RatePerSecond, 0, MaxLimit},
	} {
		if f.value < f.least || f.value > f.top {
			add(f.name, errors.Newf("%s %d: want %d to %d", f.name, f.value, f.least, f.top))
		}
	}
	if r.Deadline <= 0 || r.Deadline > MaxDeadline {
		add("deadline", errors.Newf("deadline %s: want more than 0s, up to %s", r.Deadline, MaxDeadline))
	}
	if r.TimeLimit <= 0 || r.TimeLimit > MaxDeadline {
		add("time_limit", errors.Newf("time_limit %s: want more than 0s, up to %s", r.TimeLimit, MaxDeadline))
	}
	return faults
}

// Share returns the part of a fleet-wide limit that the entry VM with this
// index, of count in all, may use by itself. The shares of all indices add up
// to limit, whoever can be reached.
func Share(limit, count, index int) int {
	share := limit / count
	if index < limit%count {
		share++
	}
	return share
}
