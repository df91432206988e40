package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of start and shutdown.
const (
	loadEvery = 20 * time.Millisecond
	// serveKnownAfter is how long a View that was kept on disk waits for the
	// quorum before it is acted on without.
	serveKnownAfter = 3 * time.Second
	confirmEvery    = 100 * time.Millisecond
	inHandEvery     = 20 * time.Millisecond
	// learnTargets is how long a start waits, so that every target has renewed
	// its lease with this entry VM or with another, which passed it on.
	learnTargets = target.RenewInterval + 400*time.Millisecond
	// lastReplies is the time for replies on their way when all is done.
	lastReplies = time.Second
)

// ErrCutOff is returned by Run when the limit of a graceful shutdown passed
// with work still running.
var ErrCutOff = errors.New("the graceful shutdown cut off work")

// Run serves until ctx is done or a drain is asked for, and then shuts down
// gracefully.
func (v *Server) Run(ctx context.Context) error {
	defer v.cancel()
	services, err := v.listen()
	if err != nil {
		return err
	}
	event.Log(v.log, event.Started, zap.String("vm", string(v.self.VM)), zap.Int64("incarnation", int64(v.incarnation)))
	v.startDuties()
	v.serve(services)
	select {
	case <-ctx.Done():
	case <-v.drain:
	case err := <-v.fatal:
		v.cancel()
		return err
	}
	return v.shutdown(services)
}

func (v *Server) startDuties() {
	v.duties.Go(func() { v.dispatcher.Run(v.ctx) })
	v.duties.Go(func() { v.member.Run(v.ctx) })
	v.duties.Go(func() { v.archive.Run(v.ctx) })
	v.duties.Go(func() { v.watchLoad() })
	v.duties.Go(func() { v.confirm() })
	v.duties.Go(func() {
		if err := v.controller.Run(v.ctx); err != nil {
			v.fail(errors.Wrap(err, "control"))
		}
	})
}

// fail ends the process: something is wrong that it must not go on with.
func (v *Server) fail(err error) {
	event.Log(v.log, event.Fault, zap.Error(err))
	select {
	case v.fatal <- err:
	default:
	}
}

func (v *Server) serve(services []service) {
	for _, s := range services {
		if s.server == nil {
			peers := &peer.Server{
				Self: v.self.VM, Mux: &v.mux, Log: v.log,
				Known: func(id vm.ID) bool { _, ok := v.settings.Find(id); return ok },
			}
			v.duties.Go(func() {
				if err := peers.Serve(v.ctx, s.listener); err != nil {
					v.fail(err)
				}
			})
			continue
		}
		v.duties.Go(func() {
			if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				v.fail(errors.Wrap(err, s.name))
			}
		})
	}
}

// watchLoad keeps the load where heartbeats and metrics read it.
func (v *Server) watchLoad() {
	t := time.NewTicker(loadEvery)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case <-t.C:
			load := v.dispatcher.Load(v.ctx)
			v.waiting.Store(int64(load.Waiting))
			v.running.Store(int64(load.Running))
			v.claim.Store(int64(load.Claim))
		}
	}
}

// confirm makes this entry VM ready once its View is as late as the quorum's.
// Where the quorum cannot be reached, a View that was in force here before a
// restart serves as well: it does not go back. One that another entry VM sent
// since then may be older than the one that was in force here.
func (v *Server) confirm() {
	for v.ctx.Err() == nil {
		refusal := v.controller.Confirm(v.ctx)
		known := v.restored && time.Since(v.begun) > serveKnownAfter
		if refusal == nil || known {
			pause(v.ctx, learnTargets-time.Since(v.begun))
			v.confirmed.Store(true)
			event.Log(v.log, event.Ready, zap.Uint64("table_version", uint64(v.view().Table.Version())), zap.Bool("confirmed", refusal == nil))
			return
		}
		select {
		case <-v.ctx.Done():
		case <-time.After(confirmEvery):
		}
	}
}

// shutdown stops taking work, finishes or hands over what is here, and ends
// the duties.
func (v *Server) shutdown(services []service) error {
	event.Log(v.log, event.ShutdownBegun)
	limit, cancel := context.WithTimeout(context.Background(), v.settings.ShutdownLimit.Std())
	defer cancel()
	v.draining.Store(true)
	v.member.Drain()
	pause(limit, v.settings.ShutdownNotice.Std())
	v.refusing.Store(true)
	handed := make(chan bool, 1)
	go func() { handed <- v.ledgers.Drain(limit) }()
	whole := v.finishCallers(limit)
	whole = <-handed && whole
	last, cancelLast := context.WithTimeout(context.Background(), lastReplies)
	defer cancelLast()
	for _, s := range services {
		if s.server == nil {
			continue
		}
		// Shutdown also waits, up to 5 s, for connections on which no request has arrived.
		if err := s.server.Shutdown(last); err != nil && s.active.count() > 0 {
			whole = false
		}
	}
	v.cancel()
	v.mesh.Close()
	v.sender.Close()
	v.duties.Wait()
	_ = v.metrics.Close(last) // there is nobody to tell
	if !whole {
		event.Log(v.log, event.ShutdownCutOff)
		return ErrCutOff
	}
	event.Log(v.log, event.ShutdownEnded)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// finishCallers waits until no caller waits for a reply.
func (v *Server) finishCallers(ctx context.Context) bool {
	for v.caller.InHand() > 0 {
		if ctx.Err() != nil {
			return false
		}
		pause(ctx, inHandEvery)
	}
	return true
}

// ExitCode returns the process's exit code for an error of Run.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ErrCutOff):
		return exitCutOff
	}
	return exitFault
}

// Exit codes besides 0; docs/OPERATORS.md lists them.
const (
	exitFault  = 1
	exitCutOff = 3
)
