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

// Times of a graceful shutdown.
const (
	// shutdownMargin is left of the limit for what ends the process itself.
	shutdownMargin = 700 * time.Millisecond
	// notice is how long callers' jobs are still taken after this VM says that it
	// is not ready: the balancer asks every second and acts on the second miss.
	// Where it has no other VM it goes on sending, and those jobs are refused: they
	// might not end before the process does.
	notice      = 2300 * time.Millisecond
	inHandEvery = 20 * time.Millisecond
)

// divisionsFile is where a control VM remembers how workers are divided.
const divisionsFile = "divisions.json"

// ErrCutOff is returned by Run when the limit of a graceful shutdown passed
// with jobs not answered.
var ErrCutOff = errors.New("the graceful shutdown cut off work")

// Run serves until ctx is done, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	services, err := n.listen()
	if err != nil {
		return err
	}
	self := n.Knowledge.Self()
	event.Log(n.log, event.Started, zap.String("vm", string(self.VM)), zap.String("name", n.settings.Name), zap.Int64("incarnation", int64(self.Incarnation)),
		zap.String("failure_domain", string(self.FailureDomain)), zap.Bool("callers", self.Callers), zap.Bool("control", self.Control))
	n.startDuties(services)
	select {
	case <-ctx.Done():
	case err := <-n.fatal:
		return err
	}
	return n.shutdown(services)
}

func (n *Node) startDuties(services []service) {
	n.duties.Go(func() { n.asker.Run(n.ctx) })
	if n.group != nil {
		n.duties.Go(func() { n.group.Run(n.ctx) })
	}
	if n.Keeper != nil {
		n.duties.Go(func() { n.Knowledge.PersistDivisions(n.ctx, filepath.Join(n.settings.DataFolder, divisionsFile)) })
		n.duties.Go(func() {
			if err := n.Keeper.Run(n.ctx); err != nil {
				n.fail(errors.Wrap(err, "keeping the table"))
			}
		})
	}
	for _, s := range services {
		n.duties.Go(func() { n.serve(s) })
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

// fail ends the process: something is wrong that it must not go on with.
func (n *Node) fail(err error) {
	event.Log(n.log, event.Fault, event.Err(err))
	select {
	case n.fatal <- err:
	default:
	}
}

// shutdown gives up leading, is not ready any more, and ends once the jobs in
// hand are answered and the balancer sends nothing new.
func (n *Node) shutdown(services []service) error {
	begun := time.Now()
	limit, cancel := context.WithDeadline(context.Background(), begun.Add(n.settings.ShutdownLimit.Std()-shutdownMargin))
	defer cancel()
	event.Log(n.log, event.ShutdownBegun, zap.Int64("in_hand", n.inHand()))
	n.draining.Store(true)
	n.Knowledge.SetDraining()
	if n.group != nil {
		n.group.Drain(limit)
	}
	if n.group != nil {
		pause(limit, notice)
	}
	n.refusing.Store(true)
	for n.inHand() > 0 && limit.Err() == nil {
		pause(limit, inHandEvery)
	}
	left := n.inHand()
	for _, s := range services {
		if s.server != nil {
			_ = s.server.Shutdown(limit) // what is left is counted above
		}
	}
	n.cancel()
	n.mesh.Close()
	n.duties.Wait()
	event.Log(n.log, event.ShutdownEnded, zap.Duration("took", time.Since(begun)), zap.Int64("cut_off", left))
	if left > 0 {
		return ErrCutOff
	}
	return nil
}

func (n *Node) inHand() int64 {
	if n.Gate == nil {
		return 0
	}
	return n.Gate.InHand()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
