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

const life = claims.DefaultWindow + 2*claims.DefaultSkew

// Guards against two entries that both start one key.
func TestOneOfTwoEntriesWinsAKey(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.ready(s.entry(nil)), s.ready(s.entry(nil))
	for i := range 20 {
		r := request(fmt.Sprint("k", i), 0)
		r2 := again(r)
		ca, cb := begin(a, r), begin(b, r2)
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

// Guards against a key that runs again after its entry died between claim and
// start, before and after the claim expires.
func TestKeyOfADeadEntryNeverRunsAgain(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.ready(s.entry(nil)), s.ready(s.entry(nil))
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	a.Close()
	got := claim(b, again(r))
	assert.Equal(t, got.Owner.Submission, r.Submission)
	assert.Assert(t, !got.Won && got.MayHaveRun)
	s.server.Advance(life + time.Minute)
	fresh := s.ready(s.entry(nil))
	for _, e := range []*logstate.State{b, fresh} {
		got = claim(e, again(r))
		assert.Assert(t, !got.Won && got.MayHaveRun, "%+v", got)
	}
	assert.Equal(t, claim(fresh, again(r)).Reason, logstate.ReasonKeyExpired)
}

// Guards against a released key that stays blocked.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.ready(s.entry(nil)), s.ready(s.entry(nil))
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	a.Release(r)
	s.until("the key is free", func() bool { return claim(b, again(r)).Won })
	assert.Equal(t, a.Status().ClaimsHeld, 0)
}

// Guards against a claim that is lost with the reply to its append.
func TestLostAppendReplyIsResolvedByReading(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	s.until("presence is written", func() bool { return a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{LoseReplies: 1})
	assert.Assert(t, claim(a, request("k", 0)).Won)
	s.ready(a)
	s.server.SetFaults(logserver.Faults{LoseRequests: 1})
	assert.Assert(t, claim(a, request("l", 0)).Won)
}

// Guards against a claim that its entry gave up and that then shows up: nobody
// may start it while it is in the log, and it must be released.
func TestGivenUpClaimThatShowsUpLateIsReleased(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.ClaimTimeout = 100 * time.Millisecond }))
	b := s.ready(s.entry(nil))
	s.until("presence is written", func() bool { return b.Status().Counters.Presences == 1 && a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{LateAppends: 1_000_000, LateByMillis: 400})
	r := request("k", 0)
	done := begin(a, r)
	got := <-done
	assert.Equal(t, got.Reason, logstate.ReasonLogUnavailable)
	assert.Assert(t, !got.Won && !got.MayHaveRun)
	s.until("the late claim is in the log", func() bool { return b.Status().ClaimsLive == 1 })
	assert.Assert(t, !claim(b, again(r)).Won)
	s.server.SetFaults(logserver.Faults{})
	s.until("the key is free", func() bool { return claim(b, again(r)).Won })
	select {
	case extra := <-done:
		t.Fatalf("second result: %+v", extra)
	default:
	}
}

// Guards against a claim that blocks its key for good because its append took
// effect after its release.
func TestClaimThatFollowsItsReleaseIsReleasedAgain(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.ClaimTimeout = 100 * time.Millisecond }))
	b := s.ready(s.entry(nil))
	s.until("presence is written", func() bool { return b.Status().Counters.Presences == 1 && a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{LateAppends: 1, LateByMillis: 1500, LoseRequests: 1_000_000})
	r := request("k", 0)
	assert.Equal(t, claim(a, r).Reason, logstate.ReasonLogUnavailable)
	s.server.SetFaults(logserver.Faults{})
	s.until("a release precedes and another follows the late claim", func() bool {
		return len(s.server.Records(logstate.StreamClaims)) >= 3
	})
	s.until("the key is free", func() bool { return claim(b, again(r)).Won })
}

