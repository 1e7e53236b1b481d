package entryd

import (
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// requestKey is a caller's key within its team.
type requestKey struct{ team, key string }

// record is a submission, from its acceptance until its answer is discarded. The
// fields after done are guarded by the table's lock, except that answer may be
// read without it once done is closed.
type record struct {
	id          wire.SubmissionID
	key         requestKey // key.key is empty if the caller gave none
	fingerprint uint64
	idempotent  bool
	class       string
	accepted    time.Time
	deadline    time.Time
	done        chan struct{} // closed when answer is set

	answer       entry.JobAnswer
	waiters      int
	claimDropped bool      // the claim was lost or released, so answer is not the key's answer
	bytes        int64     // size of the kept answer, answerOverheadBytes included
	expires      time.Time // when the kept answer is discarded at the latest
}

func (r *record) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// joinable reports whether a request with the same key gets the answer of this
// record. Otherwise it is a new submission: a refused job did not run, and an
// idempotent job that is not complete may run again.
func (r *record) joinable() bool {
	if !r.finished() {
		return true
	}
	if r.claimDropped {
		return false
	}
	if r.idempotent {
		return r.answer.Outcome == entry.Complete
	}
	return r.answer.Outcome != entry.Refused
}

// jobTable indexes submissions by ID and by key. Answers of jobs with a key are
// kept for the retention time. If they exceed maxBytes or maxRecords, the oldest
// are discarded first.
type jobTable struct {
	mu         sync.Mutex
	byID       map[wire.SubmissionID]*record
	byKey      map[requestKey]*record
	kept       []*record // finished, oldest first
	keptBytes  int64
	retention  time.Duration
	maxBytes   int64
	maxRecords int
}

func newJobTable(retention time.Duration, maxBytes int64) *jobTable {
	return &jobTable{
		byID: make(map[wire.SubmissionID]*record), byKey: make(map[requestKey]*record),
		retention: retention, maxBytes: maxBytes, maxRecords: maxKeptAnswers,
	}
}

// join returns the record whose answer the caller of fresh gets: an earlier one
// with the same key, or fresh itself after adding it to the table. It returns nil
// if the key was used for a different request.
func (t *jobTable) join(fresh *record) *record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	if old := t.byKey[fresh.key]; old != nil && fresh.key.key != "" {
		if old.fingerprint != fresh.fingerprint {
			return nil
		}
		if old.joinable() {
			old.waiters++
			return old
		}
	}
	fresh.waiters = 1
	t.byID[fresh.id] = fresh
	if fresh.key.key != "" {
		t.byKey[fresh.key] = fresh
	}
	return fresh
}

// removeWaiter removes a waiter. It reports whether the job should be
// cancelled: nobody waits for it, and without a key nobody can request its
// answer later.
func (t *jobTable) removeWaiter(r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.waiters--
	return r.waiters == 0 && r.key.key == "" && !r.finished()
}

// abandon removes a waiter of a job that is cancelled when nobody waits for it,
// even if it has a key. It reports whether the job should be cancelled.
func (t *jobTable) abandon(r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.waiters--
	return r.waiters == 0 && !r.finished()
}

// find returns the record with the given submission ID or key, or nil.
func (t *jobTable) find(name string, team string) *record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	if id, err := wire.ParseSubmissionID(name); err == nil && t.byID[id] != nil {
		return t.byID[id]
	}
	return t.byKey[requestKey{team: team, key: name}]
}

func (t *jobTable) get(id wire.SubmissionID) *record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// markClaimDropped records that the claim of the submission was lost or
// released. A later request with the same key then does not get the answer of
// this record: it requests the claim again and may get the answer of the owner.
func (t *jobTable) markClaimDropped(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.claimDropped = true
}

// resolve sets the answer of a submission. Only the first call has an effect.
func (t *jobTable) resolve(id wire.SubmissionID, a entry.JobAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || r.finished() {
		return
	}
	r.answer = a
	close(r.done)
	if r.key.key == "" || r.claimDropped {
		t.remove(r)
		return
	}
	now := time.Now()
	for _, body := range a.Results {
		r.bytes += int64(len(body))
	}
	r.bytes += answerOverheadBytes
	r.expires = now.Add(t.retention)
	t.kept = append(t.kept, r)
	t.keptBytes += r.bytes
	t.expire(now)
}

// expire discards answers that are too old or exceed the limits, oldest first.
func (t *jobTable) expire(now time.Time) {
	for len(t.kept) > 0 {
		r := t.kept[0]
		if now.Before(r.expires) && t.keptBytes <= t.maxBytes && len(t.kept) <= t.maxRecords {
			return
		}
		t.kept[0] = nil
		t.kept = t.kept[1:]
		t.keptBytes -= r.bytes
		t.remove(r)
	}
}

// remove deletes a record. The key is kept if it refers to a newer record.
func (t *jobTable) remove(r *record) {
	delete(t.byID, r.id)
	if t.byKey[r.key] == r {
		delete(t.byKey, r.key)
	}
}

// size returns the number of records and the total size of the kept answers.
func (t *jobTable) size() (records int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID), t.keptBytes
}
