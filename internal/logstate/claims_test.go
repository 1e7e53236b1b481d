package logstate_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

const claimTTL = claims.DefaultMaxKeyAge + 2*claims.DefaultSkew

// Guards against two entries that both win the same key.
func TestOneOfTwoEntriesWinsAKey(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.ready(s.entry(nil)), s.ready(s.entry(nil))
	for i := range 20 {
		r := request(fmt.Sprint("k", i), 0)
		r2 := resubmit(r)
		ca, cb := startClaim(a, r), startClaim(b, r2)
		won, lost := <-ca, <-cb
		winner := r
		if lost.Won {
			won, lost, winner = lost, won, r2
		}
		assert.Assert(t, won.Won && !lost.Won)
		assert.Equal(t, lost.Owner.Submission, winner.Submission)
		assert.Assert(t, lost.MayHaveRun && lost.Owner.Peer != "")
	}
}

// Guards against a key that runs again after its entry died between the claim and
// the start of the work, both before and after the claim expires.
func TestKeyOfDeadEntryNeverRunsAgain(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.ready(s.entry(nil)), s.ready(s.entry(nil))
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	a.Close()
	got := claim(b, resubmit(r))
	assert.Equal(t, got.Owner.Submission, r.Submission)
	assert.Assert(t, !got.Won && got.MayHaveRun)
	s.server.AdvanceLogTime(claimTTL + time.Minute)
	newEntry := s.ready(s.entry(nil))
	for _, e := range []*logstate.State{b, newEntry} {
		got = claim(e, resubmit(r))
		assert.Assert(t, !got.Won && got.MayHaveRun, "%+v", got)
	}
	assert.Equal(t, claim(newEntry, resubmit(r)).Reason, logstate.ReasonKeyExpired)
}

// Guards against a key that cannot be claimed after its release.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.ready(s.entry(nil)), s.ready(s.entry(nil))
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	a.Release(r)
	s.until("the key is free", func() bool { return claim(b, resubmit(r)).Won })
	assert.Equal(t, a.Status().ClaimsHeld, 0)
}

// Guards against a claim that fails because the request or the reply of its append
// was lost.
func TestClaimSurvivesLostAppendReplyOrRequest(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	s.until("presence is written", func() bool { return a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{LoseReplies: 1})
	assert.Assert(t, claim(a, request("k", 0)).Won)
	// The claim may be won by a read before its append is found unanswered, after which the
	// log counts as out of reach.
	s.until("the append is resolved", func() bool { return a.Status().Counters.ClaimRecords == 1 })
	s.ready(a)
	s.server.SetFaults(logserver.Faults{LoseRequests: 1})
	assert.Assert(t, claim(a, request("l", 0)).Won)
}

// Guards against an abandoned claim whose append takes effect later: no entry may
// win the key while the claim is in the log, and the claim must be released.
func TestAbandonedClaimAppendedLateIsReleased(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.ClaimTimeout = 100 * time.Millisecond }))
	b := s.ready(s.entry(nil))
	s.until("presence is written", func() bool { return b.Status().Counters.Presences == 1 && a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{LateAppends: 1_000_000, LateByMillis: 400})
	r := request("k", 0)
	done := startClaim(a, r)
	got := <-done
	assert.Equal(t, got.Reason, logstate.ReasonLogUnavailable)
	assert.Assert(t, !got.Won && !got.MayHaveRun)
	s.until("the late claim is read from the log", func() bool { return b.Status().ClaimsLive == 1 })
	assert.Assert(t, !claim(b, resubmit(r)).Won)
	s.server.SetFaults(logserver.Faults{})
	s.until("the key is free", func() bool { return claim(b, resubmit(r)).Won })
	select {
	case extra := <-done:
		t.Fatalf("second result: %+v", extra)
	default:
	}
}

// Guards against a claim that blocks its key until it expires because its append
// took effect after its release.
func TestClaimAppendedAfterItsReleaseIsReleasedAgain(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.ClaimTimeout = 100 * time.Millisecond }))
	b := s.ready(s.entry(nil))
	s.until("presence is written", func() bool { return b.Status().Counters.Presences == 1 && a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{LateAppends: 1, LateByMillis: 1500, LoseRequests: 1_000_000})
	r := request("k", 0)
	assert.Equal(t, claim(a, r).Reason, logstate.ReasonLogUnavailable)
	s.server.SetFaults(logserver.Faults{})
	s.until("there is a release before the late claim and one after it", func() bool {
		return len(s.server.Records(logstate.StreamClaims)) >= 3
	})
	s.until("the key is free", func() bool { return claim(b, resubmit(r)).Won })
}

