package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/crash"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
)

// shareTimeout bounds the sending of crash records to one VM.
const shareTimeout = time.Second

// sharedCrashes is the message that carries crash records to another entry VM, which may be
// the next dispatcher of their tasks.
type sharedCrashes struct {
	Records []crash.Record `json:"records"`
}

// shareCrashes logs the losses that are new here and sends them to the other entry VMs of
// the failure domain. VMs that have started since get all that are known. Entry VMs of other
// failure domains get those of the tasks that are given up: a caller may submit the job again
// there, and it may be offloaded to there.
func (g *Group) shareCrashes(ctx context.Context) {
	if !g.leads() {
		return // a leader sends them
	}
	changes := g.crashes.TakeChanges()
	if len(changes) == 0 && len(g.startedVMs) == 0 {
		return
	}
	g.logLosses(changes)
	for id := range g.startedVMs {
		g.sendCrashes(ctx, id, g.crashes.Records())
	}
	for _, p := range g.peers() {
		if !g.startedVMs[p.VM] {
			g.sendCrashes(ctx, p.VM, changes)
		}
	}
	clear(g.startedVMs)
	if givenUp := g.crashes.GivenUp(changes); len(givenUp) > 0 {
		for _, p := range g.distantEntries() {
			g.sendCrashes(ctx, p.VM, givenUp)
		}
	}
}

// distantEntries returns the entry VMs of the other failure domains.
func (g *Group) distantEntries() []vm.Present {
	return g.config.Knowledge.VMs(func(p vm.Present) bool {
		return p.Callers && p.FailureDomain != g.self.FailureDomain
	})
}

// sendCrashes sends crash records to a VM, unless there are none. A message that is lost
// costs at most one more worker if that VM is the next dispatcher.
func (g *Group) sendCrashes(ctx context.Context, to vm.ID, records []crash.Record) {
	if len(records) == 0 {
		return
	}
	g.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, shareTimeout)
		defer cancel()
		if err := g.config.Mesh.Notify(ctx, to, report.UseForward, methodCrashes, sharedCrashes{records}); err != nil {
			g.config.Log.Debug("crash records were not sent", zap.String("vm", string(to)), zap.Int("records", len(records)), event.Err(err))
		}
	})
}

// serveCrashes records the crashes that another VM reports.
func (g *Group) serveCrashes(ctx context.Context, _ vm.ID, shared sharedCrashes) (struct{}, error) {
	err := g.ring.Put(ctx, func(g *Group, now time.Time) { g.crashes.Merge(now, shared.Records) })
	return struct{}{}, err
}
