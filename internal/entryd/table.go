package entryd

import (
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// requestKey is a caller's key within its team.
type requestKey struct{ team, key string }

// submission is a request from its acceptance until its answer is discarded. The
// fields after done are guarded by the table's lock, except that answer may be
// read without it once done is closed.
type submission struct {
	id          wire.SubmissionID
	key         requestKey // key.key is empty if the caller gave none
	fingerprint uint64
	idempotent  bool
	class       string
	accepted    time.Time
	deadline    time.Time
	// submitted and abandoned are used by the core goroutine alone, for jobs of Submitter.
	submitted bool          // the machine has it
	abandoned bool          // all callers had left, see jobTable.abandon
	done      chan struct{} // closed when answer is set

	answer       entry.JobAnswer
	waiters      int
	claimDropped bool      // the claim was lost or released, so answer is not the key's answer
	bytes        int64     // size of the kept answer, answerOverheadBytes included
	expires      time.Time // when the kept answer is discarded at the latest
}

func (sub *submission) finished() bool {
	select {
	case <-sub.done:
		return true
	default:
		return false
	}
}

// joinable reports whether a request with the same key gets the answer of this
// submission. Otherwise it is a new submission: a refused job did not run, and an
// idempotent job that is not complete may run again.
func (sub *submission) joinable() bool {
	if !sub.finished() {
		return true
	}
	if sub.claimDropped {
		return false
	}
	if sub.idempotent {
		return sub.answer.Outcome == entry.Complete
	}
	return sub.answer.Outcome != entry.Refused
}

// jobTable indexes submissions by ID and by key. Answers of jobs with a key are
// kept for the retention time. If they exceed maxBytes or maxKept, the oldest
// are discarded first.
type jobTable struct {
	mu        sync.Mutex
	byID      map[wire.SubmissionID]*submission
	byKey     map[requestKey]*submission
	kept      []*submission // finished, oldest first
	keptBytes int64
	retention time.Duration
	maxBytes  int64
	maxKept   int
}

func newJobTable(retention time.Duration, maxBytes int64) *jobTable {
	return &jobTable{
		byID: make(map[wire.SubmissionID]*submission), byKey: make(map[requestKey]*submission),
		retention: retention, maxBytes: maxBytes, maxKept: maxKeptAnswers,
	}
}

// join returns the submission whose answer the caller of fresh gets: an earlier one
// with the same key, or fresh itself after adding it to the table. It returns nil
// if the key was used for a different request.
func (t *jobTable) join(fresh *submission) *submission {
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
func (t *jobTable) removeWaiter(sub *submission) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub.waiters--
	return sub.waiters == 0 && sub.key.key == "" && !sub.finished()
}

// abandon removes a waiter of a job that is cancelled when nobody waits for it,
// even if it has a key. It reports whether the job should be cancelled.
func (t *jobTable) abandon(sub *submission) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub.waiters--
	return sub.waiters == 0 && !sub.finished()
}

// find returns the submission with the given submission ID or key, or nil.
func (t *jobTable) find(name string, team string) *submission {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	if id, err := wire.ParseSubmissionID(name); err == nil && t.byID[id] != nil {
		return t.byID[id]
	}
	return t.byKey[requestKey{team: team, key: name}]
}

func (t *jobTable) get(id wire.SubmissionID) *submission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// markClaimDropped records that the claim of the submission was lost or
// released. A later request with the same key then does not get the answer of
// this submission: it requests the claim again and may get the answer of the owner.
func (t *jobTable) markClaimDropped(sub *submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub.claimDropped = true
}

// resolve sets the answer of a submission. Only the first call has an effect.
func (t *jobTable) resolve(id wire.SubmissionID, a entry.JobAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub := t.byID[id]
	if sub == nil || sub.finished() {
		return
	}
	sub.answer = a
	close(sub.done)
	if sub.key.key == "" || sub.claimDropped {
		t.remove(sub)
		return
	}
	now := time.Now()
	for _, body := range a.Results {
		sub.bytes += int64(len(body))
	}
	sub.bytes += answerOverheadBytes
	sub.expires = now.Add(t.retention)
	t.kept = append(t.kept, sub)
	t.keptBytes += sub.bytes
	t.expire(now)
}

// expire discards answers that are too old or exceed the limits, oldest first.
func (t *jobTable) expire(now time.Time) {
	for len(t.kept) > 0 {
		sub := t.kept[0]
		if now.Before(sub.expires) && t.keptBytes <= t.maxBytes && len(t.kept) <= t.maxKept {
			return
		}
		t.kept[0] = nil
		t.kept = t.kept[1:]
		t.keptBytes -= sub.bytes
		t.remove(sub)
	}
}

// remove deletes a submission. The key is kept if it refers to a newer submission.
func (t *jobTable) remove(sub *submission) {
	delete(t.byID, sub.id)
	if t.byKey[sub.key] == sub {
		delete(t.byKey, sub.key)
	}
}

// size returns the number of submissions and the total size of the kept answers.
func (t *jobTable) size() (submissions int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID), t.keptBytes
}
