// Package worker describes targets that are workers: machines with resources for
// several tasks, which they run under leases. A [Registry] keeps the workers'
// announcements. Package lead decides who may give orders to a worker, package
// pool which orders.
package worker

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/vm"
)

// ID identifies a worker. A worker may keep its ID across restarts.
type ID string

// Incarnation distinguishes the runs of a worker under one ID. It is the time of day at which the
// worker started, on its own clock, which may have been set back: of two incarnations the
// higher one is not always the later one. See [Registry.Observe].
type Incarnation int64

// Kind is a class of machines that run tasks at about the same speed.
type Kind string

// Rack is the name of the rack that houses a worker.
type Rack string

// Service is a set of workers that run the same kinds of tasks.
type Service string

// Clock is a reading of a worker's monotonic clock, which restarts with each
// incarnation and may be slow by [ClockDrift].
type Clock time.Duration

// ClockDrift is the largest fraction by which a worker's clock may be slow, as
// the platform states it.
const ClockDrift = 0.02

// Resources is an amount of resources: the need of a task or the capacity of a
// worker.
type Resources struct {
	MilliCores   int `json:"milli_cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits reports whether r covers need in each resource.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; resources of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Announcement is the state that a worker announces periodically.
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
	Clock         Clock            `json:"clock"` // 0 if the worker sent none
	// ColdRemaining is how much longer the worker is slow after its start, as of the announcement. Announcements are
	// passed on in replies only, whose unknown fields earlier builds ignore.
	ColdRemaining time.Duration `json:"cold_remaining,omitempty"`
}

// Limits of what a worker says of itself. Any program may announce itself, also under the
// id of a worker: larger numbers are not the worker's, and would make its own
// announcements count as older ones or overflow in sums.
const (
	// MaxIncarnation is the last Unix millisecond of 13 digits, in the year 2286. A time in
	// microseconds or nanoseconds exceeds it.
	MaxIncarnation Incarnation = 9_999_999_999_999
	// MaxCount bounds what an incarnation counts from 1: its announcements, the runs of a
	// task and the ends of runs. A thousand a second make less in a month.
	MaxCount = 1 << 32
	// MaxClock leaves room for a clock that counts from 1970.
	MaxClock = Clock(100 * 365 * 24 * time.Hour)
	// maxTextBytes bounds each text, as all VMs of the failure domain get all of them with
	// each announcement. A host name has 253 bytes at most.
	maxTextBytes = 260
)

// maxCapacity is more than the largest machine has: 4,194 cores, 64 TiB and 1,024
// accelerators.
var maxCapacity = Resources{MilliCores: 1 << 22, MemoryMB: 1 << 26, Accelerators: 1 << 10}

// Check returns an error if a lacks the worker's id or service, if its address is not a
// host with a port, if a text is overlong or unprintable, or if a number is out of range.
func (a Announcement) Check() error {
	for _, text := range [...]string{string(a.Worker), string(a.Service), a.Address, string(a.FailureDomain), string(a.Kind), string(a.Rack)} {
		if len(text) > maxTextBytes || !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
			return errors.Newf("announcement of worker %.80q: text of %d bytes, %.20q: want at most %d, and no control characters", string(a.Worker), len(text), text, maxTextBytes)
		}
	}
	switch {
	case a.Worker == "":
		return errors.New("announcement without a worker")
	case a.Service == "":
		return errors.Newf("worker %s: no service", a.Worker)
	case a.Capacity.MilliCores < 0 || a.Capacity.MemoryMB < 0 || a.Capacity.Accelerators < 0:
		return errors.Newf("worker %s: negative room", a.Worker)
	case !maxCapacity.Fits(a.Capacity):
		return errors.Newf("worker %s: room %+v: want at most %+v", a.Worker, a.Capacity, maxCapacity)
	case a.Incarnation < 1 || a.Incarnation > MaxIncarnation:
		return errors.Newf("worker %s: incarnation %d: want 1 to %d", a.Worker, a.Incarnation, MaxIncarnation)
	case a.Sequence > MaxCount:
		return errors.Newf("worker %s: sequence %d: want at most %d", a.Worker, a.Sequence, MaxCount)
	case a.Clock < 0 || a.Clock > MaxClock:
		return errors.Newf("worker %s: clock %s: want 0 to %s", a.Worker, time.Duration(a.Clock), time.Duration(MaxClock))
	}
	return errors.Wrapf(checkAddress(a.Address), "worker %s: address %.80q", a.Worker, a.Address)
}

// checkAddress returns an error unless address is an IP address or a host name, with a port.
// Orders go to a URL that is made of it.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.JoinHostPort(host, port) != address {
		return errors.New("want a host and a port")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("want a port from 1 to 65535")
	}
	ip, err := netip.ParseAddr(host)
	if err == nil && ip.Zone() == "" || host != "" && !strings.ContainsFunc(host, notInHostName) {
		return nil
	}
	return errors.New("want an IP address or a host name")
}

// notInHostName reports whether r cannot be part of a host name.
func notInHostName(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-._", r)
}

// sameAs reports whether a and o differ at most in what changes with the time: sequence, clock and ColdRemaining.
func (a Announcement) sameAs(o Announcement) bool {
	a.Sequence, a.Clock, a.ColdRemaining = o.Sequence, o.Clock, o.ColdRemaining
	return a == o
}
