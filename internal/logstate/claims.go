package logstate

import (
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

// Reasons why a claim was not won.
const (
	// ReasonLogUnavailable: the claim could not be appended or read back in time.
	ReasonLogUnavailable = "log_unavailable"
	// ReasonKeyMalformed: the key is not of the form <unix ms>-<text>.
	ReasonKeyMalformed = "key_malformed"
	// ReasonKeyExpired: the key is older than the claim window.
	ReasonKeyExpired = "key_expired"
	// ReasonKeyFromFuture: the key's creation time is ahead of log time.
	ReasonKeyFromFuture = "key_from_future"
	// ReasonKeyClaimed: another submission holds the key.
	ReasonKeyClaimed = "key_claimed"
	// ReasonKeyReleasing: an earlier submission at this entry abandoned its
	// claim of the key without starting anything; the release is in flight.
	ReasonKeyReleasing = "key_releasing"
	// ReasonKeyIndeterminate: the key may have been claimed before the oldest record
	// that this entry could read.
	ReasonKeyIndeterminate = "key_unjudged"
	// ReasonRetentionTooShort: the log's retention is shorter than the lifetime
	// of a claim.
	ReasonRetentionTooShort = "retention_too_short"
	// ReasonTooManyClaims: MaxPendingClaims or MaxLiveClaims is reached.
	ReasonTooManyClaims = "too_many_claims"
	// ReasonDuplicateSubmission: the submission has claimed the key already.
	ReasonDuplicateSubmission = "duplicate_submission"
	// ReasonClaimCancelled: the submission was released before it won.
	ReasonClaimCancelled = "claim_cancelled"
)

const (
	unavailableRetryAfter = time.Second
	releasingRetryAfter   = 200 * time.Millisecond
	// heldSweepInterval is the interval, in log time, at which expired claims of
	// this entry are removed.
	heldSweepInterval = time.Minute
	// activeEntryTTL is how long, in log time, an entry counts as active after
	// its last claim record.
	activeEntryTTL = 10 * time.Second
)

// claimKey identifies one submission's claim of one key.
type claimKey struct {
	hash       claims.Hash
	submission wire.SubmissionID
}

// pendingClaim is a claim whose result is not known yet.
type pendingClaim struct {
	created  time.Duration // creation time of the key, since 1970
	deadline time.Time
	sent     bool // the claim may be in the log
	done     func(claimapi.ClaimResult)
}

// pendingRelease is a release that is resent until it is read back.
type pendingRelease struct {
	queued bool // to be sent with the next record
	sentAt time.Time
	since  time.Time // when the release was first queued
}

// ownClaims is the state of this entry's own claims and of the claims stream.
// The claims of all entries are in State.table.
type ownClaims struct {
	pending       map[claimKey]*pendingClaim
	queue         []claimKey                 // pending claims to send; may include claims that have ended
	held          map[claimKey]time.Duration // log time of the claim record
	releases      map[claimKey]*pendingRelease
	lastSweep     time.Duration                      // log time of the last removal of expired claims
	newestRecord  time.Duration                      // log time of the newest record read
	activeEntries map[wire.Incarnation]time.Duration // log time of each entry's last record
}

func (c *ownClaims) init() {
	c.pending = make(map[claimKey]*pendingClaim)
	c.held = make(map[claimKey]time.Duration)
	c.releases = make(map[claimKey]*pendingRelease)
	c.activeEntries = make(map[wire.Incarnation]time.Duration)
}

// Claim implements claimapi.Claims. A submission may claim its key only once: a
// release of an abandoned earlier claim may still be in flight and would also
// release a second claim.
func (s *State) Claim(req claimapi.ClaimRequest, done func(claimapi.ClaimResult)) {
	key := claimKey{claims.KeyHash(req.Team, req.Key), req.Submission}
	created, err := claims.CreatedAt(req.Key)
	if err != nil {
		s.notify.add(func() { done(claimapi.ClaimResult{Reason: ReasonKeyMalformed}) })
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result, decided := s.resultWithoutAppend(key, created); decided {
		s.notify.add(func() { done(result) })
		return
	}
	s.own.pending[key] = &pendingClaim{created: created, deadline: time.Now().Add(s.opts.ClaimTimeout), done: done}
	s.own.queue = append(s.own.queue, key)
	s.wakeAppender()
}

// resultWithoutAppend returns the result of a claim that can be decided without
// an append, or false.
func (s *State) resultWithoutAppend(key claimKey, created time.Duration) (claimapi.ClaimResult, bool) {
	_, held := s.own.held[key]
	st := s.stream(StreamClaims)
	switch {
	case s.own.pending[key] != nil || s.own.releases[key] != nil || held:
		return claimapi.ClaimResult{Reason: ReasonDuplicateSubmission}, true
	case !s.retentionOK():
		return claimapi.ClaimResult{Reason: ReasonRetentionTooShort}, true
	case s.ctx.Err() != nil:
		return unavailableResult(), true
	}
	if owner, ok := s.table.Lookup(key.hash); ok {
		return s.lostResult(key, owner), true
	}
	switch {
	case !st.reachable || !st.caughtUp:
		return unavailableResult(), true
	case created < s.table.Now()-s.table.Options().MaxKeyAge:
		return claimapi.ClaimResult{Reason: ReasonKeyExpired, MayHaveRun: true}, true
	case !s.table.HistoryComplete(created):
		return claimapi.ClaimResult{Reason: ReasonKeyIndeterminate, MayHaveRun: true}, true
	case len(s.own.pending) >= s.opts.MaxPendingClaims || s.table.Len() >= s.opts.MaxLiveClaims:
		return claimapi.ClaimResult{Reason: ReasonTooManyClaims, RetryAfter: unavailableRetryAfter}, true
	}
	return claimapi.ClaimResult{}, false
}

func unavailableResult() claimapi.ClaimResult {
	return claimapi.ClaimResult{Reason: ReasonLogUnavailable, RetryAfter: unavailableRetryAfter}
}

// lostResult returns the result for a key that another submission holds. If
// that claim is of this entry but not among its held claims, it was abandoned:
// its work has not run and the key will be free soon.
func (s *State) lostResult(key claimKey, owner claims.Owner) claimapi.ClaimResult {
	if owner.Entry == s.opts.Incarnation {
		if _, held := s.own.held[claimKey{key.hash, owner.Submission}]; !held {
			return claimapi.ClaimResult{Reason: ReasonKeyReleasing, RetryAfter: releasingRetryAfter}
		}
	}
	holder := claimapi.ClaimOwner{Entry: owner.Entry, Peer: owner.Peer, Submission: owner.Submission}
	return claimapi.ClaimResult{Owner: holder, Reason: ReasonKeyClaimed, MayHaveRun: true}
}

// Release implements claimapi.Claims. Releasing a pending claim cancels it.
func (s *State) Release(req claimapi.ClaimRequest) {
	key := claimKey{claims.KeyHash(req.Team, req.Key), req.Submission}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.own.pending[key]; p != nil {
		s.abandon(key, p, claimapi.ClaimResult{Reason: ReasonClaimCancelled})
		return
	}
	if _, ok := s.own.held[key]; ok {
		delete(s.own.held, key)
		s.queueRelease(key)
	}
}

// abandon ends a pending claim before its result is known. The event claim_given_up
// and Counters.GivenUp report abandoned claims. If the claim may be in the log, a
// release is queued. If the claim takes effect only after that release, it is
// released again when it is read (see handleResult). The key stays claimed meanwhile.
func (s *State) abandon(key claimKey, p *pendingClaim, result claimapi.ClaimResult) {
	s.finish(key, p, result)
	s.counters.GivenUp++
	s.opts.Events.Emit(eventlog.ClaimGivenUp, eventlog.Fields{Submission: key.submission.String(), Detail: result.Reason})
	if p.sent {
		s.queueRelease(key)
	}
}

// finish removes a pending claim and queues the callback with its result.
func (s *State) finish(key claimKey, p *pendingClaim, result claimapi.ClaimResult) {
	delete(s.own.pending, key)
	s.notify.add(func() { p.done(result) })
}

// queueRelease queues a release for the next record.
func (s *State) queueRelease(key claimKey) {
	now := time.Now()
	r := s.own.releases[key]
	if r == nil {
		r = &pendingRelease{since: now}
		s.own.releases[key] = r
	}
	r.queued = true
	s.wakeAppender()
}

// abandonOverdue abandons claims past their deadline. They may be overdue
// because the read in progress hangs on an unresponsive connection, so that
// read is cancelled and repeated on a new connection.
func (s *State) abandonOverdue(now time.Time) {
	overdue := false
	for key, p := range s.own.pending {
		if now.After(p.deadline) {
			s.abandon(key, p, unavailableResult())
			overdue = true
		}
	}
	if overdue {
		s.claimsFollower.interrupt()
	}
}

// requeueReleases queues releases again that were not read back, and drops
// those whose claims have expired.
func (s *State) requeueReleases(now time.Time) {
	for key, r := range s.own.releases {
		switch {
		case now.Sub(r.since) > s.table.Options().ClaimTTL()+s.table.Options().MaxKeyAge:
			delete(s.own.releases, key)
		case !r.queued && now.Sub(r.sentAt) >= releaseRetryInterval:
			r.queued = true
			s.wakeAppender()
		}
	}
}

// failPending fails all pending claims without a release.
func (s *State) failPending() {
	for key, p := range s.own.pending {
		s.finish(key, p, unavailableResult())
	}
}

// applyClaims applies a batch of the claims stream to the table and handles the
// results of this entry's claims.
func (s *State) applyClaims(b *platformlog.Batch, from int64) {
	for _, r := range b.Records {
		s.own.newestRecord = r.Time
		for _, result := range s.table.Apply(r.Offset, r.Time, r.Body) {
			s.own.activeEntries[result.Entry] = r.Time
			if result.Entry == s.opts.Incarnation {
				s.handleResult(&result, r.Time)
			}
		}
	}
	if s.table.Next() >= b.Next || len(b.Records) == 0 {
		s.table.Skip(b.Next, b.Now) // has an effect only if all earlier records have expired
		s.table.Advance(b.Now)
	}
	s.sweepHeld()
}

// handleResult processes the result of one of this entry's claims or releases
// that was read at log time at.
func (s *State) handleResult(result *claims.Result, at time.Duration) {
	key := claimKey{result.Hash, result.Submission}
	p := s.own.pending[key]
	switch result.Outcome {
	case claims.Released, claims.NotHeld:
		if r := s.own.releases[key]; r != nil {
			delete(s.own.releases, key)
			s.counters.Released++
			s.opts.Events.Emit(eventlog.ClaimReleased, eventlog.Fields{Submission: key.submission.String()})
		}
	case claims.Held:
	case claims.Won, claims.Indeterminate:
		if p == nil {
			s.queueRelease(key) // the claim was abandoned before it was read
			return
		}
		s.finishLive(key, p, result.Outcome, at)
	default:
		if p != nil {
			s.finishLost(key, p, result)
		}
	}
}

// finishLive ends a pending claim whose record took effect. A claim that may not
// have been the first of its key is released.
func (s *State) finishLive(key claimKey, p *pendingClaim, outcome claims.Outcome, at time.Duration) {
	if outcome == claims.Indeterminate {
		s.finish(key, p, claimapi.ClaimResult{Reason: ReasonKeyIndeterminate, MayHaveRun: true})
		s.queueRelease(key)
		return
	}
	s.own.held[key] = at
	s.counters.Won++
	s.opts.Events.Emit(eventlog.ClaimWon, eventlog.Fields{Submission: key.submission.String()})
	s.finish(key, p, claimapi.ClaimResult{Won: true})
}

// finishLost ends a pending claim whose record had no effect.
func (s *State) finishLost(key claimKey, p *pendingClaim, result *claims.Result) {
	s.counters.Lost++
	s.opts.Events.Emit(eventlog.ClaimLost, eventlog.Fields{Submission: key.submission.String(), Detail: result.Outcome.String()})
	switch result.Outcome {
	case claims.TooOld:
		s.finish(key, p, claimapi.ClaimResult{Reason: ReasonKeyExpired, MayHaveRun: true})
	case claims.TooNew:
		s.finish(key, p, claimapi.ClaimResult{Reason: ReasonKeyFromFuture})
	default:
		s.finish(key, p, s.lostResult(key, result.Owner))
	}
}

// sweepHeld removes expired claims from those that this entry holds.
func (s *State) sweepHeld() {
	now := s.table.Now()
	if now-s.own.lastSweep < heldSweepInterval {
		return
	}
	s.own.lastSweep = now
	for key, at := range s.own.held {
		if at+s.table.Options().ClaimTTL() < now {
			delete(s.own.held, key)
		}
	}
}
