package group

import (
	"time"

	"tamarackpin.example/internal/vm"
)

// noteStart notes that a VM whose heartbeat arrived has started since the last one. The jobs that
// its earlier process forwarded are withdrawn: their callers' connections ended with it, also if
// the connection to this VM is still open here, as after a loss of power.
func (g *Group) noteStart(now time.Time, p vm.Presence) {
	before := g.incarnations[p.VM]
	if before == p.Incarnation {
		return
	}
	if g.incarnations == nil {
		g.incarnations, g.startedVMs, g.lackLateStarts = make(map[vm.ID]vm.Incarnation), make(map[vm.ID]bool), make(map[vm.ID]bool)
	}
	g.incarnations[p.VM], g.startedVMs[p.VM], g.lackLateStarts[p.VM] = p.Incarnation, true, true
	if p.Incarnation < before {
		return // a heartbeat of the earlier process that was delayed
	}
	for _, s := range g.groups {
		s.withdrawAll(now, func(t Ticket) bool { return t.Gate == p.VM && t.Incarnation < p.Incarnation })
	}
}
