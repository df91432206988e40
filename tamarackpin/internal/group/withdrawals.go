package group

import (
	"maps"
	"time"
)

// earlyWithdrawalTTL is how long a withdrawal that arrived before its job is kept: longer
// than a leader can pause without losing its leadership. After a pause of more than 500 ms
// (MaxTickGap of package lead) it steps down and its pool is dropped.
const earlyWithdrawalTTL = 5 * time.Second

// withdrawals holds the withdrawals that arrived before their jobs. A call and the
// notification that follows it are served by different goroutines, so either may arrive
// first. The zero value is empty.
type withdrawals struct {
	receivedAt map[Ticket]time.Time
}

func (w *withdrawals) add(now time.Time, t Ticket) {
	if w.receivedAt == nil {
		w.receivedAt = make(map[Ticket]time.Time)
	}
	w.receivedAt[t] = now
}

// has reports whether there is a withdrawal.
func (w *withdrawals) has(t Ticket) bool {
	_, withdrawn := w.receivedAt[t]
	return withdrawn
}

// remove deletes a withdrawal and reports whether there was one.
func (w *withdrawals) remove(t Ticket) bool {
	_, withdrawn := w.receivedAt[t]
	delete(w.receivedAt, t)
	return withdrawn
}

// expire deletes the withdrawals older than earlyWithdrawalTTL.
func (w *withdrawals) expire(now time.Time) {
	maps.DeleteFunc(w.receivedAt, func(_ Ticket, at time.Time) bool { return now.Sub(at) > earlyWithdrawalTTL })
}
