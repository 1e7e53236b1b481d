package logstate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

// errRegressed says that a stream ends below what was read already, which the
// log's contract rules out.
var errRegressed = errors.New("stream ends below an offset that was read")

// follower reads one stream.
type follower struct {
	s      *State
	stream string
	from   int64
	// apply takes a batch whose first record is at from, under State.mu.
	apply func(b *platformlog.Batch, from int64)
	// first returns the offset to start at; nil means 0.
	first func() (int64, error)

	mu     sync.Mutex
	cancel context.CancelFunc // of the read in progress
	kicked bool
}

func (s *State) follow(stream string, apply func(*platformlog.Batch, int64), first func() (int64, error)) *follower {
	f := &follower{s: s, stream: stream, apply: apply, first: first}
	s.mu.Lock()
	s.stream(stream)
	s.mu.Unlock()
	s.wg.Go(f.run)
	return f
}

// kick ends a long poll, so that the state of the log is known soon.
func (f *follower) kick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kicked = true
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *follower) run() {
	var backoff platformlog.Backoff
	for f.first != nil && f.s.ctx.Err() == nil {
		from, err := f.first()
		if err == nil {
			f.from, f.first = from, nil
			break
		}
		f.failed(err)
		backoff.Sleep(f.s.ctx, platformlog.RetryAfter(err))
	}
	for f.s.ctx.Err() == nil {
		b, kicked, err := f.read()
		if kicked {
			continue
		}
		if err == nil {
			err = f.accept(&b)
		} else if f.expired(err) {
			err = nil
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		f.failed(err)
		backoff.Sleep(f.s.ctx, platformlog.RetryAfter(err))
	}
}

// read returns kicked if the read was ended by kick. The read after a kick, and
// any read while the log counts as unreachable, does not wait for records.
func (f *follower) read() (platformlog.Batch, bool, error) {
	ctx, cancel := context.WithCancel(f.s.ctx)
	defer cancel()
	f.s.mu.Lock()
	reachable := f.s.stream(f.stream).reachable
	f.s.mu.Unlock()
	f.mu.Lock()
	f.cancel = cancel
	wait := pollWait
	if f.kicked || !reachable {
		wait = 0
	}
	f.kicked = false
	f.mu.Unlock()
	b, err := f.s.opts.Log.Read(ctx, platformlog.ReadRequest{Stream: f.stream, From: f.from, Wait: wait})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	return b, err != nil && f.kicked, err
}

func (f *follower) accept(b *platformlog.Batch) error {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Next < f.from {
		return errRegressed
	}
	f.apply(b, f.from)
	if n := len(b.Records); n > 0 {
		f.from = b.Records[n-1].Offset + 1
	}
	st := s.stream(f.stream)
	st.next, st.end, st.now, st.readAt = f.from, b.Next, b.Now, time.Now()
	st.caughtUp = st.caughtUp || f.from == b.Next
	s.setReachable(f.stream, true, nil)
	return nil
}

// expired goes on at the oldest record if err says that records are gone. The
// machines see the jump.
func (f *follower) expired(err error) bool {
	oldest, ok := platformlog.Oldest(err)
	if !ok || oldest <= f.from {
		return false
	}
	if f.from > 0 { // a reader that starts on an old stream has no gap of its own
		f.s.opts.Events.Emit(eventlog.LogGap, eventlog.Fields{Peer: f.stream, Count: oldest - f.from, Err: err})
	}
	f.from = oldest
	return true
}

func (f *follower) failed(err error) {
	if f.s.ctx.Err() != nil {
		return
	}
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	f.s.setReachable(f.stream, false, err)
}

// setReachable records and reports a change of a stream's state.
func (s *State) setReachable(stream string, up bool, err error) {
	st := s.stream(stream)
	if st.known && st.reachable == up {
		return
	}
	st.known, st.reachable = true, up
	code := eventlog.LogUnavailable
	if up {
		code = eventlog.LogAvailable
	}
	s.opts.Events.Emit(code, eventlog.Fields{Peer: stream, Err: err})
}
