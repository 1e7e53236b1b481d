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

// slowClaims holds the outcome of each claim until the test gives it.
type slowClaims struct {
	claims   chan func(claimapi.ClaimResult)
	released chan claimapi.ClaimRequest
}

// Claim implements claimapi.Claims.
func (s *slowClaims) Claim(_ claimapi.ClaimRequest, done func(claimapi.ClaimResult)) {
	s.claims <- done
}

// Release implements claimapi.Claims.
func (s *slowClaims) Release(req claimapi.ClaimRequest) { s.released <- req }

func startSlow(t *testing.T) (*entryd.Entry, *slowClaims) {
	s := &slowClaims{
		claims:   make(chan func(claimapi.ClaimResult), 8),
		released: make(chan claimapi.ClaimRequest, 8),
	}
	return startEntry(t, entryd.Options{Claims: s, Incarnation: 42}), s
}

var hurried = strings.Replace(once, "20000", "50", 1)

// Guards against a refusal while the claim may still be won, and against a
// claim that stays when it is won too late, which would block its key.
func TestClaimWonAfterTheAnswerIsReleased(t *testing.T) {
	e, s := startSlow(t)
	r := do(t, "POST", jobs(e), hurried)
	assert.Equal(t, r.status, 504, r.raw)
	assert.Equal(t, r.body.Reason, "claim_pending")
	(<-s.claims)(claimapi.ClaimResult{Won: true})
	assert.Equal(t, (<-s.released).Key, "1700000000000-a")

	a := startAgent(t, e, 8, echo)
	go func() { (<-s.claims)(claimapi.ClaimResult{Won: true}) }()
	assert.Equal(t, do(t, "POST", jobs(e), once).status, 200)
	assert.Equal(t, a.starts(), 2)
}

// Guards against a refused job that keeps its claim, and against a key that
// cannot be used again after a refusal.
func TestRefusedJobReleasesItsClaim(t *testing.T) {
	e, s := startSlow(t)
	go func() { (<-s.claims)(claimapi.ClaimResult{Won: true}) }()
	r := do(t, "POST", jobs(e), hurried) // no agent: it waits until its deadline
	assert.Equal(t, r.status, 503, r.raw)
	assert.Equal(t, r.body.Reason, "deadline")
	<-s.released
	startAgent(t, e, 8, echo)
	go func() { (<-s.claims)(claimapi.ClaimResult{Won: true}) }()
	assert.Equal(t, do(t, "POST", jobs(e), once).status, 200)
}

// Guards against a claim that was lost without an owner being told wrongly:
// refused only if the key's work did not run.
func TestLostClaimIsReportedTruthfully(t *testing.T) {
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
		{claimapi.ClaimResult{Reason: "key_expired", RunBefore: true}, 504, "key_expired"},
		{owner(42), 504, entryd.ReasonAnswerExpired},
		{owner(55), 504, entryd.ReasonOwnerSilent},
	}
	for _, c := range cases {
		e, s := startSlow(t)
		go func() { (<-s.claims)(c.result) }()
		r := do(t, "POST", jobs(e), once)
		assert.Equal(t, r.status, c.status, r.raw)
		assert.Equal(t, r.body.Reason, c.reason)
	}
}

// Guards against a planned stop of a claim's owner that cuts off the entries
// which wait for its answer (P7). The owner's own caller has gone, and the
// answer is large, so that nothing else holds up the stop.
func TestStopOfTheOwnerDeliversForwardedAnswers(t *testing.T) {
	claims := newClaims()
	owner, other := startClaiming(t, claims, 101), startClaiming(t, claims, 102)
	run, open := gate()
	defer open()
	a := startAgent(t, owner, 8, func(s wire.Start) wire.Result {
		run(s)
		return wire.Result{Outcome: wire.Succeeded, Body: bytes.Repeat([]byte("1"), 3<<20)}
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", jobs(owner), strings.NewReader(once))
	assert.NilError(t, err)
	gone := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		gone <- err
	}()
	waitFor(t, "start", func() bool { return a.starts() == 2 })
	cancel()
	assert.ErrorIs(t, <-gone, context.Canceled)
	answered := make(chan reply, 1)
	go func() {
		r, _ := try("POST", jobs(other), once)
		answered <- r
	}()
	waitFor(t, "forwarded", func() bool {
		s := do(t, "GET", "http://"+owner.OperatorAddr()+"/status", "")
		return strings.Contains(s.raw, `"peer_calls":1`) && strings.Contains(s.raw, `"requests":0`)
	})
	stopped := make(chan error, 1)
	go func() { stopped <- owner.Stop(context.Background()) }()
	open()
	assert.NilError(t, <-stopped)
	assert.Equal(t, (<-answered).status, 200)
}
