package claims

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

const epoch = 1_000_000 * time.Hour // log time of the first record in tests

func sub(n byte) wire.SubmissionID { return wire.SubmissionID{n} }

func claimOf(key byte, created time.Duration, s byte) Claim {
	return Claim{Hash: Hash{key}, CreatedMillis: created.Milliseconds(), Submission: sub(s)}
}

func encode(t assert.TestingT, entry wire.Incarnation, c []Claim, r []Release) []byte {
	r0 := Record{Entry: entry, Peer: "10.0.0.1:7000", Claims: c, Releases: r}
	body, err := r0.Encode()
	assert.NilError(t, err)
	return body
}

// script applies one record after the other and checks the single verdict.
type script struct {
	t     *testing.T
	table *Table
}

func (s *script) claim(at time.Duration, entry wire.Incarnation, c Claim, want Outcome) Verdict {
	s.t.Helper()
	return s.one(at, encode(s.t, entry, []Claim{c}, nil), want)
}

func (s *script) release(at time.Duration, entry wire.Incarnation, key, submission byte, want Outcome) {
	s.t.Helper()
	s.one(at, encode(s.t, entry, nil, []Release{{Hash: Hash{key}, Submission: sub(submission)}}), want)
}

func (s *script) one(at time.Duration, body []byte, want Outcome) Verdict {
	s.t.Helper()
	v := s.table.Apply(s.table.Next(), at, body)
	assert.Equal(s.t, len(v), 1)
	assert.Equal(s.t, v[0].Outcome, want, "got %v", v[0].Outcome)
	return v[0]
}

// Guards against two entries that both start the work of one key.
func TestSecondClaimOfAKeyLoses(t *testing.T) {
	s := script{t, New(Options{})}
	s.claim(epoch, 1, claimOf(1, epoch, 1), Won)
	v := s.claim(epoch, 2, claimOf(1, epoch, 2), Lost)
	assert.Equal(t, v.Owner, Owner{Entry: 1, Peer: "10.0.0.1:7000", Submission: sub(1)})
}

// Guards against a second start when a resent record shows up twice.
func TestReplayOfAClaimIsNotASecondWin(t *testing.T) {
	s := script{t, New(Options{})}
	s.claim(epoch, 1, claimOf(1, epoch, 1), Won)
	s.claim(epoch, 1, claimOf(1, epoch, 1), Held)
	assert.Equal(t, s.table.Live(), 1)
}

// Guards against a claim that is taken from its owner by anyone but the owner,
// also by a late release of an earlier submission.
func TestOnlyTheHoldingSubmissionReleases(t *testing.T) {
	s := script{t, New(Options{})}
	s.claim(epoch, 1, claimOf(1, epoch, 1), Won)
	s.release(epoch, 2, 1, 1, NotHeld)
	s.release(epoch, 1, 1, 2, NotHeld)
	s.release(epoch, 1, 1, 1, Released)
	s.claim(epoch, 2, claimOf(1, epoch, 2), Won)
	s.release(epoch, 1, 1, 1, NotHeld)
	s.claim(epoch, 1, claimOf(1, epoch, 3), Lost)
}

// Guards against a key that is started by another entry while a late append of
// a claim, given up by its entry, is in the log.
func TestLateClaimAfterReleaseHoldsTheKey(t *testing.T) {
	s := script{t, New(Options{})}
	s.release(epoch, 1, 1, 1, NotHeld)
	s.claim(epoch, 1, claimOf(1, epoch, 1), Won)
	s.claim(epoch, 2, claimOf(1, epoch, 2), Lost)
	s.release(epoch, 1, 1, 1, Released)
	s.claim(epoch, 2, claimOf(1, epoch, 2), Won)
}

// Guards against a resubmission that runs again after its claim has expired,
// for instance because its entry died between claim and start.
func TestExpiredClaimCannotBeWonAgain(t *testing.T) {
	for _, created := range []time.Duration{epoch - DefaultWindow, epoch, epoch + DefaultSkew} {
		s := script{t, New(Options{})}
		s.claim(epoch, 1, claimOf(1, created, 1), Won)
		life := s.table.Options().Life()
		s.claim(epoch+life, 2, claimOf(1, created, 2), Lost)
		s.claim(epoch+life+1, 2, claimOf(1, created, 2), TooOld)
		assert.Equal(t, s.table.Live(), 0)
	}
}

// Guards against keys outside the window that are claimed all the same.
func TestKeysOutsideTheWindowAreNotClaimed(t *testing.T) {
	s := script{t, New(Options{})}
	s.claim(epoch, 1, claimOf(1, epoch-DefaultWindow-time.Millisecond, 1), TooOld)
	s.claim(epoch, 1, claimOf(2, epoch+DefaultSkew+time.Millisecond, 1), TooNew)
	assert.Equal(t, s.table.Live(), 0)
}

