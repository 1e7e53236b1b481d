package claims

import "time"

// Apply applies the record with the given offset and log time. It returns one
// result for each claim and then for each release of the record. The slice is
// valid until the next call. A record below Next is a replay and has no results.
// An offset above Next means that the records in between were missed.
//
// An undecodable body may hold claims in a newer format. It counts as a missed
// record, so that no work starts for a key that it may have claimed.
func (t *Table) Apply(offset int64, at time.Duration, body []byte) []Result {
	t.results = t.results[:0]
	if offset < t.next {
		return nil
	}
	if offset > t.next {
		t.Skip(offset, at)
	}
	t.Advance(at)
	r, err := Decode(body)
	if err != nil {
		t.undecodable++
		t.Skip(offset+1, at)
		return nil
	}
	t.next = offset + 1
	t.applyClaims(at, r)
	t.applyReleases(r)
	return t.results
}

func (t *Table) applyClaims(at time.Duration, r *Record) {
	if len(r.Claims) == 0 {
		return
	}
	batchNumber := t.firstBatch + uint32(len(t.batches))
	t.batches = append(t.batches, batch{time: at, entry: r.Entry})
	b := &t.batches[len(t.batches)-1]
	b.peer = t.sharePeer(r)
	for i := range r.Claims {
		res := t.claimResult(at, r, &r.Claims[i])
		if res.Outcome == Won || res.Outcome == Indeterminate {
			t.live[res.Hash] = liveClaim{submission: res.Submission, batch: batchNumber}
			b.hashes = append(b.hashes, res.Hash)
		}
		t.results = append(t.results, res)
	}
	if len(b.hashes) == 0 {
		t.releasePeer(b.entry)
		t.batches = t.batches[:len(t.batches)-1]
	}
}

// claimResult decides the outcome of a claim at the log time at.
func (t *Table) claimResult(at time.Duration, r *Record, c *Claim) Result {
	res := Result{Hash: c.Hash, Entry: r.Entry, Submission: c.Submission}
	created := time.Duration(c.CreatedMillis) * time.Millisecond
	if owner, ok := t.Lookup(c.Hash); ok {
		res.Outcome, res.Owner = Lost, owner
		if owner.Entry == r.Entry && owner.Submission == c.Submission {
			res.Outcome = Held
		}
		return res
	}
	switch {
	case created < at-t.opts.MaxKeyAge:
		res.Outcome = TooOld
	case created > at+t.opts.Skew:
		res.Outcome = TooNew
	case !t.HistoryComplete(created):
		res.Outcome = Indeterminate
	default:
		res.Outcome = Won
	}
	return res
}

func (t *Table) applyReleases(r *Record) {
	for i := range r.Releases {
		rel := &r.Releases[i]
		res := Result{Hash: rel.Hash, Entry: r.Entry, Submission: rel.Submission, Outcome: NotHeld}
		owner, ok := t.Lookup(rel.Hash)
		if ok && owner.Entry == r.Entry && owner.Submission == rel.Submission {
			delete(t.live, rel.Hash)
			res.Outcome = Released
		}
		t.results = append(t.results, res)
	}
}
