package keeper

import (
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/routes"
)

// state is what the log holds. The zero state is that of an empty log. It is not safe for concurrent
// use.
type state struct {
	table  *routes.Table // nil while there is none
	orders orders
	// storing has the members that are known to store evacuations.
	storing []quorum.Member
}

// result is what a proposer is told of its entry.
type result struct {
	table    *routes.Table // after the entry; nil while there is none
	applied  bool          // the entry's order
	revision evacuation.Revision
}

// snapshot is an encoded state. Earlier builds take it for a table and ignore the other fields. In
// what they wrote, these are missing.
type snapshot struct {
	*routes.Table
	Evacuations []storedOrder   `json:"evacuations,omitempty"`
	Storing     []quorum.Member `json:"storing_evacuations,omitempty"`
}

// apply applies a committed entry. A table of the same or a lower version changes nothing. now only
// dates an order.
func (s *state) apply(now time.Time, data []byte) (result, error) {
	var e entry
	if err := decode(data, &e); err != nil {
		return result{}, errors.Wrap(err, "decoding a table entry")
	}
	if e.Table != nil {
		s.table = routes.Later(s.table, e.Table)
	}
	if e.Storing != nil {
		s.storing = *e.Storing
	}
	r := result{table: s.table}
	if e.Order != nil {
		r.applied = s.orders.apply(now, *e.Order)
		r.revision = s.orders.set.RevisionOf(e.Order.FailureDomain)
	}
	return r, nil
}

// encode returns a snapshot. A state without orders and without a table is written as earlier builds write
// it, since they would take an object for a table.
func (s *state) encode() ([]byte, error) {
	if s.table == nil && len(s.orders.newest) == 0 {
		return encode(s.table)
	}
	return encode(snapshot{s.table, s.orders.list(), s.storing})
}

// restore replaces the state by a snapshot; no data is the zero state.
func (s *state) restore(now time.Time, data []byte) error {
	*s = state{}
	if len(data) == 0 {
		return nil
	}
	var v snapshot
	if err := decode(data, &v); err != nil {
		return errors.Wrap(err, "restoring the table")
	}
	*s = state{v.Table, ordersOf(now, v.Evacuations), v.Storing}
	return nil
}
