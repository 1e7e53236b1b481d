package entry_test

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// agentHost is one incarnation of the real agent machine, with its link.
type agentHost struct {
	machine       *agent.Machine
	name          string
	incarnation   wire.Incarnation
	epoch         wire.Epoch
	up            bool
	unnoticedLoss bool // the link was lost since its last LinkUp
	toAgent       []*wire.ToAgent
	toEntry       []*wire.ToEntry
	running       []agent.Run
}

// entryWithAgents connects an entry to real agent machines by links that delay
// and lose frames.
type entryWithAgents struct {
	t               *rapid.T
	m               *entry.Machine
	now             time.Duration
	hosts           []*agentHost
	nextIncarnation wire.Incarnation
	submissions     []wire.SubmissionID
	answers         map[wire.SubmissionID]*entry.JobAnswer
	tasks           map[wire.SubmissionID]int
	answerBy        map[wire.SubmissionID]time.Duration
	startCounts     map[taskID]int
}

func (sys *entryWithAgents) entryStep(ev entry.Event) {
	for _, a := range sys.m.Step(sys.now, ev) {
		switch action := a.(type) {
		case entry.Send:
			for _, h := range sys.hosts {
				if h.incarnation == action.Agent && h.epoch == action.Epoch && h.up {
					h.toAgent = append(h.toAgent, action.Frame)
				}
			}
		case entry.Answer:
			sys.recordAnswer(action)
		}
	}
}

func (sys *entryWithAgents) recordAnswer(action entry.Answer) {
	if sys.answers[action.Submission] != nil {
		sys.t.Fatalf("the submission was answered twice")
	}
	sys.answers[action.Submission] = &action.Answer
	for i := range sys.tasks[action.Submission] {
		id := taskID{action.Submission, i}
		if action.Answer.Outcome == entry.Complete && string(action.Answer.Results[i]) != expectedBody(id) {
			sys.t.Fatalf("the answer has a wrong result")
		}
		if action.Answer.Outcome == entry.Refused && sys.startCounts[id] > 0 {
			sys.t.Fatalf("the job was refused although a task started")
		}
	}
}

func (sys *entryWithAgents) agentStep(h *agentHost, ev agent.Event) {
	for _, a := range h.machine.Step(sys.now, ev) {
		switch action := a.(type) {
		case *agent.Send:
			if h.up && action.Epoch == h.epoch {
				h.toEntry = append(h.toEntry, action.Frame)
			}
		case *agent.Run:
			sys.recordRun(h, *action)
		}
	}
}

func (sys *entryWithAgents) recordRun(h *agentHost, run agent.Run) {
	id := taskID{run.Start.Submission, run.Start.Index}
	sys.startCounts[id]++
	if sys.startCounts[id] > 1 {
		sys.t.Fatalf("task %v started twice", id)
	}
	if a := sys.answers[id.sub]; a != nil && a.Outcome == entry.Refused {
		sys.t.Fatalf("task %v started after its job was refused", id)
	}
	h.running = append(h.running, run)
}

func (sys *entryWithAgents) addHost(name string) {
	sys.nextIncarnation++
	sys.hosts = append(sys.hosts, &agentHost{
		name: name, incarnation: sys.nextIncarnation,
		machine: agent.New(agent.Options{Incarnation: sys.nextIncarnation, Slots: 2, LostLinkTimeout: 300 * time.Millisecond}),
	})
	sys.connect(sys.hosts[len(sys.hosts)-1])
}

func (sys *entryWithAgents) connect(h *agentHost) {
	h.epoch++
	h.up, h.unnoticedLoss = true, false
	h.toAgent, h.toEntry = nil, nil
	sys.agentStep(h, agent.LinkUp{Entry: 1, Epoch: h.epoch})
	sys.entryStep(entry.LinkUp{Hello: wire.AgentHello{Agent: h.incarnation, Epoch: h.epoch, Name: h.name, Slots: 2}})
}

