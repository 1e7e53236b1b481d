package logstate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
)

// keyOp is one operation on a key: a claim that was won, an abandoned claim, which
// may or may not take effect at any later time, or a release.
type keyOp struct {
	kind       string // "won", "abandoned" or "release"
	key        string
	submission wire.SubmissionID
}

// claimModel models each key as a lock. The state is the submission that holds it.
func claimModel() porcupine.Model {
	free := wire.SubmissionID{}
	step := func(state, input, _ any) []any {
		holder, op := state.(wire.SubmissionID), input.(keyOp)
		switch {
		case op.kind == "won" && holder == free:
			return []any{op.submission}
		case op.kind == "won":
			return nil
		case op.kind == "abandoned" && holder == free:
			return []any{holder, op.submission}
		case op.kind == "release" && holder == op.submission:
			return []any{holder, free}
		}
		return []any{holder}
	}
	m := porcupine.NondeterministicModel{Init: func() []any { return []any{free} }, Step: step, Partition: byKey}
	return m.ToModel()
}

// byKey splits a history into one history per key.
func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, o := range history {
		key := o.Input.(keyOp).key
		parts[key] = append(parts[key], o)
	}
	var out [][]porcupine.Operation
	for _, p := range parts {
		out = append(out, p)
	}
	return out
}

// recorder records a history of operations.
type recorder struct {
	mu        sync.Mutex
	start     time.Time
	ops       []porcupine.Operation
	claimed   map[string]map[wire.SubmissionID]bool // submissions that claimed each key
	wins      int
	abandoned int // claims that were abandoned
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// add records an operation. end is math.MaxInt64 if its end is not known.
func (r *recorder) add(op keyOp, call, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: len(r.ops), Input: op, Call: call, Return: end})
}

// result records the result of a claim. It returns a description of the error if
// the result is wrong.
func (r *recorder) result(req claimapi.ClaimRequest, call int64, got claimapi.ClaimResult) string {
	op := keyOp{key: req.Key, submission: req.Submission}
	switch {
	case got.Won:
		op.kind = "won"
		r.add(op, call, r.now())
		r.mu.Lock()
		r.wins++
		r.mu.Unlock()
	case got.Reason == logstate.ReasonLogUnavailable:
		op.kind = "abandoned"
		r.add(op, call, math.MaxInt64)
		op.kind = "release" // the entry releases the claim if it takes effect
		r.add(op, call, math.MaxInt64)
		r.mu.Lock()
		r.abandoned++
		r.mu.Unlock()
	case got.Owner != claimapi.ClaimOwner{}:
		r.mu.Lock()
		claimed := r.claimed[req.Key][got.Owner.Submission]
		r.mu.Unlock()
		if !claimed {
			return "the owner is a submission that never claimed the key"
		}
	}
	return ""
}

// Guards against two submissions that hold the same key. It checks histories of
// three entries with lost, late and refused appends, outages and slow reads.
func TestClaimsAreExclusive(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkClaimHistory(t, seed) })
	}
}

func checkClaimHistory(t *testing.T, seed uint64) {
	s := newSystem(t, logserver.Options{AppendDelay: -1})
	r := &recorder{start: time.Now(), claimed: make(map[string]map[wire.SubmissionID]bool)}
	keys := make([]claimapi.ClaimRequest, 24)
	for i := range keys {
		keys[i] = request(fmt.Sprint(i), 0)
		r.claimed[keys[i].Key] = make(map[wire.SubmissionID]bool)
	}
	stop := make(chan struct{})
	var faults, workers sync.WaitGroup
	faults.Go(func() { injectFaults(s.server, rand.New(rand.NewPCG(seed, 99)), stop) })
	for i := range uint64(3) {
		e := s.entry(func(o *logstate.Options) { o.ClaimTimeout = 80 * time.Millisecond })
		for j := range uint64(2) {
			workers.Go(func() { claimRandomKeys(t, e, r, keys, rand.New(rand.NewPCG(seed, 10*i+j))) })
		}
	}
	workers.Wait()
	close(stop)
	faults.Wait()
	t.Logf("%d operations, %d wins, %d abandoned claims", len(r.ops), r.wins, r.abandoned)
	assert.Assert(t, r.wins > 0)
	assert.Assert(t, porcupine.CheckOperations(claimModel(), r.ops), "a key was won twice")
}

// claimRandomKeys claims random keys at an entry and releases most of those it wins.
func claimRandomKeys(t *testing.T, e *logstate.State, r *recorder, keys []claimapi.ClaimRequest, rnd *rand.Rand) {
	for range 60 {
		req := resubmit(keys[rnd.IntN(len(keys))])
		r.mu.Lock()
		r.claimed[req.Key][req.Submission] = true
		r.mu.Unlock()
		call := r.now()
		got := claim(e, req)
		if problem := r.result(req, call, got); problem != "" {
			t.Error(problem)
		}
		if got.Won && rnd.IntN(4) > 0 {
			call = r.now()
			e.Release(req)
			r.add(keyOp{kind: "release", key: req.Key, submission: req.Submission}, call, math.MaxInt64)
		}
		time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
	}
}

// injectFaults changes the faults of the log server every 5 to 34 ms until stop is
// closed.
func injectFaults(s *logserver.Server, rnd *rand.Rand, stop <-chan struct{}) {
	defer s.SetFaults(logserver.Faults{})
	choices := []logserver.Faults{
		{}, {}, {},
		{LoseReplies: 3},
		{LoseRequests: 3},
		{LateAppends: 5, LateByMillis: 120},
		{Outage: true},
		{ReadDelayMillis: 40},
		{LoseReplies: 5, ReadDelayMillis: 20},
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+rnd.IntN(30)) * time.Millisecond):
			s.SetFaults(choices[rnd.IntN(len(choices))])
		}
	}
}

// Guards against a claimModel that accepts every history.
func TestClaimModelRejectsTwoWinners(t *testing.T) {
	a, b := newSubmissionID(), newSubmissionID()
	won := func(id wire.SubmissionID, call int64) porcupine.Operation {
		return porcupine.Operation{Input: keyOp{"won", "k", id}, Call: call, Return: call + 1}
	}
	release := func(id wire.SubmissionID, call int64) porcupine.Operation {
		return porcupine.Operation{Input: keyOp{"release", "k", id}, Call: call, Return: math.MaxInt64}
	}
	assert.Assert(t, !porcupine.CheckOperations(claimModel(), []porcupine.Operation{won(a, 1), won(b, 3)}))
	assert.Assert(t, !porcupine.CheckOperations(claimModel(), []porcupine.Operation{won(a, 1), won(b, 3), release(a, 5)}))
	assert.Assert(t, porcupine.CheckOperations(claimModel(), []porcupine.Operation{won(a, 1), release(a, 3), won(b, 5)}))
}
