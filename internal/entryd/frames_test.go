package entryd_test

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/link"
)

// connectAgent opens the link of an agent and keeps it open for the test.
func connectAgent(t *testing.T, e *entryd.Entry, hello wire.AgentHello) (*link.Conn, error) {
	raw, err := net.Dial("tcp", e.PeerAddr())
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { raw.Close() })
	conn := link.NewConn(raw)
	var reply wire.EntryHello
	return conn, errors.Join(conn.WritePreface(), conn.Write(hello), conn.Flush(), conn.Read(&reply, time.Minute))
}

// Guards against links that are closed because the frames of all agents take too much memory:
// the agents connect again, send the same frames, and are closed again. The machine is the
// smallest one, and the core does not run until all frames are sent.
func TestFramesOfAgentsWaitForMemory(t *testing.T) {
	const agents, frames, size = 240, 3, 64 << 10
	shares, err := ingress.SharesOf(ingress.Machine{Memory: 144 << 20, Descriptors: 3075})
	assert.NilError(t, err)
	e := startEntry(t, entryd.Options{Shares: shares, SilenceTimeout: time.Minute})
	frame := wire.ToEntry{Results: []wire.Result{{Seq: 1, Outcome: wire.Succeeded, Body: make([]byte, size-200)}}}
	conns := make([]*link.Conn, agents)
	errs := make([]error, agents)
	var all sync.WaitGroup
	for i := range conns {
		all.Go(func() {
			conns[i], errs[i] = connectAgent(t, e, wire.AgentHello{
				Protocol: wire.ProtocolVersion, Agent: wire.Incarnation(i + 1), Epoch: 1, Name: "fake", Slots: 1,
			})
		})
	}
	all.Wait()
	assert.NilError(t, errors.Join(errs...))
	release := e.HoldCore()
	for i, conn := range conns {
		all.Go(func() {
			for range frames {
				errs[i] = errors.Join(errs[i], conn.Write(&frame), conn.Flush())
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // frames arrive while the core does not run
	release()
	all.Wait()
	assert.NilError(t, errors.Join(errs...))
	waitFor(t, "all frames", func() bool { return e.LateResults() == agents*frames })
}
