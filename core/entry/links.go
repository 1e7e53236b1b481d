package entry

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// agentLink is the state that the entry keeps for one agent incarnation. It
// outlives its connections, because attempts stay in doubt until the agent
// reports their outcome.
type agentLink struct {
	incarnation       wire.Incarnation
	name              string
	capacity          wire.Capacity // of its worker
	workerIncarnation int64         // see wire.AgentHello.WorkerIncarnation
	takeoverTime      wire.Micros   // the worker's clock when this incarnation took over
	epoch             wire.Epoch
	up                bool
	downAt            time.Duration // when the connection was lost
	givenUp           bool          // see Machine.giveUpAttempts
	withdrawn         bool          // see Machine.withdraw
	info              policy.AgentInfo
	sentAt            time.Duration // when the last frame was sent
	agentClock        wire.Micros   // latest reading of the agent's clock that was received
	checkedClock      wire.Micros   // the latest one received before the last CallersChecked
	configVersion     int64         // version that the agent has or was sent
	pushConfigAt      time.Duration // when the configuration is sent if the agent still lacks it; 0 if not due
	configSentAt      time.Duration // when a configuration was last sent
	// evacuations is the state that the agent stated or was sent last on this link.
	evacuations wire.Evacuations
	attempts    attemptWindow // attempts that were sent and are not settled
	outgoing    wire.ToAgent  // content of the next frames
	dirty       bool          // listed in Machine.dirtyLinks
}

// tookOverAfter reports whether the link's agent took over its worker later
// than the other link's agent.
func (l *agentLink) tookOverAfter(other *agentLink) bool {
	if l.workerIncarnation != other.workerIncarnation {
		return l.workerIncarnation > other.workerIncarnation
	}
	return l.takeoverTime > other.takeoverTime
}

// statesTakeover reports whether the link's agent states when it took over its worker.
func (l *agentLink) statesTakeover() bool {
	return l.workerIncarnation != 0 || l.takeoverTime != 0
}

func (m *Machine) linkUp(now time.Duration, h wire.AgentHello) {
	link := m.agents[h.Agent]
	if link == nil {
		link = &agentLink{incarnation: h.Agent, name: h.Name, workerIncarnation: h.WorkerIncarnation, takeoverTime: h.TakeoverTime}
		if m.hasLaterIncarnation(now, link) {
			return // the agent is gone or ending; it closes a connection without frames
		}
		m.agents[h.Agent] = link
		m.agentList = append(m.agentList, link)
	}
	if link.up && h.Epoch <= link.epoch || link.withdrawn && m.isReplaced(link) {
		return
	}
	link.up = true
	link.givenUp = false
	link.withdrawn = false
	link.epoch = h.Epoch
	link.capacity = h.Capacity
	link.sentAt = now
	link.configVersion = h.ConfigVersion
	link.pushConfigAt = 0
	// The finished runs come first: the attempts of older incarnations that are
	// still open afterwards end, and their tasks are repeated.
	m.applyFinishedRuns(now, link, h.FinishedRuns)
	m.removeOlderIncarnations(now, link, h.NoLeftoverRuns)
	m.queryInFlight(link)
	m.offerConfig(now, link)
	link.evacuations = wire.Evacuations{}
	m.offerEvacuations(link)
	m.noteVersion(link, h.ConfigVersion)
	if len(m.entries) > 0 {
		link.outgoing.Entries = m.entries
		m.scheduleSend(link)
	}
	link.info = policy.AgentInfo{
		Agent: h.Agent, Name: h.Name, Zone: h.Zone, Rack: h.Rack,
		Slots: h.Slots, Capacity: h.Capacity, Pool: h.Pool, Labels: h.Labels,
		Load: wire.Load{Slots: h.Slots, Limit: h.Slots},
	}
	m.scheduler.AgentUp(now, link.info)
}

// hasLaterIncarnation reports whether an agent of the same name is known that took over
// the worker later. One whose runs must have ended does not count: it is kept only for
// starts in doubt, and the worker's time of day may have been set back since.
func (m *Machine) hasLaterIncarnation(now time.Duration, link *agentLink) bool {
	return link.name != "" && slices.ContainsFunc(m.agentList, func(l *agentLink) bool {
		return l.name == link.name && l.tookOverAfter(link) && !m.lostRunsEnded(now, l)
	})
}

