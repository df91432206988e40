package group

import (
	"maps"
	"time"
)

// earlyWithdrawalTTL is how long a withdrawal is remembered that came before its job: longer
// than a VM stands still without losing its lead.
const earlyWithdrawalTTL = 5 * time.Second

// withdrawals are those that came before their jobs. A call and the notification that
// follows it are served by different goroutines, so either may be first. The zero
// withdrawals is empty.
type withdrawals struct {
	receivedAt map[Ticket]time.Time
}

func (w *withdrawals) add(now time.Time, t Ticket) {
	if w.receivedAt == nil {
		w.receivedAt = make(map[Ticket]time.Time)
	}
	w.receivedAt[t] = now
}

// remove reports whether a hand-over was withdrawn before it came.
func (w *withdrawals) remove(t Ticket) bool {
	_, withdrawn := w.receivedAt[t]
	delete(w.receivedAt, t)
	return withdrawn
}

func (w *withdrawals) expire(now time.Time) {
	maps.DeleteFunc(w.receivedAt, func(_ Ticket, at time.Time) bool { return now.Sub(at) > earlyWithdrawalTTL })
}
