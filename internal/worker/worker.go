// Package worker describes targets that are workers: machines with room for
// several tasks, which run them under leases. A [Registry] keeps what workers
// announce of themselves. Who may order a worker is up to package lead, what it
// is ordered to package pool.
package worker

import (
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/vm"
)

// ID names a worker. A worker that starts again may keep it.
type ID string

// Incarnation tells the lives of one worker apart; a later one is larger.
type Incarnation int64

// Kind names machines that run tasks at about the same speed.
type Kind string

// Rack names the rack of a worker.
type Rack string

// Service names the workers that run the same kinds of tasks.
type Service string

// Clock is a reading of a worker's own steady clock, which starts anew with
// each incarnation and may be slow by [ClockDrift].
type Clock time.Duration

// ClockDrift is the largest part by which a worker's clock may be slow, as the
// platform states it.
const ClockDrift = 0.02

// Resources is what a task needs, or a worker has.
type Resources struct {
	MilliCores   int `json:"milli_cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Add returns r with o added.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r with o taken away.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Announcement is what a worker says of itself.
type Announcement struct {
	Worker        ID               `json:"worker"`
	Incarnation   Incarnation      `json:"incarnation"`
	Sequence      uint64           `json:"sequence"` // grows with each announcement of an incarnation
	Service       Service          `json:"service"`
	Address       string           `json:"address"`
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Capacity      Resources        `json:"room"`
	Kind          Kind             `json:"kind,omitempty"`
	Rack          Rack             `json:"rack,omitempty"`
	Leaving       bool             `json:"leaving,omitempty"`
	Clock         Clock            `json:"clock"`
}

// Check returns an error for an announcement that names no worker to use.
func (a Announcement) Check() error {
	switch {
	case a.Worker == "":
		return errors.New("announcement without a worker")
	case a.Service == "":
		return errors.Newf("worker %s: no service", a.Worker)
	case a.Address == "":
		return errors.Newf("worker %s: no address", a.Worker)
	case a.Capacity.MilliCores < 0 || a.Capacity.MemoryMB < 0 || a.Capacity.Accelerators < 0:
		return errors.Newf("worker %s: negative room", a.Worker)
	}
	return nil
}

// newerThan orders the announcements of one worker.
func (a Announcement) newerThan(o Announcement) bool {
	if a.Incarnation != o.Incarnation {
		return a.Incarnation > o.Incarnation
	}
	return a.Sequence > o.Sequence
}

// sameAs reports whether a says the same as o, but for its sequence and clock.
func (a Announcement) sameAs(o Announcement) bool {
	a.Sequence, a.Clock = o.Sequence, o.Clock
	return a == o
}
