package faultmatrix

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// claimState implements the rules of internal/logstate for claims, without its
// batching.
type claimState struct {
	table    *claims.Table
	pending  map[wire.SubmissionID]*pendingClaim
	held     map[wire.SubmissionID]claims.Hash // claims won by this entry and not released
	releases map[wire.SubmissionID]*pendingRelease
}

// pendingClaim is a claim whose record this entry has not read back yet.
type pendingClaim struct {
	submission *submission
	hash       claims.Hash
	deadline   time.Duration
	sent       bool
}

// pendingRelease is a release whose record this entry has not read back yet.
type pendingRelease struct {
	hash   claims.Hash
	sentAt time.Duration
}

func (c *claimState) init() {
	c.table = claims.New(claims.Options{})
	c.pending = make(map[wire.SubmissionID]*pendingClaim)
	c.held = make(map[wire.SubmissionID]claims.Hash)
	c.releases = make(map[wire.SubmissionID]*pendingRelease)
}

// team is the team of every submission.
const team = "commission"

// claim claims the key of a submission. The result is reported to the entry machine,
// either at once or when the record of the claim is read from the log.
func (e *entryNode) claim(sub *submission) {
	h := claims.KeyHash(team, sub.job.key)
	created, err := claims.CreatedAt(sub.job.key)
	if err != nil {
		panic(err)
	}
	table := e.claims.table
	if owner, ok := table.Lookup(h); ok {
		e.claimLost(sub, owner)
		return
	}
	switch {
	case !e.sim.log.readable():
		e.reportClaim(sub, false, "log_unavailable", false)
	case created < table.Now()-table.Options().MaxKeyAge || !table.HistoryComplete(created):
		e.reportClaim(sub, false, "key_expired", true)
	default:
		e.claims.pending[sub.id] = &pendingClaim{submission: sub, hash: h, deadline: e.sim.now + claimTimeout, sent: true}
		e.appendClaim(sub, h, created)
	}
}

func (e *entryNode) appendClaim(sub *submission, h claims.Hash, created time.Duration) {
	r := claims.Record{Entry: e.incarnation, Peer: fmt.Sprint(e.index), Claims: []claims.Claim{{
		Hash: h, CreatedMillis: created.Milliseconds(), Submission: sub.id,
	}}}
	e.appendRecord(&r, func(result appendResult) {
		if p := e.claims.pending[sub.id]; p != nil && result == notAppended {
			delete(e.claims.pending, sub.id)
			e.reportClaim(sub, false, "log_unavailable", false)
		}
	})
}

func (e *entryNode) appendRecord(r *claims.Record, done func(appendResult)) {
	body, err := r.Encode()
	if err != nil {
		panic(err)
	}
	e.sim.log.append(&e.proc, claimStream, body, done)
}

// reportClaim reports the result of a claim to the entry machine. If the claim
// was not won, no live record is left that this entry could still act on.
func (e *entryNode) reportClaim(sub *submission, won bool, reason string, mayHaveRun bool) {
	ev := entry.ClaimResolved{Submission: sub.id, Won: won, Reason: reason, MayHaveRun: mayHaveRun}
	if !won && !mayHaveRun {
		ev.RetryAfter = time.Second
	}
	e.step(ev)
}

// resolveClaim handles the result of a claim or release of this entry whose record was
// read from the log.
func (e *entryNode) resolveClaim(v claims.Result) {
	p := e.claims.pending[v.Submission]
	switch v.Outcome {
	case claims.Released, claims.NotHeld:
		delete(e.claims.releases, v.Submission)
	case claims.Held:
	case claims.Won, claims.Indeterminate:
		e.resolveLiveClaim(v, p)
	default:
		if p == nil {
			return
		}
		delete(e.claims.pending, v.Submission)
		if v.Outcome == claims.Lost {
			e.claimLost(p.submission, v.Owner)
			return
		}
		e.reportClaim(p.submission, false, v.Outcome.String(), v.Outcome == claims.TooOld)
	}
}

