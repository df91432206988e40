package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/wire"
)

// selfSigned writes a certificate for 127.0.0.1 and its key, and returns the settings that name them and its authority.
func selfSigned(t *testing.T) (settings.TLS, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	files := settings.TLS{CertificateFile: filepath.Join(folder, "vm.pem"), KeyFile: filepath.Join(folder, "vm.key")}
	chain := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	for name, b := range map[string][]byte{files.CertificateFile: chain, files.KeyFile: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private})} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(chain)
	return files, pool
}

// TestOperatorsListener guards against a VM that serves operators in the clear although its settings name a certificate, or
// whose listener lacks the calls.
func TestOperatorsListener(t *testing.T) {
	freePort := func() int {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	address := func() settings.Address { return settings.Address(fmt.Sprintf("127.0.0.1:%d", freePort())) }
	files, pool := selfSigned(t)
	control := address()
	s := &settings.Node{
		Name: "a", IP: settings.IP(netip.MustParseAddr("127.0.0.1")), FailureDomain: "z", Control: control, DataFolder: t.TempDir(),
		Operators: &settings.Operators{Listener: settings.Listener{Address: address(), TLS: files}, Credential: "credential-of-tests"},
		PeerPort:  freePort(), MetricsPort: freePort(), Seeds: []settings.Address{control}, ShutdownLimit: wire.Duration(2 * time.Second),
	}
	n, err := New(s, Adapters{Control: func(*Node) http.Handler { return http.NotFoundHandler() }}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, DisableKeepAlives: true}
	status := func(scheme, method, path, credential string) int {
		r, err := http.NewRequest(method, scheme+"://"+string(s.Operators.Address)+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+credential)
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for end := time.Now().Add(5 * time.Second); status("https", "GET", "/v1/status", "") == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond) // not listening yet
	}
	for _, c := range []struct {
		scheme, method, path, credential string
		want                             int
	}{
		{"https", "GET", "/v1/status", "credential-of-tests", http.StatusOK},
		{"https", "GET", "/v1/status", "another", http.StatusUnauthorized},
		{"https", "GET", "/v1/evacuations", "credential-of-tests", http.StatusOK},
		{"https", "GET", "/v1/interference", "credential-of-tests", http.StatusOK},
		{"http", "GET", "/v1/status", "credential-of-tests", http.StatusBadRequest},
	} {
		if got := status(c.scheme, c.method, c.path, c.credential); got != c.want {
			t.Errorf("%s %s %s as %q: status %d, want %d", c.scheme, c.method, c.path, c.credential, got, c.want)
		}
	}
}
