package entryd

import (
	"context"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// claimEnded applies the outcome of a claim. A claim lost to another
// submission gives the caller the answer of that one.
func (e *Entry) claimEnded(rec *record, res claimapi.ClaimResult) {
	if res.Won || res.Owner.Entry == 0 || res.Owner.Submission == rec.id {
		e.send(entry.Claimed{
			Submission: rec.id, Won: res.Won, Reason: res.Reason,
			RunBefore: res.RunBefore, RetryAfter: res.RetryAfter,
		})
		return
	}
	e.log.Emit(eventlog.ClaimForwarded, eventlog.Fields{
		Submission: rec.id.String(), Peer: res.Owner.Peer, Detail: res.Owner.Submission.String(),
	})
	e.table.passOn(rec)
	ctx, cancel := context.WithDeadline(e.ctx, rec.deadline)
	answer := e.ownerAnswer(ctx, res.Owner)
	cancel()
	if e.ctx.Err() != nil {
		return // the process ended; the caller's connection breaks
	}
	e.table.resolve(rec.id, answer)
	e.send(entry.Claimed{Submission: rec.id, RunBefore: true, Reason: ReasonDuplicate})
}

// ownerAnswer waits for the answer of the submission that holds the claim.
func (e *Entry) ownerAnswer(ctx context.Context, owner claimapi.ClaimOwner) entry.JobAnswer {
	if owner.Entry != e.Incarnation() {
		return e.remoteAnswer(ctx, owner)
	}
	rec := e.table.get(owner.Submission)
	if rec == nil {
		return unknown(ReasonAnswerExpired)
	}
	select {
	case <-rec.done:
		return rec.answer
	case <-ctx.Done():
		return unknown(entry.ReasonDeadline)
	}
}

// remoteAnswer asks the owner until it has the answer or the deadline passes.
// Calls that fail are repeated after a pause: the owner may be reachable again
// before the deadline.
func (e *Entry) remoteAnswer(ctx context.Context, owner claimapi.ClaimOwner) entry.JobAnswer {
	args := SubmissionArgs{Submission: owner.Submission, Wait: rpcWait}
	for attempt := 0; attempt < rpcAttempts; {
		reply := SubmissionReply{}
		err := e.call(ctx, owner.Peer, "Peer.Submission", &args, &reply)
		switch {
		case err != nil:
			attempt++
			ctxsleep.For(ctx, rpcPause)
		case reply.Entry != owner.Entry:
			return unknown(ReasonOwnerGone)
		case !reply.Found:
			return unknown(ReasonAnswerExpired)
		case reply.Done:
			return reply.Answer
		}
		if ctx.Err() != nil {
			return unknown(entry.ReasonDeadline)
		}
	}
	return unknown(ReasonOwnerSilent)
}

func unknown(reason string) entry.JobAnswer {
	return entry.JobAnswer{Outcome: entry.Unknown, Reason: reason}
}
