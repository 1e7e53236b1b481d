package entry_test

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// embedder connects an entry and an agent in one goroutine, without sockets.
type embedder struct {
	now   time.Duration
	entry *entry.Machine
	agent *agent.Machine
}

const (
	entryID = wire.Incarnation(1)
	agentID = wire.Incarnation(2)
	epoch   = wire.Epoch(1)
)

// toEntry applies an event to the entry and carries out its actions.
func (x *embedder) toEntry(ev entry.Event) {
	// Copy the actions: the next Step, which a nested call makes, reuses the slice.
	for _, action := range append([]entry.Action(nil), x.entry.Step(x.now, ev)...) {
		switch a := action.(type) {
		case entry.Send:
			x.toAgent(agent.Received{Entry: entryID, Epoch: a.Epoch, Frame: a.Frame})
		case entry.Answer:
			fmt.Printf("%s: %q\n", a.Answer.Outcome, a.Answer.Results)
		}
	}
}

// toAgent applies an event to the agent and carries out its actions.
func (x *embedder) toAgent(ev agent.Event) {
	for _, action := range append([]agent.Action(nil), x.agent.Step(x.now, ev)...) {
		switch a := action.(type) {
		case *agent.Send:
			x.toEntry(entry.Received{Agent: agentID, Epoch: a.Epoch, Frame: a.Frame})
		case *agent.Run:
			fmt.Printf("task %d runs\n", a.Start.Index)
			x.now += 50 * time.Millisecond // the work itself
			result := append([]byte("done "), a.Start.Payload...)
			x.toAgent(agent.Finished{Attempt: a.Attempt, Outcome: wire.Succeeded, RunTime: 50 * time.Millisecond, Body: result})
		}
	}
}

// An embedder runs both machines itself: it delivers events, carries out
// actions, and passes the frames of each machine to the other.
func ExampleMachine() {
	x := &embedder{
		entry: entry.New(entry.Options{Incarnation: entryID, Scheduler: policy.NewLeastBusy()}),
		agent: agent.New(agent.Options{Incarnation: agentID, Slots: 2}),
	}
	x.toEntry(entry.Configured{Settings: policy.Settings{
		Classes: []policy.Class{{Name: "quote", ResponseTarget: time.Second}},
	}})
	x.toAgent(agent.LinkUp{Entry: entryID, Epoch: epoch})
	x.toEntry(entry.LinkUp{Hello: wire.AgentHello{Agent: agentID, Epoch: epoch, Name: "worker", Slots: 2}})
	x.toEntry(entry.Submit{
		Submission: wire.SubmissionID{1}, Class: "quote", Deadline: time.Minute,
		Payloads: [][]byte{[]byte("a"), []byte("b")},
	})
	// Output:
	// task 0 runs
	// task 1 runs
	// complete: ["done a" "done b"]
}
