package entryd

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/ingressd"
)

// maxCheckInterval is the time after which the callers are checked before the next event,
// in place of the next tick: the process did not run, and clock readings of agents wait in
// the queue that are to renew leases at once.
const maxCheckInterval = 2 * tickInterval

// waiter is a caller's request that waits for the answer of a submission. Its fields
// after fd are guarded by the lock of waiters.
type waiter struct {
	sub   *submission
	ctx   context.Context // ends when the server notices that the caller has left
	fd    int32           // of the caller's connection, -1 if it is not known
	index int             // in waiters.list
	left  bool            // the caller has left
}

// waiters are the requests whose callers may send their jobs again. The kernel is asked
// whether their connections are closed, because the server learns of that an unknown time
// after the process has run again. The sockets of registered waiters are open: the server
// does not close a connection whose handler has not returned.
type waiters struct {
	mu   sync.Mutex
	list []*waiter
	fds  []unix.PollFd // of list, in the same order
	left []*waiter     // whose submissions the core has not handled yet
}

// add registers a waiter, and looks at its connection: a caller may have left before its
// request was read.
func (s *waiters) add(ctx context.Context, sub *submission) *waiter {
	w := &waiter{sub: sub, ctx: ctx, fd: fdOf(ingressd.ConnOf(ctx))}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.index = len(s.list)
	s.list = append(s.list, w)
	s.fds = append(s.fds, unix.PollFd{Fd: w.fd, Events: unix.POLLRDHUP})
	s.poll(s.list[w.index:], s.fds[w.index:])
	return w
}

// fdOf returns the file descriptor of a connection, -1 if it is not known.
func fdOf(c *ingressd.Conn) int32 {
	var out int32 = -1
	controlSocket(c, func(fd int) { out = int32(fd) })
	return out
}

// controlSocket calls f with the file descriptor of a connection, which stays open meanwhile.
// It does not call f if the descriptor is not known or the connection is closed.
func controlSocket(c *ingressd.Conn, f func(fd int)) {
	if c == nil || c.Socket() == nil {
		return
	}
	if raw, err := c.Socket().SyscallConn(); err == nil {
		// An error means that the connection is closed, of which the request's context tells.
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// remove ends the wait of a request, and reports whether its caller counts as there.
func (s *waiters) remove(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.list) - 1
	s.list[w.index], s.fds[w.index] = s.list[last], s.fds[last]
	s.list[w.index].index = w.index
	s.list[last] = nil
	s.list, s.fds = s.list[:last], s.fds[:last]
	return !w.left
}

// leave notes that a caller has left.
func (s *waiters) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLeft(w)
}

func (s *waiters) setLeft(w *waiter) {
	if !w.left {
		w.left = true
		s.left = append(s.left, w)
	}
}

// check notes all callers that have left by now. It reports false if that is not known.
func (s *waiters) check() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poll(s.list, s.fds)
}

func (s *waiters) poll(list []*waiter, fds []unix.PollFd) bool {
	if len(fds) == 0 {
		return true
	}
	n, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Poll(fds, 0)
	}
	if err != nil {
		return false
	}
	for i, w := range list {
		if n > 0 && fds[i].Revents != 0 || w.fd < 0 && w.ctx.Err() != nil {
			s.setLeft(w)
		}
	}
	return true
}

// takeLeft returns the waiters that have left since the last call.
func (s *waiters) takeLeft() []*waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.left
	s.left = nil
	return out
}

// callerJob passes a job to the core whose waiters are registered.
type callerJob struct {
	sub    *submission
	submit entry.Submit
}

// callersLeft lets the core handle the callers that have left.
type callersLeft struct{}

// checkRequest has the core check the callers and report whether all are known. known has
// room for the report.
type checkRequest struct{ known chan<- bool }

// submitCallerJob submits a job unless its callers left before.
func (c *core) submitCallerJob(x callerJob) {
	c.cancelAbandoned()
	if x.sub.abandoned {
		c.applyAction(entry.Answer{Submission: x.sub.id, Answer: entry.JobAnswer{Outcome: entry.Refused, Reason: entry.ReasonCancelled}})
		return
	}
	x.sub.submitted = true
	c.step(x.submit)
}

// cancelAbandoned cancels the jobs for which nobody waits any more.
func (c *core) cancelAbandoned() {
	for _, w := range c.e.waiters.takeLeft() {
		if !c.e.table.abandon(w.sub) {
			continue
		}
		w.sub.abandoned = true
		if w.sub.submitted {
			c.step(entry.CancelJob{Submission: w.sub.id})
		}
	}
}

// checkCallersBefore checks the callers, if that is due, before an event is handled. It
// reports whether they were checked since the event arrived.
func (c *core) checkCallersBefore(ev any) bool {
	if c.e.opts.Core.ResendDelay == 0 {
		return false
	}
	checked := c.checkedEvents > 0
	c.checkedEvents = max(0, c.checkedEvents-1)
	due := c.e.now()-c.checkedAt >= maxCheckInterval
	switch ev.(type) {
	case entry.Tick:
		due = true
	case checkRequest:
		due = !checked
	}
	if due {
		return c.checkCallers()
	}
	return checked
}

// checkCallers cancels the jobs whose callers have left by now, so that the lease of the
// other runs may be renewed. It reports whether all are known.
func (c *core) checkCallers() bool {
	c.checkedAt = c.e.now()
	arrived := len(c.e.events)
	known := c.e.waiters.check()
	c.cancelAbandoned()
	if known {
		c.checkedEvents = arrived
		c.step(entry.CallersChecked{})
	}
	return known
}

// awaitCallersChecked returns once the core has checked the callers, and reports whether all
// are known. The answer to the hello of an agent renews the lease of its runs as of the hello.
func (e *Entry) awaitCallersChecked() bool {
	if e.opts.Core.ResendDelay == 0 {
		return true
	}
	known := make(chan bool, 1)
	e.send(checkRequest{known})
	select {
	case ok := <-known:
		return ok
	case <-e.ctx.Done():
		return false
	}
}