// Guards against a second submission that is told that the key may have run
// while this entry knows that it gave the first one up.
func TestKeyGivenUpByThisEntryIsRefusedAsNotRun(t *testing.T) {
	s := newSystem(t, logserver.Options{AppendDelay: 50 * time.Millisecond})
	a := s.ready(s.entry(nil))
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	assert.Equal(t, claim(a, again(r)).MayHaveRun, true)
	a.Release(r)
	got := claim(a, again(r))
	if !got.Won { // the release is usually on its way
		assert.Equal(t, got.Reason, logstate.ReasonKeyReleasing)
		assert.Assert(t, !got.MayHaveRun && got.RetryAfter > 0)
	}
}

// Guards against requests that hang or run while the log is down.
func TestOutageRefusesClaimsAtOnceAndEnds(t *testing.T) {
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
	got := claim(a, again(held))
	assert.Equal(t, got.Owner.Submission, held.Submission, "a claimed key is known in an outage")
	s.server.SetFaults(logserver.Faults{})
	s.ready(a)
	assert.Assert(t, claim(a, request("after", 0)).Won)
}

// endlessPoll is a Log whose long polls end only with a record.
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
// the log is back.
func TestFailedAppendEndsTheLongPoll(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.Log = endlessPoll{s.client()} }))
	s.until("presence is written", func() bool { return a.Status().Counters.Presences == 1 })
	s.server.SetFaults(logserver.Faults{Outage: true})
	assert.Equal(t, claim(a, request("k", 0)).Reason, logstate.ReasonLogUnavailable)
	s.server.SetFaults(logserver.Faults{})
	s.ready(a)
}

// silentPoll is a Log of which one long poll of the claims stays without answer.
type silentPoll struct {
	platformlog.Log
	armed atomic.Bool
}

func (p *silentPoll) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	b, err := p.Log.Read(ctx, r)
	if r.Stream == logstate.StreamClaims && r.Wait > 0 && p.armed.CompareAndSwap(true, false) {
		<-ctx.Done()
		return platformlog.Batch{}, ctx.Err()
	}
	return b, err
}

// Guards against a connection that goes silent and takes every later claim with
// it while new connections work.
func TestSilentConnectionCostsOneClaim(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	log := &silentPoll{Log: s.client()}
	a := s.ready(s.entry(func(o *logstate.Options) { o.Log, o.ClaimTimeout = log, 300*time.Millisecond }))
	log.armed.Store(true)
	claim(a, request("k", 0))
	s.until("claims work again", func() bool { return claim(a, request("l", 0)).Won })
}

// Guards against a claim that stays open, or wins, when the log falls silent
// between its append and its read-back.
func TestOutageInTheMiddleEndsTheClaim(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.ClaimTimeout = 100 * time.Millisecond }))
	s.server.SetFaults(logserver.Faults{Silent: true})
	r := request("k", 0)
	got := claim(a, r)
	assert.Assert(t, !got.Won && !got.MayHaveRun)
	assert.Equal(t, claim(a, r).Reason, logstate.ReasonDuplicateSubmission, "its release would free a second claim of it")
	s.server.SetFaults(logserver.Faults{})
	b := s.ready(s.entry(nil))
	s.until("the key is free", func() bool { return claim(b, again(r)).Won })
}

// Guards against a paused reader that judges keys whose claims it missed.
func TestReaderThatMissedRecordsDoesNotJudgeTheirKeys(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	g := &gate{Log: s.client()}
	a := s.ready(s.entry(func(o *logstate.Options) { o.Log = g }))
	b := s.ready(s.entry(nil))
	g.pause()
	missed := request("missed", 0)
	assert.Assert(t, claim(b, missed).Won)
	s.server.Expire(logstate.StreamClaims, 1)
	assert.Assert(t, claim(b, request("seen", 0)).Won)
	g.resume()
	s.until("the reader has caught up", func() bool { return a.Status().ClaimsLive > 0 })
	got := claim(a, again(missed))
	assert.Equal(t, got.Reason, logstate.ReasonKeyUnjudged)
	assert.Assert(t, got.MayHaveRun)
}

// counting is a Log that counts the claim records it returns.
type counting struct {
	platformlog.Log
	records atomic.Int64
}

func (c *counting) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	b, err := c.Log.Read(ctx, r)
	if r.Stream == logstate.StreamClaims {
		c.records.Add(int64(len(b.Records)))
	}
	return b, err
}

