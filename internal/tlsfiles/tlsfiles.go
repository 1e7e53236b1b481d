// Package tlsfiles builds TLS configurations from PEM files and reloads the files
// without a restart. New connections use the content as of the last successful
// Reload; established connections are not affected.
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
	// CA holds the certificate authorities to which the peer's certificate must
	// chain. If CA is empty, a server requires no client certificates.
	CA string
}

// Identity is a certificate with its key and the trusted certificate authorities.
type Identity struct {
	files   Files
	current atomic.Pointer[credentials]
}

// credentials are the loaded content of Files.
type credentials struct {
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

// Reload reads the files again. After an error the previous content stays in use.
func (id *Identity) Reload() error {
	c, err := readFiles(id.files)
	if err != nil {
		return err
	}
	id.current.Store(c)
	return nil
}

func readFiles(files Files) (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: certificate %s, key %s: %w", files.Cert, files.Key, err)
	}
	c := &credentials{cert: cert}
	if files.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("tls: certificate authorities: %w", err)
	}
	c.pool = x509.NewCertPool()
	if !c.pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls: certificate authorities %s: no certificate found", files.CA)
	}
	return c, nil
}

// ServerConfig returns the configuration for a listener. If Files.CA is set,
// clients must present a certificate that chains to one of its certificate
// authorities.
func (id *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := id.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{current.cert}, NextProtos: []string{"http/1.1"}}
			if current.pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = current.pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration for dialling the peer at host, an IP
// address. The peer's certificate must be valid for host and chain to one of the
// certificate authorities. host is a parameter because TLS sends no server name
// for an IP address, so the connection state does not contain it.
func (id *Identity) ClientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &id.current.Load().cert, nil
		},
		// VerifyConnection verifies the peer instead, because tls.Config.RootCAs cannot
		// be reloaded.
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

// Dial opens a TLS connection to addr (IP:port).
func (id *Identity) Dial(ctx context.Context, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	d := tls.Dialer{Config: id.ClientConfig(host)}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen returns a TLS listener on addr.
func (id *Identity) Listen(addr string) (net.Listener, error) {
	return tls.Listen("tcp", addr, id.ServerConfig())
}