// removeOlderIncarnations removes the earlier incarnations of the same name
// whose link is down: a worker has one agent, so a new incarnation proves that
// the old one is gone. One that is not proved to be earlier stays until its runs must
// have ended: it may be the later one, whose connection is interrupted. If no run is
// left over at the worker, the runs of the earlier incarnations have ended. Those whose
// link is still up are then removed as well if they are proved to be earlier; otherwise
// they are not used any more.
func (m *Machine) removeOlderIncarnations(now time.Duration, newer *agentLink, noLeftoverRuns bool) {
	if newer.name == "" {
		return
	}
	var older []*agentLink
	for _, link := range m.agentList {
		switch {
		case link.name != newer.name || link == newer || link.tookOverAfter(newer):
		case newer.provablyAfter(link) && (!link.up || noLeftoverRuns), m.lostRunsEnded(now, link):
			older = append(older, link)
		case !link.up: // see endLostRuns
		case noLeftoverRuns:
			m.withdraw(now, link)
		}
	}
	for _, link := range older {
		if noLeftoverRuns {
			m.endAttempts(now, link, wire.Failed, wire.ReasonRunEnded)
		}
		m.removeAgent(now, link)
	}
}

// queryInFlight queries every attempt that is still open after the loss of the
// previous connection. An attempt that was cancelled is cancelled again, because the
// cancel may have been lost: otherwise the agent would start a task that nobody waits
// for, or the job would wait for a run that is stuck or whose gang has ended.
func (m *Machine) queryInFlight(link *agentLink) {
	link.attempts.forEach(func(seq wire.Seq, t *task) {
		if t.job.ending || t.state != taskInFlight || t.cancelledSeq == seq {
			m.cancelAttempt(link, seq)
		}
		link.outgoing.Queries = append(link.outgoing.Queries, seq)
		m.stats.Queries++
		if m.opts.Observer != nil {
			m.opts.Observer.Queried(t.job.schedJob.Submission, t.schedTask.Index, link.name)
		}
	})
	m.scheduleSend(link)
}

// cancelAttempt tells the agent to cancel the attempt. Without a link, the
// cancel is sent when the attempt is queried.
func (m *Machine) cancelAttempt(link *agentLink, seq wire.Seq) {
	if !link.up {
		return
	}
	link.outgoing.Cancels = append(link.outgoing.Cancels, seq)
	m.stats.Cancels++
	m.scheduleSend(link)
}

func (m *Machine) linkDown(now time.Duration, e LinkDown) {
	link := m.agents[e.Agent]
	if link == nil || !link.up || link.epoch != e.Epoch {
		return
	}
	m.markDown(now, link)
	if m.hasConnectedSuccessor(link) {
		m.removeAgent(now, link)
	}
}

// hasConnectedSuccessor reports whether a provably later incarnation of the same name is
// connected. An earlier one may be connected too, because it connects again while it is
// ending or because its end has not been noticed. Agents with an HTTP upstream do not
// state when they took over their worker; of two such incarnations the one that was
// first seen later counts as the later one.
func (m *Machine) hasConnectedSuccessor(link *agentLink) bool {
	if link.name == "" {
		return false
	}
	seenLater := false // whether l was first seen after link
	for _, l := range m.agentList {
		switch {
		case l == link:
			seenLater = true
		case !l.up || l.name != link.name:
		case l.tookOverAfter(link) && l.provablyAfter(link), seenLater && !l.statesTakeover() && !link.statesTakeover():
			return true
		}
	}
	return false
}

// markDown marks the link as down and discards what was not sent.
func (m *Machine) markDown(now time.Duration, link *agentLink) {
	link.up = false
	link.downAt = now
	link.outgoing = wire.ToAgent{}
	m.scheduler.AgentDown(now, link.incarnation)
	m.useWithdrawn(now, link.name)
}

