package entry

import (
	"container/heap"
	"time"
)

// notQueued is the position of an element that is in no queue.
const notQueued = -1

// retryQueue is a heap of tasks that wait for their retry delay, soonest first.
type retryQueue []*task

func (q retryQueue) Len() int           { return len(q) }
func (q retryQueue) Less(i, j int) bool { return q[i].retryAt < q[j].retryAt }

func (q retryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].retryPos = i
	q[j].retryPos = j
}

// Push implements heap.Interface.
func (q *retryQueue) Push(x any) {
	t := x.(*task)
	t.retryPos = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *retryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*q = old[:last]
	t.retryPos = notQueued
	return t
}

// deadlineQueue is a heap of the jobs in progress by the time at which
// something must be done about them: first the deadline, then the end of
// SettleBound.
type deadlineQueue []*job

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].duePos = i
	q[j].duePos = j
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	j := x.(*job)
	j.duePos = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	old := *q
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*q = old[:last]
	j.duePos = notQueued
	return j
}

// NextRetry returns the time at which the next task ends its retry delay, if
// one waits. A Tick at that time places it without waiting for the next one.
func (m *Machine) NextRetry() (at time.Duration, ok bool) {
	if len(m.retries) == 0 {
		return 0, false
	}
	return m.retries[0].retryAt, true
}

func (m *Machine) dueRetries(now time.Duration) {
	for len(m.retries) > 0 && m.retries[0].retryAt <= now {
		t := heap.Pop(&m.retries).(*task)
		t.state = taskQueued
		m.sched.Enqueue(now, &t.sched)
	}
}

// dueDeadlines ends jobs whose deadline passed, and answers those that did not
// settle within SettleBound after it.
func (m *Machine) dueDeadlines(now time.Duration) {
	for len(m.deadlines) > 0 && m.deadlines[0].dueAt <= now {
		j := m.deadlines[0]
		if j.overdue {
			m.abandon(now, j)
			continue
		}
		j.overdue = true
		j.dueAt += m.opts.SettleBound
		heap.Fix(&m.deadlines, 0)
		m.cancelJob(now, j, ReasonDeadline)
	}
}
