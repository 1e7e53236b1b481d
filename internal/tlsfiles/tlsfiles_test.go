package tlsfiles_test

import (
	"crypto/tls"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/tlsfiles"
	"github.com/limpettrail/limpettrail/internal/tlsfiles/tlstest"
)

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
	ours, other := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, err := tlsfiles.Load(ours.Issue(t, t.TempDir(), "127.0.0.1", ours))
	assert.NilError(t, err)
	client, err := tlsfiles.Load(ours.Issue(t, t.TempDir(), "127.0.0.1", ours))
	assert.NilError(t, err)
	assert.NilError(t, exchange(t, server.Server(), client.Client("127.0.0.1")))

	stranger, err := tlsfiles.Load(other.Issue(t, t.TempDir(), "127.0.0.1", ours))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, server.Server(), stranger.Client("127.0.0.1")) != nil)
	assert.Assert(t, exchange(t, stranger.Server(), client.Client("127.0.0.1")) != nil)
	assert.Assert(t, exchange(t, server.Server(), &tls.Config{InsecureSkipVerify: true}) != nil)

	wrongAddress, err := tlsfiles.Load(ours.Issue(t, t.TempDir(), "127.0.0.9", ours))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, wrongAddress.Server(), client.Client("127.0.0.1")) != nil)
}

// Guards against a rotation that needs a restart, and against a broken file
// that takes a running listener down.
func TestFilesAreReloadedAndBrokenOnesIgnored(t *testing.T) {
	old, renewed := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	dir := t.TempDir()
	server, err := tlsfiles.Load(old.Issue(t, dir, "127.0.0.1", old))
	assert.NilError(t, err)
	config := server.Server()
	client, err := tlsfiles.Load(renewed.Issue(t, t.TempDir(), "127.0.0.1", renewed))
	assert.NilError(t, err)
	assert.Assert(t, exchange(t, config, client.Client("127.0.0.1")) != nil)

	files := renewed.Issue(t, dir, "127.0.0.1", renewed)
	assert.NilError(t, server.Reload())
	assert.NilError(t, exchange(t, config, client.Client("127.0.0.1")))

	tlstest.Write(t, files.Cert, []byte("broken"))
	assert.Assert(t, server.Reload() != nil)
	assert.NilError(t, exchange(t, config, client.Client("127.0.0.1")))
}
