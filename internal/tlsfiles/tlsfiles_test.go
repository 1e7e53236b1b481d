package tlsfiles_test

import (
	"crypto/tls"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/tlsfiles"
	"github.com/limpettrail/limpettrail/internal/tlsfiles/tlstest"
)

// exchange connects to a server once and returns the first error of either side.
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

// Guards against accepting peers without a certificate of the configured
// certificate authority, and servers whose certificate is for another address.
func TestPeersWithoutTrustedCertificateAreRejected(t *testing.T) {
	trustedCA, otherCA := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, err := tlsfiles.Load(trustedCA.Issue(t, t.TempDir(), "127.0.0.1", trustedCA))
	assert.NilError(t, err)
	client, err := tlsfiles.Load(trustedCA.Issue(t, t.TempDir(), "127.0.0.1", trustedCA))
	assert.NilError(t, err)
	assert.NilError(t, exchange(t, server.ServerConfig(), client.ClientConfig("127.0.0.1")))

	untrusted, err := tlsfiles.Load(otherCA.Issue(t, t.TempDir(), "127.0.0.1", trustedCA))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, server.ServerConfig(), untrusted.ClientConfig("127.0.0.1")) != nil)
	assert.Assert(t, exchange(t, untrusted.ServerConfig(), client.ClientConfig("127.0.0.1")) != nil)
	assert.Assert(t, exchange(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}) != nil)

	wrongAddress, err := tlsfiles.Load(trustedCA.Issue(t, t.TempDir(), "127.0.0.9", trustedCA))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, wrongAddress.ServerConfig(), client.ClientConfig("127.0.0.1")) != nil)
}

// Guards against a certificate rotation that needs a restart, and against an
// invalid file that breaks a running listener.
func TestReloadAppliesNewFilesAndIgnoresInvalidOnes(t *testing.T) {
	oldCA, newCA := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	dir := t.TempDir()
	server, err := tlsfiles.Load(oldCA.Issue(t, dir, "127.0.0.1", oldCA))
	assert.NilError(t, err)
	config := server.ServerConfig()
	client, err := tlsfiles.Load(newCA.Issue(t, t.TempDir(), "127.0.0.1", newCA))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, config, client.ClientConfig("127.0.0.1")) != nil)

	files := newCA.Issue(t, dir, "127.0.0.1", newCA)
	assert.NilError(t, server.Reload())
	assert.NilError(t, exchange(t, config, client.ClientConfig("127.0.0.1")))

	tlstest.Write(t, files.Cert, []byte("broken"))
	assert.Assert(t, server.Reload() != nil)
	assert.NilError(t, exchange(t, config, client.ClientConfig("127.0.0.1")))
}
