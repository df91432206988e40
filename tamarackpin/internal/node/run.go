package node

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

const (
	// shutdownMargin is the part of the shutdown limit kept for stopping the process
	// itself.
	shutdownMargin = 700 * time.Millisecond
	// drainNotice is how long callers' jobs are still accepted after this VM reports
	// that it isn't ready: the load balancer polls every second and acts on the
	// second failure. If it has no other VM it goes on sending; jobs after the notice
	// are rejected, since they might not end before the process exits.
	drainNotice = 2300 * time.Millisecond
	// abortTime is the part of shutdownMargin in which the jobs that are left at the limit are
	// answered, as not run or as abandoned.
	abortTime = 300 * time.Millisecond
	// drainPollInterval is how often shutdown checks for unanswered jobs.
	drainPollInterval = 20 * time.Millisecond
)

// divisionsFile is the file in the data folder where a control VM keeps the
// divisions of workers into groups.
const divisionsFile = "divisions.json"

// ErrCutOff is returned by [Node.Run] if the limit of a graceful shutdown passed
// before all jobs were answered.
var ErrCutOff = errors.New("the graceful shutdown reached its limit with unanswered jobs")

// Run serves until ctx is done, and then shuts down gracefully. It returns at once
// with an error if a component fails for good.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	services, err := n.listen()
	if err != nil {
		return err
	}
	self := n.Knowledge.Self()
	event.Log(n.log, event.Started, zap.String("vm", string(self.VM)), zap.String("name", n.settings.Name), zap.Int64("incarnation", int64(self.Incarnation)),
		zap.String("failure_domain", string(self.FailureDomain)), zap.Bool("callers", self.Callers), zap.Bool("control", self.Control))
	n.startBackground(services)
	select {
	case <-ctx.Done():
	case err := <-n.fatal:
		return err
	}
	return n.shutdown(services)
}

// startBackground starts the components and servers; n.background counts their
// goroutines.
func (n *Node) startBackground(services []service) {
	n.background.Go(func() { n.syncer.Run(n.ctx) })
	if n.group != nil {
		n.background.Go(func() { n.group.Run(n.ctx) })
	}
	if n.Keeper != nil {
		n.background.Go(func() { n.Knowledge.PersistDivisions(n.ctx, filepath.Join(n.settings.DataFolder, divisionsFile)) })
		n.background.Go(func() {
			if err := n.Keeper.Run(n.ctx); err != nil {
				n.fail(errors.Wrap(err, "running the replica of the operators' table"))
			}
		})
	}
	for _, s := range services {
		n.background.Go(func() { n.serve(s) })
	}
}

func (n *Node) serve(s service) {
	if s.server == nil {
		peers := &peer.Server{Self: n.settings.ID(), Mux: &n.mux, Log: n.log, Known: func(id vm.ID) bool { _, ok := id.IP(); return ok }}
		if err := peers.Serve(n.ctx, s.listener); err != nil {
			n.fail(err)
		}
		return
	}
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.fail(errors.Wrap(err, s.name))
	}
}

// fail ends the process after a fault that it must not continue with. Only the first
// error is returned by Run; all are logged.
func (n *Node) fail(err error) {
	event.Log(n.log, event.Fault, event.Err(err))
	select {
	case n.fatal <- err:
	default:
	}
}

// shutdown reports that this VM isn't ready, gives up leadership, waits until the
// load balancer sends no new jobs and the accepted ones are answered, and then stops
// the servers and the background goroutines. Jobs that can't be answered within the limit are
// answered as not run at once or, if they may have been started, as abandoned at the limit. It
// returns [ErrCutOff] if jobs were left unanswered nevertheless.
func (n *Node) shutdown(services []service) error {
	startedAt := time.Now()
	limit, cancel := context.WithDeadline(context.Background(), startedAt.Add(n.settings.ShutdownLimit.Std()-shutdownMargin))
	defer cancel()
	event.Log(n.log, event.ShutdownBegun, zap.Int64("in_hand", n.unansweredJobs()))
	n.draining.Store(true)
	n.Knowledge.SetDraining()
	endsAt, _ := limit.Deadline()
	if n.group != nil {
		n.Gate.ReleaseWaiting(endsAt)
		n.group.Drain(limit)
		sleep(limit, drainNotice)
		n.refusing.Store(true)
		n.Gate.ReleaseWaiting(endsAt)
	}
	n.refusing.Store(true)
	n.awaitAnswers(limit)
	abandoned := n.unansweredJobs()
	end, cancelEnd := context.WithDeadline(context.Background(), endsAt.Add(abortTime))
	defer cancelEnd()
	if abandoned > 0 {
		n.Gate.Abort()
		n.awaitAnswers(end)
	}
	unanswered := n.unansweredJobs()
	for _, s := range services {
		if s.server != nil {
			_ = s.server.Shutdown(end) // unanswered jobs are counted above
		}
	}
	n.cancel()
	n.mesh.Close()
	n.background.Wait()
	event.Log(n.log, event.ShutdownEnded, zap.Duration("took", time.Since(startedAt)), zap.Int64("abandoned", abandoned), zap.Int64("cut_off", unanswered))
	if unanswered > 0 {
		return ErrCutOff
	}
	return nil
}

// awaitAnswers waits until all jobs are answered or ctx is done.
func (n *Node) awaitAnswers(ctx context.Context) {
	for n.unansweredJobs() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}

// unansweredJobs returns the number of jobs that this VM's gate accepted and has not
// answered; 0 on a VM without callers.
func (n *Node) unansweredJobs() int64 {
	if n.Gate == nil {
		return 0
	}
	return n.Gate.PendingTotal()
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
