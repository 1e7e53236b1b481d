package logstate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

// errStreamRegressed means that a stream ends below an offset that was read
// before, which violates the log's contract.
var errStreamRegressed = errors.New("stream ends below an offset that was read")

// follower reads one stream and applies its records.
type follower struct {
	s      *State
	stream string
	from   int64 // next offset to read
	// apply processes a batch that was read from offset from. It is called with
	// State.mu held.
	apply func(b *platformlog.Batch, from int64)
	// startOffset returns the offset to start at. If it is nil, the follower
	// starts at 0.
	startOffset func() (int64, error)

	mu          sync.Mutex
	cancel      context.CancelFunc // cancels the read in progress
	interrupted bool               // interrupt was called since the last read began
}

// follow starts a follower of a stream.
func (s *State) follow(stream string, apply func(*platformlog.Batch, int64), startOffset func() (int64, error)) *follower {
	f := &follower{s: s, stream: stream, apply: apply, startOffset: startOffset}
	s.mu.Lock()
	s.stream(stream)
	s.mu.Unlock()
	s.wg.Go(f.run)
	return f
}

// interrupt cancels the read in progress, so that the state of the log becomes
// known without waiting for the long poll to end.
func (f *follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupted = true
	if f.cancel != nil {
		f.cancel()
	}
}

// run finds the start offset and then reads batches until the State is closed.
func (f *follower) run() {
	var backoff platformlog.Backoff
	for f.startOffset != nil && f.s.ctx.Err() == nil {
		from, err := f.startOffset()
		if err == nil {
			f.from, f.startOffset = from, nil
			break
		}
		f.markUnreachable(err)
		backoff.Sleep(f.s.ctx, platformlog.RetryAfter(err))
	}
	for f.s.ctx.Err() == nil {
		b, interrupted, err := f.read()
		if interrupted {
			continue
		}
		if err == nil {
			err = f.applyBatch(&b)
		} else if f.skipExpired(err) {
			err = nil
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		f.markUnreachable(err)
		backoff.Sleep(f.s.ctx, platformlog.RetryAfter(err))
	}
}

// read reads one batch. Its second result is whether the read was cancelled by
// interrupt. The read after an interrupt, and any read while the log is marked
// unreachable, does not wait for records.
func (f *follower) read() (platformlog.Batch, bool, error) {
	ctx, cancel := context.WithCancel(f.s.ctx)
	defer cancel()
	f.s.mu.Lock()
	reachable := f.s.stream(f.stream).reachable
	f.s.mu.Unlock()
	f.mu.Lock()
	f.cancel = cancel
	wait := pollWait
	if f.interrupted || !reachable {
		wait = 0
	}
	f.interrupted = false
	f.mu.Unlock()
	b, err := f.s.opts.Log.Read(ctx, platformlog.ReadRequest{Stream: f.stream, From: f.from, Wait: wait})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	return b, err != nil && f.interrupted, err
}

// applyBatch applies a batch and updates the position and health of the stream.
func (f *follower) applyBatch(b *platformlog.Batch) error {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Next < f.from {
		return errStreamRegressed
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

// skipExpired moves the follower to the oldest retained record if err says that
// records have expired. apply detects the gap from the offsets.
func (f *follower) skipExpired(err error) bool {
	oldest, ok := platformlog.OldestOffset(err)
	if !ok || oldest <= f.from {
		return false
	}
	if f.from > 0 { // a new reader has no gap even if the oldest records have expired
		f.s.opts.Events.Emit(eventlog.LogGap, eventlog.Fields{Peer: f.stream, Count: oldest - f.from, Err: err})
	}
	f.from = oldest
	return true
}

func (f *follower) markUnreachable(err error) {
	if f.s.ctx.Err() != nil {
		return
	}
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	f.s.setReachable(f.stream, false, err)
}

// setReachable records whether a stream is reachable and emits an event if that
// changed.
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
