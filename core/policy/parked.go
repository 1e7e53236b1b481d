package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
)

// A job that no worker with a free slot can run is parked: it leaves the order of the
// queue, so that the jobs behind it are served, however many such jobs there are. It
// returns after a delay, or earlier when a worker that can run it frees a slot or
// connects.

const (
	// minParkDelay is the first delay of a parked job; each further one is twice as
	// long, up to maxParkDelay if a connected worker meets the job's requirements and
	// maxUnplaceableDelay if none does.
	minParkDelay        = 10 * time.Millisecond
	maxParkDelay        = 160 * time.Millisecond
	maxUnplaceableDelay = time.Second
	// maxParkedPerDecision bounds the jobs that one decision parks. The next decision
	// continues behind them.
	maxParkedPerDecision = 64
	// maxExaminedPerSlot and maxReturnedPerSlot bound the parked jobs that are examined
	// and that return when a worker frees a slot.
	maxExaminedPerSlot = 64
	maxReturnedPerSlot = 8
)

// parkedJobs holds the parked jobs of a queue.
type parkedJobs struct {
	waiting     indexheap.Heap[*jobState] // a connected worker meets their requirements
	unplaceable indexheap.Heap[*jobState] // none does; their tasks do not count as backlog
}

func newParkedJobs() parkedJobs {
	heap := indexheap.Heap[*jobState]{
		Less: func(a, b *jobState) bool { return a.returnAt < b.returnAt },
		Pos:  func(j *jobState) *int { return &j.parkedPos },
	}
	return parkedJobs{waiting: heap, unplaceable: heap}
}

// parked reports whether the job is parked.
func (j *jobState) parked() bool { return j.parkedPos > 0 }

// park removes the job from the order until now plus delay.
func (q *queue) park(now, delay time.Duration, j *jobState, unplaceable bool) {
	q.detach(j)
	j.returnAt = now + delay
	if !unplaceable {
		q.parked.waiting.Put(j)
		return
	}
	j.unplaceable = true
	q.parked.unplaceable.Put(j)
	q.addWaiting(j, -len(j.waiting))
}

// unpark returns a parked job to the order. It does nothing if the job is not parked.
func (q *queue) unpark(j *jobState) {
	if !j.parked() {
		return
	}
	q.removeParked(j)
	q.attach(j)
}

// removeParked removes a parked job from the parked ones, and counts its tasks as backlog again.
func (q *queue) removeParked(j *jobState) {
	if !j.unplaceable {
		q.parked.waiting.Remove(j)
		return
	}
	q.parked.unplaceable.Remove(j)
	j.unplaceable = false
	q.addWaiting(j, len(j.waiting))
}

// unparkDue returns the parked jobs whose delay has passed.
func (q *queue) unparkDue(now time.Duration) {
	for _, heap := range []*indexheap.Heap[*jobState]{&q.parked.waiting, &q.parked.unplaceable} {
		for heap.Len() > 0 && heap.Top().returnAt <= now {
			q.unpark(heap.Top())
		}
	}
}

// park parks a job that cannot be placed now.
func (s *Adaptive) park(now time.Duration, j *jobState) {
	placeable := fits(s.usable(), j.class, j.job)
	limit := maxParkDelay
	switch {
	case !placeable:
		limit = maxUnplaceableDelay
	case j.job.Gang:
		limit = minParkDelay // it holds back the jobs behind it once it is overdue
	}
	j.parkDelay = min(max(minParkDelay, 2*j.parkDelay), limit)
	s.queue.park(now, j.parkDelay, j, !placeable)
}

// slotFreed returns the most urgent of the parked jobs that the agent can run.
func (s *Adaptive) slotFreed(a *agentState) {
	if !a.acceptsStarts() || s.queue.parked.waiting.Len() == 0 {
		return
	}
	var found []*jobState
	for _, j := range s.queue.parked.waiting.Items[:min(s.queue.parked.waiting.Len(), maxExaminedPerSlot)] {
		if a.eligible(j) {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(x, y *jobState) int { return cmp.Compare(x.due, y.due) })
	for _, j := range found[:min(len(found), maxReturnedPerSlot)] {
		s.queue.unpark(j)
	}
}

// workerConnected returns the parked jobs that the agent can run, and all gangs, which
// may need it in addition to others. An evacuated agent runs none of them.
func (s *Adaptive) workerConnected(a *agentState) {
	if a.evacuated {
		return
	}
	for _, heap := range []*indexheap.Heap[*jobState]{&s.queue.parked.waiting, &s.queue.parked.unplaceable} {
		for _, j := range slices.Clone(heap.Items) {
			if j.job.Gang || a.eligible(j) {
				j.parkDelay = 0
				s.queue.unpark(j)
			}
		}
	}
}