// Guards against telling a second submission that the key may have run although
// this entry knows that it released the first claim unused.
func TestKeyReleasedByThisEntryIsRefusedAsNotRun(t *testing.T) {
	s := newSystem(t, logserver.Options{AppendDelay: 50 * time.Millisecond})
	a := s.ready(s.entry(nil))
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	assert.Equal(t, claim(a, resubmit(r)).MayHaveRun, true)
	a.Release(r)
	got := claim(a, resubmit(r))
	if !got.Won { // the release is usually still in flight
		assert.Equal(t, got.Reason, logstate.ReasonKeyReleasing)
		assert.Assert(t, !got.MayHaveRun && got.RetryAfter > 0)
	}
}

// Guards against claims that hang or are won during a log outage, and against an
// entry that still refuses claims after it.
func TestLogOutageRefusesClaimsAndRecovers(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	held := request("held", 0)
	assert.Assert(t, claim(a, held).Won)
	s.server.SetFaults(logserver.Faults{Outage: true})
	for range 3 {
		got := claim(a, request("k", 0))
		assert.Equal(t, got, claimapi.ClaimResult{Reason: logstate.ReasonLogUnavailable, RetryAfter: got.RetryAfter})
		assert.Assert(t, got.RetryAfter > 0)
	}
	got := claim(a, resubmit(held))
	assert.Equal(t, got.Owner.Submission, held.Submission, "the owner of a claimed key must be known during an outage")
	s.server.SetFaults(logserver.Faults{})
	s.ready(a)
	assert.Assert(t, claim(a, request("after", 0)).Won)
}

// endlessPoll is a Log whose long polls end only when there is a record or the
// context is done.
type endlessPoll struct{ platformlog.Log }

func (e endlessPoll) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	wait := r.Wait > 0
	r.Wait = 0
	for {
		b, err := e.Log.Read(ctx, r)
		if !wait || len(b.Records) > 0 {
			return b, err
		}
		select {
		case <-ctx.Done():
			return b, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against an entry that refuses claims until its long poll ends although
// the log is available again.
func TestFailedAppendInterruptsLongPoll(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.Log = endlessPoll{s.client()} }))
	s.until("presence is written", func() bool { return a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{Outage: true})
	assert.Equal(t, claim(a, request("k", 0)).Reason, logstate.ReasonLogUnavailable)
	s.server.SetFaults(logserver.Faults{})
	s.ready(a)
}

// unansweredPoll is a Log in which one long poll of the claims stream gets no reply.
type unansweredPoll struct {
	platformlog.Log
	armed atomic.Bool // the next long poll gets no reply
}

func (p *unansweredPoll) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	b, err := p.Log.Read(ctx, r)
	if r.Stream == logstate.StreamClaims && r.Wait > 0 && p.armed.CompareAndSwap(true, false) {
		<-ctx.Done()
		return platformlog.Batch{}, ctx.Err()
	}
	return b, err
}

// Guards against an unresponsive connection that makes every later claim fail
// although new connections work.
func TestClaimsRecoverFromUnresponsiveConnection(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	log := &unansweredPoll{Log: s.client()}
	a := s.ready(s.entry(func(o *logstate.Options) { o.Log, o.ClaimTimeout = log, 300*time.Millisecond }))
	log.armed.Store(true)
	claim(a, request("k", 0))
	s.until("a claim is won", func() bool { return claim(a, request("l", 0)).Won })
}

// Guards against a claim that never ends, or is won, when the log stops responding
// while the claim is in flight.
func TestClaimEndsWhenLogStopsResponding(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.ClaimTimeout = 100 * time.Millisecond }))
	s.server.SetFaults(logserver.Faults{Unresponsive: true})
	r := request("k", 0)
	got := claim(a, r)
	assert.Assert(t, !got.Won && !got.MayHaveRun)
	assert.Equal(t, claim(a, r).Reason, logstate.ReasonDuplicateSubmission, "the release of the first claim would also release a second one")
	s.server.SetFaults(logserver.Faults{})
	b := s.ready(s.entry(nil))
	s.until("the key is free", func() bool { return claim(b, resubmit(r)).Won })
}

// Guards against a paused reader that wins keys whose claims it missed because
// their records expired.
func TestReaderThatMissedRecordsRefusesTheirKeys(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	log := &pausableLog{Log: s.client()}
	a := s.ready(s.entry(func(o *logstate.Options) { o.Log = log }))
	b := s.ready(s.entry(nil))
	log.pause()
	missed := request("missed", 0)
	assert.Assert(t, claim(b, missed).Won)
	s.server.ExpireBelow(logstate.StreamClaims, 1)
	assert.Assert(t, claim(b, request("seen", 0)).Won)
	log.resume()
	s.until("the reader has caught up", func() bool { return a.Status().ClaimsLive > 0 })
	got := claim(a, resubmit(missed))
	assert.Equal(t, got.Reason, logstate.ReasonKeyIndeterminate)
	assert.Assert(t, got.MayHaveRun)
}

