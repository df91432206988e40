package node

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"
)

// TestClientLeft: the end of a connection is seen before it is read, also behind further bytes, which keep the HTTP server from
// reading it while it serves a request.
func TestClientLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name  string
		leave func(*net.TCPConn) error
		left  bool
	}{
		{"open", func(*net.TCPConn) error { return nil }, false},
		{"further bytes", func(c *net.TCPConn) error { _, err := c.Write([]byte("GET")); return err }, false},
		{"closed", (*net.TCPConn).Close, true},
		{"closed after further bytes", func(c *net.TCPConn) error {
			if _, err := c.Write([]byte("GET")); err != nil {
				return err
			}
			return c.Close()
		}, true},
		{"reset", func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			server, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			ctx := withConnection(context.Background(), server)
			overTLS := withConnection(context.Background(), tls.Server(server, &tls.Config{}))
			if clientLeft(ctx) || clientLeft(overTLS) {
				t.Error("the client has left before it did")
			}
			if err := c.leave(client.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			end := time.Now().Add(time.Second)
			for c.left && !clientLeft(ctx) && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			if left := clientLeft(ctx); left != c.left {
				t.Errorf("the client has left: %v, want %v", left, c.left)
			}
			if left := clientLeft(overTLS); left != c.left {
				t.Errorf("over TLS, the client has left: %v, want %v", left, c.left)
			}
		})
	}
}
