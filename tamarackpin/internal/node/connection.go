package node

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// withConnection returns the context of the requests on c.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// clientLeft reports whether the client of a request has closed its connection, by the state of the socket. The context of the
// request ends only once the server has read the end of the connection, and never if the client has sent anything after
// the request.
func clientLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	left := false
	err = raw.Control(func(fd uintptr) { left = peerClosed(int(fd)) })
	return left || err != nil
}

// Waiting reports whether the client of a request still waits for its reply. ctx is that of the request.
func (n *Node) Waiting(ctx context.Context) bool { return ctx.Err() == nil && !clientLeft(ctx) }

// peerClosed reports whether the other end of a socket has been closed. Reading ahead tells that unless there are unread bytes; the
// state of the socket always does, and costs more.
func peerClosed(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return !errors.Is(err, unix.EAGAIN)
	}
	if n == 0 {
		return true
	}
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err = unix.Poll(state, 0)
	return err == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
