// Package node assembles the components of one VM of a deployment whose VMs
// discover each other and whose targets are workers: on an entry VM a gate and a
// member of its failure domain's groups, on a control VM, which has a disk, a
// keeper of the table. It starts them, and stops them in order at a graceful
// shutdown.
//
// The protocols of callers, workers and operators are supplied by [Adapters];
// neither this package nor those below it depend on them.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/gate"
	"tamarackpin.example/tamarackpin/internal/group"
	"tamarackpin.example/tamarackpin/internal/keeper"
	"tamarackpin.example/tamarackpin/internal/metrics"
	"tamarackpin.example/tamarackpin/internal/nodeoperator"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/tlsfile"
)

// Adapters implement the protocols of callers, workers and operators.
type Adapters struct {
	// Order sends an order to its worker and returns the reply that arrived before
	// ctx was done.
	Order func(ctx context.Context, o pool.Order) pool.Reply
	// Each returns the handler of one listener: Callers for callers, Control for
	// workers and operators, Readiness for the load balancer.
	Callers, Control, Readiness func(n *Node) http.Handler
}

// Node is one VM's process. It must be made by [New]; [Node.Run] is called once. The
// other methods are safe for concurrent use.
type Node struct {
	Knowledge *fleet.Knowledge
	Gate      *gate.Gate     // nil on a VM without callers
	Keeper    *keeper.Keeper // nil on a VM that isn't a control VM

	settings  *settings.Node
	startedAt time.Time
	log       *zap.Logger
	adapters  Adapters
	mux       peer.Mux
	mesh      *peer.Mesh
	syncer    *fleet.Syncer
	group     *group.Group
	callers   *callerWatch // nil without callers
	metrics   *metrics.Metrics
	draining  atomic.Bool // graceful shutdown has begun: not ready
	refusing  atomic.Bool // new jobs are rejected

	ctx        context.Context // of the background goroutines
	cancel     context.CancelFunc
	background sync.WaitGroup
	fatal      chan error
}

// New returns a Node for validated settings. It opens the data folder of a control
// VM, but listens nowhere before [Node.Run].
func New(s *settings.Node, a Adapters, log *zap.Logger) (*Node, error) {
	now := time.Now()
	self := vm.Presence{
		VM: s.ID(), FailureDomain: s.FailureDomain, Incarnation: vm.Incarnation(now.UnixMilli()),
		Callers: s.Callers != "", Control: s.Control != "", Processor: s.Processor,
	}
	n := &Node{settings: s, startedAt: now, log: log, adapters: a, fatal: make(chan error, 1), Knowledge: fleet.NewKnowledge(self, log)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.mesh = &peer.Mesh{Self: self.VM, Address: n.address, Recorder: &report.Recorder{}, FailuresToRedial: failuresToRedial, DialTimeout: dialTimeout, WriteTimeout: writeTimeout}
	n.syncer = &fleet.Syncer{Knowledge: n.Knowledge, Mesh: n.mesh, Log: log}
	n.syncer.SetSeeds(s.Founders())
	n.Knowledge.Serve(&n.mux)
	var err error
	if n.metrics, err = n.newMetrics(); err != nil {
		return nil, err
	}
	if self.Callers {
		if n.callers, err = newCallerWatch(now, log); err != nil {
			return nil, err
		}
		n.group = group.New(now, group.Config{
			Knowledge: n.Knowledge, Syncer: n.syncer, Mesh: n.mesh, Log: log,
			LeaseMax: s.LeaseMax.Std(), StopMax: s.StopMax.Std(), EvacuationBound: s.EvacuationBound.Std(), Call: a.Order, SuspendedTime: suspendedTime, CallersKnownUntil: n.callers.until, Interference: s.Interference,
		}, &n.mux)
		n.Gate = &gate.Gate{Group: n.group, Knowledge: n.Knowledge, Log: log, Mesh: n.mesh, OnAnswer: n.metrics.Job, OnOffload: func(o gate.OffloadOutcome) { n.metrics.Offload(string(o)) }, CallerLeft: clientLeft, HoldCaller: n.callers.hold}
		n.Gate.Register(&n.mux)
		nodeoperator.ServeRunning(&n.mux, n.runningTasks)
	}
	if self.Control {
		n.Keeper, err = keeper.New(keeper.Config{Settings: s, Knowledge: n.Knowledge, Mesh: n.mesh, Log: log}, &n.mux)
		if err != nil {
			return nil, err
		}
	}
	return n, nil
}

// address returns the peer address of another VM: its ID encodes its IP address,
// and all VMs use the same port. It returns false for an ID without an IP address.
func (n *Node) address(id vm.ID) (string, bool) {
	ip, ok := id.IP()
	if !ok {
		return "", false
	}
	return netip.AddrPortFrom(ip, uint16(n.settings.PeerPort)).String(), true
}

// Reload applies changed settings to the running process: only the seeds. All
// other settings are read at the start only.
func (n *Node) Reload(s *settings.Node) {
	n.syncer.SetSeeds(s.Founders())
	event.Log(n.log, event.Reloaded, zap.Any("seeds", s.Seeds))
}

// Ready reports whether the load balancer should send callers to this VM: it serves
// callers, has a table, knows the leader of a group, and isn't draining.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.Knowledge.Table() == nil || n.group == nil {
		return false
	}
	return n.group.HasLeader()
}

