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

// host is one incarnation of the real agent machine and its link.
type host struct {
	m       *agent.Machine
	name    string
	inc     wire.Incarnation
	epoch   wire.Epoch
	up      bool
	down    bool // the link is lost, which the entry has not noticed
	toAgent []*wire.ToAgent
	toEntry []*wire.ToEntry
	runs    []agent.Run
}

// pair is an entry with real agents behind links that delay and lose frames.
type pair struct {
	t       *rapid.T
	m       *entry.Machine
	now     time.Duration
	hosts   []*host
	nextInc wire.Incarnation
	order   []wire.SubmissionID
	answers map[wire.SubmissionID]*entry.JobAnswer
	tasks   map[wire.SubmissionID]int
	due     map[wire.SubmissionID]time.Duration
	started map[taskID]int
}

func (p *pair) entryStep(ev entry.Event) {
	for _, a := range p.m.Step(p.now, ev) {
		switch x := a.(type) {
		case entry.Send:
			for _, h := range p.hosts {
				if h.inc == x.Agent && h.epoch == x.Epoch && h.up {
					h.toAgent = append(h.toAgent, x.Frame)
				}
			}
		case entry.Answer:
			p.answered(x)
		}
	}
}

func (p *pair) answered(x entry.Answer) {
	if p.answers[x.Submission] != nil {
		p.t.Fatalf("answered twice")
	}
	p.answers[x.Submission] = &x.Answer
	for i := range p.tasks[x.Submission] {
		id := taskID{x.Submission, i}
		if x.Answer.Outcome == entry.Complete && string(x.Answer.Results[i]) != bodyOf(id) {
			p.t.Fatalf("wrong result")
		}
		if x.Answer.Outcome == entry.Refused && p.started[id] > 0 {
			p.t.Fatalf("refused although a task started")
		}
	}
}

func (p *pair) agentStep(h *host, ev agent.Event) {
	for _, a := range h.m.Step(p.now, ev) {
		switch x := a.(type) {
		case *agent.Send:
			if h.up && x.Epoch == h.epoch {
				h.toEntry = append(h.toEntry, x.Frame)
			}
		case *agent.Run:
			p.ran(h, *x)
		}
	}
}

func (p *pair) ran(h *host, x agent.Run) {
	id := taskID{x.Start.Submission, x.Start.Index}
	p.started[id]++
	if p.started[id] > 1 {
		p.t.Fatalf("task %v started twice", id)
	}
	if a := p.answers[id.sub]; a != nil && a.Outcome == entry.Refused {
		p.t.Fatalf("task %v started after its job was refused", id)
	}
	h.runs = append(h.runs, x)
}

func (p *pair) addHost(name string) {
	p.nextInc++
	p.hosts = append(p.hosts, &host{
		name: name, inc: p.nextInc,
		m: agent.New(agent.Options{Incarnation: p.nextInc, Slots: 2, LinkLease: 300 * time.Millisecond}),
	})
	p.connect(p.hosts[len(p.hosts)-1])
}

func (p *pair) connect(h *host) {
	h.epoch++
	h.up, h.down = true, false
	h.toAgent, h.toEntry = nil, nil
	p.agentStep(h, agent.LinkUp{Entry: 1, Epoch: h.epoch})
	p.entryStep(entry.LinkUp{Hello: wire.AgentHello{Agent: h.inc, Epoch: h.epoch, Name: h.name, Slots: 2}})
}

func (p *pair) pick(t *rapid.T, ok func(*host) bool) *host {
	var fit []*host
	for _, h := range p.hosts {
		if ok(h) {
			fit = append(fit, h)
		}
	}
	if len(fit) == 0 {
		t.Skip("no such host")
	}
	return fit[rapid.IntRange(0, len(fit)-1).Draw(t, "host")]
}

func (p *pair) submit(t *rapid.T) {
	var id wire.SubmissionID
	binary.BigEndian.PutUint64(id[:], uint64(len(p.order)+1))
	n := rapid.IntRange(1, 5).Draw(t, "tasks")
	deadline := time.Duration(rapid.IntRange(10, 2000).Draw(t, "deadline")) * time.Millisecond
	p.order = append(p.order, id)
	p.tasks[id], p.due[id] = n, p.now+deadline+entry.DefaultSettleBound
	var payloads [][]byte
	for i := range n {
		payloads = append(payloads, []byte(bodyOf(taskID{id, i})))
	}
	p.entryStep(entry.Submit{Submission: id, Class: "c", Deadline: deadline, Payloads: payloads})
}

