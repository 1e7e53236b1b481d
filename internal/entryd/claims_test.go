package entryd_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// manualClaims leaves each claim pending until the test calls its callback.
type manualClaims struct {
	claims   chan func(claimapi.ClaimResult)
	released chan claimapi.ClaimRequest
}

// Claim implements claimapi.Claims.
func (s *manualClaims) Claim(_ claimapi.ClaimRequest, done func(claimapi.ClaimResult)) {
	s.claims <- done
}

// Release implements claimapi.Claims.
func (s *manualClaims) Release(req claimapi.ClaimRequest) { s.released <- req }

func startWithManualClaims(t *testing.T) (*entryd.Entry, *manualClaims) {
	s := &manualClaims{
		claims:   make(chan func(claimapi.ClaimResult), 8),
		released: make(chan claimapi.ClaimRequest, 8),
	}
	return startEntry(t, entryd.Options{Claims: s, Incarnation: 42}), s
}

var shortDeadlineJob = strings.Replace(nonIdempotentJob, "20000", "50", 1)

// Guards against a refusal while the claim may still be won, and against a claim
// that is won after the answer and not released, which would block its key.
func TestClaimWonAfterTheAnswerIsReleased(t *testing.T) {
	e, s := startWithManualClaims(t)
	r := request(t, "POST", jobsURL(e), shortDeadlineJob)
	assert.Equal(t, r.status, 504, r.raw)
	assert.Equal(t, r.body.Reason, "claim_pending")
	(<-s.claims)(claimapi.ClaimResult{Won: true})
	assert.Equal(t, (<-s.released).Key, "1700000000000-a")

	a := startAgent(t, e, 8, echo)
	go func() { (<-s.claims)(claimapi.ClaimResult{Won: true}) }()
	assert.Equal(t, request(t, "POST", jobsURL(e), nonIdempotentJob).status, 200)
	assert.Equal(t, a.starts(), 2)
}

// Guards against a refused job that does not release its claim, and against a key
// that cannot be used again after a refusal.
func TestRefusedJobReleasesItsClaim(t *testing.T) {
	e, s := startWithManualClaims(t)
	go func() { (<-s.claims)(claimapi.ClaimResult{Won: true}) }()
	r := request(t, "POST", jobsURL(e), shortDeadlineJob) // there is no agent, so the job waits until its deadline
	assert.Equal(t, r.status, 503, r.raw)
	assert.Equal(t, r.body.Reason, "deadline")
	<-s.released
	startAgent(t, e, 8, echo)
	go func() { (<-s.claims)(claimapi.ClaimResult{Won: true}) }()
	assert.Equal(t, request(t, "POST", jobsURL(e), nonIdempotentJob).status, 200)
}

// Guards against a wrong outcome when the claim is lost and no answer of an owner
// is available: the job may be refused only if the key's work did not run.
func TestLostClaimIsRefusedOnlyIfNothingRan(t *testing.T) {
	owner := func(e wire.Incarnation) claimapi.ClaimResult {
		return claimapi.ClaimResult{Owner: claimapi.ClaimOwner{Entry: e, Submission: wire.SubmissionID{1}}}
	}
	cases := []struct {
		result claimapi.ClaimResult
		status int
		reason string
	}{
		{claimapi.ClaimResult{Reason: "log_unavailable", RetryAfter: time.Second}, 503, "log_unavailable"},
		{claimapi.ClaimResult{Reason: "retention_too_short"}, 422, "retention_too_short"},
		{claimapi.ClaimResult{Reason: "key_expired", MayHaveRun: true}, 504, "key_expired"},
		{owner(42), 504, entryd.ReasonAnswerExpired},
		{owner(55), 504, entryd.ReasonOwnerUnreachable},
	}
	for _, c := range cases {
		e, s := startWithManualClaims(t)
		go func() { (<-s.claims)(c.result) }()
		r := request(t, "POST", jobsURL(e), nonIdempotentJob)
		assert.Equal(t, r.status, c.status, r.raw)
		assert.Equal(t, r.body.Reason, c.reason)
	}
}

// Guards against a planned stop of a claim's owner that breaks the connections of
// entries waiting for its answer (P7). The owner's own caller has disconnected, so
// that only the call of the other entry can delay the stop, and the answer is
// large.
func TestStopOfTheOwnerDeliversForwardedAnswers(t *testing.T) {
	claims := newClaims()
	owner, other := startWithClaims(t, claims, 101), startWithClaims(t, claims, 102)
	run, unblock := blockedRun()
	defer unblock()
	a := startAgent(t, owner, 8, func(s wire.Start) wire.Result {
		run(s)
		return wire.Result{Outcome: wire.Succeeded, Body: bytes.Repeat([]byte("1"), 3<<20)}
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", jobsURL(owner), strings.NewReader(nonIdempotentJob))
	assert.NilError(t, err)
	callerErr := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		callerErr <- err
	}()
	waitFor(t, "start", func() bool { return a.starts() == 2 })
	cancel()
	assert.ErrorIs(t, <-callerErr, context.Canceled)
	answered := make(chan reply, 1)
	go func() {
		r, _ := tryRequest("POST", jobsURL(other), nonIdempotentJob)
		answered <- r
	}()
	waitFor(t, "forwarded", func() bool {
		s := request(t, "GET", "http://"+owner.OperatorAddr()+"/status", "")
		return strings.Contains(s.raw, `"peer_calls":1`) && strings.Contains(s.raw, `"requests":0`)
	})
	stopped := make(chan error, 1)
	go func() { stopped <- owner.Stop(context.Background()) }()
	unblock()
	assert.NilError(t, <-stopped)
	assert.Equal(t, (<-answered).status, 200)
}
