// Package latestart records starts of tasks that got no reply. The worker may carry out
// such an order seconds after it was sent, even in a later incarnation, which knows nothing
// of what the one before was told. Until then a dispatcher (package pool) starts the task
// nowhere else.
package latestart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

// Log holds the starts without a reply that may still be carried out. It is not safe for
// concurrent use. The zero Log is empty.
type Log struct {
	tasks   map[job.Task][]*entry
	workers map[worker.ID][]*entry // the same entries
	changes []Record               // not yet taken by TakeChanges
	reports []Record               // not yet taken by TakeReports
}

// entry is a start without a reply.
type entry struct {
	Record
	stopSentAt time.Time
	// barredIn is the newest incarnation that acknowledged a stop of the run, so that it will
	// not start the run any more; if it had started the run, that ends by barredAt. It last did
	// so at confirmedAt.
	barredIn    worker.Incarnation
	barredAt    time.Time
	confirmedAt time.Time
	reported    bool // in reports once
}

// Add records a start without a reply. A repeated start of the same run moves the expiry.
func (l *Log) Add(now time.Time, r Record) {
	if l.put(now, r) {
		l.changes = append(l.changes, r)
	}
}

// Merge records starts that another entry VM has reported.
func (l *Log) Merge(now time.Time, records []Record) {
	for _, r := range records {
		l.put(now, r)
	}
}

// put adds a Record and reports whether it is new or expires later than the known one.
func (l *Log) put(now time.Time, r Record) bool {
	if !now.Before(r.Expires) {
		return false
	}
	i := slices.IndexFunc(l.tasks[r.Task], func(e *entry) bool { return e.Run == r.Run && e.Worker == r.Worker })
	if i >= 0 {
		known := l.tasks[r.Task][i]
		if !r.Expires.After(known.Expires) {
			return false
		}
		known.Expires = r.Expires
		return true
	}
	if l.tasks == nil {
		l.tasks, l.workers = make(map[job.Task][]*entry), make(map[worker.ID][]*entry)
	}
	e := &entry{Record: r}
	l.tasks[r.Task] = append(l.tasks[r.Task], e)
	l.workers[r.Worker] = append(l.workers[r.Worker], e)
	return true
}

// Empty reports whether no start may still be carried out.
func (l *Log) Empty() bool { return len(l.tasks) == 0 }

// barLifetime is how long the acknowledgement of a stop counts: a worker that has restarted
// since then, which takes longer, would start the run beside the new one.
const barLifetime = 300 * time.Millisecond

// Permits reports whether a task may start on an incarnation of a worker: no late start of
// it can be carried out on another worker, nor on this one beside the new run.
func (l *Log) Permits(now time.Time, t job.Task, id worker.ID, i worker.Incarnation) bool {
	for _, e := range l.tasks[t] {
		if now.Before(e.Expires) && (e.Worker != id || e.barredIn != i || now.Before(e.barredAt) || now.Sub(e.confirmedAt) > barLifetime) {
			return false
		}
	}
	return true
}

// Binding says that a worker may carry out a late start of a task until a time.
type Binding struct {
	Worker worker.ID
	Until  time.Time
}

// Bindings returns the workers that may carry out a late start of a task, the one that may for
// longest first.
func (l *Log) Bindings(now time.Time, t job.Task) []Binding {
	var list []Binding
	for _, e := range l.tasks[t] {
		if !now.Before(e.Expires) {
			continue
		}
		i := slices.IndexFunc(list, func(b Binding) bool { return b.Worker == e.Worker })
		switch {
		case i < 0:
			list = append(list, Binding{e.Worker, e.Expires})
		case e.Expires.After(list[i].Until):
			list[i].Until = e.Expires
		}
	}
	slices.SortFunc(list, func(a, b Binding) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Worker, b.Worker)) })
	return list
}

// Tasks returns the tasks that have Records, in order.
func (l *Log) Tasks() []job.Task { return slices.SortedFunc(maps.Keys(l.tasks), job.Task.Compare) }

