package entry

import (
	"bytes"
	"slices"
	"time"
)

const (
	// MinPause is the length from which on a pause of the process counts: the time between
	// two steps, or that of several gaps of at least MinGap with fewer than SettleTicks
	// ticks between two of them. After a shorter one a caller that left is noticed in time
	// even if the agent that runs its job then fails: the run ends with its lease at the
	// worker 0.72 s later, before the caller sends the job again.
	MinPause = 400 * time.Millisecond
	// MinGap is the time between two steps from which on the process counts as standing
	// still in between. A processor quota makes a busy process wait for up to 0.1 s again and
	// again, which is no pause.
	MinGap = 250 * time.Millisecond
	// SettleTicks is the number of ticks made after a pause during which nothing is started.
	// The end of a connection that was closed during the pause is noticed as soon as the
	// process runs; ticks rather than time are counted because a process that wakes may
	// get little processor time.
	SettleTicks = 5
	// resendMargin is the part of Options.ResendDelay that is needed to notice that a
	// caller has left and to stop its runs.
	resendMargin = 300 * time.Millisecond
)

// notePause detects that the process was paused until now, or runs for so short times that
// the ends of connections may have gone unnoticed since the pause began.
//
// Connections of callers may have been closed in the meantime, and agents have stopped
// the runs of this entry, whose tasks would be repeated at once. Starts are therefore
// held back until callers that have left are noticed. After a longer pause a caller may
// already have sent its job again to another entry. The end of its connection may reach
// this entry late or never, so nothing more is started of the jobs from before the pause.
func (m *Machine) notePause(now time.Duration, ev Event) {
	steppedAt := m.steppedAt
	m.steppedAt = now
	tick, isTick := ev.(Tick)
	if tick.MadeAt == 0 {
		tick.MadeAt = now
	}
	switch {
	case m.opts.ResendDelay == 0:
	case now-steppedAt >= MinGap:
		if m.unsettledTicks == 0 {
			m.pauseBegan = steppedAt
		}
		m.unsettledTicks = SettleTicks
		m.resumedAt = now
		if now-m.pauseBegan >= MinPause {
			m.paused(now)
		}
	case m.unsettledTicks > 0 && isTick && tick.MadeAt > m.resumedAt:
		m.unsettledTicks--
		m.held = m.held && m.unsettledTicks > 0
	}
}

// paused holds starts back after a pause, and closes the jobs whose callers may have sent
// them again.
func (m *Machine) paused(now time.Duration) {
	m.held = true
	if m.pauseObserver != nil {
		m.pauseObserver.Resumed(now)
	}
	closed := 0
	if longest := m.opts.ResendDelay - resendMargin; now-m.pauseBegan >= longest {
		m.closedBefore = now - longest
		closed = m.closeJobs(now)
	}
	m.emit(Paused{Duration: now - m.pauseBegan, Jobs: closed})
}

// startsHeld reports whether starts are held back after a pause.
func (m *Machine) startsHeld() bool { return m.held }

// closeJobs lets nothing more be started of the jobs that are not stored and were received
// before closedBefore, and returns their number. A job of which a task is still to be
// started can no longer be complete and is aborted. The others get the results of their
// runs.
func (m *Machine) closeJobs(now time.Duration) int {
	var jobs []*job
	for _, j := range m.jobs {
		if !j.stored && !j.ending && !j.closed && j.arrived < m.closedBefore {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return bytes.Compare(a.schedJob.Submission[:], b.schedJob.Submission[:])
	})
	for _, j := range jobs {
		j.closed = true
		if j.needsStart() {
			m.cancelJob(now, j, ReasonEntryPaused)
		}
	}
	return len(jobs)
}

// needsStart reports whether a task of the job is still to be started.
func (j *job) needsStart() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.state != taskInFlight && t.state != taskDone && t.state != taskDropped
	})
}
