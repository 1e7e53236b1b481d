package logstate

import "sync"

// notifier runs callbacks in order on one goroutine, so that no callback runs
// with a lock held or on the goroutine that queued it. The queue has no limit of
// its own; its length is bounded by the claims in flight and the records in a
// batch.
type notifier struct {
	mu     sync.Mutex
	queue  []func()
	closed bool
	wake   chan struct{}
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// add queues a callback. After close the callback runs on a new goroutine, so
// that late callers still get a result.
func (n *notifier) add(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		go f()
		return
	}
	n.queue = append(n.queue, f)
	n.signal()
}

func (n *notifier) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// close makes run return once the queued callbacks have run.
func (n *notifier) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.signal()
}

func (n *notifier) run() {
	for range n.wake {
		n.mu.Lock()
		queue, closed := n.queue, n.closed
		n.queue = nil
		n.mu.Unlock()
		for _, f := range queue {
			f()
		}
		if closed {
			return
		}
	}
}
