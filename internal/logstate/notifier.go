package logstate

import "sync"

// notifier runs callbacks in order on one goroutine, so that no callback runs
// on the goroutine that asked for it or under a lock. The queue is unbounded;
// its length is bounded by the claims in progress and the records in a batch.
type notifier struct {
	mu     sync.Mutex
	queue  []func()
	closed bool
	wake   chan struct{}
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

// add queues a callback. After close it runs on a goroutine of its own, so that
// a late caller gets its answer too.
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

// close lets run return after the callbacks that are queued.
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
