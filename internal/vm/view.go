package vm

import (
	"maps"
	"slices"
	"time"
)

// DeadAfter is how long an entry VM is silent before it counts as dead.
const DeadAfter = 1600 * time.Millisecond

// State is what a View holds of one entry VM.
type State struct {
	Heartbeat Heartbeat
	Heard     time.Time // local time of the last newer heartbeat
}

// View is one entry VM's knowledge of the others, from their heartbeats. It is
// not safe for concurrent use. The zero View has heard nobody.
//
// Times are the owner's own clock only: a heartbeat carries none, so unequal
// clocks cannot make a VM look alive.
type View struct {
	states map[ID]State
}

// Observe takes in a heartbeat and reports whether it was newer than what the
// View held. Repeated and overtaken heartbeats do not prolong a life.
func (v *View) Observe(now time.Time, h Heartbeat) bool {
	old, known := v.states[h.VM]
	if known && !h.newerThan(old.Heartbeat) {
		return false
	}
	if v.states == nil {
		v.states = make(map[ID]State)
	}
	if h.Kinds == nil && h.Incarnation == old.Heartbeat.Incarnation {
		h.Kinds = old.Heartbeat.Kinds
	}
	v.states[h.VM] = State{Heartbeat: h, Heard: now}
	return true
}

// Alive reports whether id was heard within [DeadAfter].
func (v *View) Alive(now time.Time, id ID) bool {
	s, ok := v.states[id]
	return ok && now.Sub(s.Heard) < DeadAfter
}

// Incarnation returns the newest incarnation of id that was heard, or 0.
func (v *View) Incarnation(id ID) Incarnation { return v.states[id].Heartbeat.Incarnation }

// Living returns the states of the living entry VMs in the order of their ids.
func (v *View) Living(now time.Time) []State {
	var living []State
	for _, id := range slices.Sorted(maps.Keys(v.states)) {
		if v.Alive(now, id) {
			living = append(living, v.states[id])
		}
	}
	return living
}

// Forget drops what was heard long ago, so that a View of a deployment whose
// VMs are replaced daily stays bounded.
func (v *View) Forget(now time.Time, age time.Duration) {
	maps.DeleteFunc(v.states, func(_ ID, s State) bool { return now.Sub(s.Heard) > age })
}
