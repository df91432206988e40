// Package routes holds the operators' table of a deployment with workers: which
// rows of work there are, by the host and path that callers use, and which
// service runs them. A [Table] is one version and never changes. Of two versions
// the higher one counts; package replica keeps it on the control VMs' disks.
package routes

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/worker"
)

// Version numbers the tables; operators choose it, in uneven steps.
type Version int64

// RowName names a row.
type RowName string

// Row is one kind of work of one party.
type Row struct {
	Name        RowName        `json:"name"`
	Host        string         `json:"host"`
	Prefix      string         `json:"prefix"` // of the path
	Service     worker.Service `json:"service"`
	Timeout     time.Duration  `json:"timeout"`
	Latency     time.Duration  `json:"latency"`  // part of the objective that does not depend on the work
	Stretch     float64        `json:"stretch"`  // part of the objective for each unit of work
	Priority    int            `json:"priority"` // 0 is the most urgent
	MaxAttempts int            `json:"max_attempts"`
}

// Service is one pool of workers.
type Service struct {
	Name           worker.Service `json:"name"`
	MaxConnections int            `json:"max_connections"` // to each worker
	// Unguarded reports that its workers start whatever they are ordered to, also beyond
	// their capacity.
	Unguarded bool `json:"unguarded,omitempty"`
}

// Limits bounds what callers send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Table is one version. It is immutable once it was checked.
type Table struct {
	Version  Version   `json:"version"`
	Rows     []Row     `json:"rows"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	// Source is the document that the operator sent, for reading it back. Only control
	// VMs hold it.
	Source []byte `json:"source,omitempty"`

	indexed sync.Once // guards the construction of index
	index   index
}

// Check returns an error for a table that cannot be put in force.
func (t *Table) Check() error {
	services := make(map[worker.Service]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" {
			return errors.New("service without a name")
		}
		services[s.Name] = true
	}
	places := make(map[Place]RowName, len(t.Rows))
	for _, r := range t.Rows {
		if err := r.check(services); err != nil {
			return errors.Wrapf(err, "row %s", r.Name)
		}
		at := r.place()
		if other, taken := places[at]; taken {
			return errors.Newf("rows %s and %s share host %s and prefix %s", other, r.Name, r.Host, r.Prefix)
		}
		places[at] = r.Name
	}
	return nil
}

// Place is where a row applies: a host and a prefix of the path.
type Place struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

func (r Row) place() Place { return Place{r.Host, r.Prefix} }

func (p Place) compare(o Place) int {
	return cmp.Or(cmp.Compare(p.Host, o.Host), cmp.Compare(p.Prefix, o.Prefix))
}

func (r Row) check(services map[worker.Service]bool) error {
	if faults := r.faults(services); len(faults) > 0 {
		return faults[0].err
	}
	return nil
}

// Match returns the row with the longest prefix of path on host, and the rest
// of the path.
func (t *Table) Match(host, path string) (row *Row, rest string, ok bool) {
	if t == nil {
		return nil, "", false
	}
	t.indexed.Do(func() { t.index = newIndex(t.Rows) })
	row = t.index.match(host, path)
	if row == nil {
		return nil, "", false
	}
	return row, path[len(row.Prefix):], true
}

// Unguarded reports whether the workers of service s rely on the dispatcher to keep them
// within their capacity. A service that is not in the table counts as unguarded.
func (t *Table) Unguarded(s worker.Service) bool {
	i := slices.IndexFunc(t.Services, func(o Service) bool { return o.Name == s })
	return i < 0 || t.Services[i].Unguarded
}

// HasService reports whether the table names service s.
func (t *Table) HasService(s worker.Service) bool {
	return slices.ContainsFunc(t.Services, func(o Service) bool { return o.Name == s })
}

// Later returns the table that counts, of the one held and a next one.
func Later(held, next *Table) *Table {
	if held == nil || next != nil && next.Version > held.Version {
		return next
	}
	return held
}
