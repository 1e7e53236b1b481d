package operator

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

// itemOp is one change of an item. Revisions are identified by the ID of the
// change that set them.
type itemOp struct {
	key     config.Key
	outcome Outcome
	id      platformlog.RecordID
	base    platformlog.RecordID // change that set the base revision
}

// itemModel models each item as a compare-and-swap register. The state is the ID of
// the change that set its current revision.
func itemModel() porcupine.Model {
	step := func(state, input, _ any) []any {
		current, op := state.(platformlog.RecordID), input.(itemOp)
		switch {
		case op.outcome == OutcomeAccepted && current == op.base:
			return []any{op.id}
		case op.outcome == OutcomeConflict && current != op.base:
			return []any{current}
		case op.outcome == OutcomeUnknown && current == op.base:
			return []any{current, op.id}
		case op.outcome == OutcomeUnknown:
			return []any{current}
		}
		return nil
	}
	m := porcupine.NondeterministicModel{
		Init:      func() []any { return []any{platformlog.RecordID{}} },
		Step:      step,
		Partition: byItem,
	}
	return m.ToModel()
}

// byItem splits a history into one history per item.
func byItem(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[config.Key][]porcupine.Operation)
	for _, o := range history {
		key := o.Input.(itemOp).key
		parts[key] = append(parts[key], o)
	}
	var out [][]porcupine.Operation
	for _, p := range parts {
		out = append(out, p)
	}
	return out
}

// timedResult is one result with the start and end time of its command.
type timedResult struct {
	ChangeResult
	call, end int64
}

// Guards against wrongly reported outcomes and lost updates. It checks histories
// of concurrent operators with lost and late appends, outages and slow reads.
func TestConfigHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkConfigHistory(t, seed) })
	}
}

func checkConfigHistory(t *testing.T, seed uint64) {
	s := startLog(t)
	stop := make(chan struct{})
	var faults, workers sync.WaitGroup
	faults.Go(func() { injectFaults(s, rand.New(rand.NewPCG(seed, 99)), stop) })
	start := time.Now()
	results := make([][]timedResult, 4)
	for w := range results {
		c, _ := client(t, s, 150*time.Millisecond)
		rnd := rand.New(rand.NewPCG(seed, uint64(w)))
		workers.Go(func() {
			for i := range 25 {
				file := fmt.Sprintf("[[team]]\nname = \"t%d\"\nquota = %d\n", rnd.IntN(3), 1000*(w+1)+i)
				call := time.Since(start)
				r := c.Apply(context.Background(), "f", []byte(file), false)
				end := int64(time.Since(start))
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
				for _, ch := range r.Changes {
					results[w] = append(results[w], timedResult{ch, int64(call), end})
				}
			}
		})
	}
	workers.Wait()
	close(stop)
	faults.Wait()
	checkResults(t, s, results)
}

// checkResults replays the log and compares the accepted changes with the
// outcomes that were reported to the operators.
func checkResults(t *testing.T, s *logserver.Server, results [][]timedResult) {
	m := config.New(config.Options{})
	byRevision := make(map[int64]platformlog.RecordID)
	accepted := make(map[platformlog.RecordID]bool)
	for _, r := range s.Records(logstate.StreamConfig) {
		for _, v := range m.Apply(r.Offset, r.Time, r.Body) {
			if v.Outcome == config.Accepted {
				byRevision[r.Offset+1] = r.ID
				accepted[r.ID] = true
			}
		}
	}
	var history []porcupine.Operation
	count := make(map[Outcome]int)
	for _, worker := range results {
		for _, r := range worker {
			count[r.Outcome]++
			switch r.Outcome {
			case OutcomeAccepted:
				assert.Assert(t, accepted[r.ID], "reported as accepted but not accepted")
			case OutcomeNotAccepted, OutcomeConflict:
				assert.Assert(t, !accepted[r.ID], "reported as not accepted but accepted")
			case OutcomeUnknown:
				r.end = math.MaxInt64
			}
			if r.Outcome == OutcomeNotAccepted {
				continue
			}
			op := itemOp{key: r.Key, outcome: r.Outcome, id: r.ID, base: byRevision[r.BaseRevision]}
			history = append(history, porcupine.Operation{ClientId: len(history), Input: op, Call: r.call, Return: r.end})
		}
	}
	t.Logf("outcomes: %v", count)
	assert.Assert(t, count[OutcomeAccepted] > 0)
	assert.Assert(t, porcupine.CheckOperations(itemModel(), history), "not linearizable")
}

// injectFaults changes the faults of the log server every 50 to 299 ms until stop
// is closed.
func injectFaults(s *logserver.Server, rnd *rand.Rand, stop <-chan struct{}) {
	defer s.SetFaults(logserver.Faults{})
	choices := []logserver.Faults{
		{},
		{LoseReplies: 30},
		{LoseRequests: 30},
		{LateAppends: 1000, LateByMillis: 400},
		{Outage: true},
		{ReadDelayMillis: 40},
		{AppendDelayMillis: 120},
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rnd.IntN(250)) * time.Millisecond):
			s.SetFaults(choices[rnd.IntN(len(choices))])
		}
	}
}

// Guards against an itemModel that accepts every history.
func TestItemModelRejectsLostUpdate(t *testing.T) {
	id := func(n byte) platformlog.RecordID { return platformlog.RecordID{n} }
	op := func(outcome Outcome, n, base byte, call int64) porcupine.Operation {
		return porcupine.Operation{Input: itemOp{outcome: outcome, id: id(n), base: id(base)}, Call: call, Return: call + 1}
	}
	lostUpdate := []porcupine.Operation{op(OutcomeAccepted, 1, 0, 1), op(OutcomeAccepted, 2, 0, 3)}
	valid := []porcupine.Operation{op(OutcomeAccepted, 1, 0, 1), op(OutcomeConflict, 2, 0, 3), op(OutcomeAccepted, 3, 1, 5)}
	assert.Assert(t, !porcupine.CheckOperations(itemModel(), lostUpdate))
	assert.Assert(t, porcupine.CheckOperations(itemModel(), valid))
}
