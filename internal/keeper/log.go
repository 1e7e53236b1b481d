package keeper

import (
	"context"
	"errors"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// ErrRemoved says that the log no longer holds the records that were asked for.
var ErrRemoved = errors.New("keeper: the records were removed")

// follow delivers the records of the log.
func (k *Keeper) follow() {
	f := follower{log: k.opts.Log}
	failing := false
	for k.ctx.Err() == nil {
		k.mu.Lock()
		self := k.self.Incarnation
		k.mu.Unlock()
		if f.self != self {
			f.self, f.known = self, false
		}
		asked := k.clock.Now()
		records, whole, err := f.next(k.ctx)
		if failing != (err != nil) && k.ctx.Err() == nil {
			failing = err != nil
			k.logState(failing, err)
		}
		if err != nil {
			ctxsleep.For(k.ctx, callRetry)
			continue
		}
		k.delivered(self, durable.Read{Records: records, Asked: asked, Whole: whole})
		ctxsleep.For(k.ctx, followGap)
	}
}

// delivered posts a read unless the machine that it is for was replaced.
func (k *Keeper) delivered(self wire.Incarnation, read durable.Read) {
	k.mu.Lock()
	same := k.self.Incarnation == self
	k.mu.Unlock()
	if same {
		k.post(read)
	}
}

func (k *Keeper) logState(failing bool, err error) {
	if failing {
		k.opts.Events.Emit(eventlog.JobLogLost, eventlog.Fields{Err: err})
		return
	}
	k.opts.Events.Emit(eventlog.JobLogBack, eventlog.Fields{})
}

// follower reads the log from where the last read ended.
type follower struct {
	log   Log
	self  wire.Incarnation // the machine that is fed
	known bool             // from is valid
	from  int64
}

// next returns the records since the last read, or the newest of each key after
// a gap; whole tells which.
func (f *follower) next(ctx context.Context) (records []durable.Record, whole bool, err error) {
	if !f.known {
		records, f.from, err = f.log.Newest(ctx)
		f.known = err == nil
		return records, true, err
	}
	records, from, err := f.log.Read(ctx, f.from, followWait)
	switch {
	case errors.Is(err, ErrRemoved):
		f.known = false
		return f.next(ctx)
	case err != nil:
		return nil, false, err
	}
	f.from = from
	return records, false, nil
}

// append carries an append out in the background.
func (k *Keeper) append(x durable.Append) {
	k.mu.Lock()
	writer, number := k.self.Incarnation, k.number
	k.mu.Unlock()
	sent := k.clock.Now()
	k.wg.Go(func() {
		outcome := k.appendUntilKnown(writer, number, x.Records)
		if outcome == 0 {
			return // the process ends
		}
		k.mu.Lock()
		if outcome == durable.Recorded && k.self.Incarnation == writer {
			k.number++
		}
		k.mu.Unlock()
		k.post(durable.Appended{Outcome: outcome, Sent: sent})
	})
}

// appendUntilKnown repeats an append under its number until its fate is known.
// A rejection decides only if no earlier attempt is without an answer.
func (k *Keeper) appendUntilKnown(writer wire.Incarnation, number int64, records []durable.Record) durable.AppendOutcome {
	doubt := false
	for k.ctx.Err() == nil {
		result, err := k.opts.Log.Append(k.ctx, writer, number, records)
		switch {
		case result == Appended:
			return durable.Recorded
		case result == Superseded:
			return durable.Superseded
		case result == Rejected && !doubt:
			k.opts.Events.Emit(eventlog.JobAppendRejected, eventlog.Fields{Count: int64(len(records)), Err: err})
			return durable.NotRecorded
		}
		doubt = doubt || result == NoAnswer
		ctxsleep.For(k.ctx, callRetry)
	}
	return 0
}

func (k *Keeper) fence(x durable.Fence) {
	err := k.opts.Log.Fence(k.ctx, x.From)
	if err != nil {
		k.opts.Events.Emit(eventlog.JobFenceFailed, eventlog.Fields{Err: err})
		ctxsleep.For(k.ctx, callRetry)
	}
	k.post(durable.Fenced{From: x.From, Done: err == nil})
}
