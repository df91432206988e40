package routes

import (
	"cmp"
	"slices"
)

// index finds rows by host and path. Its cost depends on the number of different prefix
// lengths of a host, not on the number of rows.
type index struct {
	rows    map[Place]*Row
	lengths map[string][]int // of the prefixes of a host, longest first
}

func newIndex(rows []Row) index {
	x := index{rows: make(map[Place]*Row, len(rows)), lengths: make(map[string][]int)}
	for i := range rows {
		r := &rows[i]
		at := r.place()
		if x.rows[at] == nil {
			x.rows[at] = r
		}
		if n := len(r.Prefix); !slices.Contains(x.lengths[r.Host], n) {
			x.lengths[r.Host] = append(x.lengths[r.Host], n)
		}
	}
	for _, lengths := range x.lengths {
		slices.SortFunc(lengths, func(a, b int) int { return cmp.Compare(b, a) })
	}
	return x
}

// match returns the row of a host with the longest prefix of path, or nil.
func (x index) match(host, path string) *Row {
	for _, n := range x.lengths[host] {
		if n > len(path) {
			continue
		}
		if r := x.rows[Place{host, path[:n]}]; r != nil {
			return r
		}
	}
	return nil
}