// HighestRun returns the highest run of a task in the log, or 0.
func (l *Log) HighestRun(t job.Task) job.Run {
	var highest job.Run
	for _, e := range l.tasks[t] {
		highest = max(highest, e.Run)
	}
	return highest
}

// TakeDueStops returns the starts on an incarnation of a worker that it may still carry out
// and whose newest stop is older than interval, and notes that they are stopped now. If their
// tasks wait, so are those whose stop was acknowledged too long ago.
func (l *Log) TakeDueStops(now time.Time, id worker.ID, i worker.Incarnation, interval time.Duration, waits func(job.Task) bool) []Record {
	var due []Record
	for _, e := range l.workers[id] {
		needed := e.barredIn != i || now.Sub(e.confirmedAt) >= barLifetime && waits(e.Task)
		if needed && now.Before(e.Expires) && now.Sub(e.stopSentAt) >= interval {
			e.stopSentAt = now
			due = append(due, e.Record)
		}
	}
	return due
}

// Bar records that an incarnation of a worker acknowledged a stop of a run, which also
// excludes lower ones. A run that it stopped ends within stopMax.
func (l *Log) Bar(now time.Time, t job.Task, run job.Run, id worker.ID, i worker.Incarnation, stopMax time.Duration) {
	for _, e := range l.tasks[t] {
		if e.Worker != id || e.Run > run {
			continue
		}
		if e.barredIn != i {
			e.barredIn, e.barredAt = i, now.Add(stopMax)
		}
		e.confirmedAt = now
	}
}

// Settle drops a start that got its reply after all. It keeps one of another dispatcher,
// which has another expiry, even if worker and run are the same.
func (l *Log) Settle(r Record) {
	i := slices.IndexFunc(l.tasks[r.Task], func(e *entry) bool { return e.Record == r })
	if i < 0 {
		return
	}
	e := l.tasks[r.Task][i]
	l.workers[r.Worker] = slices.DeleteFunc(l.workers[r.Worker], func(o *entry) bool { return o == e })
	l.remove(e)
}

// Forget drops the starts that were sent to a worker whose address another worker has now:
// that one refuses them.
func (l *Log) Forget(id worker.ID) {
	for _, e := range l.workers[id] {
		l.remove(e)
	}
	delete(l.workers, id)
}

// Expire drops the starts that cannot be carried out any more.
func (l *Log) Expire(now time.Time) {
	for id, list := range l.workers {
		l.workers[id] = slices.DeleteFunc(list, func(e *entry) bool {
			expired := !now.Before(e.Expires)
			if expired {
				l.remove(e)
			}
			return expired
		})
		if len(l.workers[id]) == 0 {
			delete(l.workers, id)
		}
	}
}

// remove removes an entry from its task.
func (l *Log) remove(e *entry) {
	l.tasks[e.Task] = slices.DeleteFunc(l.tasks[e.Task], func(o *entry) bool { return o == e })
	if len(l.tasks[e.Task]) == 0 {
		delete(l.tasks, e.Task)
	}
}

// TakeChanges returns the Records that were added or changed since its last call, except by
// Merge.
func (l *Log) TakeChanges() []Record {
	changes := l.changes
	l.changes = nil
	return changes
}

// Report adds the late starts of a task to those that TakeReports returns, if its job may
// be submitted again in another failure domain.
func (l *Log) Report(now time.Time, t job.Task) {
	for _, e := range l.tasks[t] {
		if !e.reported && now.Before(e.Expires) {
			e.reported = true
			l.reports = append(l.reports, e.Record)
		}
	}
}

// TakeReports returns the Records that were reported since its last call.
func (l *Log) TakeReports() []Record {
	reports := l.reports
	l.reports = nil
	return reports
}

// Records returns all Records that have not expired, sorted.
func (l *Log) Records(now time.Time) []Record {
	var list []Record
	for _, entries := range l.tasks {
		for _, e := range entries {
			if now.Before(e.Expires) {
				list = append(list, e.Record)
			}
		}
	}
	slices.SortFunc(list, Record.compare)
	return list
}
