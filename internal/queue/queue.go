package queue

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/table"
)

// LimitShare determines which part of each fleet-wide limit applies to this entry
// VM. The zero LimitShare applies the limits whole.
type LimitShare struct {
	Count int // entry VMs in the settings
	Index int // index of this entry VM among them
}

// Queue holds the waiting and the running tasks of an entry VM and shares service
// among rows by weight. It is not safe for concurrent use. The zero Queue has no
// rows until [Queue.SetTable].
type Queue struct {
	limitShare LimitShare
	rows       map[party.Key]*rowState
	waiting    map[TaskID]*queuedTask
	running    map[TaskID]*queuedTask
	backlogged []*rowState // rows with waiting tasks, unordered
	// virtualTime is the measuredService of the row that last started a task; a row
	// that becomes backlogged is charged at least that. It is kept apart for urgent
	// rows (true) and the others (false), since the two never compete by service.
	virtualTime map[bool]float64
	slots       int
}

// SetTable replaces the rows by those of s. Tasks of a row that s lacks are kept
// and run under the row's last settings.
func (q *Queue) SetTable(s *table.Snapshot, p LimitShare) {
	q.init()
	q.limitShare = p
	for _, r := range q.rows {
		r.listed = false
	}
	for _, row := range s.Rows() {
		r := q.rows[row.Key]
		if r == nil {
			r = &rowState{backloggedIndex: -1}
			q.rows[row.Key] = r
		}
		r.row = row
		r.listed = true
	}
	for k, r := range q.rows {
		if !r.listed && r.idle() {
			delete(q.rows, k)
		}
	}
}

// SetSlots sets how many tasks can run at once, which estimates of waits need.
func (q *Queue) SetSlots(n int) { q.slots = n }

func (q *Queue) init() {
	if q.rows == nil {
		q.rows = make(map[party.Key]*rowState)
		q.waiting = make(map[TaskID]*queuedTask)
		q.running = make(map[TaskID]*queuedTask)
		q.virtualTime = make(map[bool]float64)
	}
}

// Add admits tasks of one row, all or none. It returns the refusal, or nil.
func (q *Queue) Add(now time.Time, tasks ...Task) *code.Error {
	if len(tasks) == 0 {
		return nil
	}
	key := tasks[0].Key
	r := q.rows[key]
	if r == nil || !r.listed {
		return code.New(code.UnknownParty, "the table has no row %s", key)
	}
	if refusal := q.admit(now, r, tasks); refusal != nil {
		return refusal
	}
	q.enqueue(r, tasks)
	return nil
}

// Resume queues tasks of one row that were admitted elsewhere before, without
// admission control. A row that the table lacks is created with the least weight,
// 1, and the largest limits. The error is always nil; it is there so that Resume has
// the signature of Add.
func (q *Queue) Resume(_ time.Time, tasks ...Task) *code.Error {
	if len(tasks) == 0 {
		return nil
	}
	q.init()
	key := tasks[0].Key
	r := q.rows[key]
	if r == nil {
		r = &rowState{backloggedIndex: -1, row: table.Row{Key: key, Weight: 1, MaxInFlight: table.MaxLimit, MaxQueue: table.MaxLimit}}
		q.rows[key] = r
	}
	q.enqueue(r, tasks)
	return nil
}

func (q *Queue) enqueue(r *rowState, tasks []Task) {
	if len(r.heap) == 0 {
		// A row gains no credit for the time in which it had nothing waiting.
		r.measuredService = max(r.measuredService, q.virtualTime[r.row.Urgent])
		q.addBacklogged(r)
	}
	for _, t := range tasks {
		w := &queuedTask{Task: t, row: r}
		q.waiting[t.ID] = w
		r.heap.add(w)
		r.backlog += t.Expected
	}
}

// Next removes and returns the task to start now, of a row for which runnable
// returns true. Urgent rows go before others; among equals, the row that was
// charged the least service goes first.
func (q *Queue) Next(_ time.Time, runnable func(table.Row) bool) (Task, bool) {
	var best *rowState
	for _, r := range q.backlogged {
		if best != nil && !r.before(best) {
			continue
		}
		if r.inFlight < q.ownShare(r.row.MaxInFlight) && runnable(r.row) {
			best = r
		}
	}
	if best == nil {
		return Task{}, false
	}
	w := best.heap[0]
	q.dequeue(w)
	best.inFlight++
	q.virtualTime[best.row.Urgent] = best.measuredService
	best.expectedService += best.weighted(w.Expected)
	q.running[w.ID] = w
	return w.Task, true
}

