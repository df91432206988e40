package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"tamarackpin.example/internal/event"
)

// callerWatch tells up to when this VM knows which callers have left. A process that is behind learns of it late from the HTTP server,
// and never if a caller has sent anything after its request, while heartbeats to the dispatchers show that its jobs are
// wanted. It must be made by [newCallerWatch]. It is safe for concurrent use.
type callerWatch struct {
	epoll int
	log   *zap.Logger

	mu         sync.Mutex // guards the fields below
	last       callerID
	callers    map[callerID]*watchedCaller
	ids        map[net.Conn]callerID
	departed   []*watchedCaller // have left, and their jobs have not ended yet
	checkedAt  time.Time
	knownUntil time.Time
}

// callerID identifies a connection of a caller. Unlike a file descriptor, it is not used again.
type callerID uint64

// watchedCaller is a connection of a caller.
type watchedCaller struct {
	cancel context.CancelFunc // of the context of its requests
	jobs   int                // pending
}

const (
	// callerCheckInterval is the least time between two looks for callers that have left, each of which is a system call.
	callerCheckInterval = 10 * time.Millisecond
	// callerEvents is the number of callers that one such system call returns at most.
	callerEvents = 64
)

func newCallerWatch(now time.Time, log *zap.Logger) (*callerWatch, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "watching the connections of callers")
	}
	return &callerWatch{epoll: fd, log: log, callers: make(map[callerID]*watchedCaller), ids: make(map[net.Conn]callerID), knownUntil: now}, nil
}

// callerKey is the context key of the watchedCaller of a request.
type callerKey struct{}

// withCaller returns the context of the requests on c, which ends when the caller is known to have left.
func (w *callerWatch) withCaller(ctx context.Context, c net.Conn) context.Context {
	ctx = withConnection(ctx, c)
	s, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := s.SyscallConn()
	if err != nil {
		w.log.Debug("the connection of a caller is not watched", event.Err(err))
		return ctx
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	interest := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: int32(uint32(w.last)), Pad: int32(uint32(w.last >> 32))}
	var addErr error
	err = raw.Control(func(fd uintptr) { addErr = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, int(fd), &interest) })
	if err = errors.CombineErrors(err, addErr); err != nil {
		w.log.Debug("the connection of a caller is not watched", event.Err(err))
		return ctx
	}
	caller := &watchedCaller{}
	ctx, caller.cancel = context.WithCancel(context.WithValue(ctx, callerKey{}, caller))
	w.callers[w.last], w.ids[c] = caller, w.last
	return ctx
}

// stateChanged forgets a connection that is closed. It is the ConnState of an [http.Server].
func (w *callerWatch) stateChanged(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id, watched := w.ids[c]
	if !watched {
		return
	}
	w.callers[id].cancel()
	delete(w.callers, id)
	delete(w.ids, c)
}

// hold counts a pending job of the caller of a request until end is called, by when the job is withdrawn if it was not answered.
func (w *callerWatch) hold(ctx context.Context) (end func()) {
	caller, watched := ctx.Value(callerKey{}).(*watchedCaller)
	if !watched {
		return func() {}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	caller.jobs++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		caller.jobs--
	}
}

// until returns the newest time, not after now, such that the jobs of all callers that had left by then have ended here.
func (w *callerWatch) until(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.checkedAt) >= callerCheckInterval {
		w.checkedAt = now
		w.check(now)
	}
	if now.Before(w.knownUntil) {
		return now
	}
	return w.knownUntil
}

// check cancels the requests of the callers that have left since its last call. w.mu is held.
func (w *callerWatch) check(now time.Time) {
	var events [callerEvents]unix.EpollEvent
	for {
		n, err := unix.EpollWait(w.epoll, events[:], 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			w.log.Debug("it is not known which callers have left", event.Err(err))
			return
		}
		for _, e := range events[:n] {
			if caller := w.callers[callerID(uint32(e.Fd))|callerID(uint32(e.Pad))<<32]; caller != nil {
				caller.cancel()
				w.departed = append(w.departed, caller)
			}
		}
		if n < len(events) {
			break
		}
	}
	w.departed = slices.DeleteFunc(w.departed, func(c *watchedCaller) bool { return c.jobs == 0 })
	if len(w.departed) == 0 {
		w.knownUntil = now
	}
}
