package platformlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// Backoff computes jittered delays that double up to a limit.
type Backoff struct {
	// Min and Max bound the delay before jitter. Zero values select the defaults.
	Min, Max time.Duration
	attempt  int
}

// Defaults of Backoff.
const (
	DefaultBackoffMin = 20 * time.Millisecond
	DefaultBackoffMax = 2 * time.Second
	maxDoublings      = 16
)

// Reset makes the next delay start at the minimum again.
func (b *Backoff) Reset() { b.attempt = 0 }

// Next returns the next delay, chosen at random between half of the current
// bound and the bound, which doubles with each call.
func (b *Backoff) Next() time.Duration {
	lo, hi := b.Min, b.Max
	if lo <= 0 {
		lo = DefaultBackoffMin
	}
	if hi <= 0 {
		hi = DefaultBackoffMax
	}
	d := min(hi, lo<<min(b.attempt, maxDoublings))
	b.attempt++
	return d/2 + rand.N(d/2+1)
}

// Sleep waits for the delay returned by Next, or for atLeast if that is longer.
// It returns false if ctx is done first.
func (b *Backoff) Sleep(ctx context.Context, atLeast time.Duration) bool {
	t := time.NewTimer(max(b.Next(), atLeast))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AppendWithRetry appends a record, with retries. If the reply to an append is lost,
// it searches the stream for the record's ID, starting at offset from, before it
// appends the record again. from must not exceed the end of the stream at the
// time of the call.
//
// The stream may nevertheless contain the record twice, because an append whose
// reply was lost can take effect after the search. Readers must treat the second
// copy as a replay.
//
// If ctx is done first, the error is OutcomeUnknown if any attempt may have taken
// effect, otherwise the last error.
func AppendWithRetry(ctx context.Context, log Log, stream string, id RecordID, body []byte, from int64) (Position, error) {
	return retryAppend(ctx, log, stream, id, body, from, nil)
}

// ResolveAppend continues an append that failed with unknownErr, an OutcomeUnknown
// error. It searches the stream for the record before it appends it again, and
// then behaves like AppendWithRetry.
func ResolveAppend(ctx context.Context, log Log, stream string, id RecordID, body []byte, from int64, unknownErr error) (Position, error) {
	pos, found, err := findRecord(ctx, log, stream, id, from)
	if err != nil {
		return Position{}, unknownErr
	}
	if found {
		return pos, nil
	}
	return retryAppend(ctx, log, stream, id, body, from, unknownErr)
}

// retryAppend implements AppendWithRetry and ResolveAppend. unknownErr is the
// OutcomeUnknown error of an earlier attempt, or nil.
func retryAppend(ctx context.Context, log Log, stream string, id RecordID, body []byte, from int64, unknownErr error) (Position, error) {
	var backoff Backoff
	for {
		pos, err := log.Append(ctx, stream, id, body)
		if err == nil {
			return pos, nil
		}
		if errorx.IsOfType(err, OutcomeUnknown) {
			unknownErr = err
		}
		if errorx.IsOfType(err, Invalid) || !backoff.Sleep(ctx, RetryAfter(err)) {
			return Position{}, firstNonNil(unknownErr, err)
		}
		if unknownErr == nil {
			continue
		}
		pos, found, err := findRecord(ctx, log, stream, id, from)
		if err != nil {
			return Position{}, unknownErr
		}
		if found {
			return pos, nil
		}
	}
}

func firstNonNil(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// findRecord searches the stream for a record by ID, from offset from to the end.
// It retries while the log is unavailable.
func findRecord(ctx context.Context, log Log, stream string, id RecordID, from int64) (Position, bool, error) {
	var backoff Backoff
	for {
		b, err := log.Read(ctx, ReadRequest{Stream: stream, From: from})
		if err != nil {
			if errorx.IsOfType(err, ExpiredOffset) || !backoff.Sleep(ctx, RetryAfter(err)) {
				return Position{}, false, err
			}
			continue
		}
		for _, r := range b.Records {
			if r.ID == id {
				return Position{Offset: r.Offset, Time: r.Time}, true, nil
			}
			from = r.Offset + 1
		}
		if from >= b.Next || len(b.Records) == 0 {
			return Position{}, false, nil
		}
	}
}
