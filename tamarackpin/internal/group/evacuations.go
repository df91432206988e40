package group

import (
	"time"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
)

// evacuationUpdate is the part of a heartbeat about the failure domains that operators evacuate. It is the zero value in calls
// to processes that are not known to read it: earlier builds refuse such a call.
type evacuationUpdate struct {
	// EvacuationRevision is the newest that the sender knows.
	EvacuationRevision evacuation.Revision `json:"evacuation_revision,omitempty"`
	// Evacuations has all evacuations, unless the receiver is known to know that revision.
	Evacuations []evacuation.Record `json:"evacuations,omitempty"`
	// ReadsEvacuations is set in replies only, as ReadsContactAge of heartbeat. The sender reads these fields of calls.
	ReadsEvacuations bool `json:"reads_evacuations,omitempty"`
}

// evacuationsFor returns what a call to another entry VM tells of the evacuations.
func (g *Group) evacuationsFor(now time.Time, to vm.ID) evacuationUpdate {
	c := g.contacts.of(process{to, g.contacts.newestOf(to).Incarnation})
	if !c.readsEvacuations {
		return evacuationUpdate{}
	}
	return g.evacuationsSince(now, c.evacuationRevision)
}

// evacuationsSince returns what a process that knows the evacuations of a revision is told.
func (g *Group) evacuationsSince(now time.Time, known evacuation.Revision) evacuationUpdate {
	set := g.config.Knowledge.Evacuations()
	update := evacuationUpdate{EvacuationRevision: set.Revision()}
	if update.EvacuationRevision > known {
		update.Evacuations = set.Records(now)
	}
	return update
}

// receiveEvacuations records what a heartbeat says of the evacuations.
func (g *Group) receiveEvacuations(now time.Time, sender process, update evacuationUpdate) {
	if update.ReadsEvacuations || update.EvacuationRevision > 0 {
		g.contacts.update(sender, func(c *lastContact) {
			c.readsEvacuations = c.readsEvacuations || update.ReadsEvacuations
			c.evacuationRevision = max(c.evacuationRevision, update.EvacuationRevision)
		})
	}
	g.config.Knowledge.SetEvacuations(evacuation.OfRecords(now, update.Evacuations))
}
