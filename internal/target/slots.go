package target

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/party"
)

// increaseDelay is how long a larger part of a target's slots must be pending before
// it applies. A smaller part applies at once, so that when entry VMs learn of a new
// division one after the other, those that gain slots wait for those that lose them.
const increaseDelay = 150 * time.Millisecond

// slotState is the state of the slots of one target.
type slotState struct {
	lease        Lease
	part         int       // slots that this entry VM may use now
	pendingPart  int       // smallest part asked for since pendingSince, if over part
	pendingSince time.Time // since when more than part was asked for
	reserved     int       // slots of part for urgent tasks only
	used         int
	nonUrgent    int // slots of used that are held by tasks that are not urgent
	live         bool
}

// setPart sets the part that the current division gives: a smaller one at once, a
// larger one after increaseDelay.
func (t *slotState) setPart(now time.Time, part int) {
	switch {
	case part <= t.part:
		t.part, t.pendingPart = part, part
		return
	case t.pendingPart <= t.part:
		t.pendingPart, t.pendingSince = part, now
	}
	t.pendingPart = min(t.pendingPart, part)
	if now.Sub(t.pendingSince) >= increaseDelay {
		t.part = t.pendingPart
	}
}

// Slots counts the slots of live targets that this entry VM may use and those that it
// uses. It is not safe for concurrent use. The zero Slots has no targets.
type Slots struct {
	targets map[ID]*slotState
}

// Set replaces the live leases and this entry VM's part of each target's slots.
// Targets missing from live get no more tasks; their running tasks stay counted.
func (s *Slots) Set(now time.Time, live []Lease, part func(Lease) int) {
	if s.targets == nil {
		s.targets = make(map[ID]*slotState)
	}
	for _, t := range s.targets {
		t.live = false
	}
	for _, l := range live {
		t := s.targets[l.Target]
		if t == nil {
			first := part(l)
			t = &slotState{part: first, pendingPart: first}
			s.targets[l.Target] = t
		}
		t.lease, t.live = l, true
		t.setPart(now, part(l))
	}
	for id, t := range s.targets {
		if !t.live && t.used == 0 {
			delete(s.targets, id)
		}
	}
}

// Requirements are what a task needs of a target.
type Requirements struct {
	Kind   party.Kind
	Urgent bool // may use slots reserved for urgent tasks
}

// Free reports whether Acquire would find a slot.
func (s *Slots) Free(w Requirements, speed func(ID) float64) bool {
	for id, t := range s.targets {
		if t.free(w) && speed(id) > 0 {
			return true
		}
	}
	return false
}

// Acquire takes a slot of the fastest target that runs the kind and has one free,
// of equally fast ones that with the lowest id. A target for which speed returns
// zero or less is skipped.
func (s *Slots) Acquire(w Requirements, speed func(ID) float64) (Lease, bool) {
	var best *slotState
	var bestSpeed float64
	for id, t := range s.targets {
		if !t.free(w) {
			continue
		}
		v := speed(id)
		if v <= 0 {
			continue
		}
		if best == nil || v > bestSpeed || v == bestSpeed && id < best.lease.Target {
			best, bestSpeed = t, v
		}
	}
	if best == nil {
		return Lease{}, false
	}
	best.used++
	if !w.Urgent {
		best.nonUrgent++
	}
	return best.lease, true
}

func (t *slotState) free(w Requirements) bool {
	return t.live && t.used < t.part && (w.Urgent || t.nonUrgent < t.part-t.reserved) && t.lease.Runs(w.Kind)
}

// Reserve reserves count slots for urgent tasks, those of the fastest targets. It
// replaces what was reserved before.
func (s *Slots) Reserve(count int, speed func(ID) float64) {
	live := make([]*slotState, 0, len(s.targets))
	for _, t := range s.targets {
		t.reserved = 0
		if t.live {
			live = append(live, t)
		}
	}
	slices.SortFunc(live, func(a, b *slotState) int {
		if c := cmp.Compare(speed(b.lease.Target), speed(a.lease.Target)); c != 0 {
			return c
		}
		return cmp.Compare(a.lease.Target, b.lease.Target)
	})
	for _, t := range live {
		t.reserved = min(count, t.part)
		count -= t.reserved
	}
}

// Release returns the slot of id that Acquire took for w.
func (s *Slots) Release(id ID, w Requirements) {
	t := s.targets[id]
	if t == nil || t.used == 0 {
		return
	}
	t.used--
	if !w.Urgent {
		t.nonUrgent--
	}
	if !t.live && t.used == 0 {
		delete(s.targets, id)
	}
}

// Total returns the number of slots that this entry VM may use at once.
func (s *Slots) Total() int {
	n := 0
	for _, t := range s.targets {
		if t.live {
			n += t.part
		}
	}
	return n
}

// Usage is how many slots of a target this entry VM may use (Part) and uses (Used).
type Usage struct {
	Part int `json:"part"`
	Used int `json:"used"`
}

// Usage returns the usage of id, zero if the target is unknown.
func (s *Slots) Usage(id ID) Usage {
	if t := s.targets[id]; t != nil {
		return Usage{Part: t.part, Used: t.used}
	}
	return Usage{}
}
