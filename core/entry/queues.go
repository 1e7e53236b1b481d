package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
)

// newRetryQueue orders the tasks that wait for their retry delay, soonest
// first.
func newRetryQueue() indexheap.Heap[*task] {
	return indexheap.Heap[*task]{
		Less: func(a, b *task) bool { return a.retryAt < b.retryAt },
		Pos:  func(t *task) *int { return &t.retryPos },
	}
}

// newDeadlineQueue orders the jobs in progress by nextDeadline: first the job's
// deadline, then the end of SettleTimeout after it.
func newDeadlineQueue() indexheap.Heap[*job] {
	return indexheap.Heap[*job]{
		Less: func(a, b *job) bool { return a.nextDeadline < b.nextDeadline },
		Pos:  func(j *job) *int { return &j.deadlinePos },
	}
}

// newRecurringQueue orders the recurring jobs by the time at which their next
// occurrence is due.
func newRecurringQueue() indexheap.Heap[*job] {
	return indexheap.Heap[*job]{
		Less: func(a, b *job) bool { return a.nextOccurrence < b.nextOccurrence },
		Pos:  func(j *job) *int { return &j.recurringPos },
	}
}

// enqueueDueOccurrences starts the occurrences that have become due.
func (m *Machine) enqueueDueOccurrences(now time.Duration) {
	for m.recurring.Len() > 0 && m.recurring.Top().nextOccurrence <= now {
		j := m.recurring.Top()
		if j.ending {
			m.recurring.Remove(j)
			continue
		}
		m.enqueueReadySteps(now, j)
	}
}

// NextRetry returns the time at which the next retry delay ends, if a task
// waits for one. A Tick at that time places the task without waiting for the
// next regular one. While starts are held back after a pause it returns none.
func (m *Machine) NextRetry() (at time.Duration, ok bool) {
	if m.retries.Len() == 0 || m.startsHeld() {
		return 0, false
	}
	return m.retries.Top().retryAt, true
}

// enqueueDueRetries enqueues the tasks whose retry delay has ended, or drops
// them if their job is ending.
func (m *Machine) enqueueDueRetries(now time.Duration) {
	for m.retries.Len() > 0 && m.retries.Top().retryAt <= now {
		t := m.retries.Top()
		m.retries.Remove(t)
		if t.runLost && !t.job.ending && m.storedLeaseUntil-now < minLeaseToRepeat {
			t.retryAt = now + storedRetryDelay
			m.retries.Put(t)
			continue
		}
		if t.runLost {
			t.lostRun = t.runNumber
		}
		t.runLost, t.refused = false, false
		if t.job.ending {
			m.dropTask(t)
			m.finishIfSettled(now, t.job)
			continue
		}
		if m.alonePlacer != nil && t.runsAlone() {
			m.startAlone(now, t)
			continue
		}
		t.state = taskQueued
		m.scheduler.Enqueue(now, &t.schedTask)
	}
}

const (
	// longestBackoff is above every delay that the scheduler chooses because of the
	// reason of a refusal. Longer delays come from its budget for retries.
	longestBackoff = 1500 * time.Millisecond
	// maxExaminedRetries bounds the search for tasks with longer delays.
	maxExaminedRetries = 512
)

// releaseRetries shortens the delays of as many refused tasks as the scheduler allows,
// of those that wait for its budget.
func (m *Machine) releaseRetries(now time.Duration) {
	if m.retryReleaser == nil {
		return
	}
	n := m.retryReleaser.ReleasedRetries()
	if n == 0 {
		return
	}
	var found []*task
	for _, t := range m.retries.Items[:min(m.retries.Len(), maxExaminedRetries)] {
		if len(found) == n {
			break
		}
		if t.refused && t.retryAt-now > longestBackoff {
			found = append(found, t)
		}
	}
	for _, t := range found {
		t.retryAt = now
		m.retries.Put(t)
	}
}

// enforceDeadlines cancels the jobs whose deadline has passed, and answers
// those that have not settled within SettleTimeout after it.
func (m *Machine) enforceDeadlines(now time.Duration) {
	for m.deadlines.Len() > 0 && m.deadlines.Top().nextDeadline <= now {
		j := m.deadlines.Top()
		if j.pastDeadline {
			m.answerUnsettled(now, j)
			continue
		}
		j.pastDeadline = true
		j.nextDeadline += m.opts.SettleTimeout
		m.deadlines.Put(j)
		m.cancelJob(now, j, ReasonDeadline)
	}
}
