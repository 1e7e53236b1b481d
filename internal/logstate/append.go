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
	case s.appendWake <- struct{}{}:
	default:
	}
}

// appendLoop appends claims and releases, one record at a time. An idle entry
// appends immediately; claims that arrive during an append are batched into the
// next record.
func (s *State) appendLoop() {
	var lastAppend time.Time
	for s.waitForWork(lastAppend) {
		b := s.takeBatch()
		if b == nil {
			continue
		}
		lastAppend = time.Now()
		s.appendBatch(b)
	}
}

// waitForWork waits until there are claims or releases to append and until
// minAppendInterval has passed since the last append. It returns false if the
// State is closed.
func (s *State) waitForWork(lastAppend time.Time) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-s.appendWake:
	}
	return s.sleep(s.minAppendInterval() - time.Since(lastAppend))
}

// sleep waits for d. It returns false if the State is closed first.
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

// minAppendInterval returns the minimum interval between two appends of this entry.
// The rate Options.ClaimAppendRate is divided equally among the entries that
// appended claims recently.
func (s *State) minAppendInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e, at := range s.own.activeEntries {
		if at+activeEntryTTL < s.table.Now() {
			delete(s.own.activeEntries, e)
		}
	}
	s.own.activeEntries[s.opts.Incarnation] = s.table.Now()
	return time.Duration(float64(len(s.own.activeEntries)) / s.opts.ClaimAppendRate * float64(time.Second))
}

// claimBatch is one record of claims and releases that is being appended.
type claimBatch struct {
	id       platformlog.RecordID
	body     []byte
	claims   []claimKey
	releases []claimKey
	from     int64 // lower bound of the record's offset
	deadline time.Time
}

// takeBatch moves queued claims and releases into a record. It returns nil if
// there are none.
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
		panic("logstate: encode claims record: " + err.Error())
	}
	b.body = body
	return b
}

// takeClaims moves queued claims into the record and wakes the append loop if some
// are left over.
func (s *State) takeClaims(b *claimBatch, r *claims.Record) {
	n := 0
	for n < len(s.own.queue) && len(r.Claims) < claims.MaxPerRecord {
		key := s.own.queue[n]
		n++
		p := s.own.pending[key]
		if p == nil || p.sent {
			continue
		}
		p.sent = true
		b.claims = append(b.claims, key)
		r.Claims = append(r.Claims, claims.Claim{
			Hash: key.hash, CreatedMillis: p.created.Milliseconds(), Submission: key.submission,
		})
	}
	s.own.queue = s.own.queue[n:]
	if len(s.own.queue) == 0 {
		s.own.queue = nil
		return
	}
	s.wakeAppender()
}

// takeReleases adds queued releases to the record and wakes the append loop if some
// are left over. They stay in own.releases until they are read back.
func (s *State) takeReleases(b *claimBatch, r *claims.Record) {
	now := time.Now()
	for key, rel := range s.own.releases {
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

// appendBatch appends one record. The results of its claims are taken from the
// records that the follower reads, never from the reply to the append.
func (s *State) appendBatch(b *claimBatch) {
	ctx, cancel := context.WithDeadline(s.ctx, b.deadline)
	defer cancel()
	for {
		_, err := s.opts.Log.Append(ctx, StreamClaims, b.id, b.body)
		if errorx.IsOfType(err, platformlog.OutcomeUnknown) {
			s.markClaimsUnreachable(err)
			_, err = platformlog.ResolveAppend(ctx, s.opts.Log, StreamClaims, b.id, b.body, b.from, err)
		}
		switch {
		case err == nil:
			s.mu.Lock()
			s.counters.ClaimRecords++
			s.mu.Unlock()
			return
		case errorx.IsOfType(err, platformlog.OutcomeUnknown):
			return // timerLoop abandons the claims at their deadlines and resends the releases
		case !errorx.IsOfType(err, platformlog.Throttled):
			s.markClaimsUnreachable(err)
			s.failBatch(b)
			return
		}
		if !s.sleep(platformlog.RetryAfter(err)) || ctx.Err() != nil {
			s.failBatch(b)
			return
		}
	}
}

// failBatch fails the claims of a record that was not and will not be appended.
// timerLoop resends its releases.
func (s *State) failBatch(b *claimBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range b.claims {
		if p := s.own.pending[key]; p != nil {
			s.finish(key, p, unavailableResult())
		}
	}
}

// markClaimsUnreachable makes new claims fail immediately until a read of the
// claims stream succeeds.
func (s *State) markClaimsUnreachable(err error) {
	if s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	s.setReachable(StreamClaims, false, err)
	s.mu.Unlock()
	s.claimsFollower.interrupt()
}

// writeKeepalive appends a record without claims if the newest record is old.
// Otherwise the stream would be empty after an idle period as long as the
// retention, and a new reader could not tell whether it had missed claims: it
// would have to refuse every key created less than a minute after its start.
// A SnapshotScheduler decides which entry writes, as for snapshots.
func (s *State) writeKeepalive(scheduler *config.SnapshotScheduler) {
	s.mu.Lock()
	st := s.stream(StreamClaims)
	now := st.now + time.Since(st.readAt)
	due := st.reachable && st.next == st.end && st.end > 0 && scheduler.ShouldWrite(now, s.own.newestRecord, true)
	from := st.next
	s.mu.Unlock()
	if !due {
		return
	}
	body, err := (&claims.Record{Entry: s.opts.Incarnation, Peer: s.opts.PeerAddr}).Encode()
	if err != nil {
		panic("logstate: encode claims record: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(s.ctx, maintenanceTimeout)
	defer cancel()
	// An error needs no handling: the scheduler triggers another attempt.
	_, _ = platformlog.AppendWithRetry(ctx, s.opts.Log, StreamClaims, platformlog.NewRecordID(), body, from)
}
