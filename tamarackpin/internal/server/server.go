// Package server puts the duties of one entry VM together: it opens the
// addresses, starts a goroutine for each duty, and ends them in order at a
// graceful shutdown. Nothing is decided here.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/queue"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/caller"
	"tamarackpin.example/tamarackpin/internal/controller"
	"tamarackpin.example/tamarackpin/internal/dispatch"
	"tamarackpin.example/tamarackpin/internal/jsonhttp"
	"tamarackpin.example/tamarackpin/internal/ledgers"
	"tamarackpin.example/tamarackpin/internal/member"
	"tamarackpin.example/tamarackpin/internal/metrics"
	"tamarackpin.example/tamarackpin/internal/operator"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/targets"
	"tamarackpin.example/tamarackpin/internal/tlsfile"
)

// Server is one entry VM. It must be made by [New].
type Server struct {
	settings    *settings.Settings
	log         *zap.Logger
	self        settings.VM
	incarnation vm.Incarnation
	begun       time.Time
	restored    bool // the data folder held the View that was in force before the start

	recorder   report.Recorder
	mux        peer.Mux
	mesh       *peer.Mesh
	dispatcher *dispatch.Dispatcher
	sender     *targets.Sender
	member     *member.Member
	controller *controller.Controller
	ledgers    *ledgers.Host
	archive    *ledgers.Archive
	caller     *caller.Backend
	metrics    *metrics.Metrics

	waiting   atomic.Int64 // tasks without a slot
	running   atomic.Int64 // tasks on targets
	claim     atomic.Int64 // what counts when slots are divided
	confirmed atomic.Bool  // the View is as late as the quorum's, or the best there is
	draining  atomic.Bool  // not ready any more
	refusing  atomic.Bool  // new work is refused
	drain     chan struct{}
	drainOnce sync.Once

	ctx    context.Context // of the duties
	cancel context.CancelFunc
	duties sync.WaitGroup
	fatal  chan error
}

// New returns a Server for checked settings.
func New(s *settings.Settings, log *zap.Logger) (*Server, error) {
	now := time.Now()
	self, _ := s.Find(s.VM)
	ctx, cancel := context.WithCancel(context.Background())
	v := &Server{
		settings: s, log: log, self: self, begun: now,
		incarnation: vm.Incarnation(now.UnixMilli()),
		drain:       make(chan struct{}),
		fatal:       make(chan error, 1),
		ctx:         ctx, cancel: cancel,
	}
	if err := v.build(); err != nil {
		cancel()
		return nil, err
	}
	return v, nil
}

func (v *Server) holder() ledger.Holder {
	return ledger.Holder{VM: v.self.VM, Incarnation: v.incarnation}
}

// build makes the duties. Each is given only the functions of the others that
// it needs.
func (v *Server) build() error {
	peerTLS, err := tlsfile.Client(v.settings.Peers.TLS)
	if err != nil {
		return errors.Wrap(err, "peers.tls")
	}
	targetTLS, err := tlsfile.Client(v.settings.TargetClient.TLS)
	if err != nil {
		return errors.Wrap(err, "target_client.tls")
	}
	v.mesh = &peer.Mesh{Self: v.self.VM, Address: v.peerAddress, TLS: peerTLS, Recorder: &v.recorder}
	v.dispatcher = dispatch.New(dispatch.Config{Recorder: &v.recorder, Log: v.log})
	v.sender = targets.NewSender(targetTLS, &v.recorder, v.log)
	v.member = member.New(member.Config{
		Self: v.self, Incarnation: v.incarnation, VMs: v.settings.VMs, Mesh: v.mesh, Log: v.log,
		Demand:       func() int { return int(v.claim.Load()) },
		ControlIndex: func() uint64 { return uint64(v.view().Index) },
		Targets:      v.dispatcher.SetTargets,
		Heard:        func(h vm.Heartbeat) { v.controller.Heard(h) },
	}, &v.mux)
	v.archive, err = ledgers.OpenArchive(v.settings.DataFolder, v.log)
	if err != nil {
		return err
	}
	v.ledgers = ledgers.New(v.ctx, ledgers.Config{
		Self: v.holder(), Domain: v.self.FailureDomain, Retention: v.retention(),
		Mesh: v.mesh, Dispatcher: v.dispatcher, Sender: v.sender, Recorder: &v.recorder, Log: v.log,
		View: v.view,
		Propose: func(ctx context.Context, c control.Command) (control.Result, *code.Error) {
			return v.controller.Propose(ctx, c)
		},
		Alive:   v.member.Alive,
		Archive: v.archive, Disks: v.disks(),
	}, &v.mux)
	v.controller, err = controller.New(controller.Config{
		Settings: v.settings, Mesh: v.mesh, Log: v.log, Living: v.member.Living, View: v.adopt,
	}, &v.mux)
	if err != nil {
		return err
	}
	v.restored = v.view().Index > 0
	v.metrics, err = metrics.New(metrics.Gauges{
		Waiting: v.waiting.Load,
		Running: v.running.Load,
		InHand:  func() int64 { return v.caller.InHand() },
		TableVersion: func() int64 {
			return int64(v.view().Table.Version())
		},
	})
	if err != nil {
		return err
	}
	v.caller = caller.New(caller.Config{
		Self: v.holder(), Dispatcher: v.dispatcher, Sender: v.sender, Ledgers: v.ledgers, Mesh: v.mesh,
		Recorder: &v.recorder, Metrics: v.metrics, View: v.view,
		RunsHere: v.member.RunsHere, Elsewhere: v.member.Elsewhere, Refusing: v.refusal,
		BodyLimit: v.settings.BodyTimeout.Std(), MaxInHand: v.settings.MaxInHand,
	}, &v.mux)
	return nil
}

