package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
)

// Times of a Mesh.
const (
	dialTimeout  = time.Second
	redialAfter  = 100 * time.Millisecond // least time between two dials of one entry VM
	helloTimeout = time.Second
	// failuresToRedial is how many calls in a row may time out, with nothing read
	// meanwhile, before the connection is taken for dead, unless the Mesh says otherwise.
	failuresToRedial = 3
)

// ErrNotSent marks the failure of a call of which no byte left.
var ErrNotSent = errors.New("not sent")

// Mesh makes calls to other entry VMs, over one connection to each. It is safe
// for concurrent use.
type Mesh struct {
	Self vm.ID
	// Address returns where an entry VM is reached, if that is known.
	Address  func(vm.ID) (address string, known bool)
	TLS      *tls.Config // nil without TLS
	Recorder *report.Recorder
	// FailuresToRedial is how many calls in a row may time out, with nothing read
	// meanwhile, before a connection is taken for dead; 0 is the standard number.
	FailuresToRedial int
	// DialTimeout bounds the opening of a connection; 0 is the standard time. A VM that has
	// no power yet does not answer, and the next try reaches it as soon as it has.
	DialTimeout time.Duration
	// WriteTimeout is how long a connection may take nothing before it is taken for
	// dead; 0 is the standard time. A call that waits for it outlives its context.
	WriteTimeout time.Duration

	mu    sync.Mutex // guards links
	links map[vm.ID]*link
}

// link is the connection to one entry VM.
type link struct {
	dialling chan struct{} // holds a value during a dial, so that one serves all

	mu       sync.Mutex // guards all below
	conn     *jsonrpc2.Conn
	lastRead func() time.Time // when conn last received bytes
	dialled  time.Time
	failures int // calls in a row that timed out with nothing read since silentSince
	allowed  int // failures in a row
	// silentSince is when the first of the failures was sent.
	silentSince time.Time
}

func (m *Mesh) link(to vm.ID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links == nil {
		m.links = make(map[vm.ID]*link)
	}
	l := m.links[to]
	if l == nil {
		l = &link{dialling: make(chan struct{}, 1), allowed: cmp.Or(m.FailuresToRedial, failuresToRedial)}
		m.links[to] = l
	}
	return l
}

// Call makes one call and waits for its result. A refusal by the other side is
// a [code.Error]; an error marked [ErrNotSent] says that the call never left;
// any other error leaves open whether it was served.
func Call[Result any](ctx context.Context, m *Mesh, to vm.ID, use report.Use, method Method, params any) (Result, error) {
	var result Result
	raw, err := json.Marshal(params)
	if err != nil {
		return result, errors.Wrapf(err, "encoding the parameters of %s", method)
	}
	conn, l, err := m.connect(ctx, to)
	if err != nil {
		return result, errors.Mark(err, ErrNotSent)
	}
	m.Recorder.Message(use, 1, 0, len(raw))
	sentAt := time.Now()
	err = conn.Call(ctx, string(method), json.RawMessage(raw), &result)
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		l.answered()
		return result, ofRPC(rpc)
	}
	if err != nil {
		m.Recorder.Message(use, 0, 1, 0)
		if !errors.Is(err, context.Canceled) {
			l.failed(conn, sentAt)
		}
		return result, errors.Wrapf(err, "calling %s of %s", method, to)
	}
	l.answered()
	return result, nil
}

// Notify sends a call that has no result. It may be lost.
func (m *Mesh) Notify(ctx context.Context, to vm.ID, use report.Use, method Method, params any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.Wrapf(err, "encoding the parameters of %s", method)
	}
	conn, l, err := m.connect(ctx, to)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	m.Recorder.Message(use, 1, 0, len(raw))
	sentAt := time.Now()
	if err := conn.Notify(ctx, string(method), json.RawMessage(raw)); err != nil {
		l.failed(conn, sentAt)
		return errors.Wrapf(err, "notifying %s of %s", method, to)
	}
	return nil
}