// Guards against a reader that judges keys whose claims it may have missed: a
// missed record of the same log time may hold a key created just the skew later.
func TestReaderAfterAGapJudgesOnlyNewerKeys(t *testing.T) {
	edge := epoch + DefaultSkew
	full := script{t, New(Options{})}
	full.claim(epoch, 1, claimOf(2, edge, 1), Won)
	full.claim(epoch, 2, claimOf(2, edge, 2), Lost)

	late := New(Options{}) // reads from the second record on
	v := late.Apply(1, epoch, encode(t, 2, []Claim{claimOf(1, edge-time.Millisecond, 3), claimOf(2, edge, 2)}, nil))
	assert.Equal(t, v[0].Outcome, Unjudged)
	assert.Equal(t, v[1].Outcome, Unjudged)
	v = late.Apply(2, epoch+time.Millisecond, encode(t, 2, []Claim{claimOf(3, edge+time.Millisecond, 4)}, nil))
	assert.Equal(t, v[0].Outcome, Won)
	assert.Assert(t, !late.Judgeable(epoch))
}

// Guards against a claim in a newer format that an older reader passes over.
func TestUndecodableRecordMakesItsKeysUnjudged(t *testing.T) {
	s := script{t, New(Options{})}
	s.table.Apply(0, epoch, []byte{0x82, 0x02, 0x00})
	s.claim(epoch, 1, claimOf(1, epoch, 1), Unjudged)
	s.claim(epoch+2*DefaultSkew, 1, claimOf(2, epoch+2*DefaultSkew, 1), Won)
	assert.Equal(t, s.table.Undecoded(), int64(1))
}

// Guards against memory that grows with the number of claims ever made.
func TestTableIsEmptyOnceEveryClaimExpired(t *testing.T) {
	table := New(Options{})
	for i := range 1000 {
		at := epoch + time.Duration(i)*time.Minute
		c := Claim{Hash: KeyHash("t", fmt.Sprint(i)), CreatedMillis: at.Milliseconds()}
		table.Apply(table.Next(), at, encode(t, wire.Incarnation(1+i%3), []Claim{c}, nil))
		assert.Assert(t, table.Live() <= 18)
	}
	table.Advance(table.Now() + table.Options().Life() + 1)
	assert.Equal(t, table.Live()+len(table.batches)+len(table.peers), 0)
}

// Guards against a start that is not exclusive: over random records, gaps and
// readers, a win seen by any reader is a win for the reader that saw
// everything, and no key is won twice without a release.
func TestEveryReadersWinIsExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := New(Options{})
		starts := rapid.IntRange(0, 30).Draw(t, "late reader's first offset")
		late := New(Options{})
		holder := make(map[Hash]Verdict)
		won := make(map[Hash]bool)
		at := epoch
		for offset := range int64(60) {
			at += time.Duration(rapid.IntRange(0, 240).Draw(t, "seconds")) * time.Second
			body := drawRecord(t, at)
			got := append([]Verdict(nil), full.Apply(offset, at, body)...)
			wins := make(map[Verdict]bool)
			for _, v := range got {
				switch v.Outcome {
				case Won:
					_, held := holder[v.Hash]
					if held || won[v.Hash] {
						t.Fatalf("offset %d: %x won while held, or won again after its claim ended without release", offset, v.Hash[:1])
					}
					holder[v.Hash], won[v.Hash] = v, true
					wins[v] = true
				case Released:
					delete(holder, v.Hash)
					won[v.Hash] = false
				}
			}
			if offset < int64(starts) {
				continue
			}
			for _, v := range late.Apply(offset, at, body) {
				if v.Outcome == Won && !wins[v] {
					t.Fatalf("offset %d: a late reader sees a win that is none", offset)
				}
			}
			expire(holder, full)
		}
	})
}

// expire drops holders that the table has dropped; won stays set.
func expire(holder map[Hash]Verdict, table *Table) {
	for h := range holder {
		if _, ok := table.Lookup(h); !ok {
			delete(holder, h)
		}
	}
}

// drawRecord draws claims of four keys with fixed creation times, so that the
// same key comes up again before and after its claim's life.
func drawRecord(t *rapid.T, at time.Duration) []byte {
	entry := wire.Incarnation(rapid.IntRange(1, 3).Draw(t, "entry"))
	key := byte(rapid.IntRange(0, 3).Draw(t, "key"))
	created := epoch + time.Duration(key)*20*time.Minute
	submission := byte(rapid.IntRange(1, 4).Draw(t, "submission"))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		return encode(t, entry, nil, []Release{{Hash: Hash{key}, Submission: sub(submission)}})
	}
	return encode(t, entry, []Claim{claimOf(key, created, submission)}, nil)
}

// Guards against two pairs of team and key that share a claim.
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
	f.Add(encode(f, 1, []Claim{claimOf(1, epoch, 1)}, nil))
	f.Add(encode(f, 1<<63, nil, []Release{{Hash: Hash{1}, Submission: sub(2)}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		table := New(Options{})
		table.Apply(0, epoch, body) // must not panic
		if r, err := Decode(body); err == nil {
			again, err := r.Encode()
			assert.NilError(t, err)
			_, err = Decode(again)
			assert.NilError(t, err)
		}
	})
}
