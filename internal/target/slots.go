package target

import (
	"cmp"
	"slices"
	"time"

	"tamarackpin.example/internal/party"
)

// raiseAfter is how long a larger part of a target's slots must be due before
// it is used. A smaller part is in force at once, so that where entry VMs learn
// of a new division one after the other, those that gain wait for those that
// lose.
const raiseAfter = 150 * time.Millisecond

// place is what Slots keeps of one target.
type place struct {
	lease  Lease
	part   int       // slots that this entry VM may use now
	due    int       // least part that was due since raised, if over part
	raised time.Time // since when more than part is due
	kept   int       // of part, for urgent tasks only
	used   int
	usual  int // of used, by tasks that are not urgent
	live   bool
}

// divide takes in the part that is due now.
func (p *place) divide(now time.Time, part int) {
	switch {
	case part <= p.part:
		p.part, p.due = part, part
		return
	case p.due <= p.part:
		p.due, p.raised = part, now
	}
	p.due = min(p.due, part)
	if now.Sub(p.raised) >= raiseAfter {
		p.part = p.due
	}
}

// Slots counts the slots of live targets that this entry VM may use and uses.
// It is not safe for concurrent use. The zero Slots has no targets.
type Slots struct {
	places map[ID]*place
}

// Set puts the live leases and this entry VM's part of each in force. Targets
// that are missing get nothing more; their running tasks are still counted.
func (s *Slots) Set(now time.Time, live []Lease, part func(Lease) int) {
	if s.places == nil {
		s.places = make(map[ID]*place)
	}
	for _, p := range s.places {
		p.live = false
	}
	for _, l := range live {
		p := s.places[l.Target]
		if p == nil {
			first := part(l)
			p = &place{part: first, due: first}
			s.places[l.Target] = p
		}
		p.lease, p.live = l, true
		p.divide(now, part(l))
	}
	for id, p := range s.places {
		if !p.live && p.used == 0 {
			delete(s.places, id)
		}
	}
}

// Requirements is what a task needs of a target.
type Requirements struct {
	Kind   party.Kind
	Urgent bool // may take slots that are kept for urgent tasks
}

// Free reports whether Acquire would find a slot.
func (s *Slots) Free(w Requirements, speed func(ID) float64) bool {
	for id, p := range s.places {
		if p.free(w) && speed(id) > 0 {
			return true
		}
	}
	return false
}

// Acquire takes a slot of the best target that runs the kind and has one free,
// by speed; a target for which speed returns zero or less is passed over.
func (s *Slots) Acquire(w Requirements, speed func(ID) float64) (Lease, bool) {
	var best *place
	var bestSpeed float64
	for id, p := range s.places {
		if !p.free(w) {
			continue
		}
		v := speed(id)
		if v <= 0 {
			continue
		}
		if best == nil || v > bestSpeed || v == bestSpeed && id < best.lease.Target {
			best, bestSpeed = p, v
		}
	}
	if best == nil {
		return Lease{}, false
	}
	best.used++
	if !w.Urgent {
		best.usual++
	}
	return best.lease, true
}

func (p *place) free(w Requirements) bool {
	return p.live && p.used < p.part && (w.Urgent || p.usual < p.part-p.kept) && p.lease.Runs(w.Kind)
}

// Reserve keeps count slots for urgent tasks, those of the fastest targets.
func (s *Slots) Reserve(count int, speed func(ID) float64) {
	live := make([]*place, 0, len(s.places))
	for _, p := range s.places {
		p.kept = 0
		if p.live {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b *place) int {
		if c := cmp.Compare(speed(b.lease.Target), speed(a.lease.Target)); c != 0 {
			return c
		}
		return cmp.Compare(a.lease.Target, b.lease.Target)
	})
	for _, p := range live {
		p.kept = min(count, p.part)
		count -= p.kept
	}
}

// Release gives back a slot of id that a task with w took.
func (s *Slots) Release(id ID, w Requirements) {
	p := s.places[id]
	if p == nil || p.used == 0 {
		return
	}
	p.used--
	if !w.Urgent {
		p.usual--
	}
	if !p.live && p.used == 0 {
		delete(s.places, id)
	}
}

// Total returns the number of slots that this entry VM may use at once.
func (s *Slots) Total() int {
	n := 0
	for _, p := range s.places {
		if p.live {
			n += p.part
		}
	}
	return n
}

// Usage is one target's slots as this entry VM uses them.
type Usage struct {
	Part int `json:"part"`
	Used int `json:"used"`
}

// Usage returns the usage of id.
func (s *Slots) Usage(id ID) Usage {
	if p := s.places[id]; p != nil {
		return Usage{Part: p.part, Used: p.used}
	}
	return Usage{}
}
