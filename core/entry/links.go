package entry

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// agentLink is what the entry knows of one agent incarnation. It outlives its
// connections, since attempts stay in doubt until the agent reports on them.
type agentLink struct {
	agent    wire.Incarnation
	name     string
	life     int64       // of the agent's worker
	took     wire.Micros // see wire.AgentHello
	epoch    wire.Epoch
	up       bool
	downAt   time.Duration
	sentAt   time.Duration
	clock    wire.Micros // newest reading of the agent's clock that was received
	config   int64       // version that the agent has or was sent
	attempts window      // sent and not settled
	out      wire.ToAgent
	dirty    bool // out has content
}

// after reports whether the link's agent took its worker over later than the other.
func (l *agentLink) after(other *agentLink) bool {
	if l.life != other.life {
		return l.life > other.life
	}
	return l.took > other.took
}

func (m *Machine) linkUp(now time.Duration, h wire.AgentHello) {
	link := m.agents[h.Agent]
	if link == nil {
		link = &agentLink{agent: h.Agent, name: h.Name, life: h.Life, took: h.Took}
		m.agents[h.Agent] = link
		m.agentList = append(m.agentList, link)
	}
	if link.up && h.Epoch <= link.epoch {
		return
	}
	link.up = true
	link.epoch = h.Epoch
	link.sentAt = now
	link.config = h.ConfigVersion
	m.adoptEnds(now, link, h.Ends)
	m.replaceOlder(now, link, h.Clean)
	m.queryInFlight(link)
	m.offerConfig(link)
	if len(m.entries) > 0 {
		link.out.Entries = m.entries
		m.touch(link)
	}
	m.sched.AgentUp(now, policy.AgentInfo{
		Agent: h.Agent, Name: h.Name, Zone: h.Zone, Rack: h.Rack,
		Slots: h.Slots, Capacity: h.Capacity, Pool: h.Pool, Labels: h.Labels,
		Load: wire.Load{Slots: h.Slots, Limit: h.Slots},
	})
}

// replaceOlder gives up the other incarnations of the same name whose link is
// down: a worker has one agent, so a new incarnation proves the old one gone. A
// clean one proves that the old one's runs have ended as well.
func (m *Machine) replaceOlder(now time.Duration, newer *agentLink, clean bool) {
	if newer.name == "" {
		return
	}
	var older []*agentLink
	for _, link := range m.agentList {
		if link.name == newer.name && link != newer && !link.after(newer) && (clean || !link.up) {
			older = append(older, link)
		}
	}
	for _, link := range older {
		if clean {
			m.giveUp(now, link, wire.Failed, wire.ReasonRunEnded)
		}
		m.agentGone(now, link)
	}
}

// queryInFlight asks after every attempt that the lost connection left open.
// An attempt whose job is ending is cancelled as well, since the cancel may
// have been lost: otherwise the agent would start a task that nobody awaits.
func (m *Machine) queryInFlight(link *agentLink) {
	link.attempts.each(func(seq wire.Seq, t *task) {
		if t.job.ending || t.state != taskSent {
			m.cancelAttempt(link, seq)
		}
		link.out.Queries = append(link.out.Queries, seq)
		m.stats.Queries++
		if m.opts.Observer != nil {
			m.opts.Observer.Queried(t.job.info.Submission, t.sched.Index, link.name)
		}
	})
	m.touch(link)
}

// cancelAttempt tells the agent that nobody waits for the attempt. Without a
// link the cancel is sent when the attempt is queried.
func (m *Machine) cancelAttempt(link *agentLink, seq wire.Seq) {
	if !link.up {
		return
	}
	link.out.Cancels = append(link.out.Cancels, seq)
	m.stats.Cancels++
	m.touch(link)
}

func (m *Machine) linkDown(now time.Duration, e LinkDown) {
	link := m.agents[e.Agent]
	if link == nil || !link.up || link.epoch != e.Epoch {
		return
	}
	m.markDown(now, link)
	if m.hasNewer(link) {
		m.agentGone(now, link)
	}
}

// hasNewer reports whether another incarnation of the same name is connected.
func (m *Machine) hasNewer(link *agentLink) bool {
	return link.name != "" && slices.ContainsFunc(m.agentList, func(l *agentLink) bool {
		return l != link && l.up && l.name == link.name
	})
}

func (m *Machine) markDown(now time.Duration, link *agentLink) {
	link.up = false
	link.downAt = now
	link.out = wire.ToAgent{}
	m.sched.AgentDown(now, link.agent)
}

// agentGone forgets an agent incarnation; its attempts become unknown.
func (m *Machine) agentGone(now time.Duration, link *agentLink) {
	if link == nil {
		return
	}
	if link.up {
		m.markDown(now, link)
	}
	m.giveUp(now, link, wire.Unknown, wire.ReasonAgentLost)
	delete(m.agents, link.agent)
	if i := slices.Index(m.agentList, link); i >= 0 {
		m.agentList = slices.Delete(m.agentList, i, i+1)
	}
}

// giveUp ends every attempt in doubt on the link.
func (m *Machine) giveUp(now time.Duration, link *agentLink, o wire.Outcome, reason wire.Reason) {
	var seqs []wire.Seq
	link.attempts.each(func(seq wire.Seq, _ *task) { seqs = append(seqs, seq) })
	for _, seq := range seqs {
		m.result(now, link, &wire.Result{Seq: seq, Outcome: o, Reason: reason})
	}
}

func (m *Machine) received(now time.Duration, e Received) {
	link := m.agents[e.Agent]
	if link == nil || !link.up || link.epoch != e.Epoch {
		return // a frame of a replaced connection
	}
	link.clock = max(link.clock, e.Frame.Clock)
	for i := range e.Frame.Results {
		m.result(now, link, &e.Frame.Results[i])
	}
	m.adoptEnds(now, link, e.Frame.Ends)
	m.sched.Observe(now, e.Agent, e.Frame.Load)
	if e.Frame.Config != nil {
		m.learnConfig(link, e.Frame.Config)
	}
}

// tickLinks sends heartbeats and forgets agents whose lease lapsed.
func (m *Machine) tickLinks(now time.Duration) {
	var lapsed []*agentLink
	for _, link := range m.agentList {
		switch {
		case link.up && now-link.sentAt >= m.opts.HeartbeatInterval:
			m.touch(link)
		case !link.up && now-link.downAt >= m.opts.AgentLease:
			lapsed = append(lapsed, link)
		}
	}
	for _, link := range lapsed {
		m.agentGone(now, link)
	}
}
