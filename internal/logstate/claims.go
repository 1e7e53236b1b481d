package logstate

import (
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

// Reasons of claims that were not won.
const (
	// ReasonLogUnavailable: the claim could not be made or confirmed in time.
	ReasonLogUnavailable = "log_unavailable"
	// ReasonKeyMalformed: the key is not of the form <unix ms>-<text>.
	ReasonKeyMalformed = "key_malformed"
	// ReasonKeyExpired: the key is older than the window.
	ReasonKeyExpired = "key_expired"
	// ReasonKeyFromFuture: the key's creation time is ahead of log time.
	ReasonKeyFromFuture = "key_from_future"
	// ReasonKeyClaimed: another submission holds the key.
	ReasonKeyClaimed = "key_claimed"
	// ReasonKeyReleasing: an earlier submission at this entry gave up its claim
	// of the key without a start; the release is on its way.
	ReasonKeyReleasing = "key_releasing"
	// ReasonKeyUnjudged: the key may have been claimed before the oldest record
	// that this entry could read.
	ReasonKeyUnjudged = "key_unjudged"
	// ReasonRetentionTooShort: the log's retention is below the claims' life.
	ReasonRetentionTooShort = "retention_too_short"
	// ReasonTooManyClaims: a bound on claims is reached.
	ReasonTooManyClaims = "too_many_claims"
	// ReasonDuplicateSubmission: the submission is in progress already.
	ReasonDuplicateSubmission = "duplicate_submission"
	// ReasonClaimCancelled: the submission was released before it won.
	ReasonClaimCancelled = "claim_cancelled"
)

const (
	unavailableRetryAfter = time.Second
	releasingRetryAfter   = 200 * time.Millisecond
	// heldSweep is how often, in log time, expired own claims are forgotten.
	heldSweep = time.Minute
	// activeSpan is how long, in log time, an entry counts as one that appends
	// claims after its last record.
	activeSpan = 10 * time.Second
)

// claimKey is one submission's claim of one key.
type claimKey struct {
	hash       claims.Hash
	submission wire.SubmissionID
}

// pendingClaim waits for its verdict.
type pendingClaim struct {
	created  time.Duration
	deadline time.Time
	sent     bool // may be in the log
	done     func(claimapi.ClaimResult)
}

// pendingRelease is repeated until it was read back.
type pendingRelease struct {
	queued bool
	sentAt time.Time
	since  time.Time
}

// claimState is what this entry knows of its own claims. The table knows of
// those of all entries.
type claimState struct {
	pending  map[claimKey]*pendingClaim
	queue    []claimKey // pending claims not yet sent, and some that ended
	held     map[claimKey]time.Duration
	releases map[claimKey]*pendingRelease
	swept    time.Duration                      // log time
	newest   time.Duration                      // log time of the newest record read
	active   map[wire.Incarnation]time.Duration // log time of the last record
}

func (c *claimState) init() {
	c.pending = make(map[claimKey]*pendingClaim)
	c.held = make(map[claimKey]time.Duration)
	c.releases = make(map[claimKey]*pendingRelease)
	c.active = make(map[wire.Incarnation]time.Duration)
}

// Claim implements claimapi.Claims. A submission may be claimed once in its
// life: a release of an earlier, given-up claim may still be on its way and
// would free a second one.
func (s *State) Claim(req claimapi.ClaimRequest, done func(claimapi.ClaimResult)) {
	key := claimKey{claims.KeyHash(req.Team, req.Key), req.Submission}
	created, err := claims.CreatedAt(req.Key)
	if err != nil {
		s.notify.add(func() { done(claimapi.ClaimResult{Reason: ReasonKeyMalformed}) })
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result, decided := s.decideEarly(key, created); decided {
		s.notify.add(func() { done(result) })
		return
	}
	s.claim.pending[key] = &pendingClaim{created: created, deadline: time.Now().Add(s.opts.ClaimTimeout), done: done}
	s.claim.queue = append(s.claim.queue, key)
	s.wakeAppender()
}

// decideEarly answers what needs no append.
func (s *State) decideEarly(key claimKey, created time.Duration) (claimapi.ClaimResult, bool) {
	_, held := s.claim.held[key]
	st := s.stream(StreamClaims)
	switch {
	case s.claim.pending[key] != nil || s.claim.releases[key] != nil || held:
		return claimapi.ClaimResult{Reason: ReasonDuplicateSubmission}, true
	case !s.retentionOK():
		return claimapi.ClaimResult{Reason: ReasonRetentionTooShort}, true
	case s.ctx.Err() != nil:
		return unavailable(), true
	}
	if owner, ok := s.table.Lookup(key.hash); ok {
		return s.lost(key, owner), true
	}
	switch {
	case !st.reachable || !st.caughtUp:
		return unavailable(), true
	case created < s.table.Now()-s.table.Options().Window:
		return claimapi.ClaimResult{Reason: ReasonKeyExpired, MayHaveRun: true}, true
	case !s.table.HistoryComplete(created):
		return claimapi.ClaimResult{Reason: ReasonKeyUnjudged, MayHaveRun: true}, true
	case len(s.claim.pending) >= s.opts.MaxPending || s.table.Len() >= s.opts.MaxLive:
		return claimapi.ClaimResult{Reason: ReasonTooManyClaims, RetryAfter: unavailableRetryAfter}, true
	}
	return claimapi.ClaimResult{}, false
}

func unavailable() claimapi.ClaimResult {
	return claimapi.ClaimResult{Reason: ReasonLogUnavailable, RetryAfter: unavailableRetryAfter}
}

// lost is the result for a key that another submission holds. A claim of this
// entry that it does not act on was given up: its work has not run, and the key
// will be free soon.
func (s *State) lost(key claimKey, owner claims.Owner) claimapi.ClaimResult {
	if owner.Entry == s.opts.Incarnation {
		if _, held := s.claim.held[claimKey{key.hash, owner.Submission}]; !held {
			return claimapi.ClaimResult{Reason: ReasonKeyReleasing, RetryAfter: releasingRetryAfter}
		}
	}
	holder := claimapi.ClaimOwner{Entry: owner.Entry, Peer: owner.Peer, Submission: owner.Submission}
	return claimapi.ClaimResult{Owner: holder, Reason: ReasonKeyClaimed, MayHaveRun: true}
}

// Release implements claimapi.Claims. Releasing a claim in progress ends it.
func (s *State) Release(req claimapi.ClaimRequest) {
	key := claimKey{claims.KeyHash(req.Team, req.Key), req.Submission}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.claim.pending[key]; p != nil {
		s.abandon(key, p, claimapi.ClaimResult{Reason: ReasonClaimCancelled})
		return
	}
	if _, ok := s.claim.held[key]; ok {
		delete(s.claim.held, key)
		s.queueRelease(key)
	}
}

// abandon ends a pending claim for good. If it may be in the log, a release
// follows it; should the claim show up after that release, it is released again
// when it is read (see settle). In between the key stays claimed.
func (s *State) abandon(key claimKey, p *pendingClaim, result claimapi.ClaimResult) {
	s.finish(key, p, result)
	s.counters.GivenUp++
	s.opts.Events.Emit(eventlog.ClaimGivenUp, eventlog.Fields{Submission: key.submission.String(), Detail: result.Reason})
	if p.sent {
		s.queueRelease(key)
	}
}

func (s *State) finish(key claimKey, p *pendingClaim, result claimapi.ClaimResult) {
	delete(s.claim.pending, key)
	s.notify.add(func() { p.done(result) })
}

func (s *State) queueRelease(key claimKey) {
	now := time.Now()
	r := s.claim.releases[key]
	if r == nil {
		r = &pendingRelease{since: now}
		s.claim.releases[key] = r
	}
	r.queued = true
	s.wakeAppender()
}

// giveUpOverdue ends overdue claims. Their read-back may be stuck on a silent
// connection, so the read in progress is repeated on a new one.
func (s *State) giveUpOverdue(now time.Time) {
	overdue := false
	for key, p := range s.claim.pending {
		if now.After(p.deadline) {
			s.abandon(key, p, unavailable())
			overdue = true
		}
	}
	if overdue {
		s.claims.kick()
	}
}

// requeueReleases repeats releases that were not read back, and forgets those
// whose claims have expired.
func (s *State) requeueReleases(now time.Time) {
	for key, r := range s.claim.releases {
		switch {
		case now.Sub(r.since) > s.table.Options().ClaimTTL()+s.table.Options().Window:
			delete(s.claim.releases, key)
		case !r.queued && now.Sub(r.sentAt) >= releaseRetry:
			r.queued = true
			s.wakeAppender()
		}
	}
}

func (s *State) failAll() {
	for key, p := range s.claim.pending {
		s.finish(key, p, unavailable())
	}
}

func (s *State) applyClaims(b *platformlog.Batch, from int64) {
	for _, r := range b.Records {
		s.claim.newest = r.Time
		for _, v := range s.table.Apply(r.Offset, r.Time, r.Body) {
			s.claim.active[v.Entry] = r.Time
			if v.Entry == s.opts.Incarnation {
				s.settle(&v, r.Time)
			}
		}
	}
	if s.table.Next() >= b.Next || len(b.Records) == 0 {
		s.table.Skip(b.Next, b.Now) // only if all earlier records are gone
		s.table.Advance(b.Now)
	}
	s.sweepHeld()
}

// settle acts on the verdict of one of this entry's claims or releases.
func (s *State) settle(v *claims.Result, at time.Duration) {
	key := claimKey{v.Hash, v.Submission}
	p := s.claim.pending[key]
	switch v.Outcome {
	case claims.Released, claims.NotHeld:
		if r := s.claim.releases[key]; r != nil {
			delete(s.claim.releases, key)
			s.counters.Released++
			s.opts.Events.Emit(eventlog.ClaimReleased, eventlog.Fields{Submission: key.submission.String()})
		}
	case claims.Held:
	case claims.Won, claims.Indeterminate:
		if p == nil {
			s.queueRelease(key) // it was given up before it showed up
			return
		}
		s.settleLive(key, p, v.Outcome, at)
	default:
		if p != nil {
			s.settleLost(key, p, v)
		}
	}
}

func (s *State) settleLive(key claimKey, p *pendingClaim, outcome claims.Outcome, at time.Duration) {
	if outcome == claims.Indeterminate {
		s.finish(key, p, claimapi.ClaimResult{Reason: ReasonKeyUnjudged, MayHaveRun: true})
		s.queueRelease(key)
		return
	}
	s.claim.held[key] = at
	s.counters.Won++
	s.opts.Events.Emit(eventlog.ClaimWon, eventlog.Fields{Submission: key.submission.String()})
	s.finish(key, p, claimapi.ClaimResult{Won: true})
}

func (s *State) settleLost(key claimKey, p *pendingClaim, v *claims.Result) {
	s.counters.Lost++
	s.opts.Events.Emit(eventlog.ClaimLost, eventlog.Fields{Submission: key.submission.String(), Detail: v.Outcome.String()})
	switch v.Outcome {
	case claims.TooOld:
		s.finish(key, p, claimapi.ClaimResult{Reason: ReasonKeyExpired, MayHaveRun: true})
	case claims.TooNew:
		s.finish(key, p, claimapi.ClaimResult{Reason: ReasonKeyFromFuture})
	default:
		s.finish(key, p, s.lost(key, v.Owner))
	}
}

// sweepHeld forgets own claims that the table has dropped.
func (s *State) sweepHeld() {
	now := s.table.Now()
	if now-s.claim.swept < heldSweep {
		return
	}
	s.claim.swept = now
	for key, at := range s.claim.held {
		if at+s.table.Options().ClaimTTL() < now {
			delete(s.claim.held, key)
		}
	}
}
