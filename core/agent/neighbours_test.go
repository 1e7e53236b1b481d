package agent

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// interval is a run and the time for which it ran.
type interval struct {
	class    string
	slots    float64
	from, to time.Duration
}

// besideOf returns the mean slots of each class beside run i, computed from all runs.
func besideOf(runs []interval, i int) map[string]float64 {
	out := map[string]float64{}
	for j, other := range runs {
		overlap := min(runs[i].to, other.to) - max(runs[i].from, other.from)
		if j != i && overlap > 0 {
			out[other.class] += other.slots * float64(overlap) / float64(runs[i].to-runs[i].from)
		}
	}
	return out
}

// Guards against exposures that differ from the overlap of the runs, that leave out runs
// of other entries, and that are reported to entries that did not ask.
func TestResultsStateWhatRanBeside(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newScript(Options{Incarnation: 1, Slots: 12, Capacity: wire.Capacity{MilliCores: 12000}})
		s.step(LinkUp{Entry: entryA, Epoch: 2, ReportNeighbours: true})
		s.step(LinkUp{Entry: entryB, Epoch: 3})
		var runs []interval
		byAttempt, startedAt := map[AttemptID]int{}, map[AttemptID]bool{}
		for step := range 400 {
			s.now += time.Duration(rng.IntN(3)) * time.Millisecond
			if rng.IntN(2) == 0 && len(s.running) < 8 {
				to := []wire.Incarnation{entryA, entryB}[rng.IntN(2)]
				s.step(Received{Entry: to, Epoch: s.machine.entries[to].epoch, Frame: &wire.ToAgent{Starts: []wire.Start{{
					Seq: wire.Seq(step + 1), Submission: wire.SubmissionID{byte(step)}, Class: fmt.Sprint("c", rng.IntN(5)),
					Need: wire.Capacity{MilliCores: int64(500 * (1 + rng.IntN(3)))}, Deadline: 10_000_000,
				}}}})
			} else if len(s.running) > 0 {
				i := rng.IntN(len(s.running))
				id := s.running[i].Attempt
				s.running[0], s.running[i] = s.running[i], s.running[0]
				runs[byAttempt[id]].to = s.now
				s.finishFirst(succeeded)
			}
			for _, r := range s.running {
				if !startedAt[r.Attempt] {
					startedAt[r.Attempt] = true
					byAttempt[r.Attempt] = len(runs)
					runs = append(runs, interval{class: r.Start.Class, slots: float64(r.Start.Need.MilliCores) / 1000, from: s.now, to: math.MaxInt64})
				}
			}
		}
		checked := 0
		for i, f := range s.frames {
			for _, r := range f.Results {
				run := byAttempt[AttemptID{s.entries[i], r.Seq}]
				if s.entries[i] == entryB {
					assert.Equal(t, len(r.Neighbours), 0)
					assert.Equal(t, len(f.Load.Classes), 0)
					continue
				}
				if runs[run].to == runs[run].from {
					continue
				}
				want := besideOf(runs, run)
				for _, n := range r.Neighbours {
					assert.Assert(t, math.Abs(want[n.Class]-float64(n.Slots)/1000) < 0.001, "%v, want %v", n, want)
					delete(want, n.Class)
					checked++
				}
				for class, slots := range want {
					assert.Assert(t, slots < 0.001, "%s is missing", class)
				}
			}
		}
		assert.Assert(t, checked > 100)
	}
}

// Guards against reports that grow with the classes, and against reports of runs that
// began before an entry asked.
func TestNeighboursAreBoundedAndMeasuredSinceTheyWereAskedFor(t *testing.T) {
	s := newScript(Options{Incarnation: 1, Slots: 300})
	start := func(n int) {
		for range n {
			seq := s.nextSeq
			s.nextSeq++
			s.receive(wire.ToAgent{Starts: []wire.Start{{Seq: seq, Submission: wire.SubmissionID{1}, Class: fmt.Sprint("class-", seq), Deadline: 10_000_000}}})
		}
	}
	start(1)
	s.now += time.Second
	s.step(LinkUp{Entry: entryA, Epoch: 2, ReportNeighbours: true})
	start(100)
	assert.Equal(t, len(s.machine.neighbours.classes), maxNeighbourClasses)
	s.now += time.Second
	for range 100 {
		s.finishFirst(succeeded)
	}
	assert.Equal(t, len(s.results[0].Neighbours), 0)
	assert.Equal(t, len(s.results[1].Neighbours), wire.MaxNeighbours)
	start(100) // records of classes without runs are used again
	s.now += time.Second
	s.finishFirst(succeeded) // began a second before them
	s.finishFirst(succeeded)
	for i, want := range []int{500, 1000} {
		r := s.results[len(s.results)-2+i]
		assert.Equal(t, len(r.Neighbours), wire.MaxNeighbours)
		for _, n := range r.Neighbours {
			assert.Equal(t, n.Slots, want)
		}
	}
	last := s.frames[len(s.frames)-1]
	assert.Equal(t, len(last.Load.Classes), wire.MaxNeighbours)
	s.step(LinkDown{Entry: entryA, Epoch: 2})
	s.now += DefaultEntryRetention
	for len(s.running) > 0 {
		s.finishFirst(succeeded)
	}
	s.step(Tick{})
	s.step(Tick{})
	assert.Assert(t, !s.machine.neighbours.enabled)
}

// Guards against frames above wire.MaxFrameBytes, which end the link, because of results
// without bodies whose neighbours or checkpoints have long names.
func TestFramesOfResultsWithLongNamesAreBounded(t *testing.T) {
	long := wire.Result{}
	for range wire.MaxNeighbours {
		long.Neighbours = append(long.Neighbours, wire.Neighbour{Class: strings.Repeat("n", wire.MaxNameBytes), Slots: 1000 * wire.MaxSlots})
	}
	short := wire.Result{Neighbours: make([]wire.Neighbour, wire.MaxNeighbours)}
	checkpoint := wire.Result{Checkpoint: strings.Repeat("c", wire.MaxCheckpointBytes)}
	for _, r := range []wire.Result{long, short, checkpoint} {
		rest, frames := make([]wire.Result, 40000), 0
		for i := range rest {
			rest[i] = r
		}
		for ; len(rest) > 0; frames++ {
			n := frameResultCount(rest)
			data, err := cbor.Marshal(wire.ToEntry{Results: rest[:n]})
			assert.NilError(t, err)
			assert.Assert(t, len(data) < wire.MaxFrameBytes, "%d results in %d bytes", n, len(data))
			rest = rest[n:]
		}
		assert.Assert(t, frames > 1 && frames < 100)
	}
}
