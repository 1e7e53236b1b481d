package agent

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// runQueue is a priority queue of attempts with the most urgent last. It is short
// (Options.QueueCapacity), so that insertion by copying is cheaper than a heap and
// needs no index in each attempt.
type runQueue []*attempt

func (q runQueue) Len() int { return len(q) }

// before orders attempts by due time, then by arrival.
func before(a, b *attempt) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.order < b.order
}

func (q *runQueue) push(a *attempt) {
	at := q.position(a)
	*q = slices.Insert(*q, at, a)
}

// position returns the index of the first attempt that is more urgent than a.
func (q runQueue) position(a *attempt) int {
	for i, other := range q {
		if before(other, a) {
			return i
		}
	}
	return len(q)
}

// top returns the most urgent attempt of a queue that is not empty.
func (q runQueue) top() *attempt { return q[len(q)-1] }

func (q *runQueue) pop() *attempt {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return a
}

func (q *runQueue) remove(a *attempt) {
	if i := slices.Index(*q, a); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// slots returns the sum of the slots that the queued attempts take.
func (q runQueue) slots() float64 {
	sum := 0.0
	for _, a := range q {
		sum += a.slots
	}
	return sum
}

// workAhead returns the sums of the slots and of the mean run times of the
// attempts that would start before a new one with the given due time.
func (q runQueue) workAhead(due time.Duration) (slots float64, work time.Duration) {
	for _, a := range q {
		if a.due <= due {
			slots += a.slots
			work += a.class.mean
		}
	}
	return slots, work
}

// returnQueued removes every queued attempt that match selects and reports it as
// not run.
func (m *Machine) returnQueued(reason wire.Reason, match func(*attempt) bool) {
	kept := m.queue[:0]
	for _, a := range m.queue {
		if !match(a) {
			kept = append(kept, a)
			continue
		}
		m.finish(a, wire.Result{Outcome: wire.NotRun, Reason: reason})
	}
	clear(m.queue[len(kept):])
	m.queue = kept
}

func allAttempts(*attempt) bool { return true }
