// Package fleet is what one VM knows of a deployment whose VMs find each other,
// and how it learns it: the VMs there are, the workers that announced
// themselves, and the operators' table. Every VM asks all control VMs that it
// knows, which answer as soon as there is news; the seeds of the settings are
// where it begins. Entry VMs of one failure domain tell each other the same
// (package group), so that it spreads without any control VM as well.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
)

// Knowledge is safe for concurrent use. It must be made by [NewKnowledge].
type Knowledge struct {
	log   *zap.Logger
	table atomic.Pointer[routes.Table]

	mu      sync.Mutex // guards all below
	self    vm.Presence
	roster  vm.Roster
	book    worker.Book
	own     []pool.Report // of the groups that this VM orders
	reports map[groupKey]receivedReport
	// divisions of the own failure domain, on a control VM of all.
	divisions divisions
	news      chan struct{} // closed and replaced with each piece of news
}

// NewKnowledge returns what a VM knows at its start.
func NewKnowledge(self vm.Presence, log *zap.Logger) *Knowledge {
	return &Knowledge{log: log, self: self, news: make(chan struct{})}
}

// Changed returns a channel that is closed at the next piece of news.
func (k *Knowledge) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.news
}

// notifyChanged wakes those that wait for news. k.mu is held.
func (k *Knowledge) notifyChanged() {
	close(k.news)
	k.news = make(chan struct{})
}

// Self returns what this VM says of itself.
func (k *Knowledge) Self() vm.Presence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self
}

// SetDraining makes this VM say that it drains.
func (k *Knowledge) SetDraining() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.self.Draining = true
	k.notifyChanged()
}

// Table returns the table in force, or nil before there is one.
func (k *Knowledge) Table() *routes.Table { return k.table.Load() }

// AdoptTable puts a table in force unless the present one is as late, and reports
// whether it did.
func (k *Knowledge) AdoptTable(t *routes.Table, from vm.ID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.table.Load()
	if t == nil || routes.Later(old, t) == old {
		return false
	}
	k.table.Store(t)
	k.notifyChanged()
	event.Log(k.log, event.TableChanged, zap.Int64("version", int64(t.Version)), zap.Int("rows", len(t.Rows)), zap.String("from", string(from)))
	return true
}

// ObserveVM records that a VM said this of itself age ago.
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

// ObserveWorker records what a worker said age ago, and reports whether it is news.
func (k *Knowledge) ObserveWorker(now time.Time, a worker.Announcement, age time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.Observe(now, a, age) {
		return false
	}
	k.notifyChanged()
	event.Log(k.log, event.WorkerAnnounced, zap.String("worker", string(a.Worker)), zap.Int64("incarnation", int64(a.Incarnation)),
		zap.String("address", a.Address), zap.Bool("leaving", a.Leaving), zap.Duration("age", age))
	return true
}

// DeregisterWorker records that an incarnation of a worker deregistered, or the one that is known
// if i is 0.
func (k *Knowledge) DeregisterWorker(id worker.ID, i worker.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Leave(id, i)
	k.notifyChanged()
}

// VMs returns the VMs that keep holds for.
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

// KnowsWorkers reports whether any worker was heard of.
func (k *Knowledge) KnowsWorkers() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Cursor() > 0
}

// Workers returns what was heard of the workers of a failure domain after the
// cursor, and the present cursor.
func (k *Knowledge) Workers(d vm.FailureDomain, after worker.Cursor) ([]worker.Heard, worker.Cursor) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []worker.Heard
	for h := range k.book.All {
		if h.FailureDomain == d && h.Beat > after {
			list = append(list, h)
		}
	}
	return list, k.book.Cursor()
}

// groupKey names a group of workers.
type groupKey struct {
	domain vm.FailureDomain
	group  lead.Group
}

// receivedReport is a group's Report and when it was made.
type receivedReport struct {
	pool.Report
	at time.Time
}

// reportAge is how long a Report is believed: two questions to a control VM.
const reportAge = 1500 * time.Millisecond

// SetReports says what this VM reports of the groups that it orders.
func (k *Knowledge) SetReports(list []pool.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own = list
}

func (k *Knowledge) ownReports() []pool.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.own
}

// recordReport records a Report made at a time. k.mu is held.
func (k *Knowledge) recordReport(at time.Time, r pool.Report) {
	key := groupKey{r.FailureDomain, r.Group}
	old, known := k.reports[key]
	if known && (r.Fence < old.Fence || r.Fence == old.Fence && !at.After(old.at)) {
		return
	}
	if k.reports == nil {
		k.reports = make(map[groupKey]receivedReport)
	}
	k.reports[key] = receivedReport{r, at}
}

// SelectSpareGroup returns the group with the most room that takes jobs of the group own of
// this failure domain, if one does: one of this failure domain if possible.
func (k *Knowledge) SelectSpareGroup(now time.Time, own lead.Group) (pool.Report, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var best pool.Report
	near := false
	for key, r := range k.reports {
		here := key.domain == k.self.FailureDomain
		if here && (key.group == own || r.Epoch == 0) || now.Sub(r.at) >= reportAge || !r.Spare() {
			continue
		}
		if here && !near || here == near && r.FreePlaces > best.FreePlaces {
			best, near = r.Report, here
		}
	}
	return best, best.VM != ""
}

// CountWorkers returns the number of workers of a failure domain that may be used.
func (k *Knowledge) CountWorkers(now time.Time, d vm.FailureDomain) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for h := range k.book.All {
		if h.FailureDomain == d && h.Usable(now) {
			n++
		}
	}
	return n
}

// Prune drops what was not heard of for long.
func (k *Knowledge) Prune(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.roster.Prune(now)
	k.book.Forget(now)
}
