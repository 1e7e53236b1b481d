package claims

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configure a Table. All readers of one stream must use the same values.
// Zero values take the defaults.
type Options struct {
	// MaxKeyAge is the maximum age of a key when it is claimed. Default 15 min.
	MaxKeyAge time.Duration
	// Skew bounds how far a key's creation time may be ahead of log time. Default
	// 1 min.
	Skew time.Duration
}

// Defaults of Options.
const (
	DefaultMaxKeyAge = 15 * time.Minute
	DefaultSkew      = time.Minute
)

// ClaimTTL returns how long after the log time of its record a claim expires. A
// claimed key is then older than the window, so it cannot be claimed again.
func (o Options) ClaimTTL() time.Duration { return o.MaxKeyAge + 2*o.Skew }

// Outcome is the result of one claim or release.
type Outcome uint8

// Values of Outcome.
const (
	// Won: the submission obtained the claim.
	Won Outcome = iota + 1
	// Held: the submission holds the claim already; the record is a replay.
	Held
	// Lost: another submission holds the claim.
	Lost
	// TooOld: the key is older than the window.
	TooOld
	// TooNew: the key's creation time is ahead of log time by more than the skew.
	TooNew
	// Indeterminate: this reader may have missed an earlier claim of the key. The
	// claim is recorded, but its entry must not start the work.
	Indeterminate
	// Released: the claim was released.
	Released
	// NotHeld: the release names a claim that its entry does not hold for its
	// submission.
	NotHeld
)

var outcomeNames = [...]string{"none", "won", "held", "lost", "too_old", "too_new", "unjudged", "released", "not_held"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Owner identifies the holder of a claim.
type Owner struct {
	Entry      wire.Incarnation
	Peer       string // address of the entry's peer listener, IP:port
	Submission wire.SubmissionID
}

// Result is the result of one claim or release of an applied record.
type Result struct {
	Hash       Hash
	Entry      wire.Incarnation // entry that appended the record
	Submission wire.SubmissionID
	Outcome    Outcome
	Owner      Owner // for Lost: who holds the claim
}

// liveClaim is one live claim. batch is the number of its batch; see
// Table.firstBatch.
type liveClaim struct {
	submission wire.SubmissionID
	batch      uint32
}

// batch holds what the live claims of one record have in common. Batches are
// numbered from 0 in the order of their records.
type batch struct {
	time   time.Duration // log time
	entry  wire.Incarnation
	peer   string // address of the entry's peer listener
	hashes []Hash // claimed keys; some may have been released since
}

// Table holds the live claims. It is not safe for concurrent use.
type Table struct {
	opts       Options
	live       map[Hash]liveClaim
	batches    []batch // oldest first
	firstBatch uint32  // number of the oldest batch
	peers      map[wire.Incarnation]sharedPeer
	next       int64         // offset of the next record to apply
	now        time.Duration // newest log time seen
	// missedUntil is the latest log time that a missed record can have, 0 if none
	// was missed.
	missedUntil time.Duration
	results     []Result

	undecodable int64 // undecodable records applied
}

// sharedPeer is an address string that all batches of one entry share, with the
// number of these batches.
type sharedPeer struct {
	peer    string
	batches int
}

// New returns an empty table for a reader that starts at offset 0.
func New(opts Options) *Table {
	if opts.MaxKeyAge <= 0 {
		opts.MaxKeyAge = DefaultMaxKeyAge
	}
	if opts.Skew <= 0 {
		opts.Skew = DefaultSkew
	}
	return &Table{opts: opts, live: make(map[Hash]liveClaim), peers: make(map[wire.Incarnation]sharedPeer)}
}

// Options returns the options with defaults filled in.
func (t *Table) Options() Options { return t.opts }

// Next returns the offset of the next record to apply.
func (t *Table) Next() int64 { return t.next }

// Len returns the number of live claims.
func (t *Table) Len() int { return len(t.live) }

// Now returns the newest log time seen.
func (t *Table) Now() time.Duration { return t.now }

// Undecodable returns the number of undecodable records.
func (t *Table) Undecodable() int64 { return t.undecodable }

// Skip tells the table that its reader missed the records before offset next, none
// of which has a log time after missedUntil. Live claims are kept: at worst a missed
// record released them. Claims of keys that a missed record may have claimed are
// Indeterminate from now on.
func (t *Table) Skip(next int64, missedUntil time.Duration) {
	if next <= t.next {
		return
	}
	t.next = next
	t.missedUntil = max(t.missedUntil, missedUntil)
}

// HistoryComplete reports whether this reader has read every record that can claim a
// key with this creation time. A missed record at log time missedUntil may claim
// a key that was created exactly Skew later, so the comparison is strict.
func (t *Table) HistoryComplete(created time.Duration) bool {
	return t.missedUntil == 0 || created > t.missedUntil+t.opts.Skew
}

// Lookup returns the holder of a live claim, or false if the key is not claimed.
func (t *Table) Lookup(h Hash) (Owner, bool) {
	c, ok := t.live[h]
	if !ok {
		return Owner{}, false
	}
	b := &t.batches[c.batch-t.firstBatch]
	return Owner{Entry: b.entry, Peer: b.peer, Submission: c.submission}, true
}

// Advance sets the table's clock to a log time and removes expired claims.
// Records applied later must not have an earlier log time. Therefore the log time
// of a reply may be passed only if the reader is at the end of the stream.
func (t *Table) Advance(now time.Duration) {
	t.now = max(t.now, now)
	n := 0
	for n < len(t.batches) && t.batches[n].time+t.opts.ClaimTTL() < t.now {
		t.expireBatch(n)
		n++
	}
	t.dropBatches(n)
}

// expireBatch removes the claims of the batch at index n.
func (t *Table) expireBatch(n int) {
	batchNumber := t.firstBatch + uint32(n)
	for _, h := range t.batches[n].hashes {
		if c, ok := t.live[h]; ok && c.batch == batchNumber {
			delete(t.live, h)
		}
	}
	t.releasePeer(t.batches[n].entry)
}

// dropBatches removes the first n batches. It copies the others to a new array
// when less than half of the old one is in use.
func (t *Table) dropBatches(n int) {
	if n == 0 {
		return
	}
	clear(t.batches[:n])
	t.batches = t.batches[n:]
	t.firstBatch += uint32(n)
	if cap(t.batches) > 64 && len(t.batches) < cap(t.batches)/2 {
		t.batches = append(make([]batch, 0, len(t.batches)+32), t.batches...)
	}
}

// sharePeer counts a batch of the record's entry and returns the address string that
// the entry's batches share.
func (t *Table) sharePeer(r *Record) string {
	shared, ok := t.peers[r.Entry]
	if !ok {
		shared.peer = r.Peer
	}
	shared.batches++
	t.peers[r.Entry] = shared
	return shared.peer
}

// releasePeer counts a batch of the entry as removed.
func (t *Table) releasePeer(e wire.Incarnation) {
	shared := t.peers[e]
	shared.batches--
	if shared.batches <= 0 {
		delete(t.peers, e)
		return
	}
	t.peers[e] = shared
}
