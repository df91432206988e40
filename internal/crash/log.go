// Package crash records the workers that were lost while a task was assigned to them.
// From these Records it tells tasks that crash the workers that run them, which a
// dispatcher (package pool) gives up instead of starting them again and again. A worker
// that was only silent does not count against a task.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/worker"
)

const (
	// retention is how long the losses under a task are kept after the newest of them:
	// callers submit a job again within seconds.
	retention = time.Minute
	// maxTasks bounds the tasks with losses; those whose newest loss is oldest are dropped
	// first. It allows for all tasks of one job of the largest size.
	maxTasks = job.MaxTasks
)

// Log holds the losses of workers under tasks. It is not safe for concurrent use. The
// zero Log is empty.
type Log struct {
	tasks      map[job.Task]*history
	unresolved map[worker.ID]int // number of losses without final evidence
	changes    []Record          // not yet taken by TakeChanges
	version    uint64            // number of changes of any kind
}

// history has the losses under one task.
type history struct {
	losses    []loss
	changedAt time.Time
}

// loss is the loss of one worker under a task.
type loss struct {
	Record
	recordedAt time.Time
}

// Add records a loss. Evidence that ranks lower than what is known of the same
// incarnation under the same task changes nothing.
func (l *Log) Add(now time.Time, r Record) {
	if l.put(now, r) {
		l.changes = append(l.changes, r)
	}
}

// Merge records losses that another entry VM has recorded.
func (l *Log) Merge(now time.Time, records []Record) {
	for _, r := range records {
		l.put(now, r)
	}
}

// put records a loss and reports whether that changed anything.
func (l *Log) put(now time.Time, r Record) bool {
	h := l.tasks[r.Task]
	if h == nil {
		h = l.addTask(r.Task)
	}
	i := slices.IndexFunc(h.losses, func(known loss) bool { return known.Worker == r.Worker && known.Incarnation == r.Incarnation })
	switch {
	case i < 0:
		h.losses = append(h.losses, loss{r, now})
	case ranks[r.Evidence] <= ranks[h.losses[i].Evidence]:
		return false
	default:
		l.countUnresolved(h.losses[i].Record, -1)
		h.losses[i].Evidence = r.Evidence
	}
	l.countUnresolved(r, 1)
	h.changedAt = now
	l.version++
	return true
}

// addTask adds a task without losses. If there are maxTasks already, it drops one.
func (l *Log) addTask(t job.Task) *history {
	if l.tasks == nil {
		l.tasks, l.unresolved = make(map[job.Task]*history), make(map[worker.ID]int)
	}
	if len(l.tasks) >= maxTasks {
		l.drop(slices.MinFunc(slices.Collect(maps.Keys(l.tasks)), func(a, b job.Task) int {
			return cmp.Or(l.tasks[a].changedAt.Compare(l.tasks[b].changedAt), a.Compare(b))
		}))
	}
	h := &history{}
	l.tasks[t] = h
	return h
}

func (l *Log) drop(t job.Task) {
	for _, known := range l.tasks[t].losses {
		l.countUnresolved(known.Record, -1)
	}
	delete(l.tasks, t)
}

// countUnresolved adds n to the unresolved losses of r's worker, if r is one of them.
func (l *Log) countUnresolved(r Record, n int) {
	if r.Evidence.final() {
		return
	}
	if l.unresolved[r.Worker] += n; l.unresolved[r.Worker] == 0 {
		delete(l.unresolved, r.Worker)
	}
}

// ObserveIncarnation records that i is the present incarnation of a worker, or that it has none if i is 0,
// so that the others have ended. One that was silent when the leases lapsed may have crashed after that.
func (l *Log) ObserveIncarnation(now time.Time, id worker.ID, i worker.Incarnation) {
	l.resolve(now, id, Restarted, func(lost loss) bool { return lost.Incarnation != i && lost.Evidence == Refused })
	l.resolve(now, id, Unproven, func(lost loss) bool { return lost.Incarnation != i && lost.Evidence == Silent })
}

// ObserveReply records that an incarnation of a worker replied to an order that was sent
// at sentAt, so that it had not crashed before.
func (l *Log) ObserveReply(now time.Time, id worker.ID, i worker.Incarnation, sentAt time.Time) {
	l.resolve(now, id, Survived, func(lost loss) bool { return lost.Incarnation == i && lost.recordedAt.Before(sentAt) })
}

// resolve records final evidence of the unresolved losses of a worker that match.
func (l *Log) resolve(now time.Time, id worker.ID, e Evidence, match func(loss) bool) {
	if l.unresolved[id] == 0 {
		return
	}
	var resolved []Record
	for _, h := range l.tasks {
		for _, lost := range h.losses {
			if lost.Worker == id && !lost.Evidence.final() && match(lost) {
				lost.Evidence = e
				resolved = append(resolved, lost.Record)
			}
		}
	}
	slices.SortFunc(resolved, Record.compare)
	for _, r := range resolved {
		l.Add(now, r)
	}
}

// Verdict returns what the losses under a task say about it.
func (l *Log) Verdict(t job.Task) Verdict {
	h := l.tasks[t]
	if h == nil {
		return Clear
	}
	return verdict(h.losses)
}

// Version grows with each loss that is added or changed.
func (l *Log) Version() uint64 { return l.version }

// Empty reports whether no task has losses.
func (l *Log) Empty() bool { return len(l.tasks) == 0 }

// TakeChanges returns the Records that were added or changed since its last call, except
// by Merge.
func (l *Log) TakeChanges() []Record {
	changes := l.changes
	l.changes = nil
	return changes
}

// Records returns all Records, sorted.
func (l *Log) Records() []Record {
	var list []Record
	for _, h := range l.tasks {
		for _, lost := range h.losses {
			list = append(list, lost.Record)
		}
	}
	slices.SortFunc(list, Record.compare)
	return list
}

// GivenUp returns all Records of the tasks among those of records that are given up.
func (l *Log) GivenUp(records []Record) []Record {
	var list []Record
	seen := make(map[job.Task]bool)
	for _, r := range records {
		if seen[r.Task] || !l.Verdict(r.Task).GivenUp() {
			continue
		}
		seen[r.Task] = true
		for _, lost := range l.tasks[r.Task].losses {
			list = append(list, lost.Record)
		}
	}
	return list
}

// Expire drops the tasks whose newest loss is older than retention.
func (l *Log) Expire(now time.Time) {
	for t, h := range l.tasks {
		if now.Sub(h.changedAt) > retention {
			l.drop(t)
		}
	}
}
