package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/tlsfiles"
)

// authority signs the certificates of one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate for ip, signed by a, that trusts trust.
func (a *authority) issue(t *testing.T, dir, ip string, trust *authority) tlsfiles.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	f := tlsfiles.Files{Cert: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "c.key"), CA: filepath.Join(dir, "ca.pem")}
	write(t, f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	write(t, f.CA, trust.pem)
	return f
}

func write(t *testing.T, name string, data []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(name, data, 0o600))
}

// exchange dials the server once and returns the first error of either side.
func exchange(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.WriteString(c, "x")
			c.Close()
		}
		served <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return err
	}
	defer c.Close()
	_, readErr := io.ReadAll(c)
	if err := <-served; err != nil {
		return err
	}
	return readErr
}

// Guards against peers that are accepted without a certificate of the
// configured authority, and against servers whose address does not match.
func TestPeersWithoutTheRightCertificateAreRefused(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	server, err := tlsfiles.Load(ours.issue(t, t.TempDir(), "127.0.0.1", ours))
	assert.NilError(t, err)
	client, err := tlsfiles.Load(ours.issue(t, t.TempDir(), "127.0.0.1", ours))
	assert.NilError(t, err)
	assert.NilError(t, exchange(t, server.Server(), client.Client("127.0.0.1")))

	stranger, err := tlsfiles.Load(other.issue(t, t.TempDir(), "127.0.0.1", ours))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, server.Server(), stranger.Client("127.0.0.1")) != nil)
	assert.Assert(t, exchange(t, stranger.Server(), client.Client("127.0.0.1")) != nil)
	assert.Assert(t, exchange(t, server.Server(), &tls.Config{InsecureSkipVerify: true}) != nil)

	wrongAddress, err := tlsfiles.Load(ours.issue(t, t.TempDir(), "127.0.0.9", ours))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, wrongAddress.Server(), client.Client("127.0.0.1")) != nil)
}

// Guards against a rotation that needs a restart, and against a broken file
// that takes a running listener down.
func TestFilesAreReloadedAndBrokenOnesIgnored(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server, err := tlsfiles.Load(old.issue(t, dir, "127.0.0.1", old))
	assert.NilError(t, err)
	config := server.Server()
	client, err := tlsfiles.Load(renewed.issue(t, t.TempDir(), "127.0.0.1", renewed))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, config, client.Client("127.0.0.1")) != nil)

	files := renewed.issue(t, dir, "127.0.0.1", renewed)
	assert.NilError(t, server.Reload())
	assert.NilError(t, exchange(t, config, client.Client("127.0.0.1")))

	write(t, files.Cert, []byte("broken"))
	assert.Assert(t, server.Reload() != nil)
	assert.NilError(t, exchange(t, config, client.Client("127.0.0.1")))
}
