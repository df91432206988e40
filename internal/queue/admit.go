package queue

import (
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
)

// admit refuses what exceeds the row's limits or cannot make its deadline.
func (q *Queue) admit(now time.Time, r *rowState, tasks []Task) *code.Error {
	bound := q.share(r.row.MaxQueue)
	if len(r.heap)+len(tasks) > bound {
		e := code.New(code.QueueFull, "%d tasks wait in row %s, of at most %d on this entry VM", len(r.heap), r.row.Key, bound)
		return e.WithRetry(retryHint(q.wait(r)))
	}
	if refusal := q.makesDeadline(now, r, tasks); refusal != nil {
		return refusal
	}
	if r.row.RatePerSecond > 0 {
		rate := max(1, q.share(r.row.RatePerSecond))
		if ok, retry := r.bucket.take(now, float64(rate), len(tasks)); !ok {
			e := code.New(code.RateLimited, "row %s is over %d a second on this entry VM", r.row.Key, rate)
			return e.WithRetry(retryHint(retry))
		}
	}
	return nil
}

// makesDeadline refuses work that could not make its deadline. Declared times
// are often far off, so only measured ones speak against a task; and nothing is
// known while no slot is.
func (q *Queue) makesDeadline(now time.Time, r *rowState, tasks []Task) *code.Error {
	first := tasks[0]
	if first.Deadline.IsZero() || first.Guessed || q.slots == 0 {
		return nil
	}
	work := first.Expected * time.Duration(len(tasks))
	least := max(first.Expected, work/time.Duration(q.slots))
	late := now.Add(q.wait(r) + least).Sub(first.Deadline)
	if late <= 0 {
		return nil
	}
	e := code.New(code.DeadlineTooClose, "row %s would be about %s late", r.row.Key, late.Round(time.Millisecond))
	return e.WithRetry(retryHint(late))
}

// minRetryHint keeps hints from inviting a storm.
const minRetryHint = 50 * time.Millisecond

func retryHint(d time.Duration) wire.Duration {
	return wire.Duration(max(d, minRetryHint).Round(time.Millisecond))
}

// wait estimates how long a task that arrives in r now waits: the work that
// goes before it over the slots that the row gets. The row gets its share by
// weight at least; and since slots do not idle while work waits, it waits no
// longer than for all that waits, but for less urgent rows.
func (q *Queue) wait(r *rowState) time.Duration {
	if len(r.heap) == 0 || q.slots == 0 {
		return 0
	}
	weights := 0
	var all time.Duration
	for _, o := range q.backlogged {
		if o.row.Urgent == r.row.Urgent {
			weights += o.row.Weight
		}
		if o.row.Urgent || !r.row.Urgent {
			all += o.backlog
		}
	}
	part := float64(q.slots) * float64(r.row.Weight) / float64(max(1, weights))
	part = min(part, float64(q.share(r.row.MaxInFlight)))
	own := time.Duration(float64(r.backlog) / max(1, part))
	return min(own, all/time.Duration(min(q.slots, q.share(r.row.MaxInFlight))))
}

func (q *Queue) share(limit int) int {
	if q.place.Count == 0 {
		return limit
	}
	return max(1, table.Share(limit, q.place.Count, q.place.Index))
}
