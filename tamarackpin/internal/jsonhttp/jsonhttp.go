// Package jsonhttp reads JSON requests within bounds of size and time and
// writes replies with their codes. The callers', targets' and operators'
// interfaces are built on it.
package jsonhttp

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/wire"
)

// Times and bounds of every HTTP server.
const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	drainAfterFault = 64 << 10 // bytes read of a refused body, so that the reply arrives
)

// NewServer returns a server for h with bounds on headers and idle time.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
}

// checker is a value that checks itself once decoded.
type checker interface {
	Check() error
}

// Read decodes the body of r, of at most limit bytes that must arrive within
// timeout, into v and checks it.
func Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, v any) *code.Error {
	b, refusal := Body(w, r, limit, timeout)
	if refusal != nil {
		return refusal
	}
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err == nil && t != "application/json" {
		return code.New(code.BadJSON, "the content type is %q: want application/json", t)
	}
	if err := wire.DecodeStrict(b, v); err != nil {
		return code.New(code.BadJSON, "the body is not what this call takes: %v", err)
	}
	if c, ok := v.(checker); ok {
		if err := c.Check(); err != nil {
			return code.New(code.BadField, "%v", err)
		}
	}
	return nil
}

// Body reads the body of r, of at most limit bytes that must arrive within
// timeout.
func Body(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, *code.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout)) // a server that cannot is a test's
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		// The server must not read the rest of the body before it replies.
		w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	var timedOut net.Error
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return b, nil
	case errors.As(err, &tooLarge):
		_, _ = io.CopyN(io.Discard, r.Body, drainAfterFault)
		return nil, code.New(code.TooLarge, "the body is over %d bytes", limit)
	case errors.As(err, &timedOut) && timedOut.Timeout():
		return nil, code.New(code.IncompleteBody, "the body did not arrive within %s", timeout)
	}
	return nil, code.New(code.IncompleteBody, "the body stopped before its end: %v", err)
}

// Write writes v with a status.
func Write(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		status = http.StatusInternalServerError
		b.Reset()
		_ = json.NewEncoder(&b).Encode(code.New(code.Internal, "encoding the reply: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes()) // a caller that left cannot be told
}

// Refuse writes a refusal or failure with the status of its code.
func Refuse(w http.ResponseWriter, e *code.Error) {
	Write(w, e.Code.Entry().Status, e)
}

// Fallback makes the mux's own answers, for paths and methods that are not
// served, carry codes as well.
func Fallback(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		probe := &statusProbe{header: make(http.Header)}
		mux.ServeHTTP(probe, r)
		if probe.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", probe.header.Get("Allow"))
			Refuse(w, code.New(code.MethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method))
			return
		}
		Refuse(w, code.New(code.NotFound, "there is no %s", r.URL.Path))
	})
}

// statusProbe takes a reply for its status alone.
type statusProbe struct {
	header http.Header
	status int
}

// Header returns the header of the reply.
func (p *statusProbe) Header() http.Header { return p.header }

// Write drops b.
func (p *statusProbe) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader keeps the status.
func (p *statusProbe) WriteHeader(status int) { p.status = status }
