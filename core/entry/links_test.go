package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against tasks that are sent to an agent that is gone, and wait there until the
// link is found dead: an entry that was frozen handles the connections of two agent
// incarnations in any order, and the earlier one may connect again while it is ending.
func TestEarlierAgentIncarnationIsNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name              string
		workerIncarnation int64
		takeoverTime      time.Duration
	}{
		{"same worker incarnation", 100, time.Second},
		{"earlier worker incarnation", 99, time.Minute},
	} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
		hello := func(agent wire.Incarnation, epoch wire.Epoch, workerIncarnation int64, takeoverTime time.Duration) entry.LinkUp {
			return entry.LinkUp{Hello: wire.AgentHello{
				Agent: agent, Epoch: epoch, Name: "w", Slots: 8, NoLeftoverRuns: true, WorkerIncarnation: workerIncarnation, TakeoverTime: wire.MicrosOf(takeoverTime),
			}}
		}
		m.Step(0, hello(1, 1, c.workerIncarnation, c.takeoverTime))
		m.Step(1, hello(2, 1, 100, 5*time.Second))
		m.Step(2, hello(1, 2, c.workerIncarnation, c.takeoverTime))
		submit := entry.Submit{Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1)}
		t.Log(c.name)
		assert.DeepEqual(t, startedAt(m.Step(3, submit)), []wire.Incarnation{2})
	}
}

// Guards against callers that wait for an agent that is gone: an agent with an HTTP
// upstream states neither worker incarnation nor takeover time, and is restarted.
func TestAttemptsOfReplacedHTTPAgentEndWithItsConnection(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1)})
	m.Step(1, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8}})
	answers := answersIn(m.Step(2, entry.LinkDown{Agent: 1, Epoch: 1}))
	assert.Equal(t, len(answers), 1)
}

// Guards against an answer that says that the outcome is unknown while the agent may still
// report it: the agent of the lost connection has replaced the one that is connected.
func TestEarlierHTTPAgentIsNotTakenForSuccessor(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
	m.Step(0, linkUp(1, 0))
	m.Step(1, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8}})
	submit := entry.Submit{Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1)}
	assert.DeepEqual(t, startedAt(m.Step(2, submit)), []wire.Incarnation{2})
	assert.Equal(t, len(answersIn(m.Step(3, entry.LinkDown{Agent: 2, Epoch: 1}))), 0)
}

// startedAt returns the agents to which starts are sent.
func startedAt(actions []entry.Action) (out []wire.Incarnation) {
	for _, a := range actions {
		if s, ok := a.(entry.Send); ok && len(s.Frame.Starts) > 0 {
			out = append(out, s.Agent)
		}
	}
	return out
}