// Guards against a start that takes as long as the log's retention is deep, and
// against one that skips claims that still count.
func TestFreshEntryReadsOnlyClaimsThatCanCount(t *testing.T) {
	s := newSystem(t, logserver.Options{AppendDelay: -1})
	a := s.ready(s.entry(nil))
	for i := range 200 {
		assert.Assert(t, claim(a, request(fmt.Sprint("old", i), 0)).Won)
	}
	s.server.Advance(life + time.Minute)
	nowInLog := request("k", -life-time.Minute)
	assert.Assert(t, claim(a, nowInLog).Won)
	log := &counting{Log: s.client()}
	fresh := s.ready(s.entry(func(o *logstate.Options) { o.Log = log }))
	assert.Assert(t, log.records.Load() < 30, "%d records read", log.records.Load())
	assert.Equal(t, claim(fresh, again(nowInLog)).Owner.Submission, nowInLog.Submission)
	assert.Assert(t, claim(fresh, request("l", -life-time.Minute+claims.DefaultWindow-time.Second)).Won)
}

// Guards against a fresh entry that cannot judge any key because the log has
// been quiet for longer than its retention.
func TestQuietLogLeavesNewKeysJudgeable(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	assert.Assert(t, claim(a, request("k", 0)).Won)
	s.until("a record marks the quiet stream", func() bool {
		s.server.Advance(time.Hour)
		r := s.server.Records(logstate.StreamClaims)
		return len(r) > 0 && r[len(r)-1].Offset > 0
	})
	a.Close()
	s.server.Expire(logstate.StreamClaims, 1)
	s.server.Advance(life + time.Minute)
	fresh := s.ready(s.entry(nil))
	b, err := s.client().Read(t.Context(), platformlog.ReadRequest{Stream: logstate.StreamClaims, From: platformlog.FromOldest})
	assert.NilError(t, err)
	ahead := b.Now - time.Duration(time.Now().UnixNano())
	assert.Assert(t, claim(fresh, request("l", -ahead)).Won)
}

// Guards against claims on a log that forgets them while their keys are valid.
func TestTooShortRetentionRefusesKeys(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.Retention = life - 1 }))
	assert.Equal(t, claim(a, request("k", 0)).Reason, logstate.ReasonRetentionTooShort)
}

// Guards against a table that grows without bound, and against malformed and
// future keys that reach the log.
func TestClaimsThatCannotWinAreRefusedEarly(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(func(o *logstate.Options) { o.MaxLive = 1 }))
	assert.Equal(t, claim(a, claimapi.ClaimRequest{Key: "x"}).Reason, logstate.ReasonKeyMalformed)
	assert.Equal(t, claim(a, request("k", -time.Hour)).Reason, logstate.ReasonKeyFromFuture)
	assert.Equal(t, claim(a, request("k", time.Hour)).Reason, logstate.ReasonKeyExpired)
	r := request("k", 0)
	assert.Assert(t, claim(a, r).Won)
	assert.Equal(t, claim(a, r).Reason, logstate.ReasonDuplicateSubmission)
	assert.Equal(t, claim(a, request("l", 0)).Reason, logstate.ReasonTooManyClaims)
}

// Guards against a caller that waits for ever on an entry that has stopped.
func TestClaimAfterCloseIsRefused(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.ready(s.entry(nil))
	a.Close()
	assert.Equal(t, claim(a, request("k", 0)).Reason, logstate.ReasonLogUnavailable)
}

// Guards against one append for each claim.
func TestClaimsShareRecords(t *testing.T) {
	s := newSystem(t, logserver.Options{AppendDelay: 20 * time.Millisecond})
	a := s.ready(s.entry(nil))
	var all []<-chan claimapi.ClaimResult
	const n = 500
	for i := range n {
		all = append(all, begin(a, request(fmt.Sprint("k", i), 0)))
	}
	for _, c := range all {
		assert.Assert(t, (<-c).Won)
	}
	records := len(s.server.Records(logstate.StreamClaims))
	assert.Assert(t, records < n/2, "%d records for %d claims", records, n)
}
