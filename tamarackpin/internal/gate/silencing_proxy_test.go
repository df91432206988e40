package gate

import (
	"net"
	"sync"
	"testing"
)

// silencingProxy is a TCP proxy whose connections can go silent: they stay open and pass nothing.
type silencingProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards conns
	conns []*proxiedConn
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	ends   [2]net.Conn
	mu     sync.Mutex // guards silent
	silent bool
}

func newSilencingProxy(t *testing.T, target string) *silencingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silencingProxy{listener: l, target: target}
	go p.serve()
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_, _ = c.ends[0].Close(), c.ends[1].Close()
		}
	})
	return p
}

func (p *silencingProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxiedConn{ends: [2]net.Conn{in, out}}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.pipe(in, out)
		go c.pipe(out, in)
	}
}

// pipe copies until either end closes, unless the connection is silent.
func (c *proxiedConn) pipe(from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if c.isSilent() {
			return
		}
		if err == nil {
			_, err = to.Write(b[:n])
		}
		if err != nil {
			_, _ = from.Close(), to.Close()
			return
		}
	}
}

func (c *proxiedConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence has the open connections pass nothing any more; new ones work.
func (p *silencingProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}
