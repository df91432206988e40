package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
)

// lateStartInterval is the least time between two messages with starts without a reply to the
// same VM. While many orders get none, each of these messages carries several.
const lateStartInterval = 100 * time.Millisecond

// lateStartReportInterval is the least time between two messages with starts without a reply to
// the same VM of another failure domain. Callers submit an abandoned job again after 1.3 s.
const lateStartReportInterval = time.Second

// sharedLateStarts is the message that carries starts without a reply to another entry VM of
// the failure domain, which may be the next dispatcher of their tasks.
type sharedLateStarts struct {
	Starts []latestart.Message `json:"starts"`
}

// shareLateStarts logs the starts without a reply that are new here and sends them to the
// other entry VMs of the failure domain, also if this VM has just ceased to lead. VMs that
// have started since get all that are known: one of them may lead next, and the leader may have
// started itself. Those of jobs that may be submitted again go to the other failure domains too.
func (g *Group) shareLateStarts(ctx context.Context, now time.Time) {
	for id := range g.lackLateStarts {
		g.sendLateStarts(ctx, now, id, g.lateStarts.Records(now))
	}
	clear(g.lackLateStarts)
	if now.Sub(g.lateStartsSentAt) >= lateStartInterval {
		if changes := g.lateStarts.TakeChanges(); len(changes) > 0 {
			g.lateStartsSentAt = now
			g.logLateStarts(changes)
			for _, p := range g.peers() {
				g.sendLateStarts(ctx, now, p.VM, changes)
			}
		}
	}
	if now.Sub(g.lateStartsReportedAt) >= lateStartReportInterval {
		if reports := g.lateStarts.TakeReports(); len(reports) > 0 {
			g.lateStartsReportedAt = now
			for _, p := range g.distantEntries() {
				g.sendLateStarts(ctx, now, p.VM, reports)
			}
		}
	}
}

// sendLateStarts sends starts without a reply to a VM, unless there are none. If the message
// is lost and that VM is the next dispatcher, it may start a task beside a late start.
func (g *Group) sendLateStarts(ctx context.Context, now time.Time, to vm.ID, records []latestart.Record) {
	if len(records) == 0 {
		return
	}
	message := sharedLateStarts{make([]latestart.Message, len(records))}
	for i, r := range records {
		message.Starts[i] = r.Message(now)
	}
	g.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, shareTimeout)
		defer cancel()
		if err := g.config.Mesh.Notify(ctx, to, report.UseForward, methodLateStarts, message); err != nil {
			g.config.Log.Debug("starts without a reply were not sent", zap.String("vm", string(to)), zap.Int("starts", len(records)), event.Err(err))
		}
	})
}

// serveLateStarts records the starts without a reply that another VM reports.
func (g *Group) serveLateStarts(ctx context.Context, _ vm.ID, shared sharedLateStarts) (struct{}, error) {
	err := g.ring.Put(ctx, func(g *Group, now time.Time) {
		records := make([]latestart.Record, len(shared.Starts))
		for i, m := range shared.Starts {
			records[i] = m.Record(now)
		}
		g.lateStarts.Merge(now, records)
	})
	return struct{}{}, err
}