// connect returns the connection to an entry VM, dialling it if need be. It does not
// outlast ctx while another call dials.
func (m *Mesh) connect(ctx context.Context, to vm.ID) (*jsonrpc2.Conn, *link, error) {
	l := m.link(to)
	if conn, _ := l.open(); conn != nil {
		return conn, l, nil
	}
	select {
	case l.dialling <- struct{}{}:
		defer func() { <-l.dialling }()
	case <-ctx.Done():
		return nil, nil, errors.Wrapf(ctx.Err(), "waiting for a connection to entry VM %s", to)
	}
	conn, dialled := l.open()
	if conn != nil {
		return conn, l, nil
	}
	if time.Since(dialled) < redialAfter {
		return nil, nil, errors.Newf("entry VM %s did not answer a moment ago", to)
	}
	conn, lastRead, err := m.dial(ctx, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialled = time.Now()
	if err != nil {
		return nil, nil, err
	}
	l.conn, l.lastRead, l.failures = conn, lastRead, 0
	return conn, l, nil
}

// Connected reports whether there is a connection for calls to an entry VM that is not known to have failed.
func (m *Mesh) Connected(to vm.ID) bool {
	conn, _ := m.link(to).open()
	return conn != nil
}

// open returns the connection unless it has ended, and when the last dial ended.
func (l *link) open() (conn *jsonrpc2.Conn, dialled time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
		}
	}
	return l.conn, l.dialled
}

// dial opens a connection to an entry VM and greets it. lastRead returns when the
// connection last received bytes.
func (m *Mesh) dial(ctx context.Context, to vm.ID) (conn *jsonrpc2.Conn, lastRead func() time.Time, err error) {
	c, err := m.dialTCP(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	conn, lastRead = open(context.Background(), c, cmp.Or(m.WriteTimeout, writeTimeout), silent{})
	helloCtx, cancelHello := context.WithTimeout(ctx, helloTimeout)
	defer cancelHello()
	if err := conn.Call(helloCtx, string(methodHello), hello{ProtocolVersion, m.Self, to}, nil); err != nil {
		_ = conn.Close()
		return nil, nil, errors.Wrapf(err, "greeting entry VM %s", to)
	}
	return conn, lastRead, nil
}

// dialTCP opens a connection to an entry VM within the dial timeout, and does the TLS handshake if there is TLS.
func (m *Mesh) dialTCP(ctx context.Context, to vm.ID) (c net.Conn, err error) {
	address, ok := "", false
	if m.Address != nil {
		address, ok = m.Address(to)
	}
	if !ok {
		return nil, errors.Newf("the address of entry VM %s is not known", to)
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(m.DialTimeout, dialTimeout))
	defer cancel()
	if m.TLS == nil {
		c, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
	} else {
		c, err = (&tls.Dialer{Config: m.TLS}).DialContext(ctx, "tcp", address)
	}
	return c, errors.Wrapf(err, "connecting to entry VM %s", to)
}

// Refuses reports whether an entry VM refuses connections: its machine replies, and no process listens there. It always
// dials, as an earlier refusal may be that of a process before the present one.
func (m *Mesh) Refuses(ctx context.Context, to vm.ID) bool {
	c, err := m.dialTCP(ctx, to)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes all connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.dialling <- struct{}{}
		l.mu.Lock()
		if l.conn != nil {
			_ = l.conn.Close()
		}
		l.mu.Unlock()
		<-l.dialling
	}
}

func (l *link) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
}

// failed handles a call, sent at sentAt, that had no answer in time. It closes the
// connection after several such calls in a row, so that the next call dials anew. A VM
// that is only behind keeps it: bytes that arrived meanwhile show that it is alive, and
// other calls on the connection wait for its results.
func (l *link) failed(conn *jsonrpc2.Conn, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if l.failures == 0 || l.lastRead().After(l.silentSince) {
		l.failures, l.silentSince = 0, sentAt
	}
	l.failures++
	if l.failures >= l.allowed {
		_ = conn.Close()
		l.conn = nil
	}
}

// Suspect counts a call to an entry VM, sent at sentAt, as one without an answer in time.
// The call may go on, and its answer still counts.
func (m *Mesh) Suspect(to vm.ID, sentAt time.Time) {
	l := m.link(to)
	if conn, _ := l.open(); conn != nil {
		l.failed(conn, sentAt)
	}
}

// silent serves no calls: they come on connections that the other side opens.
type silent struct{}

// Handle drops the call.
func (silent) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Refusal returns the refusal that the other side answered, if err is one.
func Refusal(err error) (*code.Error, bool) {
	var e *code.Error
	if errors.As(err, &e) {
		return e, true
	}
	return nil, false
}

// NotSent reports whether err says that a call never left.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }
