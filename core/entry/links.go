package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// agentLink is what the entry knows of one agent incarnation. It outlives its
// connections, since attempts stay in doubt until the agent reports on them.
type agentLink struct {
	agent    wire.Incarnation
	name     string
	epoch    wire.Epoch
	up       bool
	downAt   time.Duration
	sentAt   time.Duration
	attempts map[wire.Seq]*task // sent and not settled
	out      wire.ToAgent       // content of the next frame
	greet    bool               // send a frame even without content
}

func (m *Machine) linkUp(now time.Duration, h wire.AgentHello) {
	m.replaceOlder(now, h)
	link := m.agents[h.Agent]
	if link == nil {
		link = &agentLink{agent: h.Agent, name: h.Name, attempts: make(map[wire.Seq]*task)}
		m.agents[h.Agent] = link
		m.agentList = append(m.agentList, link)
	}
	if link.up && h.Epoch <= link.epoch {
		return
	}
	link.up = true
	link.epoch = h.Epoch
	link.sentAt = now
	link.out = wire.ToAgent{}
	m.queryInFlight(link)
	m.sched.AgentUp(now, policy.AgentInfo{
		Agent: h.Agent, Name: h.Name, Zone: h.Zone, Rack: h.Rack,
		Slots: h.Slots, Capacity: h.Capacity,
		Load: wire.Load{Slots: h.Slots, Limit: h.Slots},
	})
}

// replaceOlder gives up the earlier incarnations that had the same name: a
// worker has one agent, so a new incarnation proves that the old one is gone.
func (m *Machine) replaceOlder(now time.Duration, h wire.AgentHello) {
	if h.Name == "" {
		return
	}
	for _, link := range m.agentList {
		if link.name == h.Name && link.agent != h.Agent && !link.up {
			m.agentGone(now, link.agent)
			return
		}
	}
}

// queryInFlight asks after every attempt that the lost connection left open.
func (m *Machine) queryInFlight(link *agentLink) {
	for seq := range link.attempts {
		link.out.Queries = append(link.out.Queries, seq)
	}
	sortSeqs(link.out.Queries)
	m.stats.Queries += uint64(len(link.out.Queries))
}

func (m *Machine) linkDown(now time.Duration, e LinkDown) {
	link := m.agents[e.Agent]
	if link == nil || !link.up || link.epoch != e.Epoch {
		return
	}
	link.up = false
	link.downAt = now
	link.out = wire.ToAgent{}
	m.sched.AgentDown(now, e.Agent)
}

// agentGone forgets an agent incarnation; its attempts become unknown.
func (m *Machine) agentGone(now time.Duration, agent wire.Incarnation) {
	link := m.agents[agent]
	if link == nil {
		return
	}
	if link.up {
		link.up = false
		m.sched.AgentDown(now, agent)
	}
	m.giveUp(now, link)
	delete(m.agents, agent)
	for i, l := range m.agentList {
		if l == link {
			m.agentList = append(m.agentList[:i], m.agentList[i+1:]...)
			return
		}
	}
}

// giveUp ends every attempt in doubt on the link as unknown.
func (m *Machine) giveUp(now time.Duration, link *agentLink) {
	seqs := make([]wire.Seq, 0, len(link.attempts))
	for seq := range link.attempts {
		seqs = append(seqs, seq)
	}
	sortSeqs(seqs)
	for _, seq := range seqs {
		m.result(now, link, &wire.Result{Seq: seq, Outcome: wire.Unknown, Reason: wire.ReasonAgentLost})
	}
}

func (m *Machine) received(now time.Duration, e Received) {
	link := m.agents[e.Agent]
	if link == nil || !link.up || link.epoch != e.Epoch {
		return
	}
	for i := range e.Frame.Results {
		m.result(now, link, &e.Frame.Results[i])
	}
	m.sched.Observe(now, e.Agent, e.Frame.Load)
}

// flush sends one frame to each agent with content or a heartbeat due.
func (m *Machine) flush(now time.Duration) {
	for _, link := range m.agentList {
		if !link.up {
			continue
		}
		f := &link.out
		empty := len(f.Starts) == 0 && len(f.Cancels) == 0 && len(f.Queries) == 0 &&
			f.Config == nil && len(f.Entries) == 0
		if empty && !link.greet && now-link.sentAt < m.opts.HeartbeatInterval {
			continue
		}
		if empty {
			m.stats.Heartbeats++
		}
		frame := link.out
		frame.Floor = m.floor(link)
		link.out = wire.ToAgent{}
		link.greet = false
		link.sentAt = now
		m.emit(Send{Agent: link.agent, Epoch: link.epoch, Frame: &frame})
	}
}

// floor returns the lowest seq that is still open at the agent.
func (m *Machine) floor(link *agentLink) wire.Seq {
	low := m.nextSeq
	for seq := range link.attempts {
		low = min(low, seq)
	}
	return low
}
