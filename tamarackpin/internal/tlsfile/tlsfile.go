// Package tlsfile makes TLS configurations from the files that the settings
// name. Every listener and client of the server gets its configuration here.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/settings"
)

// Server returns the configuration of a listener, or nil if t is off. With a
// CA file, clients must show a certificate of that authority.
func Server(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	c, err := load(t)
	if err != nil {
		return nil, err
	}
	if c.RootCAs != nil {
		c.ClientCAs = c.RootCAs
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// Client returns the configuration of a client, or nil if t is off.
func Client(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return load(t)
}

func load(t settings.TLS) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.CertificateFile != "" {
		pair, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
		if err != nil {
			return nil, errors.Wrap(err, "loading a certificate")
		}
		c.Certificates = []tls.Certificate{pair}
	}
	if t.CAFile != "" {
		pem, err := os.ReadFile(t.CAFile)
		if err != nil {
			return nil, errors.Wrap(err, "reading a CA file")
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Newf("CA file %s holds no certificate", t.CAFile)
		}
	}
	return c, nil
}

// Listen opens the address of l with its TLS.
func Listen(l settings.Listener) (net.Listener, error) {
	c, err := Server(l.TLS)
	if err != nil {
		return nil, err
	}
	open, err := net.Listen("tcp", string(l.Address))
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", l.Address)
	}
	if c == nil {
		return open, nil
	}
	return tls.NewListener(open, c), nil
}
