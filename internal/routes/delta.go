package routes

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta is the difference between two versions of a table, for VMs that hold the older
// one. It carries no Source, which only control VMs need.
type Delta struct {
	From     Version   `json:"from"` // of the table that it applies to; 0 is no table
	Version  Version   `json:"version"`
	Removed  []Place   `json:"removed,omitempty"`
	Set      []Row     `json:"set,omitempty"` // new and changed rows
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Diff returns the Delta from held to next. held may be nil.
func Diff(held, next *Table) Delta {
	d := Delta{Version: next.Version, Services: next.Services, Limits: next.Limits}
	removed := make(map[Place]Row)
	if held != nil {
		d.From = held.Version
		for _, r := range held.Rows {
			removed[r.place()] = r
		}
	}
	for _, r := range next.Rows {
		if old, known := removed[r.place()]; !known || old != r {
			d.Set = append(d.Set, r)
		}
		delete(removed, r.place())
	}
	d.Removed = slices.SortedFunc(maps.Keys(removed), Place.compare)
	return d
}

// Apply returns the table that results from the Delta. It fails if held, which may be
// nil, is not the version that the Delta applies to.
func (d Delta) Apply(held *Table) (*Table, error) {
	var from Version
	var rows []Row
	if held != nil && d.From != 0 {
		from, rows = held.Version, held.Rows
	}
	if from != d.From {
		return nil, errors.Newf("the changes to version %d apply to version %d, held is version %d", d.Version, d.From, from)
	}
	replaced := make(map[Place]bool, len(d.Removed)+len(d.Set))
	for _, at := range d.Removed {
		replaced[at] = true
	}
	for _, r := range d.Set {
		replaced[r.place()] = true
	}
	next := &Table{Version: d.Version, Services: d.Services, Limits: d.Limits, Rows: make([]Row, 0, len(rows)+len(d.Set))}
	for _, r := range rows {
		if !replaced[r.place()] {
			next.Rows = append(next.Rows, r)
		}
	}
	next.Rows = append(next.Rows, d.Set...)
	return next, nil
}