// resolveLiveClaim handles a claim that is live in the log: it was won, or it is
// indeterminate. p is nil if the entry has abandoned the claim.
func (e *entryNode) resolveLiveClaim(v claims.Result, p *pendingClaim) {
	if p == nil {
		e.appendRelease(v.Submission, v.Hash) // the claim was abandoned before it was read
		return
	}
	delete(e.claims.pending, v.Submission)
	if v.Outcome == claims.Indeterminate {
		e.reportClaim(p.submission, false, "key_unjudged", true)
		e.appendRelease(v.Submission, v.Hash)
		return
	}
	e.claims.held[v.Submission] = v.Hash
	e.reportClaim(p.submission, true, "", false)
}

// claimLost asks the entry of the submission that holds the key for its answer and
// gives that answer to the caller.
func (e *entryNode) claimLost(sub *submission, o claims.Owner) {
	if o.Entry == e.incarnation && e.claims.held[o.Submission] != claims.KeyHash(team, sub.job.key) {
		e.reportClaim(sub, false, "key_releasing", false)
		return
	}
	owner := e.sim.entries[e.sim.entryIndex(o.Entry)]
	if owner.incarnation != o.Entry || owner.dead {
		e.reportClaim(sub, false, "owner_gone", true)
		return
	}
	e.sim.runLater(&owner.proc, networkDelay, func() {
		owner.onAnswer(o.Submission, func(a entry.JobAnswer) {
			e.sim.runLater(&e.proc, networkDelay, func() { e.forwardAnswer(sub, a) })
		})
	})
	e.sim.runLater(&e.proc, sub.job.deadline, func() {
		e.forwardAnswer(sub, entry.JobAnswer{Outcome: entry.Unknown, Reason: entry.ReasonDeadline})
	})
}

// onAnswer calls f with the answer of a submission, as soon as there is one.
func (e *entryNode) onAnswer(id wire.SubmissionID, f func(entry.JobAnswer)) {
	if a, ok := e.answers[id]; ok {
		f(a)
		return
	}
	e.answerWaiters[id] = append(e.answerWaiters[id], f)
}

// forwardAnswer answers sub with the answer of another submission that has the same
// key.
func (e *entryNode) forwardAnswer(sub *submission, a entry.JobAnswer) {
	if e.answeredAsDuplicate[sub.id] || e.submissions[sub.id] == nil {
		return
	}
	e.answers[sub.id] = a
	e.answeredAsDuplicate[sub.id] = true
	e.sim.checker.duplicateAnswered(e.sim, sub, a)
	e.reply(sub, a)
	e.reportClaim(sub, false, "duplicate", true)
}

func (e *entryNode) release(id wire.SubmissionID) {
	if h, ok := e.claims.held[id]; ok {
		delete(e.claims.held, id)
		e.appendRelease(id, h)
	}
}

func (e *entryNode) appendRelease(id wire.SubmissionID, h claims.Hash) {
	e.claims.releases[id] = &pendingRelease{hash: h, sentAt: e.sim.now}
	r := claims.Record{Entry: e.incarnation, Peer: fmt.Sprint(e.index), Releases: []claims.Release{{Hash: h, Submission: id}}}
	e.appendRecord(&r, func(appendResult) {})
}

// tickClaims abandons claims past their deadline and appends releases again that
// were not read back in time.
func (e *entryNode) tickClaims() {
	for _, id := range sortedIDs(e.claims.pending) {
		p := e.claims.pending[id]
		if e.sim.now > p.deadline {
			delete(e.claims.pending, id)
			e.appendRelease(id, p.hash)
			e.reportClaim(p.submission, false, "log_unavailable", false)
		}
	}
	for _, id := range sortedIDs(e.claims.releases) {
		if r := e.claims.releases[id]; e.sim.now-r.sentAt > releaseRetryDelay && e.sim.log.readable() {
			e.appendRelease(id, r.hash)
		}
	}
}
