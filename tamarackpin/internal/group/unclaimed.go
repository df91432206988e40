package group

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
)

const (
	// unclaimedInterval is the least time between two messages with unclaimed jobs to the same VM. A job of a lost gate is reported when it is
	// withdrawn, pool.MaxGateSilence after the gate was last heard, and its caller submits it again 0.4 s after that at the earliest.
	unclaimedInterval = 200 * time.Millisecond
	// maxUnclaimed bounds the jobs in one message, which then has about 25 KB.
	maxUnclaimed = 500
)

// sharedUnclaimed is the message that carries unclaimed jobs to another entry VM, which may be the dispatcher of their own group, or become it.
type sharedUnclaimed struct {
	Jobs []pool.UnclaimedMessage `json:"jobs"`
}

// shareUnclaimed sends the unclaimed jobs of the pools of this VM to all other entry VMs: to the failure domains that offloaded them, and to
// its own, which may have offloaded them from another group.
func (g *Group) shareUnclaimed(ctx context.Context, now time.Time) {
	if now.Sub(g.unclaimedSentAt) < unclaimedInterval {
		return
	}
	jobs := g.unclaimed.TakeReports()
	if len(jobs) == 0 {
		return
	}
	g.unclaimedSentAt = now
	g.logUnclaimed(jobs)
	for _, p := range slices.Concat(g.peers(), g.distantEntries()) {
		g.sendUnclaimed(ctx, now, p.VM, jobs)
	}
}

// maxLoggedJobs bounds the names of jobs in one line.
const maxLoggedJobs = 8

// logUnclaimed logs jobs that may run without a gate.
func (g *Group) logUnclaimed(jobs []pool.UnclaimedJob) {
	var first []job.ID
	for _, r := range jobs[:min(len(jobs), maxLoggedJobs)] {
		first = append(first, r.Job)
	}
	event.Log(g.config.Log, event.JobsUnclaimed, zap.Int("jobs", len(jobs)), zap.Any("first", first))
}

// sendUnclaimed sends unclaimed jobs to a VM, in messages of bounded size. If one is lost, that VM may start a job beside its run here.
func (g *Group) sendUnclaimed(ctx context.Context, now time.Time, to vm.ID, jobs []pool.UnclaimedJob) {
	for chunk := range slices.Chunk(jobs, maxUnclaimed) {
		message := sharedUnclaimed{make([]pool.UnclaimedMessage, len(chunk))}
		for i, r := range chunk {
			message.Jobs[i] = r.Message(now)
		}
		g.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			if err := g.config.Mesh.Notify(ctx, to, report.UseForward, methodUnclaimed, message); err != nil {
				g.config.Log.Debug("unclaimed jobs were not sent", zap.String("vm", string(to)), zap.Int("jobs", len(chunk)), event.Err(err))
			}
		})
	}
}

// serveUnclaimed records the unclaimed jobs that another VM reports.
func (g *Group) serveUnclaimed(ctx context.Context, _ vm.ID, shared sharedUnclaimed) (struct{}, error) {
	err := g.ring.Put(ctx, func(g *Group, now time.Time) {
		jobs := make([]pool.UnclaimedJob, len(shared.Jobs))
		for i, m := range shared.Jobs {
			jobs[i] = m.Received(now)
		}
		g.unclaimed.Merge(now, jobs)
	})
	return struct{}{}, err
}
