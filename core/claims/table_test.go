package claims

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

const baseTime = 1_000_000 * time.Hour // log time of the first record

func submissionID(n byte) wire.SubmissionID { return wire.SubmissionID{n} }

func newClaim(key byte, created time.Duration, s byte) Claim {
	return Claim{Hash: Hash{key}, CreatedMillis: created.Milliseconds(), Submission: submissionID(s)}
}

func encode(t assert.TestingT, entry wire.Incarnation, c []Claim, r []Release) []byte {
	record := Record{Entry: entry, Peer: "10.0.0.1:7000", Claims: c, Releases: r}
	body, err := record.Encode()
	assert.NilError(t, err)
	return body
}

// tableTester applies records with one claim or release each and checks the
// outcome.
type tableTester struct {
	t     *testing.T
	table *Table
}

func (tt *tableTester) claim(at time.Duration, entry wire.Incarnation, c Claim, want Outcome) Result {
	tt.t.Helper()
	return tt.applyOne(at, encode(tt.t, entry, []Claim{c}, nil), want)
}

func (tt *tableTester) release(at time.Duration, entry wire.Incarnation, key, submission byte, want Outcome) {
	tt.t.Helper()
	tt.applyOne(at, encode(tt.t, entry, nil, []Release{{Hash: Hash{key}, Submission: submissionID(submission)}}), want)
}

func (tt *tableTester) applyOne(at time.Duration, body []byte, want Outcome) Result {
	tt.t.Helper()
	results := tt.table.Apply(tt.table.Next(), at, body)
	assert.Equal(tt.t, len(results), 1)
	assert.Equal(tt.t, results[0].Outcome, want, "got %v", results[0].Outcome)
	return results[0]
}

// Guards against two entries that both start the work of the same key.
func TestSecondClaimOfAKeyLoses(t *testing.T) {
	tt := tableTester{t, New(Options{})}
	tt.claim(baseTime, 1, newClaim(1, baseTime, 1), Won)
	res := tt.claim(baseTime, 2, newClaim(1, baseTime, 2), Lost)
	assert.Equal(t, res.Owner, Owner{Entry: 1, Peer: "10.0.0.1:7000", Submission: submissionID(1)})
}

// Guards against a second start when a resent record appears twice in the log.
func TestReplayedClaimIsNotWonAgain(t *testing.T) {
	tt := tableTester{t, New(Options{})}
	tt.claim(baseTime, 1, newClaim(1, baseTime, 1), Won)
	tt.claim(baseTime, 1, newClaim(1, baseTime, 1), Held)
	assert.Equal(t, tt.table.Len(), 1)
}

// Guards against a claim that is released by anyone but its owner, also by a
// delayed release of an earlier submission.
func TestOnlyTheOwnerReleasesAClaim(t *testing.T) {
	tt := tableTester{t, New(Options{})}
	tt.claim(baseTime, 1, newClaim(1, baseTime, 1), Won)
	tt.release(baseTime, 2, 1, 1, NotHeld)
	tt.release(baseTime, 1, 1, 2, NotHeld)
	tt.release(baseTime, 1, 1, 1, Released)
	tt.claim(baseTime, 2, newClaim(1, baseTime, 2), Won)
	tt.release(baseTime, 1, 1, 1, NotHeld)
	tt.claim(baseTime, 1, newClaim(1, baseTime, 3), Lost)
}

// Guards against a second entry that starts the work of a key whose claim was
// abandoned by its entry but appended to the log after the release.
func TestLateClaimAfterReleaseHoldsTheKey(t *testing.T) {
	tt := tableTester{t, New(Options{})}
	tt.release(baseTime, 1, 1, 1, NotHeld)
	tt.claim(baseTime, 1, newClaim(1, baseTime, 1), Won)
	tt.claim(baseTime, 2, newClaim(1, baseTime, 2), Lost)
	tt.release(baseTime, 1, 1, 1, Released)
	tt.claim(baseTime, 2, newClaim(1, baseTime, 2), Won)
}

// Guards against a resubmission that runs again after the first claim of its key
// expired, for instance because the entry crashed between claim and start.
func TestExpiredClaimCannotBeWonAgain(t *testing.T) {
	for _, created := range []time.Duration{baseTime - DefaultMaxKeyAge, baseTime, baseTime + DefaultSkew} {
		tt := tableTester{t, New(Options{})}
		tt.claim(baseTime, 1, newClaim(1, created, 1), Won)
		ttl := tt.table.Options().ClaimTTL()
		tt.claim(baseTime+ttl, 2, newClaim(1, created, 2), Lost)
		tt.claim(baseTime+ttl+1, 2, newClaim(1, created, 2), TooOld)
		assert.Equal(t, tt.table.Len(), 0)
	}
}

// Guards against successful claims of keys that are too old or too new.
func TestKeysOutsideTheWindowAreNotClaimed(t *testing.T) {
	tt := tableTester{t, New(Options{})}
	tt.claim(baseTime, 1, newClaim(1, baseTime-DefaultMaxKeyAge-time.Millisecond, 1), TooOld)
	tt.claim(baseTime, 1, newClaim(2, baseTime+DefaultSkew+time.Millisecond, 1), TooNew)
	assert.Equal(t, tt.table.Len(), 0)
}

