package logstate

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/platformlog"
)

func (s *State) wakeAppender() {
	select {
	case s.work <- struct{}{}:
	default:
	}
}

// appendLoop sends claims and releases, one record at a time. An idle entry
// appends at once; claims that arrive during an append make up the next record.
func (s *State) appendLoop() {
	var last time.Time
	for s.waitForWork(last) {
		b := s.takeBatch()
		if b == nil {
			continue
		}
		last = time.Now()
		s.send(b)
	}
}

// waitForWork returns false at the end of the service. It keeps the floor
// interval between two appends.
func (s *State) waitForWork(last time.Time) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-s.work:
	}
	return s.sleep(s.floor() - time.Since(last))
}

func (s *State) sleep(d time.Duration) bool {
	if d <= 0 {
		return s.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// floor is the least interval between two appends of this entry: its equal
// share of the budget of the entries that appended claims lately.
func (s *State) floor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e, at := range s.claim.active {
		if at+activeSpan < s.table.Now() {
			delete(s.claim.active, e)
		}
	}
	s.claim.active[s.opts.Incarnation] = s.table.Now()
	return time.Duration(float64(len(s.claim.active)) / s.opts.AppendBudget * float64(time.Second))
}

// claimBatch is one record on its way.
type claimBatch struct {
	id       platformlog.RecordID
	body     []byte
	claims   []claimKey
	releases []claimKey
	from     int64 // no later than the record's offset
	deadline time.Time
}

// takeBatch moves queued claims and releases into a record, or returns nil.
func (s *State) takeBatch() *claimBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &claimBatch{id: platformlog.NewRecordID(), from: s.stream(StreamClaims).next}
	r := claims.Record{Entry: s.opts.Incarnation, Peer: s.opts.PeerAddr}
	b.deadline = time.Now().Add(s.opts.ClaimTimeout)
	s.takeClaims(b, &r)
	s.takeReleases(b, &r)
	if len(r.Claims)+len(r.Releases) == 0 {
		return nil
	}
	body, err := r.Encode()
	if err != nil {
		panic("logstate: claims record cannot be encoded: " + err.Error())
	}
	b.body = body
	return b
}

func (s *State) takeClaims(b *claimBatch, r *claims.Record) {
	n := 0
	for n < len(s.claim.queue) && len(r.Claims) < claims.MaxPerRecord {
		key := s.claim.queue[n]
		n++
		p := s.claim.pending[key]
		if p == nil || p.sent {
			continue
		}
		p.sent = true
		b.claims = append(b.claims, key)
		r.Claims = append(r.Claims, claims.Claim{
			Hash: key.hash, CreatedMillis: p.created.Milliseconds(), Submission: key.submission,
		})
	}
	s.claim.queue = s.claim.queue[n:]
	if len(s.claim.queue) == 0 {
		s.claim.queue = nil
		return
	}
	s.wakeAppender()
}

func (s *State) takeReleases(b *claimBatch, r *claims.Record) {
	now := time.Now()
	for key, rel := range s.claim.releases {
		if len(r.Releases) == claims.MaxPerRecord {
			s.wakeAppender()
			return
		}
		if !rel.queued {
			continue
		}
		rel.queued, rel.sentAt = false, now
		b.releases = append(b.releases, key)
		r.Releases = append(r.Releases, claims.Release{Hash: key.hash, Submission: key.submission})
	}
}

// send appends one record. Its verdicts come from the follower, never from the
// reply.
func (s *State) send(b *claimBatch) {
	ctx, cancel := context.WithDeadline(s.ctx, b.deadline)
	defer cancel()
	for {
		_, err := s.opts.Log.Append(ctx, StreamClaims, b.id, b.body)
		if errorx.IsOfType(err, platformlog.OutcomeUnknown) {
			s.claimsDown(err)
			_, err = platformlog.Resolve(ctx, s.opts.Log, StreamClaims, b.id, b.body, b.from, err)
		}
		switch {
		case err == nil:
			s.mu.Lock()
			s.counters.ClaimRecords++
			s.mu.Unlock()
			return
		case errorx.IsOfType(err, platformlog.OutcomeUnknown):
			return // the claims' own deadlines end them; releases are repeated
		case !errorx.IsOfType(err, platformlog.Throttled):
			s.claimsDown(err)
			s.notAppended(b)
			return
		}
		if !s.sleep(platformlog.RetryAfter(err)) || ctx.Err() != nil {
			s.notAppended(b)
			return
		}
	}
}

// notAppended ends the claims of a record that was not and will not be
// appended. Its releases are repeated by the timer.
func (s *State) notAppended(b *claimBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range b.claims {
		if p := s.claim.pending[key]; p != nil {
			s.finish(key, p, unavailable())
		}
	}
}

// claimsDown makes new claims fail at once until a read succeeds.
func (s *State) claimsDown(err error) {
	if s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	s.setReachable(StreamClaims, false, err)
	s.mu.Unlock()
	s.claims.kick()
}

// writeMarker appends a record without claims if the newest one is old. After a
// quiet time as long as the retention the stream would else be empty, and a
// fresh reader could not tell whether it missed claims: keys would be unjudged
// until they are a minute newer than its start. The snapshots' rule decides who
// writes.
func (s *State) writeMarker(rule *config.SnapshotScheduler) {
	s.mu.Lock()
	st := s.stream(StreamClaims)
	now := st.now + time.Since(st.readAt)
	due := st.reachable && st.next == st.end && st.end > 0 && rule.ShouldWrite(now, s.claim.newest, true)
	from := st.next
	s.mu.Unlock()
	if !due {
		return
	}
	body, err := (&claims.Record{Entry: s.opts.Incarnation, Peer: s.opts.PeerAddr}).Encode()
	if err != nil {
		panic("logstate: claims record cannot be encoded: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(s.ctx, maintenanceTimeout)
	defer cancel()
	// An error needs no action: the rule asks again.
	_, _ = platformlog.AppendOnce(ctx, s.opts.Log, StreamClaims, platformlog.NewRecordID(), body, from)
}
