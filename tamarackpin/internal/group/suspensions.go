package group

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
)

// suspensions records for how long this VM was suspended. Its steady clock stands still meanwhile, and those of other VMs do not.
// The zero value has none. It is safe for concurrent use.
type suspensions struct {
	mu   sync.Mutex   // guards list
	list []suspension // oldest first
}

// suspension is one suspension of the VM, by the time at which it was noticed.
type suspension struct {
	noticedAt time.Time
	total     time.Duration // of all suspensions until then
}

const (
	// minSuspension is the shortest suspension that is recorded: the clocks are not read at the same moment.
	minSuspension = 50 * time.Millisecond
	// suspensionCheckInterval is the least time between two looks for a suspension, each of which is a system call.
	suspensionCheckInterval = 200 * time.Millisecond
)

// note records that the VM was suspended for a total time since its start, and returns how much of it is new.
func (s *suspensions) note(now time.Time, total time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := total
	if n := len(s.list); n > 0 {
		d -= s.list[n-1].total
	}
	if d < minSuspension {
		return 0
	}
	s.list = append(s.list, suspension{now, total})
	return d
}

// until returns the total time of the suspensions that were noticed until t.
func (s *suspensions) until(t time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if !one.noticedAt.After(t) {
			total = one.total
		}
	}
	return total
}

// steady returns the reading of the steady clock at which the given time had passed since startedAt, suspensions included.
func (s *suspensions) steady(startedAt time.Time, age time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := time.Duration(0)
	for _, one := range s.list {
		if !startedAt.Add(age - one.total).Before(one.noticedAt) {
			total = one.total
		}
	}
	return startedAt.Add(age - total)
}

// suspendedTime returns for how long this VM has been suspended in all.
func (g *Group) suspendedTime() time.Duration {
	if g.config.SuspendedTime == nil {
		return 0
	}
	return g.config.SuspendedTime()
}

// noteSuspension steps down if this VM was suspended for longer than a leader may be paused: it may have been replaced. Stamps of times
// before now do not include the suspension, so that they are as old as the messages and checks that they stand for.
func (g *Group) noteSuspension(now time.Time) {
	d := g.suspensions.note(now, g.suspendedTime()-g.suspendedBefore)
	if d == 0 {
		return
	}
	event.Log(g.config.Log, event.VMSuspended, zap.Duration("length", d))
	if d <= lead.MaxTickGap {
		return
	}
	for _, s := range g.groups {
		s.leadership.StepDown(now)
	}
}