func (sys *entryWithAgents) pickHost(t *rapid.T, ok func(*agentHost) bool) *agentHost {
	var candidates []*agentHost
	for _, h := range sys.hosts {
		if ok(h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such host")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "host")]
}

func (sys *entryWithAgents) submit(t *rapid.T) {
	var id wire.SubmissionID
	binary.BigEndian.PutUint64(id[:], uint64(len(sys.submissions)+1))
	n := rapid.IntRange(1, 5).Draw(t, "tasks")
	deadline := time.Duration(rapid.IntRange(10, 2000).Draw(t, "deadline")) * time.Millisecond
	sys.submissions = append(sys.submissions, id)
	sys.tasks[id], sys.answerBy[id] = n, sys.now+deadline+entry.DefaultSettleTimeout
	var payloads [][]byte
	for i := range n {
		payloads = append(payloads, []byte(expectedBody(taskID{id, i})))
	}
	sys.entryStep(entry.Submit{Submission: id, Class: "c", Deadline: deadline, Payloads: payloads})
}

func (sys *entryWithAgents) advance(t *rapid.T) {
	sys.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	sys.entryStep(entry.Tick{})
	for _, h := range sys.hosts {
		sys.agentStep(h, agent.Tick{})
	}
	for id, answerBy := range sys.answerBy {
		if sys.answers[id] == nil && sys.now >= answerBy {
			t.Fatalf("no answer by the deadline plus the settle timeout")
		}
	}
}

// loseLink breaks a link and drops all frames on it. The agent notices at once,
// the entry at once or later.
func (sys *entryWithAgents) loseLink(t *rapid.T) {
	h := sys.pickHost(t, func(h *agentHost) bool { return h.up })
	h.up, h.unnoticedLoss = false, true
	sys.agentStep(h, agent.LinkDown{Entry: 1, Epoch: h.epoch})
	if rapid.Bool().Draw(t, "noticed") {
		sys.entryStep(entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
	}
}

func (sys *entryWithAgents) finish(t *rapid.T) {
	h := sys.pickHost(t, func(h *agentHost) bool { return len(h.running) > 0 })
	i := rapid.IntRange(0, len(h.running)-1).Draw(t, "run")
	run := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	outcome := wire.Succeeded
	if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
		outcome = wire.Failed
	}
	sys.agentStep(h, agent.Finished{Attempt: run.Attempt, Outcome: outcome, Body: run.Start.Payload})
}

// restart replaces an agent incarnation by a new one of the same name.
func (sys *entryWithAgents) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(sys.hosts)-1).Draw(t, "host")
	old := sys.hosts[i]
	sys.hosts = append(sys.hosts[:i:i], sys.hosts[i+1:]...)
	sys.addHost(old.name)
	sys.entryStep(entry.LinkDown{Agent: old.incarnation, Epoch: old.epoch})
}

// Guards against a task that the two machines together start twice, or start
// after its job was refused, when frames are delayed or lost with their links
// and agents restart or drain.
func TestTasksStartAtMostOnceOverLossyLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sys := &entryWithAgents{
			t: t, nextIncarnation: 100, m: entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{})}),
			answers: map[wire.SubmissionID]*entry.JobAnswer{}, tasks: map[wire.SubmissionID]int{},
			answerBy: map[wire.SubmissionID]time.Duration{}, startCounts: map[taskID]int{},
		}
		sys.entryStep(entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c"}}}})
		sys.addHost("a")
		sys.addHost("b")
		deliverToAgent := func(t *rapid.T) {
			h := sys.pickHost(t, func(h *agentHost) bool { return h.up && len(h.toAgent) > 0 })
			f := h.toAgent[0]
			h.toAgent = h.toAgent[1:]
			sys.agentStep(h, agent.Received{Entry: 1, Epoch: h.epoch, Frame: f})
		}
		deliverToEntry := func(t *rapid.T) {
			h := sys.pickHost(t, func(h *agentHost) bool { return h.up && len(h.toEntry) > 0 })
			f := h.toEntry[0]
			h.toEntry = h.toEntry[1:]
			sys.entryStep(entry.Received{Agent: h.incarnation, Epoch: h.epoch, Frame: f})
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":    sys.submit,
			"cancel":    func(t *rapid.T) { sys.cancel(t) },
			"advance":   sys.advance,
			"toAgent1":  deliverToAgent,
			"toAgent2":  deliverToAgent,
			"toEntry1":  deliverToEntry,
			"toEntry2":  deliverToEntry,
			"finish":    sys.finish,
			"loseLink":  sys.loseLink,
			"reconnect": func(t *rapid.T) { sys.connect(sys.pickHost(t, func(*agentHost) bool { return true })) },
			"restart":   sys.restart,
			"drain": func(t *rapid.T) {
				sys.agentStep(sys.pickHost(t, func(*agentHost) bool { return true }), agent.Drain{})
			},
		})
	})
}

func (sys *entryWithAgents) cancel(t *rapid.T) {
	if len(sys.submissions) == 0 {
		t.Skip("no job")
	}
	sys.entryStep(entry.CancelJob{Submission: rapid.SampledFrom(sys.submissions).Draw(t, "job")})
}
