package agent

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a set that forgets a released seq, for which an entry would then be told
// that the attempt never ran, or that holds one that was not released.
func TestSeqSetHoldsWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set seqSet
		model := make(map[wire.Seq]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			seq := wire.Seq(rapid.IntRange(1, 60).Draw(t, "seq"))
			if rapid.IntRange(0, 15).Draw(t, "remove") == 0 {
				set.removeBelow(seq)
				for s := range model {
					if s < seq {
						delete(model, s)
					}
				}
			} else {
				set.add(seq)
				model[seq] = true
			}
			for s := wire.Seq(0); s <= 61; s++ {
				if set.contains(s) != model[s] {
					t.Fatalf("seq %d in %v: want %v", s, set, model[s])
				}
			}
			for i := 1; i < len(set); i++ {
				if set[i-1].last+1 >= set[i].first {
					t.Fatalf("ranges touch: %v", set)
				}
			}
		}
	})
}

// Guards against an agent that refuses an entry for good, and against records that grow
// without bound: beside a run that lasts the seqs of all later attempts were kept one by
// one, up to a bound. Guards as well against a released attempt that is reported as not run.
func TestLastingRunDoesNotExhaustRecordsOfEndedAttempts(t *testing.T) {
	const attempts = 1<<16 + 1000
	s := newScript(Options{Slots: 8, MaxUnsettled: 4})
	s.lastingRun(t)
	first := s.nextSeq
	for i := range attempts {
		s.nextSeq += 2 // the entry uses the seqs between for other agents
		s.start(byte(i), 0)
		assert.Equal(t, len(s.running), 1, "start %d: %+v", i, s.results)
		s.finishFirst(succeeded)
		s.results, s.frames, s.entries = nil, nil, nil
		s.now += 2 * deliveredAfter
	}
	rec := s.machine.entries[entryA]
	assert.Assert(t, len(rec.releasedEarly) <= maxReleasedRanges, "%d ranges", len(rec.releasedEarly))
	for i := wire.Seq(0); i < attempts-10; i += 1000 {
		assert.Assert(t, rec.mayHaveReleased(first+2+3*i), "attempt %d", i)
	}
	assert.Assert(t, !rec.mayHaveReleased(s.nextSeq-6), "a seq that another agent got lately")
}
