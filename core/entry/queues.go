package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
)

// newRetryQueue orders the tasks that wait for their retry delay, soonest first.
func newRetryQueue() indexheap.Heap[*task] {
	return indexheap.Heap[*task]{
		Less: func(a, b *task) bool { return a.retryAt < b.retryAt },
		Pos:  func(t *task) *int { return &t.retryPos },
	}
}

// newDeadlineQueue orders the jobs in progress by the time at which something
// must be done about them: first the deadline, then the end of SettleBound.
func newDeadlineQueue() indexheap.Heap[*job] {
	return indexheap.Heap[*job]{
		Less: func(a, b *job) bool { return a.dueAt < b.dueAt },
		Pos:  func(j *job) *int { return &j.duePos },
	}
}

// newRecurringQueue orders the recurring jobs by the time at which their next
// occurrence is due.
func newRecurringQueue() indexheap.Heap[*job] {
	return indexheap.Heap[*job]{
		Less: func(a, b *job) bool { return a.nextDue < b.nextDue },
		Pos:  func(j *job) *int { return &j.nextPos },
	}
}

// dueOccurrences starts the occurrences whose time has come.
func (m *Machine) dueOccurrences(now time.Duration) {
	for m.recurring.Len() > 0 && m.recurring.Top().nextDue <= now {
		j := m.recurring.Top()
		if j.ending {
			m.recurring.Drop(j)
			continue
		}
		m.enqueueAll(now, j)
	}
}

// NextRetry returns the time at which the next task ends its retry delay, if
// one waits. A Tick at that time places it without waiting for the next one.
func (m *Machine) NextRetry() (at time.Duration, ok bool) {
	if m.retries.Len() == 0 {
		return 0, false
	}
	return m.retries.Top().retryAt, true
}

func (m *Machine) dueRetries(now time.Duration) {
	for m.retries.Len() > 0 && m.retries.Top().retryAt <= now {
		t := m.retries.Top()
		m.retries.Drop(t)
		t.lost = false
		if t.job.ending {
			m.drop(t)
			m.settle(now, t.job)
			continue
		}
		t.state = taskQueued
		m.sched.Enqueue(now, &t.sched)
	}
}

// dueDeadlines ends jobs whose deadline passed, and answers those that did not
// settle within SettleBound after it.
func (m *Machine) dueDeadlines(now time.Duration) {
	for m.deadlines.Len() > 0 && m.deadlines.Top().dueAt <= now {
		j := m.deadlines.Top()
		if j.overdue {
			m.abandon(now, j)
			continue
		}
		j.overdue = true
		j.dueAt += m.opts.SettleBound
		m.deadlines.Put(j)
		m.cancelJob(now, j, ReasonDeadline)
	}
}
