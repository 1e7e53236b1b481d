package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against tasks of stored jobs that wait for minutes beside idle workers: while
// the workers had no room, all of them were refused, and each got a delay that assumed
// the rate of starts at that time.
func TestRefusedTasksRunSoonAfterRoomReturns(t *testing.T) {
	const (
		tasks      = 400
		roomReturn = 10 * time.Second
		runTime    = 100 * time.Millisecond
		idleLimit  = 3 * time.Second  // an accepted job may have nothing running for this long
		finish     = 14 * time.Second // accepted jobs are asked for this long after the traffic
		step       = 5 * time.Millisecond
	)
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: 1})})
	m.Step(0, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Second}}}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: time.Hour})
	type end struct {
		at     time.Duration
		result wire.Result
	}
	var ends []end
	done, lastRun := 0, roomReturn
	now := time.Duration(0)
	apply := func(actions []entry.Action) {
		f, _ := mergeFrames(actions)
		for _, s := range f.Starts {
			if now < roomReturn {
				ends = append(ends, end{now + step, wire.Result{Seq: s.Seq, Outcome: wire.NotRun, Reason: wire.ReasonNoRoom}})
				continue
			}
			ends = append(ends, end{now + runTime, wire.Result{Seq: s.Seq, Outcome: wire.Succeeded, RunTime: wire.MicrosOf(runTime)}})
		}
	}
	apply(m.Step(0, entry.Submit{Submission: testJob, Class: "c", MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, tasks), Stored: true}))
	for done < tasks {
		now += step
		frame := &wire.ToEntry{Load: wire.Load{Slots: 8, Limit: 8, Successes: uint64(done)}}
		rest := ends[:0]
		for _, e := range ends {
			if e.at > now {
				rest = append(rest, e)
				continue
			}
			frame.Results = append(frame.Results, e.result)
			if e.result.Outcome == wire.Succeeded {
				done++
				lastRun = now
			}
		}
		ends = rest
		apply(m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: frame}))
		apply(m.Step(now, entry.Tick{}))
		assert.Assert(t, now-lastRun < idleLimit, "%d of %d tasks have run, and nothing runs at %v", done, tasks, now)
	}
	t.Logf("all tasks have run after %v", now-roomReturn)
	assert.Assert(t, now-roomReturn < finish, "all tasks ran after %v", now-roomReturn)
}
