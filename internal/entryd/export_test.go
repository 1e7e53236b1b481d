package entryd

import (
	"context"
	"time"
)

// EventQueueFull reports whether the core's event queue is full.
func (e *Entry) EventQueueFull() bool { return len(e.events) == cap(e.events) }

// PauseWatch is pauseWatch.
type PauseWatch struct{ pauseWatch }

// Tick is pauseWatch.tick.
func (p *PauseWatch) Tick(now time.Duration) { p.tick(now) }

// State is pauseWatch.state.
func (p *PauseWatch) State(now time.Duration) (time.Duration, bool) { return p.state(now) }

// SimulatePause makes the entry find that it was paused for d until now and that it
// takes the given number of ticks until callers that have left are noticed.
func (e *Entry) SimulatePause(d time.Duration, ticks int) {
	e.pauses.mu.Lock()
	defer e.pauses.mu.Unlock()
	e.pauses.began = e.now() - d
	e.pauses.settling, e.pauses.paused = ticks, ticks > 0
}

// AwaitCallersChecked is awaitCallersChecked.
func (e *Entry) AwaitCallersChecked() { e.awaitCallersChecked() }

// Cancels returns the number of cancels that were sent to agents.
func (e *Entry) Cancels() int { return int(e.coreStatus().Stats.Cancels) }

// Jobs returns the number of jobs in progress.
func (e *Entry) Jobs() int { return e.coreStatus().Jobs }

func (e *Entry) coreStatus() coreStatus {
	reply := make(chan coreStatus, 1)
	e.send(statusQuery{reply})
	return <-reply
}

// Waiters returns the number of requests that wait for an answer.
func (e *Entry) Waiters() int {
	e.waiters.mu.Lock()
	defer e.waiters.mu.Unlock()
	return len(e.waiters.list)
}

// ArrivalOf returns when the request with the context arrived, on the entry's clock.
func ArrivalOf(ctx context.Context) (at time.Duration, known bool) {
	at, known = ctx.Value(arrivalKey{}).(time.Duration)
	return at, known
}

// StallCore keeps the core goroutine from running for d.
func (e *Entry) StallCore(d time.Duration) {
	reply := make(chan coreStatus) // without room, so the core waits for the receiver
	e.send(statusQuery{reply})
	time.Sleep(d)
	<-reply
}

// HoldCore keeps the core goroutine from running until release is called.
func (e *Entry) HoldCore() (release func()) {
	reply := make(chan coreStatus) // without room, so the core waits for the receiver
	e.send(statusQuery{reply})
	return func() { <-reply }
}

// LateResults returns the number of results for attempts that are not known.
func (e *Entry) LateResults() int { return int(e.coreStatus().Stats.Late) }

// CallerBytes returns the bytes in use of the callers' share.
func (e *Entry) CallerBytes() int64 { return e.guards.callers.Stats().Bytes }
