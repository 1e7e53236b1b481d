package platformlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// Backoff yields jittered delays that double up to a limit.
type Backoff struct {
	// Min and Max bound the delay before jitter; zero values take the defaults.
	Min, Max time.Duration
	attempt  int
}

// Defaults of Backoff.
const (
	DefaultBackoffMin = 20 * time.Millisecond
	DefaultBackoffMax = 2 * time.Second
	maxDoublings      = 16
)

// Reset makes the next delay the shortest again.
func (b *Backoff) Reset() { b.attempt = 0 }

// Next returns the next delay: between half and the whole of the doubled bound.
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

// Sleep waits for Next, or for atLeast if that is longer. It returns false if
// ctx ended first.
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

// AppendOnce appends a record and, if the reply is lost, looks for the record
// by id from offset from on before it sends it again. from must be at or below
// the stream's end at the time of the call.
//
// The stream may still hold the record twice: a lost append can take effect
// after the look-up. Readers must treat the second one as a replay.
//
// If ctx ends, the error is OutcomeUnknown if any send may have taken effect,
// else the last error.
func AppendOnce(ctx context.Context, log Log, stream string, id RecordID, body []byte, from int64) (Position, error) {
	return appendOnce(ctx, log, stream, id, body, from, nil)
}

// Resolve continues an append whose error was OutcomeUnknown: it looks for the
// record before it sends it again, and then behaves like AppendOnce.
func Resolve(ctx context.Context, log Log, stream string, id RecordID, body []byte, from int64, doubt error) (Position, error) {
	pos, found, err := find(ctx, log, stream, id, from)
	if err != nil {
		return Position{}, doubt
	}
	if found {
		return pos, nil
	}
	return appendOnce(ctx, log, stream, id, body, from, doubt)
}

// appendOnce takes the error of an earlier send in doubt, or nil.
func appendOnce(ctx context.Context, log Log, stream string, id RecordID, body []byte, from int64, doubt error) (Position, error) {
	var backoff Backoff
	for {
		pos, err := log.Append(ctx, stream, id, body)
		if err == nil {
			return pos, nil
		}
		if errorx.IsOfType(err, OutcomeUnknown) {
			doubt = err
		}
		if errorx.IsOfType(err, Invalid) || !backoff.Sleep(ctx, RetryAfter(err)) {
			return Position{}, firstOf(doubt, err)
		}
		if doubt == nil {
			continue
		}
		pos, found, err := find(ctx, log, stream, id, from)
		if err != nil {
			return Position{}, doubt
		}
		if found {
			return pos, nil
		}
	}
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// find looks for a record by id up to the end of the stream. It retries while
// the log is unavailable.
func find(ctx context.Context, log Log, stream string, id RecordID, from int64) (Position, bool, error) {
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