// countingLog is a Log that counts the claim records it returns.
type countingLog struct {
	platformlog.Log
	records atomic.Int64
}

func (c *countingLog) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	b, err := c.Log.Read(ctx, r)
	if r.Stream == logstate.StreamClaims {
		c.records.Add(int64(len(b.Records)))
	}
	return b, err
}

// Guards against a new entry that reads the whole retained stream, and against one
// that skips claims that are still live.
func TestNewEntryReadsOnlyRecentClaims(t *testing.T) {
	s := newSystem(t, logserver.Options{AppendDelay: -1})
	a := s.ready(s.entry(nil))
	for i := range 200 {
		assert.Assert(t, claim(a, request(fmt.Sprint("old", i), 0)).Won)
	}
	s.server.AdvanceLogTime(claimTTL + time.Minute)
	recent := request("k", -claimTTL-time.Minute)
	assert.Assert(t, claim(a, recent).Won)
	log := &countingLog{Log: s.client()}
	newEntry := s.ready(s.entry(func(o *logstate.Options) { o.Log = log }))
	assert.Assert(t, log.records.Load() < 30, "%d records read", log.records.Load())
	assert.Equal(t, claim(newEntry, resubmit(recent)).Owner.Submission, recent.Submission)
	assert.Assert(t, claim(newEntry, request("l", -claimTTL-time.Minute+claims.DefaultMaxKeyAge-time.Second)).Won)
}

// Guards against a new entry that refuses all new keys because the log has been
// idle for longer than its retention.
func TestIdleLogDoesNotBlockNewKeys(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	assert.Assert(t, claim(a, request("k", 0)).Won)
	s.until("a keepalive record is written", func() bool {
		s.server.AdvanceLogTime(time.Hour)
		r := s.server.Records(logstate.StreamClaims)
		return len(r) > 0 && r[len(r)-1].Offset > 0
	})
	a.Close()
	s.server.ExpireBelow(logstate.StreamClaims, 1)
	s.server.AdvanceLogTime(claimTTL + time.Minute)
	newEntry := s.ready(s.entry(nil))
	b, err := s.client().Read(t.Context(), platformlog.ReadRequest{Stream: logstate.StreamClaims, From: platformlog.FromOldest})
	assert.NilError(t, err)
	clockOffset := b.Now - time.Duration(time.Now().UnixNano())
	assert.Assert(t, claim(newEntry, request("l", -clockOffset)).Won)
}

// Guards against claims on a log that removes them while their keys are still
// valid.
func TestTooShortRetentionRefusesClaims(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.Retention = claimTTL - 1 }))
	assert.Equal(t, claim(a, request("k", 0)).Reason, logstate.ReasonRetentionTooShort)
}

// Guards against a claim table that grows without bound, and against claims of
// invalid or duplicate keys that are not refused.
func TestInvalidAndExcessClaimsAreRefused(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.MaxLiveClaims = 1 }))
	assert.Equal(t, claim(a, claimapi.ClaimRequest{Key: "x"}).Reason, logstate.ReasonKeyMalformed)
	assert.Equal(t, claim(a, request("k", -time.Hour)).Reason, logstate.ReasonKeyFromFuture)
	assert.Equal(t, claim(a, request("k", time.Hour)).Reason, logstate.ReasonKeyExpired)
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	assert.Equal(t, claim(a, r).Reason, logstate.ReasonDuplicateSubmission)
	assert.Equal(t, claim(a, request("l", 0)).Reason, logstate.ReasonTooManyClaims)
}

// Guards against a caller that waits forever for an entry that has stopped.
func TestClaimAfterCloseIsRefused(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	a.Close()
	assert.Equal(t, claim(a, request("k", 0)).Reason, logstate.ReasonLogUnavailable)
}

// Guards against one append per claim.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	s := newSystem(t, logserver.Options{AppendDelay: 20 * time.Millisecond})
	a := s.ready(s.entry(nil))
	var all []<-chan claimapi.ClaimResult
	const n = 500
	for i := range n {
		all = append(all, startClaim(a, request(fmt.Sprint("k", i), 0)))
	}
	for _, c := range all {
		assert.Assert(t, (<-c).Won)
	}
	records := len(s.server.Records(logstate.StreamClaims))
	assert.Assert(t, records < n/2, "%d records for %d claims", records, n)
}
