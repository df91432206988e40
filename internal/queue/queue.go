package queue

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/table"
)

// LimitShare tells a Queue which part of each fleet-wide limit is its own.
type LimitShare struct {
	Count int // entry VMs in the settings
	Index int // of this one among them
}

// Queue holds the tasks that wait and counts those that run. It is not safe
// for concurrent use. The zero Queue knows no rows; [Queue.SetTable] brings
// them.
type Queue struct {
	place      LimitShare
	rows       map[party.Key]*rowState
	tasks      map[TaskID]*waiting
	running    map[TaskID]*waiting
	backlogged []*rowState // rows with waiting tasks, in no order
	// floor is the settled service of the row that was last given work: among
	// urgent rows and among the others, which never compete by service.
	floor map[bool]float64
	slots int
}

// SetTable puts the rows of s in force. Tasks of a row that s lacks are kept
// and run by the row as it was.
func (q *Queue) SetTable(s *table.Snapshot, p LimitShare) {
	q.init()
	q.place = p
	for _, r := range q.rows {
		r.listed = false
	}
	for _, row := range s.Rows() {
		r := q.rows[row.Key]
		if r == nil {
			r = &rowState{place: -1}
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

// SetSlots tells how many tasks can run at once, for the estimate of waits.
func (q *Queue) SetSlots(n int) { q.slots = n }

func (q *Queue) init() {
	if q.rows == nil {
		q.rows = make(map[party.Key]*rowState)
		q.tasks = make(map[TaskID]*waiting)
		q.running = make(map[TaskID]*waiting)
		q.floor = make(map[bool]float64)
	}
}

// Add takes in tasks of one row, all or none. It returns why not.
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
	q.put(r, tasks)
	return nil
}

// Resume takes in tasks of one row that were admitted elsewhere before. A row
// that the table lacks is made for them, with the least weight.
func (q *Queue) Resume(_ time.Time, tasks ...Task) *code.Error {
	if len(tasks) == 0 {
		return nil
	}
	q.init()
	key := tasks[0].Key
	r := q.rows[key]
	if r == nil {
		r = &rowState{place: -1, row: table.Row{Key: key, Weight: 1, MaxInFlight: table.MaxLimit, MaxQueue: table.MaxLimit}}
		q.rows[key] = r
	}
	q.put(r, tasks)
	return nil
}

func (q *Queue) put(r *rowState, tasks []Task) {
	if len(r.heap) == 0 {
		// A row that had nothing waiting claims no service for that time.
		r.settled = max(r.settled, q.floor[r.row.Urgent])
		q.enlist(r)
	}
	for _, t := range tasks {
		w := &waiting{Task: t, row: r}
		q.tasks[t.ID] = w
		r.heap.add(w)
		r.backlog += t.Expected
	}
}

// Next takes out the task to start now, of a row for which runnable reports true. Urgent rows go before others; among equals the row that had the least
// service for its weight goes first.
func (q *Queue) Next(_ time.Time, runnable func(table.Row) bool) (Task, bool) {
	var best *rowState
	for _, r := range q.backlogged {
		if best != nil && !r.before(best) {
			continue
		}
		if r.inFlight < q.share(r.row.MaxInFlight) && runnable(r.row) {
			best = r
		}
	}
	if best == nil {
		return Task{}, false
	}
	w := best.heap[0]
	q.take(w)
	best.inFlight++
	q.floor[best.row.Urgent] = best.settled
	best.pending += best.weighted(w.Expected)
	q.running[w.ID] = w
	return w.Task, true
}

func (r *rowState) before(o *rowState) bool {
	if r.row.Urgent != o.row.Urgent {
		return r.row.Urgent
	}
	if a, b := r.settled+r.pending, o.settled+o.pending; a != b {
		return a < b
	}
	return r.row.Compare(o.row.Key) < 0
}

// SetExpected takes in how long a started task is expected to run where it was sent.
// Until it is done, its row is charged that much.
func (q *Queue) SetExpected(id TaskID, service time.Duration) {
	w, ok := q.running[id]
	if !ok {
		return
	}
	w.row.pending += w.row.weighted(service - w.Expected)
	w.Expected = service
}

// Done takes in that a started task ended after service, which settles what its
// row is charged for it.
func (q *Queue) Done(id TaskID, service time.Duration) {
	w, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	w.row.inFlight--
	w.row.pending -= w.row.weighted(w.Expected)
	w.row.settled += w.row.weighted(service)
	q.dropIdle(w.row)
}

// Requeue puts back a started task that its target refused to run.
func (q *Queue) Requeue(id TaskID) {
	w, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	w.row.inFlight--
	w.row.pending -= w.row.weighted(w.Expected)
	if len(w.row.heap) == 0 {
		q.enlist(w.row)
	}
	q.tasks[id] = w
	w.row.heap.add(w)
	w.row.backlog += w.Expected
}

// Remove takes out a waiting task and reports whether it was there.
func (q *Queue) Remove(id TaskID) bool {
	w, ok := q.tasks[id]
	if !ok {
		return false
	}
	q.take(w)
	q.dropIdle(w.row)
	return true
}

// RemoveOverdue takes out the waiting tasks whose deadline has passed.
func (q *Queue) RemoveOverdue(now time.Time) []Task {
	var overdue []Task
	for i := len(q.backlogged) - 1; i >= 0; i-- {
		r := q.backlogged[i]
		for len(r.heap) > 0 && !now.Before(r.heap[0].Deadline) {
			w := r.heap[0]
			q.take(w)
			overdue = append(overdue, w.Task)
		}
		q.dropIdle(r)
	}
	return overdue
}

// Waiting returns the number of tasks that wait.
func (q *Queue) Waiting() int { return len(q.tasks) }

// Running returns the number of tasks that were started and not ended.
func (q *Queue) Running() int { return len(q.running) }

// Demand returns the demand that counts when slots are divided among entry VMs:
// of each row at most as many tasks as its weight, so that one row's burst at one
// entry VM does not draw the slots from the others' rows.
func (q *Queue) Demand() int {
	claim := 0
	for _, r := range q.rows {
		claim += min(len(r.heap)+r.inFlight, r.row.Weight)
	}
	return claim
}

// Urgent returns the number of tasks of urgent rows that wait or run.
func (q *Queue) Urgent() int {
	n := 0
	for _, r := range q.rows {
		if r.row.Urgent {
			n += len(r.heap) + r.inFlight
		}
	}
	return n
}

// take removes w from what waits.
func (q *Queue) take(w *waiting) {
	delete(q.tasks, w.ID)
	w.row.heap.remove(w)
	w.row.backlog -= w.Expected
	if len(w.row.heap) == 0 {
		q.delist(w.row)
	}
}

func (q *Queue) enlist(r *rowState) {
	r.place = len(q.backlogged)
	q.backlogged = append(q.backlogged, r)
}

func (q *Queue) delist(r *rowState) {
	last := q.backlogged[len(q.backlogged)-1]
	q.backlogged[r.place] = last
	last.place = r.place
	q.backlogged = q.backlogged[:len(q.backlogged)-1]
	r.place = -1
}

func (q *Queue) dropIdle(r *rowState) {
	if !r.listed && r.idle() {
		delete(q.rows, r.row.Key)
	}
}
