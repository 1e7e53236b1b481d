package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// lostStartTimeout is how long after the connection to their agent was lost the runs may go
// on whose starts are not known to be settled. The worker may have restarted while nobody
// polled it, and its next process carries out late calls of the agent.
const lostStartTimeout = lostRunTimeout + wire.MaxCallDelay + wire.MaxLateRun

// settleStarts records which starts the agent has reported as settled.
func (l *agentLink) settleStarts(seqs []wire.Seq) {
	for _, seq := range seqs {
		if slot := l.attempts.find(seq); slot != nil && slot.task.seq == seq {
			slot.task.startSettled = true
		}
	}
}

// lostRunsEnded reports whether the connection to the agent has been lost for so long that the
// runs that its worker had accepted must have ended.
func (m *Machine) lostRunsEnded(now time.Duration, link *agentLink) bool {
	return !link.up && now-link.downAt >= max(m.opts.LostAgentTimeout, lostRunTimeout)
}

// endLostRuns ends the attempts at a lost agent whose runs must have ended, and removes the
// agent once none is left. A task of a stored job whose start may not be settled is repeated
// after lostStartTimeout, or as soon as the agent that has taken the worker over is connected.
// The callers of other jobs were answered before.
func (m *Machine) endLostRuns(now time.Duration, link *agentLink) {
	if !link.statesTakeover() || now-link.downAt >= lostStartTimeout || m.isReplaced(link) {
		m.removeAgent(now, link)
		return
	}
	var ended []wire.Seq
	waiting := false
	link.attempts.forEach(func(seq wire.Seq, t *task) {
		if t.startInDoubt(seq) {
			waiting = true
			return
		}
		ended = append(ended, seq)
	})
	if !waiting {
		m.removeAgent(now, link)
		return
	}
	m.endAttemptsOf(now, link, ended, wire.Unknown, wire.ReasonAgentLost)
}

// startInDoubt reports whether the attempt is the current one of a task that would be
// repeated although its start may still be carried out.
func (t *task) startInDoubt(seq wire.Seq) bool {
	return t.state == taskInFlight && t.seq == seq && t.job.stored && !t.job.ending && !t.startSettled
}
