package lease

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// A call that the worker left unanswered may be carried out until wire.MaxCallDelay after it
// was sent. The process that it was meant for judges it by its deadline. The worker's next
// process does not: its clock has begun again and it has seen no fencing token, so there a
// late start begins its run, and each late renewal prolongs it by a lease of its own. Only
// two things prove that a run cannot begin or go on at a process that this machine has lost
// sight of: a poll or a takeover that the process has answered, which fences off the calls
// before it, or the time in which the last of these calls can have an effect.

// startInDoubt reports whether a copy of the run's start may not have been carried out.
func (r *run) startInDoubt() bool { return !r.settled }

// settleStart settles the start of a run that the worker has, if no other copy of it can be
// carried out.
func (m *Machine) settleStart(now time.Duration, r *run) {
	if r.settled || r.state != runRunning {
		return
	}
	if r.startsSent > 1 && now-r.since < wire.MaxCallDelay { // since the last copy or later
		return
	}
	r.settled = true
	m.emit(StartSettled{Attempt: r.attempt})
}

// settleStarts settles the starts whose further copies can no longer be carried out.
func (m *Machine) settleStarts(now time.Duration) {
	for _, r := range m.ordered {
		m.settleStart(now, r)
	}
}

// startMayTakeEffect reports whether a run whose start is in doubt may begin or go on at a
// worker that does not answer.
func (m *Machine) startMayTakeEffect(now time.Duration, r *run) bool {
	lastCall := max(r.since, m.renewalSentAt) // since the last copy of the start or later
	return r.startInDoubt() && now-lastCall < wire.MaxCallDelay+wire.MaxLateRun
}

// endUnansweredStarts ends the runs whose starts are in doubt, which have ended with the
// worker's process or can have no effect any more, unless a list shows how they ended.
func (m *Machine) endUnansweredStarts(now time.Duration, listed []EndedRun) {
	for _, r := range slices.Clone(m.ordered) {
		if r.startInDoubt() && !slices.ContainsFunc(listed, func(e EndedRun) bool { return e.Run == r.id }) {
			m.finish(now, r, wire.Failed, r.endReason(true))
		}
	}
}
