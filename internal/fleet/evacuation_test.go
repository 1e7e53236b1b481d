package fleet

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// Guards against an entry that is ready before it has asked for the requests, and against one
// that a store without an answer keeps out of service.
func TestEntryIsReadyOnceItHasAskedForRequests(t *testing.T) {
	assert.Assert(t, !evacuationsSettled(time.Second, false, 0))
	assert.Assert(t, evacuationsSettled(time.Second, true, 0))
	assert.Assert(t, evacuationsSettled(time.Second, false, startHoldTimeout))
	assert.Assert(t, evacuationsSettled(0, false, 0))
}

// scriptedConfigs publishes a configuration and then what is sent to updates.
type scriptedConfigs struct {
	fakeConfigs
	updates chan ConfigUpdate
	waits   chan time.Duration
}

func (c *scriptedConfigs) Next(ctx context.Context, wait time.Duration) (ConfigUpdate, error) {
	if !c.published {
		return c.fakeConfigs.Next(ctx, wait)
	}
	select {
	case c.waits <- wait:
	default:
	}
	select {
	case u := <-c.updates:
		return u, nil
	case <-ctx.Done():
		return ConfigUpdate{}, ctx.Err()
	}
}

// startEvacuationEntry starts an entry whose state follows the updates that are sent.
func startEvacuationEntry(t *testing.T, bound time.Duration) (*EntryNode, *scriptedConfigs) {
	configs := &scriptedConfigs{updates: make(chan ConfigUpdate), waits: make(chan time.Duration, 1)}
	n, err := StartEntry(EntryOptions{
		Name: "e", Zone: "z", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		CallerHandler: func(entryd.Submitter, StoredJobs) http.Handler { return http.NotFoundHandler() },
		JobLog:        &fakeJobLog{release: make(chan struct{})}, Configs: configs, Directory: fakeDirectory{},
		Incarnation: 1, EvacuationBound: bound,
	})
	assert.NilError(t, err)
	t.Cleanup(n.Kill)
	return n, configs
}

// startEvacuationAgent starts an agent in zone "a".
func startEvacuationAgent(t *testing.T, n *EntryNode, list func(context.Context) (wire.Evacuations, error), m agent.Options) func() agentd.Status {
	a := agentd.Start(agentd.Options{
		Name: "a", Zone: "a", Slots: 1, UpstreamURL: "http://127.0.0.1:9/", Entries: []string{n.entry.PeerAddr()}, ListEvacuations: list, Machine: m,
	})
	t.Cleanup(a.Kill)
	await(t, func() bool { return a.Links() == 1 && n.entry.Ready() })
	return func() agentd.Status {
		s, _ := a.Status()
		return s
	}
}

// Guards against requests that are read but do not reach the agent's check, and against reads
// that wait for so long that agents take the state for old.
func TestRequestThatIsReadReachesTheAgent(t *testing.T) {
	n, configs := startEvacuationEntry(t, 800*time.Millisecond)
	status := startEvacuationAgent(t, n, nil, agent.Options{})
	assert.Equal(t, <-configs.waits, 100*time.Millisecond)
	configs.updates <- ConfigUpdate{ReadToEnd: true, Evacuations: &wire.Evacuations{AsOf: 3, Zones: []string{"a"}}}
	await(t, func() bool { s := status(); return s.Load.Evacuated && s.EvacuationsAsOf == 3 })
	configs.updates <- ConfigUpdate{Evacuations: &wire.Evacuations{AsOf: 4}}
	await(t, func() bool { return !status().Load.Evacuated })
}

// Guards against an entry that applies requests although its settings do not enable them.
func TestRequestsHaveNoEffectUnlessEnabled(t *testing.T) {
	n, configs := startEvacuationEntry(t, 0)
	status := startEvacuationAgent(t, n, nil, agent.Options{})
	assert.Equal(t, <-configs.waits, configReadWait)
	configs.updates <- ConfigUpdate{ReadToEnd: true, Evacuations: &wire.Evacuations{AsOf: 3, Zones: []string{"a"}}}
	configs.updates <- ConfigUpdate{} // the first one was handled
	assert.Assert(t, !status().Load.Evacuated)
}

// Guards against an agent whose entries cannot read the store and that does not list the
// requests itself, gives up after a listing that failed, or keeps the result from entries.
func TestAgentListsRequestsThatNoEntryReads(t *testing.T) {
	n, _ := startEvacuationEntry(t, time.Minute)
	calls := 0
	status := startEvacuationAgent(t, n, func(context.Context) (wire.Evacuations, error) {
		if calls++; calls == 1 {
			return wire.Evacuations{}, errors.New("the store does not answer")
		}
		return wire.Evacuations{AsOf: 3, Zones: []string{"a"}}, nil
	}, agent.Options{EvacuationBound: 40 * time.Millisecond})
	await(t, func() bool { return status().Load.Evacuated })
	await(t, func() bool { return n.entry.Evacuations().AsOf == 3 })
}

// Guards against an agent of the worker's next incarnation that begins without the state, or
// with an older one that a late agent of an earlier incarnation has reported.
func TestNewestStateIsKeptForTheNextIncarnation(t *testing.T) {
	n := &AgentNode{}
	assert.Equal(t, n.knownEvacuations().AsOf, int64(0))
	n.keepEvacuations(wire.Evacuations{AsOf: 5, Zones: []string{"a"}})
	n.keepEvacuations(wire.Evacuations{AsOf: 4})
	assert.DeepEqual(t, n.knownEvacuations(), wire.Evacuations{AsOf: 5, Zones: []string{"a"}})
}
