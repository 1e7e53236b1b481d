package agent

import (
	"container/heap"
	"time"
)

// runQueue is a heap of queued attempts, most urgent first. It is short
// (Options.QueueCapacity), so linear scans over it are cheap.
type runQueue []*attempt

func (q runQueue) Len() int { return len(q) }

func (q runQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].order < q[j].order
}

func (q runQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *runQueue) Push(x any) {
	a := x.(*attempt)
	a.index = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	old := *q
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	*q = old[:last]
	return a
}

func (q *runQueue) push(a *attempt) { heap.Push(q, a) }

func (q *runQueue) pop() *attempt { return heap.Pop(q).(*attempt) }

func (q *runQueue) remove(a *attempt) { heap.Remove(q, a.index) }

// ahead counts the queued attempts that would start before one due at due.
func (q runQueue) ahead(due time.Duration) int {
	n := 0
	for _, a := range q {
		if a.due <= due {
			n++
		}
	}
	return n
}