func (r *rowState) before(o *rowState) bool {
	if r.row.Urgent != o.row.Urgent {
		return r.row.Urgent
	}
	if a, b := r.measuredService+r.expectedService, o.measuredService+o.expectedService; a != b {
		return a < b
	}
	return r.row.Compare(o.row.Key) < 0
}

// SetExpected sets how long a started task is expected to run on the target that it
// was sent to. Its row is charged that much until the task is done.
func (q *Queue) SetExpected(id TaskID, service time.Duration) {
	w, ok := q.running[id]
	if !ok {
		return
	}
	w.row.expectedService += w.row.weighted(service - w.Expected)
	w.Expected = service
}

// Done records that a started task ended after running for service, and charges its
// row that much instead of the expected time.
func (q *Queue) Done(id TaskID, service time.Duration) {
	w, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	w.row.inFlight--
	w.row.expectedService -= w.row.weighted(w.Expected)
	w.row.measuredService += w.row.weighted(service)
	q.dropIdle(w.row)
}

// Requeue makes a started task wait again after its target refused it.
func (q *Queue) Requeue(id TaskID) {
	w, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	w.row.inFlight--
	w.row.expectedService -= w.row.weighted(w.Expected)
	if len(w.row.heap) == 0 {
		q.addBacklogged(w.row)
	}
	q.waiting[id] = w
	w.row.heap.add(w)
	w.row.backlog += w.Expected
}

// Remove removes a waiting task and reports whether it was waiting.
func (q *Queue) Remove(id TaskID) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.dequeue(w)
	q.dropIdle(w.row)
	return true
}

// RemoveOverdue removes and returns the waiting tasks whose deadline has passed.
func (q *Queue) RemoveOverdue(now time.Time) []Task {
	var overdue []Task
	for i := len(q.backlogged) - 1; i >= 0; i-- {
		r := q.backlogged[i]
		for len(r.heap) > 0 && !now.Before(r.heap[0].Deadline) {
			w := r.heap[0]
			q.dequeue(w)
			overdue = append(overdue, w.Task)
		}
		q.dropIdle(r)
	}
	return overdue
}

// Waiting returns the number of waiting tasks.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of tasks that were started and have not ended.
func (q *Queue) Running() int { return len(q.running) }

// Demand returns the demand by which slots are divided among entry VMs. It counts at
// most as many tasks of a row as its weight, so that a burst of one row at one
// entry VM does not take the slots of other rows elsewhere.
func (q *Queue) Demand() int {
	demand := 0
	for _, r := range q.rows {
		demand += min(len(r.heap)+r.inFlight, r.row.Weight)
	}
	return demand
}

// Urgent returns the number of waiting and running tasks of urgent rows.
func (q *Queue) Urgent() int {
	n := 0
	for _, r := range q.rows {
		if r.row.Urgent {
			n += len(r.heap) + r.inFlight
		}
	}
	return n
}

// dequeue removes w from the waiting tasks.
func (q *Queue) dequeue(w *queuedTask) {
	delete(q.waiting, w.ID)
	w.row.heap.remove(w)
	w.row.backlog -= w.Expected
	if len(w.row.heap) == 0 {
		q.removeBacklogged(w.row)
	}
}

func (q *Queue) addBacklogged(r *rowState) {
	r.backloggedIndex = len(q.backlogged)
	q.backlogged = append(q.backlogged, r)
}

func (q *Queue) removeBacklogged(r *rowState) {
	last := q.backlogged[len(q.backlogged)-1]
	q.backlogged[r.backloggedIndex] = last
	last.backloggedIndex = r.backloggedIndex
	q.backlogged = q.backlogged[:len(q.backlogged)-1]
	r.backloggedIndex = -1
}

// dropIdle drops r if the table no longer has it and it has no tasks left.
func (q *Queue) dropIdle(r *rowState) {
	if !r.listed && r.idle() {
		delete(q.rows, r.row.Key)
	}
}
