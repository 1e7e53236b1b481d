package keeper

import (
	"context"
	"errors"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// ErrRemoved reports that the log no longer holds the requested records.
var ErrRemoved = errors.New("keeper: the requested records are no longer in the log")

// followLog reads the log and delivers its records to the machine.
func (k *Keeper) followLog() {
	f := follower{log: k.opts.Log}
	failing := false
	for k.ctx.Err() == nil {
		k.mu.Lock()
		self := k.self.Incarnation
		k.mu.Unlock()
		if f.incarnation != self {
			f.incarnation, f.hasOffset = self, false
		}
		requestedAt := k.clock.Now()
		read, err := f.next(k.ctx)
		if failing != (err != nil) && k.ctx.Err() == nil {
			failing = err != nil
			k.reportLogState(failing, err)
		}
		if err != nil {
			ctxsleep.For(k.ctx, retryDelay)
			continue
		}
		read.RequestedAt = requestedAt
		k.deliverRead(self, read)
		if read.CutOff {
			continue // the view is behind the log
		}
		ctxsleep.For(k.ctx, readInterval)
	}
}

// deliverRead posts a read unless the machine that it is for was replaced.
func (k *Keeper) deliverRead(self wire.Incarnation, read durable.Read) {
	k.mu.Lock()
	current := k.self.Incarnation == self
	k.mu.Unlock()
	if current {
		k.post(read)
	}
}

// reportLogState records that reads began to fail or succeed again.
func (k *Keeper) reportLogState(failing bool, err error) {
	k.mu.Lock()
	k.readFailed = failing
	k.mu.Unlock()
	if failing {
		k.opts.Events.Emit(eventlog.JobLogLost, eventlog.Fields{Err: err})
		return
	}
	k.opts.Events.Emit(eventlog.JobLogBack, eventlog.Fields{})
}

// follower reads the log, each time from where the last read ended.
type follower struct {
	log         Log
	incarnation wire.Incarnation // of the machine that the records are for
	hasOffset   bool             // whether offset is valid
	offset      int64
}

// next returns the records since the last read, without the time of the request. For
// the first read and after a gap it returns the newest record of each key.
func (f *follower) next(ctx context.Context) (durable.Read, error) {
	if !f.hasOffset {
		records, offset, err := f.log.Newest(ctx)
		f.offset, f.hasOffset = offset, err == nil
		return durable.Read{Records: records, Snapshot: true}, err
	}
	result, err := f.log.Read(ctx, f.offset, readWait)
	switch {
	case errors.Is(err, ErrRemoved):
		f.hasOffset = false
		return f.next(ctx)
	case err != nil:
		return durable.Read{}, err
	}
	f.offset = result.Next
	return durable.Read{Records: result.Records, CutOff: result.CutOff}, nil
}

// append carries out an append in the background.
func (k *Keeper) append(x durable.Append) {
	k.mu.Lock()
	writer, number := k.self.Incarnation, k.nextAppend
	k.mu.Unlock()
	sentAt := k.clock.Now()
	k.wg.Go(func() {
		outcome := k.appendUntilResolved(writer, number, x.Records)
		if outcome == 0 {
			return // the keeper is closing
		}
		k.mu.Lock()
		if outcome == durable.Recorded && k.self.Incarnation == writer {
			k.nextAppend++
		}
		k.mu.Unlock()
		k.post(durable.Appended{Outcome: outcome, SentAt: sentAt})
	})
}

// appendUntilResolved retries an append under the same number until its outcome
// is known, and returns 0 if the keeper is closed first. A rejection decides the
// outcome only if every earlier attempt was answered. So does a fence: it keeps out what
// arrives after it, not an earlier attempt that was carried out.
func (k *Keeper) appendUntilResolved(writer wire.Incarnation, number int64, records []durable.Record) durable.AppendOutcome {
	firstSentAt := k.clock.Now()
	unresolved := false
	for attempt := int64(1); k.ctx.Err() == nil; attempt++ {
		result, err := k.opts.Log.Append(k.ctx, writer, number, records)
		outcome := outcomeOf(result, unresolved)
		switch {
		case outcome == durable.NotRecorded:
			k.opts.Events.Emit(eventlog.JobAppendRejected, eventlog.Fields{Count: int64(len(records)), Err: err})
		case outcome != 0 && unresolved:
			k.opts.Events.Emit(eventlog.JobAppendResolved, eventlog.Fields{
				Detail: outcome.String(), Count: attempt, Duration: k.clock.Now() - firstSentAt,
			})
		case result == NoAnswer && !unresolved:
			unresolved = true
			k.opts.Events.Emit(eventlog.JobAppendUnanswered, eventlog.Fields{Count: int64(len(records)), Err: err})
		}
		if outcome != 0 {
			return outcome
		}
		ctxsleep.For(k.ctx, retryDelay)
	}
	return 0
}

// outcomeOf returns the outcome of an append after the result of an attempt, or 0 if it
// must be repeated. unresolved states that an earlier attempt got no answer.
func outcomeOf(result AppendResult, unresolved bool) durable.AppendOutcome {
	switch {
	case result == Appended:
		return durable.Recorded
	case result == FencedOff && unresolved:
		return durable.FencedOffUnresolved
	case result == FencedOff:
		return durable.FencedOff
	case result == Rejected && !unresolved:
		return durable.NotRecorded
	}
	return 0
}

// fence fences off a writer and reports the outcome to the machine.
func (k *Keeper) fence(x durable.Fence) {
	err := k.opts.Log.Fence(k.ctx, x.Writer)
	if err != nil {
		k.opts.Events.Emit(eventlog.JobFenceFailed, eventlog.Fields{Err: err})
		ctxsleep.For(k.ctx, retryDelay)
	}
	k.post(durable.Fenced{Writer: x.Writer, Done: err == nil})
}
