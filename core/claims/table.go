package claims

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Options are the same for all readers of one stream. Zero values take the
// defaults.
type Options struct {
	// Window is the greatest age of a key at its claim. Default 15 min.
	Window time.Duration
	// Skew is how far a key's creation time may be ahead of log time. Default 1 min.
	Skew time.Duration
}

// Defaults of Options.
const (
	DefaultWindow = 15 * time.Minute
	DefaultSkew   = time.Minute
)

// Life is how long a claim lives after its record, in log time.
func (o Options) Life() time.Duration { return o.Window + 2*o.Skew }

// Outcome is what a record's claim or release came to.
type Outcome uint8

// Values of Outcome.
const (
	// Won: the submission now holds the claim.
	Won Outcome = iota + 1
	// Held: the submission held the claim already; the record is a replay.
	Held
	// Lost: another submission holds the claim.
	Lost
	// TooOld: the key was created before the window.
	TooOld
	// TooNew: the key's creation time is ahead of log time by more than the skew.
	TooNew
	// Unjudged: this reader may have missed an earlier claim of the key. The
	// claim is recorded, but its entry must not act on it.
	Unjudged
	// Released: the claim was given up.
	Released
	// NotHeld: a release named a claim that its entry does not hold.
	NotHeld
)

var outcomeNames = [...]string{"none", "won", "held", "lost", "too_old", "too_new", "unjudged", "released", "not_held"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Owner holds a claim.
type Owner struct {
	Entry      wire.Incarnation
	Peer       string
	Submission wire.SubmissionID
}

// Verdict is the result for one claim or release of an applied record.
type Verdict struct {
	Hash       Hash
	Entry      wire.Incarnation // that appended the record
	Submission wire.SubmissionID
	Outcome    Outcome
	Owner      Owner // for Lost: who holds the claim
}

// held is one live claim. batch indexes Table.batches, counted from the start.
type held struct {
	submission wire.SubmissionID
	batch      uint32
}

// batch is one record with live claims. Its owner is shared by its claims.
type batch struct {
	time   time.Duration
	entry  wire.Incarnation
	peer   string
	hashes []Hash
}

// Table is the state. It is not safe for concurrent use.
type Table struct {
	opts    Options
	live    map[Hash]held
	batches []batch // oldest first
	first   uint32  // number of the oldest batch
	peers   map[wire.Incarnation]peerUse
	next    int64 // offset that is due next
	now     time.Duration
	horizon time.Duration // 0: every record was read
	out     []Verdict

	undecoded int64
}

// peerUse shares one address string among the batches of an entry.
type peerUse struct {
	peer    string
	batches int
}

// New returns a table of a reader that starts at offset 0.
func New(opts Options) *Table {
	if opts.Window <= 0 {
		opts.Window = DefaultWindow
	}
	if opts.Skew <= 0 {
		opts.Skew = DefaultSkew
	}
	return &Table{opts: opts, live: make(map[Hash]held), peers: make(map[wire.Incarnation]peerUse)}
}

// Options returns the options with defaults filled in.
func (t *Table) Options() Options { return t.opts }

// Next returns the offset of the record that is due next.
func (t *Table) Next() int64 { return t.next }

// Live returns the number of live claims.
func (t *Table) Live() int { return len(t.live) }

// Now returns the newest log time seen.
func (t *Table) Now() time.Duration { return t.now }

// Undecoded returns the number of records that could not be decoded.
func (t *Table) Undecoded() int64 { return t.undecoded }

// Skip says that the records below offset next were missed and that none of
// them has a log time after horizon. Live claims stay:
// they are at worst released already. Keys that a missed record may have
// claimed are Unjudged from now on.
func (t *Table) Skip(next int64, horizon time.Duration) {
	if next <= t.next {
		return
	}
	t.next = next
	t.horizon = max(t.horizon, horizon)
}

// Judgeable reports whether this reader has seen every claim that a key of
// this creation time can have. A missed record at the horizon may have claimed
// a key created exactly the skew later, so the comparison is strict.
func (t *Table) Judgeable(created time.Duration) bool {
	return t.horizon == 0 || created > t.horizon+t.opts.Skew
}

// Lookup returns the holder of a live claim.
func (t *Table) Lookup(h Hash) (Owner, bool) {
	c, ok := t.live[h]
	if !ok {
		return Owner{}, false
	}
	b := &t.batches[c.batch-t.first]
	return Owner{Entry: b.entry, Peer: b.peer, Submission: c.submission}, true
}

// Advance moves the table's clock to a log time and removes expired claims. A
// record that is applied later must not have an earlier log time, so a reply's
// log time may be used only when the reader is at the end of the stream.
func (t *Table) Advance(now time.Duration) {
	t.now = max(t.now, now)
	n := 0
	for n < len(t.batches) && t.batches[n].time+t.opts.Life() < t.now {
		t.removeBatch(n)
		n++
	}
	t.dropBatches(n)
}

func (t *Table) removeBatch(n int) {
	number := t.first + uint32(n)
	for _, h := range t.batches[n].hashes {
		if c, ok := t.live[h]; ok && c.batch == number {
			delete(t.live, h)
		}
	}
	t.forgetPeer(t.batches[n].entry)
}

// dropBatches removes the first n batches, and copies the rest once half of
// the array is unused.
func (t *Table) dropBatches(n int) {
	if n == 0 {
		return
	}
	clear(t.batches[:n])
	t.batches = t.batches[n:]
	t.first += uint32(n)
	if cap(t.batches) > 64 && len(t.batches) < cap(t.batches)/2 {
		t.batches = append(make([]batch, 0, len(t.batches)+32), t.batches...)
	}
}

func (t *Table) sharePeer(r *Record) string {
	u, ok := t.peers[r.Entry]
	if !ok {
		u.peer = r.Peer
	}
	u.batches++
	t.peers[r.Entry] = u
	return u.peer
}

func (t *Table) forgetPeer(e wire.Incarnation) {
	u := t.peers[e]
	u.batches--
	if u.batches <= 0 {
		delete(t.peers, e)
		return
	}
	t.peers[e] = u
}
