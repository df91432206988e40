package group

import (
	"maps"
	"time"
)

// withdrawnFor is how long a withdrawal is remembered that came before its job: longer
// than a VM stands still without losing its lead.
const withdrawnFor = 5 * time.Second

// withdrawals are those that came before their jobs. A call and the notification that
// follows it are served by different goroutines, so either may be first. The zero
// withdrawals is empty.
type withdrawals struct {
	at map[Ticket]time.Time
}

func (w *withdrawals) add(now time.Time, t Ticket) {
	if w.at == nil {
		w.at = make(map[Ticket]time.Time)
	}
	w.at[t] = now
}

// take reports whether a hand-over was withdrawn before it came.
func (w *withdrawals) take(t Ticket) bool {
	_, withdrawn := w.at[t]
	delete(w.at, t)
	return withdrawn
}

func (w *withdrawals) forget(now time.Time) {
	maps.DeleteFunc(w.at, func(_ Ticket, at time.Time) bool { return now.Sub(at) > withdrawnFor })
}
