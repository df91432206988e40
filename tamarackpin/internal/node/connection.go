package node

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// withConnection returns the context of the requests on c.
func withConnection(ctx context.Context, c net.Conn) context.Context {
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
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(state, 0)
		left = err == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil
}
