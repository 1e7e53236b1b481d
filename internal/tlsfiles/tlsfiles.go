// Package tlsfiles builds TLS configurations from PEM files and reloads them
// without a restart: new connections use the files as of the last successful
// Reload, established ones are untouched.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Files names the PEM files of one identity.
type Files struct {
	Cert string
	Key  string
	// CA holds the authorities that the other side must chain to. On a server,
	// an empty CA means that clients need no certificate.
	CA string
}

// Identity is a certificate and the authorities it trusts.
type Identity struct {
	files   Files
	current atomic.Pointer[material]
}

type material struct {
	cert tls.Certificate
	pool *x509.CertPool // nil if Files.CA is empty
}

// Load reads the files.
func Load(files Files) (*Identity, error) {
	id := &Identity{files: files}
	if err := id.Reload(); err != nil {
		return nil, err
	}
	return id, nil
}

// Reload reads the files again. On an error the earlier content stays in use.
func (id *Identity) Reload() error {
	m, err := read(id.files)
	if err != nil {
		return err
	}
	id.current.Store(m)
	return nil
}

func read(files Files) (*material, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: certificate %s, key %s: %w", files.Cert, files.Key, err)
	}
	m := &material{cert: cert}
	if files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("tls: authorities: %w", err)
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls: authorities %s: no certificate found", files.CA)
	}
	return m, nil
}

// Server returns the configuration of a listener. With authorities, clients
// must present a certificate that chains to one of them.
func (id *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := id.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"http/1.1"}}
			if m.pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = m.pool
			}
			return c, nil
		},
	}
}

// Client returns the configuration for dialling the peer at host, an IP number.
// The peer's chain is checked against the authorities, and its certificate
// against host. The host is passed on explicitly: TLS sends no server name for
// an IP number, so the connection state does not carry it.
func (id *Identity) Client(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &id.current.Load().cert, nil
		},
		// Verification is done below, since RootCAs could not be reloaded.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return id.verify(host, state) },
	}
}

func (id *Identity) verify(host string, state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("tls: peer sent no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         id.current.Load().pool,
		DNSName:       host,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return err
}

// Dial opens a TLS connection to addr, IP:port.
func (id *Identity) Dial(ctx context.Context, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	d := tls.Dialer{Config: id.Client(host)}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen returns a TLS listener on addr.
func (id *Identity) Listen(addr string) (net.Listener, error) {
	return tls.Listen("tcp", addr, id.Server())
}