// removeAgent removes an agent incarnation. The outcomes of its attempts become
// unknown.
func (m *Machine) removeAgent(now time.Duration, link *agentLink) {
	if link == nil {
		return
	}
	if link.up {
		m.markDown(now, link)
	}
	m.endAttempts(now, link, wire.Unknown, wire.ReasonAgentLost)
	delete(m.agents, link.incarnation)
	if i := slices.Index(m.agentList, link); i >= 0 {
		m.agentList = slices.Delete(m.agentList, i, i+1)
	}
}

// endAttempts applies the outcome to every open attempt on the link.
func (m *Machine) endAttempts(now time.Duration, link *agentLink, outcome wire.Outcome, reason wire.Reason) {
	var seqs []wire.Seq
	link.attempts.forEach(func(seq wire.Seq, _ *task) { seqs = append(seqs, seq) })
	m.endAttemptsOf(now, link, seqs, outcome, reason)
}

func (m *Machine) endAttemptsOf(now time.Duration, link *agentLink, seqs []wire.Seq, outcome wire.Outcome, reason wire.Reason) {
	for _, seq := range seqs {
		m.applyResult(now, link, &wire.Result{Seq: seq, Outcome: outcome, Reason: reason})
	}
}

func (m *Machine) receiveFrame(now time.Duration, e Received) {
	link := m.agents[e.Agent]
	if link == nil || !link.up || link.epoch != e.Epoch {
		return // the frame is from an earlier connection
	}
	link.noteClock(e)
	for i := range e.Frame.Results {
		m.applyResult(now, link, &e.Frame.Results[i])
	}
	link.settleStarts(e.Frame.SettledStarts)
	m.applyFinishedRuns(now, link, e.Frame.FinishedRuns)
	m.scheduler.Observe(now, e.Agent, e.Frame.Load)
	if e.Frame.Evacuations != nil {
		m.receiveEvacuations(now, link, e.Frame.Evacuations)
	}
	if e.Frame.Config != nil {
		m.receiveConfig(now, link, e.Frame.Config)
	}
}

// lostRunTimeout is how long runs may go on after the connection to their agent was
// lost: the agent stops them 0.5 s after it last heard from this entry, and if it fails
// as well, they end with their lease another 0.72 s later.
const lostRunTimeout = 1400 * time.Millisecond

// runsEndBy returns when the runs of a lost agent must have ended. An agent that reports
// that it has lost track of an attempt counts as lost now.
func (l *agentLink) runsEndBy(now time.Duration) time.Duration {
	if l.up {
		return now + lostRunTimeout
	}
	return max(now, l.downAt+lostRunTimeout)
}

// giveUpAttempts ends the tasks of jobs that are not stored whose attempts are in doubt
// at an agent without a link. The attempts stay in the link's window: the agent may
// connect again before its lease has expired, and must then be told to cancel their
// runs, which would otherwise go on while the callers send their jobs again. Tasks of
// stored jobs wait until their runs must have ended.
func (m *Machine) giveUpAttempts(now time.Duration, link *agentLink) {
	link.givenUp = true
	var lost []*task
	link.attempts.forEach(func(seq wire.Seq, t *task) {
		if t.state == taskInFlight && t.seq == seq && !t.job.stored {
			lost = append(lost, t)
		}
	})
	for _, t := range lost {
		t.link = nil
		m.taskUnknown(now, t)
		m.finishIfSettled(now, t.job)
	}
}

// checkLinks sends heartbeats, gives up the attempts at agents that are lost, and removes
// these agents once their runs must have ended. After a pause it first awaits the connections
// that were accepted before: they renewed the lease of the runs at agents that count as lost.
func (m *Machine) checkLinks(now time.Duration) {
	var expired []*agentLink
	for _, link := range m.agentList {
		if link.up {
			m.pushDueConfig(now, link)
		}
		switch {
		case link.up && now-link.sentAt >= m.opts.HeartbeatInterval:
			m.scheduleSend(link)
		case !link.up && m.startsHeld():
		case m.lostRunsEnded(now, link):
			expired = append(expired, link)
		case !link.up && !link.givenUp && now-link.downAt >= m.opts.LostAgentTimeout:
			m.giveUpAttempts(now, link)
		}
	}
	for _, link := range expired {
		m.endLostRuns(now, link)
	}
}