// Refusing reports whether new jobs are rejected because the process is about to
// exit.
func (n *Node) Refusing() bool { return n.refusing.Load() }

// failuresToRedial is the number of timeouts in a row after which a connection is
// closed: two heartbeat exchanges, before the VM at its other end counts as dead.
const failuresToRedial = 2

// dialTimeout bounds the opening of a connection to another VM: many round trips within a
// region. After a loss of all power, VMs start some hundred ms apart and dial each other
// before all are up.
const dialTimeout = 250 * time.Millisecond

// writeTimeout closes a connection that accepts no data for as long as a leader may
// be unresponsive. Jobs in transit to it go to the next leader then.
const writeTimeout = lead.LeaderTimeout

// service is one listener and its HTTP server.
type service struct {
	name     string
	listener net.Listener
	server   *http.Server // nil for peer connections
}

// listen opens all listeners: peers and metrics always, the others if configured.
// The listeners opened before a failure stay open; the process ends then.
func (n *Node) listen() ([]service, error) {
	ip := netip.Addr(n.settings.IP).String()
	addressOf := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	services := []service{{name: "peers"}, {name: "metrics", server: n.server(n.metricsHandler())}}
	addresses := []string{cmp.Or(string(n.settings.PeerListen), addressOf(n.settings.PeerPort)), addressOf(n.settings.MetricsPort)}
	add := func(name string, a settings.Address, handler func(*Node) http.Handler) {
		if a != "" {
			services = append(services, service{name: name, server: n.server(handler(n))})
			addresses = append(addresses, string(a))
		}
	}
	add("callers", n.settings.Callers, n.adapters.Callers)
	if n.settings.Callers != "" {
		server := services[len(services)-1].server
		server.ConnContext, server.ConnState = n.callers.withCaller, n.callers.stateChanged
	}
	add("readiness", n.settings.Readiness, n.adapters.Readiness)
	add("control", n.settings.Control, n.adapters.Control)
	var operatorsTLS *tls.Config
	if o := n.settings.Operators; o != nil {
		var err error
		if operatorsTLS, err = tlsfile.Server(o.TLS); err != nil {
			return nil, errors.Wrap(err, "operators.tls")
		}
		add("operators", o.Address, (*Node).operatorsHandler)
	}
	for i := range services {
		l, err := net.Listen("tcp", addresses[i])
		if err != nil {
			return nil, errors.Wrapf(err, "listening for %s", services[i].name)
		}
		event.Log(n.log, event.Listening, zap.String("for", services[i].name), zap.Stringer("address", l.Addr()))
		if services[i].name == "operators" && operatorsTLS != nil {
			l = tls.NewListener(l, operatorsTLS)
		}
		services[i].listener = l
	}
	return services, nil
}

// Limits of the HTTP servers, which serve before there is a table with limits.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
)

// closeWhenDraining makes clients reconnect elsewhere: a response sent during a
// graceful shutdown closes its connection. Idle connections stay open meanwhile,
// since a request may be in transit on any of them.
func (n *Node) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		// The connection is closed without an answer: whether a job has run is not known.
		defer event.Contain(n.log, "serving "+r.Method+" "+r.URL.Path, func() { panic(http.ErrAbortHandler) })
		h.ServeHTTP(w, r)
	})
}

func (n *Node) server(h http.Handler) *http.Server {
	errorLog, _ := zap.NewStdLogAt(n.log, zap.DebugLevel)
	return &http.Server{
		Handler: n.closeWhenDraining(h), ConnContext: withConnection, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: errorLog,
	}
}

// Pending returns the number of unanswered jobs of a row that this VM's gate holds;
// 0 on a VM without callers.
func (n *Node) Pending(row routes.RowName) int {
	if n.Gate == nil {
		return 0
	}
	return n.Gate.Pending(row)
}

// Cancel cancels a pending job, see [gate.Gate.Cancel]; a VM without callers finds none.
func (n *Node) Cancel(ctx context.Context, id job.ID) (found bool, err error) {
	if n.Gate == nil {
		return false, nil
	}
	return n.Gate.Cancel(ctx, id)
}
