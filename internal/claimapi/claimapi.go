// Package claimapi defines the interface through which an entry process obtains
// claims from the reader of the platform's log. An entry needs a claim before it
// starts the tasks of a non-idempotent request.
package claimapi

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// ClaimRequest identifies the request that a claim is for.
type ClaimRequest struct {
	// Team is the namespace of Key.
	Team string
	// Key has the form `<unix milliseconds>-<unique text>`.
	Key        string
	Submission wire.SubmissionID
}

// ClaimOwner identifies the holder of the live claim for a key.
type ClaimOwner struct {
	Entry wire.Incarnation
	// Peer is the IP:port of the owner's peer listener.
	Peer       string
	Submission wire.SubmissionID
}

// ClaimResult is the outcome of a claim request.
type ClaimResult struct {
	// Won is true if this submission holds the claim and may start tasks.
	Won bool
	// Owner is the holder of the claim if it was lost to another submission.
	// Owner.Entry is zero if there is none, for instance for an expired key.
	Owner ClaimOwner
	// Reason is the machine-readable reason of a claim that was not won.
	Reason string
	// MayHaveRun is true if the key's work may have run under another submission.
	// The caller must then get the outcome unknown, not refused.
	MayHaveRun bool
	// RetryAfter is the delay before a retry with the same key. It is set only if
	// such a retry is safe and may succeed.
	RetryAfter time.Duration
}

// Claims obtains and releases claims. Both methods return without waiting for
// the log and are safe for concurrent use.
type Claims interface {
	// Claim requests the claim and calls done exactly once, on any goroutine. If
	// the claim was not won, no claim of this submission is live or can become
	// live later.
	Claim(req ClaimRequest, done func(ClaimResult))
	// Release releases a claim that was won. The submission must not have started
	// any task and must never start one.
	Release(req ClaimRequest)
}
