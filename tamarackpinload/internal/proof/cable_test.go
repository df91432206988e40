package proof

import (
	"net"
	"sync"
	"testing"
	"time"
)

// cable relays the connections from one entry VM to another, and can be cut in
// either direction: what is sent then waits, as on a network that drops it.
type cable struct {
	listener net.Listener
	to       string

	mu    sync.Mutex // guards all below
	cut   [2]bool    // towards the called, towards the caller
	conns map[net.Conn]struct{}
}

const (
	forward  = 0
	backward = 1
)

func newCable(t *testing.T, to string) *cable {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &cable{listener: l, to: to, conns: make(map[net.Conn]struct{})}
	go w.serve()
	t.Cleanup(func() {
		_ = l.Close()
		w.closeAll()
	})
	return w
}

func (w *cable) address() string { return w.listener.Addr().String() }

func (w *cable) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.relay(c)
	}
}

func (w *cable) relay(c net.Conn) {
	out, err := net.DialTimeout("tcp", w.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	w.mu.Lock()
	w.conns[c], w.conns[out] = struct{}{}, struct{}{}
	w.mu.Unlock()
	go w.copy(out, c, forward)
	w.copy(c, out, backward)
}

func (w *cable) copy(to, from net.Conn, direction int) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		for w.isCut(direction) {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (w *cable) isCut(direction int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[direction]
}

// set cuts or mends. Connections that lived through a cut end when it is
// mended, as their senders' retransmissions would have given up.
func (w *cable) set(direction int, cut bool) {
	w.mu.Lock()
	mended := w.cut[direction] && !cut
	w.cut[direction] = cut
	w.mu.Unlock()
	if mended {
		w.closeAll()
	}
}

func (w *cable) closeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
		delete(w.conns, c)
	}
}

// isolate cuts or mends everything between the entry VMs for which inside
// holds and the others.
func (d *deployment) isolate(inside func(*entryVM) bool, cut bool) {
	for pair, w := range d.cables {
		if inside(d.vms[pair[0]]) != inside(d.vms[pair[1]]) {
			w.set(forward, cut)
			w.set(backward, cut)
		}
	}
}
