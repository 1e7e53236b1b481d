package faultmatrix

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// claimState follows the rules of internal/logstate without its batching.
type claimState struct {
	table    *claims.Table
	pending  map[wire.SubmissionID]*pendingClaim
	held     map[wire.SubmissionID]claims.Hash
	releases map[wire.SubmissionID]*pendingRelease
}

type pendingClaim struct {
	call     *call
	hash     claims.Hash
	deadline time.Duration
	sent     bool
}

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

const team = "commission"

func (e *entryNode) claim(c *call) {
	h := claims.KeyHash(team, c.job.key)
	created, err := claims.CreatedAt(c.job.key)
	if err != nil {
		panic(err)
	}
	table := e.claims.table
	if owner, ok := table.Lookup(h); ok {
		e.claimLost(c, owner)
		return
	}
	switch {
	case !e.w.log.readable():
		e.claimEnded(c, false, "log_unavailable", false)
	case created < table.Now()-table.Options().Window || !table.HistoryComplete(created):
		e.claimEnded(c, false, "key_expired", true)
	default:
		e.claims.pending[c.id] = &pendingClaim{call: c, hash: h, deadline: e.w.now + claimWait, sent: true}
		e.appendClaim(c, h, created)
	}
}

func (e *entryNode) appendClaim(c *call, h claims.Hash, created time.Duration) {
	r := claims.Record{Entry: e.inc, Peer: fmt.Sprint(e.i), Claims: []claims.Claim{{
		Hash: h, CreatedMillis: created.Milliseconds(), Submission: c.id,
	}}}
	e.appendRecord(&r, func(how reply) {
		if p := e.claims.pending[c.id]; p != nil && how == notAppended {
			delete(e.claims.pending, c.id)
			e.claimEnded(c, false, "log_unavailable", false)
		}
	})
}

func (e *entryNode) appendRecord(r *claims.Record, done func(reply)) {
	body, err := r.Encode()
	if err != nil {
		panic(err)
	}
	e.w.log.append(&e.proc, claimStream, body, done)
}

// claimEnded tells the core. A claim that was not won has no live record that
// this entry could still act on.
func (e *entryNode) claimEnded(c *call, won bool, reason string, ranBefore bool) {
	ev := entry.ClaimResolved{Submission: c.id, Won: won, Reason: reason, MayHaveRun: ranBefore}
	if !won && !ranBefore {
		ev.RetryAfter = time.Second
	}
	e.step(ev)
}

func (e *entryNode) settleClaim(v claims.Result) {
	p := e.claims.pending[v.Submission]
	switch v.Outcome {
	case claims.Released, claims.NotHeld:
		delete(e.claims.releases, v.Submission)
	case claims.Held:
	case claims.Won, claims.Indeterminate:
		e.settleLive(v, p)
	default:
		if p == nil {
			return
		}
		delete(e.claims.pending, v.Submission)
		if v.Outcome == claims.Lost {
			e.claimLost(p.call, v.Owner)
			return
		}
		e.claimEnded(p.call, false, v.Outcome.String(), v.Outcome == claims.TooOld)
	}
}

func (e *entryNode) settleLive(v claims.Result, p *pendingClaim) {
	if p == nil {
		e.queueRelease(v.Submission, v.Hash) // given up before it showed up
		return
	}
	delete(e.claims.pending, v.Submission)
	if v.Outcome == claims.Indeterminate {
		e.claimEnded(p.call, false, "key_unjudged", true)
		e.queueRelease(v.Submission, v.Hash)
		return
	}
	e.claims.held[v.Submission] = v.Hash
	e.claimEnded(p.call, true, "", false)
}

// claimLost gives the caller the answer of the submission that holds the key.
func (e *entryNode) claimLost(c *call, o claims.Owner) {
	if o.Entry == e.inc && e.claims.held[o.Submission] != claims.KeyHash(team, c.job.key) {
		e.claimEnded(c, false, "key_releasing", false)
		return
	}
	owner := e.w.entries[e.w.entryIndex(o.Entry)]
	if owner.inc != o.Entry || owner.dead {
		e.claimEnded(c, false, "owner_gone", true)
		return
	}
	e.w.later(&owner.proc, hop, func() {
		owner.whenAnswered(o.Submission, func(a entry.JobAnswer) {
			e.w.later(&e.proc, hop, func() { e.passOn(c, a) })
		})
	})
	e.w.later(&e.proc, c.job.deadline, func() {
		e.passOn(c, entry.JobAnswer{Outcome: entry.Unknown, Reason: entry.ReasonDeadline})
	})
}

func (e *entryNode) whenAnswered(id wire.SubmissionID, f func(entry.JobAnswer)) {
	if a, ok := e.answers[id]; ok {
		f(a)
		return
	}
	e.waiting[id] = append(e.waiting[id], f)
}

func (e *entryNode) passOn(c *call, a entry.JobAnswer) {
	if e.resolved[c.id] || e.calls[c.id] == nil {
		return
	}
	e.answers[c.id] = a
	e.resolved[c.id] = true
	e.w.check.passedOn(e.w, c, a)
	e.reply(c, a)
	e.claimEnded(c, false, "duplicate", true)
}

func (e *entryNode) release(id wire.SubmissionID) {
	if h, ok := e.claims.held[id]; ok {
		delete(e.claims.held, id)
		e.queueRelease(id, h)
	}
}

func (e *entryNode) queueRelease(id wire.SubmissionID, h claims.Hash) {
	e.claims.releases[id] = &pendingRelease{hash: h, sentAt: e.w.now}
	r := claims.Record{Entry: e.inc, Peer: fmt.Sprint(e.i), Releases: []claims.Release{{Hash: h, Submission: id}}}
	e.appendRecord(&r, func(reply) {})
}

// tickClaims gives up overdue claims and repeats releases not read back.
func (e *entryNode) tickClaims() {
	for _, id := range sortedIDs(e.claims.pending) {
		p := e.claims.pending[id]
		if e.w.now > p.deadline {
			delete(e.claims.pending, id)
			e.queueRelease(id, p.hash)
			e.claimEnded(p.call, false, "log_unavailable", false)
		}
	}
	for _, id := range sortedIDs(e.claims.releases) {
		if r := e.claims.releases[id]; e.w.now-r.sentAt > releaseWait && e.w.log.readable() {
			e.queueRelease(id, r.hash)
		}
	}
}
