package server

import (
	"net"
	"net/http"
	"sync"
)

// activeConnections has the connections with a request whose header has arrived and that is not answered yet.
// The zero value has none. It is safe for concurrent use.
type activeConnections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// observe is the ConnState of a server.
func (a *activeConnections) observe(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s != http.StateActive {
		delete(a.open, c)
		return
	}
	if a.open == nil {
		a.open = make(map[net.Conn]struct{})
	}
	a.open[c] = struct{}{}
}

func (a *activeConnections) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}
