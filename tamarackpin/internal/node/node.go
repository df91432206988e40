// Package node puts together the duties of one VM of a deployment whose VMs find
// each other and whose targets are workers: a gate and a part in the group of
// its failure domain where callers are served, a keeper of the table where there
// is a disk. It starts them, and ends them in order at a graceful shutdown.
//
// How callers, workers and operators speak is given by [Adapters]; nothing here
// or below knows it.
package node

import (
	"cmp"
	"context"
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
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Adapters speak with callers, workers and operators.
type Adapters struct {
	// Order carries an order to its worker and returns what came back before ctx
	// was done.
	Order func(ctx context.Context, o pool.Order) pool.Reply
	// Callers serves callers, Control workers and operators, Readiness the
	// balancer.
	Callers, Control, Readiness func(n *Node) http.Handler
}

// Node must be made by [New].
type Node struct {
	Knowledge *fleet.Knowledge
	Gate      *gate.Gate     // nil where no callers are served
	Keeper    *keeper.Keeper // nil without a disk

	settings *settings.Node
	log      *zap.Logger
	adapters Adapters
	mux      peer.Mux
	mesh     *peer.Mesh
	asker    *fleet.Syncer
	group    *group.Group
	metrics  *metrics.Metrics
	draining atomic.Bool // not ready any more
	refusing atomic.Bool // new jobs are refused

	ctx    context.Context // of the duties
	cancel context.CancelFunc
	duties sync.WaitGroup
	fatal  chan error
}

// New returns a Node for checked settings.
func New(s *settings.Node, a Adapters, log *zap.Logger) (*Node, error) {
	now := time.Now()
	self := vm.Presence{
		VM: s.ID(), FailureDomain: s.FailureDomain, Incarnation: vm.Incarnation(now.UnixMilli()),
		Callers: s.Callers != "", Control: s.Control != "", Processor: s.Processor,
	}
	n := &Node{settings: s, log: log, adapters: a, fatal: make(chan error, 1), Knowledge: fleet.NewKnowledge(self, log)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.mesh = &peer.Mesh{Self: self.VM, Address: n.address, Recorder: &report.Recorder{}, FailuresToRedial: failuresToRedial, WriteTimeout: writeTimeout}
	n.asker = &fleet.Syncer{Knowledge: n.Knowledge, Mesh: n.mesh, Log: log}
	n.asker.SetSeeds(s.Founders())
	n.Knowledge.Serve(&n.mux)
	var err error
	if n.metrics, err = n.newMetrics(); err != nil {
		return nil, err
	}
	if self.Callers {
		n.group = group.New(now, group.Config{
			Knowledge: n.Knowledge, Asker: n.asker, Mesh: n.mesh, Log: log,
			LeaseMax: s.LeaseMax.Std(), StopMax: s.StopMax.Std(), Call: a.Order,
		}, &n.mux)
		n.Gate = &gate.Gate{Group: n.group, Knowledge: n.Knowledge, Log: log, Answered: n.metrics.Job}
	}
	if self.Control {
		n.Keeper, err = keeper.New(keeper.Config{Settings: s, Knowledge: n.Knowledge, Mesh: n.mesh, Log: log}, &n.mux)
		if err != nil {
			return nil, err
		}
	}
	return n, nil
}

// address returns where another VM is reached: its IP number is its name, and
// the port is the same on all.
func (n *Node) address(id vm.ID) (string, bool) {
	ip, ok := id.IP()
	if !ok {
		return "", false
	}
	return netip.AddrPortFrom(ip, uint16(n.settings.PeerPort)).String(), true
}

// Reload takes in settings that changed while the process runs: other seeds. All
// else is read at the start only.
func (n *Node) Reload(s *settings.Node) {
	n.asker.SetSeeds(s.Founders())
	event.Log(n.log, event.Reloaded, zap.Any("seeds", s.Seeds))
}

// Ready reports whether this VM should get callers: it has a table, knows who
// orders the workers and does not drain.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.Knowledge.Table() == nil || n.group == nil {
		return false
	}
	return n.group.Led()
}

// Refusing reports whether new jobs are refused since the process ends.
func (n *Node) Refusing() bool { return n.refusing.Load() }

// failuresToRedial ends a silent connection within two exchanges of signs of life,
// before the VM at its other end counts as dead.
const failuresToRedial = 2

// writeTimeout ends a connection that takes nothing for as long as a VM that leads
// may be silent: jobs on their way to it go to the next one then.
const writeTimeout = lead.DeadAfter

// service is one address with what is served there.
type service struct {
	name     string
	listener net.Listener
	server   *http.Server // nil for the other VMs
}

// listen opens all addresses.
func (n *Node) listen() ([]service, error) {
	ip := netip.Addr(n.settings.IP).String()
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	services := []service{{name: "peers"}, {name: "metrics", server: n.server(n.metricsHandler())}}
	addresses := []string{cmp.Or(string(n.settings.PeerListen), at(n.settings.PeerPort)), at(n.settings.MetricsPort)}
	add := func(name string, a settings.Address, handler func(*Node) http.Handler) {
		if a != "" {
			services = append(services, service{name: name, server: n.server(handler(n))})
			addresses = append(addresses, string(a))
		}
	}
	add("callers", n.settings.Callers, n.adapters.Callers)
	add("readiness", n.settings.Readiness, n.adapters.Readiness)
	add("control", n.settings.Control, n.adapters.Control)
	for i := range services {
		l, err := net.Listen("tcp", addresses[i])
		if err != nil {
			return nil, errors.Wrapf(err, "listening for %s", services[i].name)
		}
		services[i].listener = l
		event.Log(n.log, event.Listening, zap.String("for", services[i].name), zap.String("address", addresses[i]))
	}
	return services, nil
}

// Bounds of what is served before there is a table with limits.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
)

// closing asks those whose requests are answered during a shutdown to connect
// anew. Idle connections stay open meanwhile: a request may be on its way on any.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) server(h http.Handler) *http.Server {
	errorLog, _ := zap.NewStdLogAt(n.log, zap.DebugLevel)
	return &http.Server{
		Handler: n.closing(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: errorLog,
	}
}

// Pending returns the number of jobs of a row that have not begun.
func (n *Node) Pending(row routes.RowName) int {
	if n.Gate == nil {
		return 0
	}
	return n.Gate.Pending(row)
}
