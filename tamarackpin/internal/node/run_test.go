package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/wire"
)

// TestStopWaitsForRequests guards against a control VM that stops and cuts off a request that takes longer than
// abortTime, such as a change of the table that waits for the quorum.
func TestStopWaitsForRequests(t *testing.T) {
	const requestTime = 3 * abortTime
	freePort := func() int {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	address := fmt.Sprintf("127.0.0.1:%d", freePort())
	s := &settings.Node{
		Name: "a", IP: settings.IP(netip.MustParseAddr("127.0.0.1")), FailureDomain: "z", Control: settings.Address(address), DataFolder: t.TempDir(),
		PeerPort: freePort(), MetricsPort: freePort(), Seeds: []settings.Address{settings.Address(address)}, ShutdownLimit: wire.Duration(6 * time.Second),
	}
	begun := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		time.Sleep(requestTime)
	})
	n, err := New(s, Adapters{Control: func(*Node) http.Handler { return handler }}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	answered := make(chan error, 1)
	go func() {
		for {
			resp, err := http.Get("http://" + address)
			if err == nil {
				err = resp.Body.Close()
			} else {
				select {
				case <-begun:
				default:
					time.Sleep(10 * time.Millisecond) // not listening yet
					continue
				}
			}
			answered <- err
			return
		}
	}()
	<-begun
	stop()
	if err := <-done; err != nil {
		t.Errorf("the stop returned %v", err)
	}
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("the request that was under way got no answer: %v", err)
		}
	case <-time.After(abortTime / 3):
		t.Error("the stop did not wait for the answer to the request that was under way")
	}
}