func (p *pair) advance(t *rapid.T) {
	p.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	p.entryStep(entry.Tick{})
	for _, h := range p.hosts {
		p.agentStep(h, agent.Tick{})
	}
	for id, due := range p.due {
		if p.answers[id] == nil && p.now >= due {
			t.Fatalf("no answer by the deadline plus SettleBound")
		}
	}
}

// loseLink breaks a link with every frame on it; each side notices by itself.
func (p *pair) loseLink(t *rapid.T) {
	h := p.pick(t, func(h *host) bool { return h.up })
	h.up, h.down = false, true
	p.agentStep(h, agent.LinkDown{Entry: 1, Epoch: h.epoch})
	if rapid.Bool().Draw(t, "noticed") {
		p.entryStep(entry.LinkDown{Agent: h.inc, Epoch: h.epoch})
	}
}

func (p *pair) finish(t *rapid.T) {
	h := p.pick(t, func(h *host) bool { return len(h.runs) > 0 })
	i := rapid.IntRange(0, len(h.runs)-1).Draw(t, "run")
	x := h.runs[i]
	h.runs = append(h.runs[:i:i], h.runs[i+1:]...)
	outcome := wire.Succeeded
	if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
		outcome = wire.Failed
	}
	p.agentStep(h, agent.Finished{Attempt: x.Attempt, Outcome: outcome, Body: x.Start.Payload})
}

// restart replaces an agent incarnation by a new one of the same name.
func (p *pair) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(p.hosts)-1).Draw(t, "host")
	old := p.hosts[i]
	p.hosts = append(p.hosts[:i:i], p.hosts[i+1:]...)
	p.addHost(old.name)
	p.entryStep(entry.LinkDown{Agent: old.inc, Epoch: old.epoch})
}

// TestEntryAndAgentKeepAtMostOnceOverLossyLinks guards against a seam between
// the two machines that starts a task twice, or after a refusal, when frames
// are delayed or lost with their links and agents restart or drain.
func TestEntryAndAgentKeepAtMostOnceOverLossyLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pair{
			t: t, nextInc: 100, m: entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{})}),
			answers: map[wire.SubmissionID]*entry.JobAnswer{}, tasks: map[wire.SubmissionID]int{},
			due: map[wire.SubmissionID]time.Duration{}, started: map[taskID]int{},
		}
		p.entryStep(entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c"}}}})
		p.addHost("a")
		p.addHost("b")
		toAgent := func(t *rapid.T) {
			h := p.pick(t, func(h *host) bool { return h.up && len(h.toAgent) > 0 })
			f := h.toAgent[0]
			h.toAgent = h.toAgent[1:]
			p.agentStep(h, agent.Received{Entry: 1, Epoch: h.epoch, Frame: f})
		}
		toEntry := func(t *rapid.T) {
			h := p.pick(t, func(h *host) bool { return h.up && len(h.toEntry) > 0 })
			f := h.toEntry[0]
			h.toEntry = h.toEntry[1:]
			p.entryStep(entry.Received{Agent: h.inc, Epoch: h.epoch, Frame: f})
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":    p.submit,
			"cancel":    func(t *rapid.T) { p.cancel(t) },
			"advance":   p.advance,
			"toAgent1":  toAgent,
			"toAgent2":  toAgent,
			"toEntry1":  toEntry,
			"toEntry2":  toEntry,
			"finish":    p.finish,
			"loseLink":  p.loseLink,
			"reconnect": func(t *rapid.T) { p.connect(p.pick(t, func(*host) bool { return true })) },
			"restart":   p.restart,
			"drain": func(t *rapid.T) {
				p.agentStep(p.pick(t, func(*host) bool { return true }), agent.Drain{})
			},
		})
	})
}

func (p *pair) cancel(t *rapid.T) {
	if len(p.order) == 0 {
		t.Skip("no job")
	}
	p.entryStep(entry.CancelJob{Submission: rapid.SampledFrom(p.order).Draw(t, "job")})
}