// Guards against a reader that returns Won for keys whose claims it may have
// missed: a missed record at the same log time may claim a key that was created
// exactly the skew later.
func TestReaderAfterGapDecidesOnlyNewerKeys(t *testing.T) {
	boundary := baseTime + DefaultSkew
	full := tableTester{t, New(Options{})}
	full.claim(baseTime, 1, newClaim(2, boundary, 1), Won)
	full.claim(baseTime, 2, newClaim(2, boundary, 2), Lost)

	late := New(Options{}) // reads from the second record on
	results := late.Apply(1, baseTime, encode(t, 2, []Claim{newClaim(1, boundary-time.Millisecond, 3), newClaim(2, boundary, 2)}, nil))
	assert.Equal(t, results[0].Outcome, Indeterminate)
	assert.Equal(t, results[1].Outcome, Indeterminate)
	results = late.Apply(2, baseTime+time.Millisecond, encode(t, 2, []Claim{newClaim(3, boundary+time.Millisecond, 4)}, nil))
	assert.Equal(t, results[0].Outcome, Won)
	assert.Assert(t, !late.HistoryComplete(baseTime))
}

// Guards against a reader that ignores a claim in a newer format.
func TestClaimsAfterUndecodableRecordAreIndeterminate(t *testing.T) {
	tt := tableTester{t, New(Options{})}
	tt.table.Apply(0, baseTime, []byte{0x82, 0x02, 0x00})
	tt.claim(baseTime, 1, newClaim(1, baseTime, 1), Indeterminate)
	tt.claim(baseTime+2*DefaultSkew, 1, newClaim(2, baseTime+2*DefaultSkew, 1), Won)
	assert.Equal(t, tt.table.Undecodable(), int64(1))
}

// Guards against memory use that grows with the number of expired claims.
func TestTableIsEmptyOnceEveryClaimExpired(t *testing.T) {
	table := New(Options{})
	for i := range 1000 {
		at := baseTime + time.Duration(i)*time.Minute
		c := Claim{Hash: KeyHash("t", fmt.Sprint(i)), CreatedMillis: at.Milliseconds()}
		table.Apply(table.Next(), at, encode(t, wire.Incarnation(1+i%3), []Claim{c}, nil))
		assert.Assert(t, table.Len() <= 18)
	}
	table.Advance(table.Now() + table.Options().ClaimTTL() + 1)
	assert.Equal(t, table.Len()+len(table.batches)+len(table.peers), 0)
}

// Guards against starts that are not exclusive. For random records and a reader
// that starts late, every win that this reader returns is also a win at the
// reader that read everything, and no key is won twice without a release.
func TestWinsAreExclusiveAcrossReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := New(Options{})
		start := rapid.IntRange(0, 30).Draw(t, "late reader's first offset")
		late := New(Options{})
		holder := make(map[Hash]Result)
		won := make(map[Hash]bool)
		at := baseTime
		for offset := range int64(60) {
			at += time.Duration(rapid.IntRange(0, 240).Draw(t, "seconds")) * time.Second
			body := drawRecord(t, at)
			got := append([]Result(nil), full.Apply(offset, at, body)...)
			wins := make(map[Result]bool)
			for _, res := range got {
				switch res.Outcome {
				case Won:
					_, held := holder[res.Hash]
					if held || won[res.Hash] {
						t.Fatalf("offset %d: %x won while held, or won again after its claim ended without release", offset, res.Hash[:1])
					}
					holder[res.Hash], won[res.Hash] = res, true
					wins[res] = true
				case Released:
					delete(holder, res.Hash)
					won[res.Hash] = false
				}
			}
			if offset < int64(start) {
				continue
			}
			for _, res := range late.Apply(offset, at, body) {
				if res.Outcome == Won && !wins[res] {
					t.Fatalf("offset %d: the late reader returned a win that the full reader did not", offset)
				}
			}
			expire(holder, full)
		}
	})
}

// expire removes the holders whose claims are no longer in the table. Their keys
// stay marked as won.
func expire(holder map[Hash]Result, table *Table) {
	for h := range holder {
		if _, ok := table.Lookup(h); !ok {
			delete(holder, h)
		}
	}
}

// drawRecord draws a claim or a release of one of four keys with fixed creation
// times, so that the same key is drawn before and after its claim expires.
func drawRecord(t *rapid.T, at time.Duration) []byte {
	entry := wire.Incarnation(rapid.IntRange(1, 3).Draw(t, "entry"))
	key := byte(rapid.IntRange(0, 3).Draw(t, "key"))
	created := baseTime + time.Duration(key)*20*time.Minute
	submission := byte(rapid.IntRange(1, 4).Draw(t, "submission"))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		return encode(t, entry, nil, []Release{{Hash: Hash{key}, Submission: submissionID(submission)}})
	}
	return encode(t, entry, []Claim{newClaim(key, created, submission)}, nil)
}

// Guards against different pairs of team and key with the same hash.
func TestKeyHashSeparatesTeamAndKey(t *testing.T) {
	assert.Assert(t, KeyHash("a", "bc") != KeyHash("ab", "c"))
	assert.Assert(t, KeyHash("", "a") != KeyHash("a", ""))
}

func TestCreatedAtRefusesMalformedKeys(t *testing.T) {
	at, err := CreatedAt("1700000000000-order-7")
	assert.NilError(t, err)
	assert.Equal(t, at, 1_700_000_000_000*time.Millisecond)
	for _, key := range []string{"", "-", "5", "5-", "x-1", "-5-a", "+5-a", "99999999999999999-a"} {
		_, err := CreatedAt(key)
		assert.Assert(t, err != nil, "%q", key)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add(encode(f, 1, []Claim{newClaim(1, baseTime, 1)}, nil))
	f.Add(encode(f, 1<<63, nil, []Release{{Hash: Hash{1}, Submission: submissionID(2)}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		table := New(Options{})
		table.Apply(0, baseTime, body) // must not panic
		if r, err := Decode(body); err == nil {
			again, err := r.Encode()
			assert.NilError(t, err)
			_, err = Decode(again)
			assert.NilError(t, err)
		}
	})
}
