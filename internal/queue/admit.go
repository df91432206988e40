package queue

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
)

// admit refuses tasks that exceed a limit of their row or cannot meet their deadline.
// All tasks are of row r.
func (q *Queue) admit(now time.Time, r *rowState, tasks []Task) *code.Error {
	limit := q.ownShare(r.row.MaxQueue)
	if len(r.heap)+len(tasks) > limit {
		e := code.New(code.QueueFull, "%d tasks wait in row %s, of at most %d on this entry VM", len(r.heap), r.row.Key, limit)
		return e.WithRetry(retryHint(q.estimateWait(r)))
	}
	if refusal := q.checkDeadline(now, r, tasks); refusal != nil {
		return refusal
	}
	if r.row.RatePerSecond > 0 {
		rate := max(1, q.ownShare(r.row.RatePerSecond))
		if ok, retry := r.bucket.take(now, float64(rate), len(tasks)); !ok {
			e := code.New(code.RateLimited, "row %s is over %d a second on this entry VM", r.row.Key, rate)
			return e.WithRetry(retryHint(retry))
		}
	}
	return nil
}

// checkDeadline refuses tasks that would miss the deadline of the first. Declared
// times are often far off, so a task is refused only by a measured time. While no
// slots are known nothing is refused, since waits cannot be estimated.
func (q *Queue) checkDeadline(now time.Time, r *rowState, tasks []Task) *code.Error {
	first := tasks[0]
	if first.Deadline.IsZero() || first.Guessed || q.slots == 0 {
		return nil
	}
	work := first.Expected * time.Duration(len(tasks))
	minService := max(first.Expected, work/time.Duration(q.slots))
	late := now.Add(q.estimateWait(r) + minService).Sub(first.Deadline)
	if late <= 0 {
		return nil
	}
	e := code.New(code.DeadlineTooClose, "row %s would be about %s late", r.row.Key, late.Round(time.Millisecond))
	return e.WithRetry(retryHint(late))
}

// minRetryHint keeps refused callers from retrying in a storm.
const minRetryHint = 50 * time.Millisecond

func retryHint(d time.Duration) wire.Duration {
	return wire.Duration(max(d, minRetryHint).Round(time.Millisecond))
}

// estimateWait returns how long a task that arrives in r now would wait: the work
// ahead of it divided by the slots that the row gets. The row gets at least its
// share by weight. Since no slot idles while work waits, the wait is also bounded
// by the backlog of all rows, or of the urgent ones if r is urgent.
func (q *Queue) estimateWait(r *rowState) time.Duration {
	if len(r.heap) == 0 || q.slots == 0 {
		return 0
	}
	weights := 0
	var backlog time.Duration
	for _, o := range q.backlogged {
		if o.row.Urgent == r.row.Urgent {
			weights += o.row.Weight
		}
		if o.row.Urgent || !r.row.Urgent {
			backlog += o.backlog
		}
	}
	slots := float64(q.slots) * float64(r.row.Weight) / float64(max(1, weights))
	slots = min(slots, float64(q.ownShare(r.row.MaxInFlight)))
	byWeight := time.Duration(float64(r.backlog) / max(1, slots))
	return min(byWeight, backlog/time.Duration(min(q.slots, q.ownShare(r.row.MaxInFlight))))
}

// ownShare returns this entry VM's share of a fleet-wide limit, at least 1.
func (q *Queue) ownShare(limit int) int {
	if q.limitShare.Count == 0 {
		return limit
	}
	return max(1, table.Share(limit, q.limitShare.Count, q.limitShare.Index))
}
