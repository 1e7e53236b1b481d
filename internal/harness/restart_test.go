package harness_test

import (
	"net"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/harness"
)

// TestKilledEntryRestartsOnTheSamePort guards against a restart that fails because
// an outgoing connection occupies the port of the killed process. Outgoing
// connections use the source address 127.0.0.1, so entries must listen on another
// loopback address.
func TestKilledEntryRestartsOnTheSamePort(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 1, Agents: 1, Slots: 1})
	u, err := url.Parse(c.URLs()[0])
	assert.NilError(t, err)
	callerConn, err := net.Dial("tcp", u.Host)
	assert.NilError(t, err)
	defer callerConn.Close()
	outgoingHost, _, err := net.SplitHostPort(callerConn.LocalAddr().String())
	assert.NilError(t, err)
	c.Entries[0].Kill()
	occupied, err := net.Listen("tcp", net.JoinHostPort(outgoingHost, u.Port()))
	assert.NilError(t, err)
	defer occupied.Close()
	assert.NilError(t, c.StartEntry(ctx, 0))
}
