// Package claimapi is the contract between the entry's shell, which needs a
// claim before it starts the tasks of a non-idempotent request, and the
// follower of the platform's log, which obtains claims.
package claimapi

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// ClaimRequest names the request for which a claim is wanted.
type ClaimRequest struct {
	// Team scopes Key.
	Team string
	// Key has the form `<unix milliseconds>-<unique text>`.
	Key        string
	Submission wire.SubmissionID
}

// ClaimOwner says who holds the live claim for a key.
type ClaimOwner struct {
	Entry wire.Incarnation
	// Peer is the IP:port of the owner's peer listener.
	Peer       string
	Submission wire.SubmissionID
}

// ClaimResult says how a claim ended.
type ClaimResult struct {
	// Won says that this submission holds the claim and may start tasks.
	Won bool
	// Owner is the holder of the claim if it was lost to another submission.
	// Owner.Entry is zero if there is none, for instance for an expired key.
	Owner ClaimOwner
	// Reason is the machine-readable reason of a claim that was not won.
	Reason string
	// RunBefore says that the key's work may have run under another
	// submission, so that the caller must be told unknown, not refused.
	RunBefore bool
	// RetryAfter is set if a retry with the same key is safe and may succeed.
	RetryAfter time.Duration
}

// Claims obtains and gives up claims. Both methods return without waiting for
// the log and may be called from any goroutine.
type Claims interface {
	// Claim obtains the claim. It calls done exactly once, from any goroutine.
	// If the claim was not won, no claim of this submission is live or can
	// become live.
	Claim(req ClaimRequest, done func(ClaimResult))
	// Release gives up a claim that was won and whose submission started
	// nothing and never will.
	Release(req ClaimRequest)
}
