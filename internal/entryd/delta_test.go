package entryd_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/link"
)

// Guards against an entry that sends its agents the whole configuration on each
// change. After the first one it must send a delta that results in the same state.
func TestSecondConfigurationIsSentAsADelta(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	raw, err := net.Dial("tcp", e.PeerAddr())
	assert.NilError(t, err)
	conn := link.NewConn(raw)
	defer conn.Close()
	hello := wire.AgentHello{Protocol: wire.ProtocolVersion, Agent: 78, Epoch: 1, Name: "delta", Slots: 8}
	var reply wire.EntryHello
	assert.NilError(t, errors.Join(conn.WritePreface(), conn.Write(hello), conn.Flush(), conn.Read(&reply, time.Second)))

	m := config.New(config.Options{})
	first := publish(t, e, m, "first")
	got := nextConfig(t, conn)
	assert.DeepEqual(t, *got, wire.ConfigState{Version: m.Version(), State: first})
	second := publish(t, e, m, "second")
	got = nextConfig(t, conn)
	assert.Equal(t, got.BaseVersion, int64(1))
	merged, err := config.Merge(first, got.State)
	assert.NilError(t, err)
	assert.DeepEqual(t, merged, second)
}

// publish adds a class, configures the entry and returns the encoded state.
func publish(t *testing.T, e *entryd.Entry, m *config.Machine, class string) []byte {
	c := config.Change{Kind: config.KindClass, Name: class, Value: config.Value{ResponseTargetMicros: 1000}}
	body, err := (&config.Record{ID: config.ID{1}, Change: &c}).Encode()
	assert.NilError(t, err)
	m.Apply(m.Next(), 0, body)
	state := m.State().Encode()
	e.Configure(m.State().Settings(), m.Version(), state)
	return state
}

// nextConfig reads frames until one has a configuration. It sends a frame for each
// frame read, since the entry closes a link on which nothing arrives.
func nextConfig(t *testing.T, conn *link.Conn) *wire.ConfigState {
	for {
		var f wire.ToAgent
		assert.NilError(t, conn.Read(&f, 10*time.Second))
		load := wire.ToEntry{Load: wire.Load{Slots: 8, Limit: 8}}
		assert.NilError(t, errors.Join(conn.Write(load), conn.Flush()))
		if f.Config != nil {
			return f.Config
		}
	}
}
