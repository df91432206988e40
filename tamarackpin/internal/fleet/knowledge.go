// Package fleet keeps one VM's view of a deployment whose VMs discover each
// other: the VMs, the workers that announced themselves, the reports of groups,
// and the operators' table. Each VM long-polls every control VM that it knows,
// starting with the seeds of its settings; a control VM replies as soon as
// something changed. Entry VMs of one failure domain fetch the same state from
// each other (package group), so it also spreads while no control VM is reachable.
package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// Knowledge is what this process knows of the deployment: its VMs, workers, group
// reports, divisions and table. Records are ordered by incarnation, sequence, fence,
// epoch or version, so they may arrive late, repeatedly and from any VM.
//
// It is safe for concurrent use. It must be made by [NewKnowledge].
type Knowledge struct {
	log     *zap.Logger
	table   atomic.Pointer[routes.Table]
	history tableHistory // of table

	mu       sync.Mutex // guards the fields below
	self     vm.Presence
	roster   vm.Roster
	registry worker.Registry
	own      []pool.Report // of the groups that this VM leads
	reports  map[groupKey]receivedReport
	// divisions is that of this VM's failure domain; on a control VM, those of all.
	divisions       divisions
	evacuations     evacuation.Set
	changed         chan struct{} // closed and replaced at each change
	refused         int           // number of announcements refused since refusedLoggedAt
	refusedLoggedAt time.Time
}

// NewKnowledge returns the Knowledge of a VM that just started: only itself.
func NewKnowledge(self vm.Presence, log *zap.Logger) *Knowledge {
	return &Knowledge{log: log, self: self, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change that other VMs should
// get at once. Reports, and heartbeats that change nothing else, don't close it.
func (k *Knowledge) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// notifyChanged wakes the waiters on Changed. k.mu is held.
func (k *Knowledge) notifyChanged() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Self returns the presence that this VM sends to others.
func (k *Knowledge) Self() vm.Presence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self
}

// SetDraining marks this VM as draining in the presence that it sends to others.
func (k *Knowledge) SetDraining() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.self.Draining = true
	k.notifyChanged()
}

// Table returns the current table, or nil before there is one.
func (k *Knowledge) Table() *routes.Table { return k.table.Load() }

// AdoptTable makes t the current table unless t is nil or the current version is
// the same or higher, and reports whether it did. The VM it came from is logged.
func (k *Knowledge) AdoptTable(t *routes.Table, from vm.ID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.table.Load()
	if t == nil || routes.Later(old, t) == old {
		return false
	}
	k.history.add(t)
	k.table.Store(t)
	k.notifyChanged()
	event.Log(k.log, event.TableChanged, zap.Int64("version", int64(t.Version)), zap.Int("rows", len(t.Rows)), zap.String("from", string(from)))
	return true
}

// ObserveVM records the presence that a VM sent age ago. It ignores this VM's own.
func (k *Knowledge) ObserveVM(now time.Time, p vm.Presence, age time.Duration) {
	if p.VM == k.self.VM {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.roster.Observe(now, p, age) {
		k.notifyChanged()
		event.Log(k.log, event.VMSeen, zap.String("vm", string(p.VM)), zap.Int64("incarnation", int64(p.Incarnation)),
			zap.String("failure_domain", string(p.FailureDomain)), zap.Bool("draining", p.Draining))
	}
}

// ObserveWorker records an announcement that a worker made age ago. replaced has the incarnations that
// its incarnation has replaced at the VM that it came from, if that is not the worker.
func (k *Knowledge) ObserveWorker(now time.Time, a worker.Announcement, age time.Duration, replaced []worker.Incarnation) worker.Observation {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.registry.Observe(now, a, age, replaced)
	if o == worker.Changed {
		k.notifyChanged()
		event.Log(k.log, event.WorkerAnnounced, zap.String("worker", string(a.Worker)), zap.Int64("incarnation", int64(a.Incarnation)),
			zap.String("address", a.Address), zap.Bool("leaving", a.Leaving), zap.Duration("age", age))
	}
	return o
}

// CheckService returns an error for an announcement that a worker cannot have made: of a
// service that the table does not name, in an incarnation that announced another one. The
// table of this VM may lack a new service, but no incarnation changes its service.
func (k *Knowledge) CheckService(a worker.Announcement) error {
	t := k.Table()
	if t == nil || t.HasService(a.Service) {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, known := k.registry.Get(a.Worker); known && r.Incarnation == a.Incarnation && r.Service != a.Service {
		return errors.Newf("worker %s announced service %q before, and now %q, which is not in the table", a.Worker, r.Service, a.Service)
	}
	return nil
}

// refusedLogInterval bounds the log of refused announcements: any program may send them, at
// any rate.
const refusedLogInterval = time.Second

// RefuseWorker logs that an announcement of a worker is not used, and the number of those
// since the last line.
func (k *Knowledge) RefuseWorker(now time.Time, id worker.ID, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused++
	if now.Sub(k.refusedLoggedAt) < refusedLogInterval {
		return
	}
	event.Log(k.log, event.WorkerRefused, zap.String("worker", fmt.Sprintf("%.80s", id)), zap.Int("count", k.refused), event.Err(err))
	k.refused, k.refusedLoggedAt = 0, now
}

// DeregisterWorker records that an incarnation of a worker deregistered; 0 stands
// for the incarnation that is known.
func (k *Knowledge) DeregisterWorker(id worker.ID, i worker.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registry.Deregister(id, i)
	k.notifyChanged()
}

// VMs returns the known VMs, other than this one, for which keep is true.
func (k *Knowledge) VMs(keep func(vm.Present) bool) []vm.Present {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []vm.Present
	for p := range k.roster.All {
		if keep(p) {
			list = append(list, p)
		}
	}
	return list
}

// KnowsWorkers reports whether any worker has announced itself, in any failure
// domain, since this process started.
func (k *Knowledge) KnowsWorkers() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Cursor() > 0
}

// Workers returns the workers of a failure domain whose records changed after the
// cursor, heartbeats included, and the current cursor.
func (k *Knowledge) Workers(d vm.FailureDomain, after worker.Cursor) ([]worker.Record, worker.Cursor) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []worker.Record
	for r := range k.registry.All {
		if r.FailureDomain == d && r.SeenCursor > after {
			list = append(list, r)
		}
	}
	return list, k.registry.Cursor()
}

// CountWorkers returns the number of workers of a failure domain that may be given
// tasks now.
func (k *Knowledge) CountWorkers(now time.Time, d vm.FailureDomain) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for r := range k.registry.All {
		if r.FailureDomain == d && r.Usable(now) {
			n++
		}
	}
	return n
}

// Prune drops VMs and workers whose last contact is long past; package vm and
// package worker set the limits.
func (k *Knowledge) Prune(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.roster.Prune(now)
	k.registry.Forget(now)
}
