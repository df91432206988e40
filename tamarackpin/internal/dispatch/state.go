package dispatch

import (
	"context"
	"time"

	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/wire"
)

// SetTable puts a table in force.
func (d *Dispatcher) SetTable(s *table.Snapshot, p queue.LimitShare) {
	d.post(func(d *Dispatcher, _ time.Time) {
		d.table = s
		d.queue.SetTable(s, p)
	})
}

// SetTargets puts the live targets in force, and this entry VM's part of each,
// as one of sharers.
func (d *Dispatcher) SetTargets(live []target.Lease, part func(target.Lease) int, sharers int) {
	d.post(func(d *Dispatcher, now time.Time) {
		d.live = live
		d.slots.Set(now, live, part)
		d.queue.SetSlots(max(d.slots.Total(), dueSlots(live, sharers)))
		known := make(map[target.ID]bool, len(live))
		for _, l := range live {
			known[l.Target] = true
		}
		d.health.Forget(func(id target.ID) bool { return known[id] })
		d.learned.Forget(func(id target.ID) bool { return known[id] })
	})
}

// Load is what a Dispatcher has to do.
type Load struct {
	Waiting int // tasks without a slot
	Running int // tasks on targets
	Claim   int // what counts when slots are divided
}

// Load returns the present Load.
func (d *Dispatcher) Load(ctx context.Context) (l Load) {
	_ = d.do(ctx, func(d *Dispatcher, _ time.Time) { l = Load{d.queue.Waiting(), d.queue.Running(), d.queue.Demand()} })
	return l
}

// Targets returns the live targets.
func (d *Dispatcher) Targets(ctx context.Context) (states []TargetState) {
	_ = d.do(ctx, func(d *Dispatcher, now time.Time) {
		for _, l := range d.live {
			states = append(states, TargetState{
				Announcement: l.Announcement,
				Usage:        d.slots.Usage(l.Target),
				ExpiresIn:    wire.Duration(l.Expires.Sub(now)),
				Speed:        d.learned.Speed(l.Target),
				SetAside:     d.health.Quarantined(l.Target),
			})
		}
	})
	return states
}

// dueSlots returns how many slots an entry VM has once it has as much to do as
// the others. Waits are estimated with them: a part that is small now, as after a
// start, grows with what waits.
func dueSlots(live []target.Lease, sharers int) int {
	slots := 0
	for _, l := range live {
		slots += l.Slots
	}
	return slots / max(1, sharers)
}
