package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Bounds of one connection.
const (
	writeTimeout    = 3 * time.Second
	maxMessageBytes = 64 << 20
	keepAliveIdle   = 2 * time.Second
	keepAliveProbes = 3
)

// Server serves the calls of other entry VMs.
type Server struct {
	Self  vm.ID
	Known func(vm.ID) bool // whether an entry VM is in the settings
	Mux   *Mux
	Log   *zap.Logger

	mu    sync.Mutex // guards conns
	conns map[*jsonrpc2.Conn]struct{}
}

// Serve serves the connections of l until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accepting entry VMs")
		}
		if err != nil {
			continue // a connection that ended before it was accepted
		}
		s.start(ctx, c)
	}
}

func (s *Server) start(ctx context.Context, c net.Conn) {
	session := &session{server: s}
	gone := make(chan struct{})
	conn, _ := open(context.WithValue(ctx, disconnected{}, gone), c, writeTimeout, session)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*jsonrpc2.Conn]struct{})
	}
	s.conns[conn] = struct{}{}
	go func() {
		<-conn.DisconnectNotify()
		close(gone)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// disconnected is the key under which a call's context holds the channel that is
// closed when its connection ends.
type disconnected struct{}

// Disconnected returns a channel that is closed when the connection that the
// call of ctx came on has ended, so that its caller cannot get an answer.
func Disconnected(ctx context.Context) <-chan struct{} {
	gone, _ := ctx.Value(disconnected{}).(chan struct{})
	return gone
}

// session is one connection of another entry VM.
type session struct {
	server *Server
	mu     sync.Mutex // guards from
	from   vm.ID      // empty before the hello
}

// Handle answers one call. The hello is answered in turn, all others each in
// its own goroutine, since some wait for long.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if Method(r.Method) == methodHello {
		s.reply(ctx, conn, r, empty{}, s.hello(r))
		return
	}
	s.mu.Lock()
	from := s.from
	s.mu.Unlock()
	if from == "" {
		s.reply(ctx, conn, r, nil, code.New(code.Unauthorized, "a call before the hello"))
		return
	}
	serve, ok := s.server.Mux.methods[Method(r.Method)]
	if !ok || r.Params == nil {
		s.reply(ctx, conn, r, nil, code.New(code.NotFound, "no method %q, or no parameters", r.Method))
		return
	}
	if r.Notif {
		// Notifications are short; in turn they keep their order.
		_, _ = s.serve(ctx, serve, from, r)
		return
	}
	go func() {
		result, err := s.serve(ctx, serve, from, r)
		s.reply(ctx, conn, r, result, err)
	}()
}

// serve answers one call. A panic is answered as an internal error.
func (s *session) serve(ctx context.Context, serve serve, from vm.ID, r *jsonrpc2.Request) (result any, err error) {
	defer event.Contain(s.server.Log, "serving "+r.Method, func() {
		result, err = nil, code.New(code.Internal, "serving %s failed", r.Method)
	})
	return serve(ctx, from, *r.Params)
}

func (s *session) hello(r *jsonrpc2.Request) error {
	var h hello
	if r.Params == nil || wire.DecodeStrict(*r.Params, &h) != nil || h.Check() != nil {
		return code.New(code.BadJSON, "not a hello of protocol version %d", ProtocolVersion)
	}
	if h.To != s.server.Self || !s.server.Known(h.From) {
		event.Log(s.server.Log, event.PeerRefused, zap.String("from", string(h.From)), zap.String("to", string(h.To)))
		return code.New(code.Unauthorized, "this is %s, and it does not know %s", s.server.Self, h.From)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from = h.From
	return nil
}

func (s *session) reply(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	if r.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, r.ID, rpcError(err)) // the caller learns it from the connection
		return
	}
	_ = conn.Reply(ctx, r.ID, result)
}

// open starts JSON-RPC on c. lastRead returns when bytes last arrived on it.
func open(ctx context.Context, c net.Conn, write time.Duration, h jsonrpc2.Handler) (conn *jsonrpc2.Conn, lastRead func() time.Time) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes})
	}
	timed := &timedConn{Conn: c, writeTimeout: write}
	stream := jsonrpc2.NewBufferedStream(timed, jsonrpc2.VarintObjectCodec{})
	return jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(discard{})), timed.lastRead
}

// timedConn bounds each write, so that a peer that stops reading does not hold
// up its writers for good, and records when it last read.
type timedConn struct {
	net.Conn
	writeTimeout time.Duration
	readAt       atomic.Pointer[time.Time] // nil before the first read
}

// Read reads into b and records the time if any bytes arrived.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.readAt.Store(&now)
	}
	return n, err
}

// lastRead returns when bytes last arrived, or the zero time.
func (c *timedConn) lastRead() time.Time {
	if at := c.readAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Write writes b within the timeout.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// discard drops what the JSON-RPC library would print.
type discard struct{}

// Printf does nothing.
func (discard) Printf(string, ...any) {}
