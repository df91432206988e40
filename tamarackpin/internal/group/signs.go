package group

import (
	"sync"
	"time"

	"tamarackpin.example/internal/vm"
)

// signsOfLife holds when other VMs were last heard: the arrival of their newest message. The zero
// value has none. It is safe for concurrent use.
type signsOfLife struct {
	mu      sync.Mutex // guards heardAt
	heardAt map[vm.ID]time.Time
}

func (s *signsOfLife) record(id vm.ID, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heardAt == nil {
		s.heardAt = make(map[vm.ID]time.Time)
	}
	if at.After(s.heardAt[id]) {
		s.heardAt[id] = at
	}
}

// last returns when a VM was last heard, or the zero time.
func (s *signsOfLife) last(id vm.ID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt[id]
}

// gateSilence returns for how long no gate that waits for an admission was heard. It is 0 if this VM's own
// gate waits.
func (g *Group) gateSilence(now time.Time, waiters []waiter) time.Duration {
	var heardAt time.Time
	for _, w := range waiters {
		if w.ticket.Gate == g.self.VM {
			return 0
		}
		if at := g.signs.last(w.ticket.Gate); at.After(heardAt) {
			heardAt = at
		}
	}
	return max(0, now.Sub(heardAt))
}
