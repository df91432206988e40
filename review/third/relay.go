package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// relay passes on the connections to a machine. Those that are open can go silent for good: nothing is passed on any more,
// in either direction, and they are not closed, while new ones work.
type relay struct {
	listener net.Listener
	to       string

	mu   sync.Mutex // guards open
	open map[*relayed]bool
}

type relayed struct {
	silent chan struct{}
	once   sync.Once
}

func newRelay(at, to string) (*relay, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, to: to, open: make(map[*relayed]bool)}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.DialTimeout("tcp", r.to, time.Second)
		if err != nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // a reset, as from a port without a listener
			}
			_ = c.Close()
			continue
		}
		x := &relayed{silent: make(chan struct{})}
		r.mu.Lock()
		r.open[x] = true
		r.mu.Unlock()
		go r.pass(x, c, s)
		go r.pass(x, s, c)
	}
}

// pass copies from one side to the other until the connection ends or goes silent.
func (r *relay) pass(x *relayed, to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-x.silent:
			if err == nil {
				_, _ = io.Copy(io.Discard, from)
			}
			time.Sleep(20 * time.Second) // the other side does not learn of the end
			_, _ = to.Close(), from.Close()
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close()
				_ = to.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			r.mu.Lock()
			delete(r.open, x)
			r.mu.Unlock()
			return
		}
	}
}

// silence makes a share of the open connections silent.
func (r *relay) silence(share float64) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x := range r.open {
		if rand.Float64() < share {
			x.once.Do(func() { close(x.silent) })
			delete(r.open, x)
			n++
		}
	}
	return n
}
