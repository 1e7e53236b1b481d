// Package claimapi is the interface between the entry's shell and the service
// that claims non-idempotent requests in the platform's log.
package claimapi

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// ClaimRequest asks for the right to run one keyed request.
type ClaimRequest struct {
	Team, Key  string
	Submission wire.SubmissionID
}

// ClaimOwner is the holder of a claim and how to reach it.
type ClaimOwner struct {
	Entry      wire.Incarnation
	Peer       string // IP:port of the owner's peer listener
	Submission wire.SubmissionID
}

// ClaimResult is how a claim ended.
type ClaimResult struct {
	Won bool
	// Owner holds the claim if another submission has it; else it is zero.
	Owner ClaimOwner
	// Reason is the caller-visible reason if the claim was not won.
	Reason string
	// RunBefore says that the key's work may have run under another submission.
	RunBefore  bool
	RetryAfter time.Duration
}

// Claims obtains and gives up claims.
type Claims interface {
	// Claim calls done exactly once, never from within Claim.
	Claim(ClaimRequest, func(ClaimResult))
	// Release gives up a claim of which no task started or will start.
	Release(ClaimRequest)
}
