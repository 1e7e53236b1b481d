package entryd

import (
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// requestKey is a caller's key in its scope.
type requestKey struct{ team, key string }

// record is one submission from its acceptance until its answer is no longer
// kept. The fields after done are guarded by the table's lock; answer may be
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

	answer  entry.JobAnswer
	waiters int
	passed  bool // its claim was lost or released: the key's answer is not this one
	bytes   int64
	expires time.Time
}

func (r *record) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// joinable reports whether a request with the same key gets this record's
// answer. A refused job did not run, so it is tried again, as is an idempotent
// one that did not succeed.
func (r *record) joinable() bool {
	if !r.finished() {
		return true
	}
	if r.passed {
		return false
	}
	if r.idempotent {
		return r.answer.Outcome == entry.Complete
	}
	return r.answer.Outcome != entry.Refused
}

// jobTable finds submissions by id and key. Answers of jobs with a key are
// kept for retention, within maxBytes and maxRecords, oldest dropped first.
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

// join returns the record that fresh's caller waits for: an earlier one with
// the same key, or fresh itself, which is then new. It returns nil if the key
// was used for a different request.
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

// leave ends one wait. It reports whether the job should be cancelled because
// nobody can ask for its answer any more.
func (t *jobTable) leave(r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.waiters--
	return r.waiters == 0 && r.key.key == "" && !r.finished()
}

// abandon is leave for a job whose name does not keep it running: it is to be
// cancelled as soon as nobody waits for it.
func (t *jobTable) abandon(r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.waiters--
	return r.waiters == 0 && !r.finished()
}

// find returns the record of a submission id or key, nil if there is none.
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

// passOn notes that the claim of the submission was lost or released, so that a
// later request with its key is not given this record's answer but claims anew
// or asks the owner.
func (t *jobTable) passOn(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.passed = true
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
	if r.key.key == "" || r.passed {
		t.remove(r)
		return
	}
	now := time.Now()
	for _, body := range a.Results {
		r.bytes += int64(len(body))
	}
	r.bytes += recordOverhead
	r.expires = now.Add(t.retention)
	t.kept = append(t.kept, r)
	t.keptBytes += r.bytes
	t.expire(now)
}

// expire drops answers that are too old or exceed the bounds.
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

// remove forgets a record, unless its key has passed to a newer one.
func (t *jobTable) remove(r *record) {
	delete(t.byID, r.id)
	if t.byKey[r.key] == r {
		delete(t.byKey, r.key)
	}
}

// size returns the records in the table and the bytes of kept answers.
func (t *jobTable) size() (records int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID), t.keptBytes
}
