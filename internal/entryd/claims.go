package entryd

import (
	"context"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// handleClaimResult handles the result of a claim request. If another
// submission holds the claim, the caller gets the answer of that submission.
func (e *Entry) handleClaimResult(sub *submission, res claimapi.ClaimResult) {
	if res.Won || res.Owner.Entry == 0 || res.Owner.Submission == sub.id {
		e.send(entry.ClaimResolved{
			Submission: sub.id, Won: res.Won, Reason: res.Reason,
			MayHaveRun: res.MayHaveRun, RetryAfter: res.RetryAfter,
		})
		return
	}
	e.log.Emit(eventlog.ClaimForwarded, eventlog.Fields{
		Submission: sub.id.String(), Peer: res.Owner.Peer, Detail: res.Owner.Submission.String(),
	})
	e.table.markClaimDropped(sub)
	ctx, cancel := context.WithDeadline(e.ctx, sub.deadline)
	answer := e.waitForOwnerAnswer(ctx, res.Owner)
	cancel()
	if e.ctx.Err() != nil {
		return // the process is stopping, so replyWhenAnswered aborts the caller's connection
	}
	e.table.resolve(sub.id, answer)
	e.send(entry.ClaimResolved{Submission: sub.id, MayHaveRun: true, Reason: ReasonDuplicate})
}

// waitForOwnerAnswer waits for the answer of the submission that holds the claim,
// which may belong to this entry or to another one.
func (e *Entry) waitForOwnerAnswer(ctx context.Context, owner claimapi.ClaimOwner) entry.JobAnswer {
	if owner.Entry != e.Incarnation() {
		return e.pollRemoteAnswer(ctx, owner)
	}
	sub := e.table.get(owner.Submission)
	if sub == nil {
		return unknownAnswer(ReasonAnswerExpired)
	}
	select {
	case <-sub.done:
		return sub.answer
	case <-ctx.Done():
		return unknownAnswer(entry.ReasonDeadline)
	}
}

// pollRemoteAnswer polls the owning entry until it returns the answer, ctx ends
// or maxRPCAttempts calls have failed. A failed call is retried after
// rpcRetryDelay, since the owner may become reachable again before the
// deadline.
func (e *Entry) pollRemoteAnswer(ctx context.Context, owner claimapi.ClaimOwner) entry.JobAnswer {
	args := SubmissionArgs{Submission: owner.Submission, Wait: maxRPCWait}
	for attempt := 0; attempt < maxRPCAttempts; {
		reply := SubmissionReply{}
		err := e.callPeer(ctx, owner.Peer, "Peer.Submission", &args, &reply)
		switch {
		case err != nil:
			attempt++
			ctxsleep.For(ctx, rpcRetryDelay)
		case reply.Entry != owner.Entry:
			return unknownAnswer(ReasonOwnerGone)
		case !reply.Found:
			return unknownAnswer(ReasonAnswerExpired)
		case reply.Done:
			return reply.Answer
		}
		if ctx.Err() != nil {
			return unknownAnswer(entry.ReasonDeadline)
		}
	}
	return unknownAnswer(ReasonOwnerUnreachable)
}

func unknownAnswer(reason string) entry.JobAnswer {
	return entry.JobAnswer{Outcome: entry.Unknown, Reason: reason}
}
