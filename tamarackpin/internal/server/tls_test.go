package server

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/tlsfile"
)

// authority issues certificates for the tests.
type authority struct {
	t           *testing.T
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t, folder: t.TempDir()}
	a.certificate, a.key = a.issue(name, nil, nil)
	return a
}

// issue makes name.pem and name.key, signed by parent or by itself.
func (a *authority) issue(name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: parent == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, parentKey = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, parentKey)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return parsed, key
}

func (a *authority) write(name, kind string, der []byte) {
	if err := os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) path(name string) string { return filepath.Join(a.folder, name) }

// files returns the settings of one side named name.
func (a *authority) files(name string) settings.TLS {
	a.issue(name, a.certificate, a.key)
	return settings.TLS{CertificateFile: a.path(name + ".pem"), KeyFile: a.path(name + ".key"), CAFile: a.path("ca.pem")}
}

func config(t *testing.T, of func(settings.TLS) (*tls.Config, error), files settings.TLS) *tls.Config {
	t.Helper()
	c, err := of(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestTLSOnEveryAddress: a request over TLS from end to end, and nobody who
// does not show a certificate where one is asked for.
func TestTLSOnEveryAddress(t *testing.T) {
	a := newAuthority(t, "ca")
	server, own := a.files("server"), a.files("own")
	worker := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
		fmt.Fprint(w, `"done"`)
	}))
	worker.TLS = config(t, tlsfile.Server, server)
	worker.StartTLS()
	defer worker.Close()

	v := startTLS(t, server, own)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config(t, tlsfile.Client, own)}}
	call := func(to, path, body string) (int, string) {
		req, err := http.NewRequest(http.MethodPost, "https://"+v.addresses[to]+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+credential)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var b bytes.Buffer
		_, _ = b.ReadFrom(resp.Body)
		return resp.StatusCode, b.String()
	}
	call("operators", "/v1/table/changes", `{"change_id":"c","based_on":0,"set":[{"party":"p","kind":"k","weight":1,"max_in_flight":9,"max_queue":9,"deadline":"5s","time_limit":"5s"}]}`)
	call("targets", "/v1/announcements", fmt.Sprintf(`{"target":"t01","address":%q,"failure_domain":"durban-a","incarnation":1,"sequence":1,"slots":8,"connections":60,"kinds":["k"]}`, strings.TrimPrefix(worker.URL, "https://")))
	if status, b := call("callers", "/v1/requests", `{"party":"p","kind":"k","body":1}`); status != http.StatusOK {
		t.Errorf("status %d: %s", status, b)
	}
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: config(t, tlsfile.Client, settings.TLS{CAFile: a.path("ca.pem")})}}
	for _, to := range []string{"callers", "targets", "operators"} {
		if resp, err := stranger.Get("https://" + v.addresses[to] + "/live"); err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: a client without a certificate got %s", to, resp.Status)
		}
	}
}

// startTLS runs an entry VM with TLS on all its addresses.
func startTLS(t *testing.T, server, own settings.TLS) *alone {
	t.Helper()
	address := func() settings.Address { return settings.Address(fmt.Sprint("127.0.0.1:", freePort(t))) }
	s := &settings.Settings{
		VM: "vm0", FailureDomain: "durban-a", DataFolder: t.TempDir(), Ledgers: 1,
		Callers: settings.Listener{Address: address(), TLS: server}, Targets: settings.Listener{Address: address(), TLS: server},
		Operators: settings.Operators{Listener: settings.Listener{Address: address(), TLS: server}, Credential: credential},
		Peers:     settings.Peers{TLS: server}, TargetClient: settings.TargetClient{TLS: own},
		VMs:       []settings.VM{{VM: "vm0", FailureDomain: "durban-a", PeerAddress: address(), Control: true}},
		Retention: settings.Retention{Submissions: 10, AnswerBytes: 1 << 20}, BodyTimeout: 5e9, ShutdownLimit: 5e9, MaxInHand: 10,
	}
	v, err := New(s, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- v.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("the entry VM ended with %v", err)
		}
	})
	a := &alone{addresses: map[string]string{"callers": string(s.Callers.Address), "targets": string(s.Targets.Address), "operators": string(s.Operators.Address)}}
	a.await(t, "ready", v.ready)
	return a
}

// TestPeersNeedACertificate: entry VMs check each other.
func TestPeersNeedACertificate(t *testing.T) {
	a, other := newAuthority(t, "ca"), newAuthority(t, "ca")
	l, err := tlsfile.Listen(settings.Listener{Address: "127.0.0.1:0", TLS: a.files("vm1")})
	if err != nil {
		t.Fatal(err)
	}
	var x peer.Mux
	peer.Handle(&x, "echo", func(_ context.Context, _ vm.ID, s struct{}) (struct{}, error) { return s, nil })
	s := &peer.Server{Self: "vm1", Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	defer func() {
		stop()
		<-done
	}()
	for name, c := range map[string]struct {
		files settings.TLS
		ok    bool
	}{
		"of this authority":     {a.files("vm0"), true},
		"without a certificate": {settings.TLS{CAFile: a.path("ca.pem")}, false},
		"of another authority":  {settings.TLS{CertificateFile: other.files("vm0").CertificateFile, KeyFile: other.path("vm0.key"), CAFile: a.path("ca.pem")}, false},
	} {
		m := &peer.Mesh{Self: "vm0", Address: func(id vm.ID) (string, bool) { return l.Addr().String(), id == "vm1" }, TLS: config(t, tlsfile.Client, c.files), Recorder: &report.Recorder{}}
		_, err := peer.Call[struct{}](ctx, m, "vm1", report.UseOther, "echo", struct{}{})
		if (err == nil) != c.ok {
			t.Errorf("an entry VM %s: %v", name, err)
		}
		m.Close()
	}
}
