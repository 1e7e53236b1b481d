package harness_test

import (
	"net"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/harness"
)

// Guards against a restart that fails because an outgoing connection took the
// port of the killed process. Such connections have the source 127.0.0.1.
func TestRestartFindsItsPortFree(t *testing.T) {
	ctx, c := start(t, harness.ClusterOptions{Entries: 1, Agents: 1, Slots: 1})
	u, err := url.Parse(c.URLs()[0])
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", u.Host)
	assert.NilError(t, err)
	defer conn.Close()
	source, _, err := net.SplitHostPort(conn.LocalAddr().String())
	assert.NilError(t, err)
	c.Entries[0].Kill()
	taken, err := net.Listen("tcp", net.JoinHostPort(source, u.Port()))
	assert.NilError(t, err)
	defer taken.Close()
	assert.NilError(t, c.StartEntry(ctx, 0))
}