func (v *Server) peerAddress(id vm.ID) (string, bool) {
	one, ok := v.settings.Find(id)
	return string(one.PeerAddress), ok
}

func (v *Server) retention() ledger.Retention {
	r := v.settings.Retention
	return ledger.Retention{Submissions: r.Submissions, Bytes: r.AnswerBytes, Answers: r.Answers.Std()}
}

// disks returns the entry VMs of each failure domain that may keep results on
// disk: any may, as each has settings of its own.
func (v *Server) disks() map[vm.FailureDomain][]vm.ID {
	disks := make(map[vm.FailureDomain][]vm.ID)
	for _, one := range v.settings.VMs {
		disks[one.FailureDomain] = append(disks[one.FailureDomain], one.VM)
	}
	return disks
}

// view returns the View in force.
func (v *Server) view() *control.View {
	if v.controller == nil {
		return &control.View{}
	}
	return v.controller.View()
}

// adopt puts a View in force in the duties that act on it.
func (v *Server) adopt(w *control.View) {
	v.dispatcher.SetTable(w.Table, queue.LimitShare{Count: len(v.settings.VMs), Index: v.settings.Index()})
	v.ledgers.Assign(w)
}

// refusal returns why no new work is taken, or nil.
func (v *Server) refusal() *code.Error {
	switch {
	case v.refusing.Load():
		return code.New(code.Draining, "entry VM %s is shutting down", v.self.VM)
	case !v.confirmed.Load():
		return code.New(code.NotReady, "entry VM %s has no table yet", v.self.VM)
	}
	return nil
}

func (v *Server) ready() bool { return v.confirmed.Load() && !v.draining.Load() }

// beginDrain begins the graceful shutdown.
func (v *Server) beginDrain() { v.drainOnce.Do(func() { close(v.drain) }) }

func (v *Server) status(ctx context.Context) operator.Status {
	load := v.dispatcher.Load(ctx)
	s := operator.Status{
		VM: v.self.VM, FailureDomain: v.self.FailureDomain, Incarnation: v.incarnation,
		Uptime: wire.Duration(time.Since(v.begun).Round(time.Millisecond)),
		Ready:  v.ready(), Draining: v.draining.Load(),
		InHand: v.caller.InHand(), Waiting: load.Waiting, Running: load.Running,
		Control: v.controller.Status(ctx), Ledgers: v.ledgers.States(),
	}
	for _, one := range v.member.Living() {
		s.Living = append(s.Living, one.Heartbeat)
	}
	return s
}

func (v *Server) part() report.Part {
	p := v.recorder.Part()
	p.VM, p.FailureDomain, p.Incarnation = v.self.VM, v.self.FailureDomain, v.incarnation
	p.Uptime = wire.Duration(time.Since(v.begun).Round(time.Millisecond))
	p.TableVersion = uint64(v.view().Table.Version())
	return p
}

// service is one address with what serves it.
type service struct {
	name     string
	listener net.Listener
	server   *http.Server // nil for entry VMs
	active   *activeConnections
}

// listen opens all addresses.
func (v *Server) listen() ([]service, error) {
	operators := operator.Handler(operator.Config{
		Settings: v.settings, Controller: v.controller, Mesh: v.mesh, Part: v.part, Status: v.status,
		Targets: v.dispatcher.Targets, Ready: v.ready, Drain: v.beginDrain, Metrics: v.metrics.Handler(),
	}, &v.mux)
	var services []service
	for _, one := range []struct {
		name     string
		listener settings.Listener
		handler  http.Handler
	}{
		{"peers", settings.Listener{Address: v.self.PeerAddress, TLS: v.settings.Peers.TLS}, nil},
		{"callers", v.settings.Callers, v.caller.Handler(v.ready)},
		{"targets", v.settings.Targets, targets.Handler(v.member.Announce)},
		{"operators", v.settings.Operators.Listener, operators},
	} {
		l, err := tlsfile.Listen(one.listener)
		if err != nil {
			for _, open := range services {
				_ = open.listener.Close()
			}
			return nil, errors.Wrap(err, one.name)
		}
		s := service{name: one.name, listener: l}
		if one.handler != nil {
			s.server = jsonhttp.NewServer(one.handler)
			s.server.ErrorLog = zap.NewStdLog(zap.NewNop())
			s.active = &activeConnections{}
			s.server.ConnState = s.active.observe
		}
		services = append(services, s)
		event.Log(v.log, event.Listening, zap.String("for", one.name), zap.String("address", l.Addr().String()))
	}
	return services, nil
}
