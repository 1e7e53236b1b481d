package entry_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/internal/extreme"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a process that ends because of one frame of a peer, one published
// configuration or one job: every frame that the link accepts must be handled.
func TestExtremeInputDoesNotEndTheProcess(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playExtremeInput(seed) })
	}
}

func playExtremeInput(seed uint64) {
	x := extreme.New(seed)
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: seed})})
	now := time.Second
	var open []wire.Seq
	step := func(ev entry.Event) {
		for _, a := range m.Step(now, ev) {
			if s, ok := a.(entry.Send); ok {
				for i := range s.Frame.Starts {
					open = append(open, s.Frame.Starts[i].Seq)
				}
			}
		}
	}
	usual := wire.AgentHello{Protocol: wire.ProtocolVersion, Agent: 1, Epoch: 1, Name: "a", Slots: 8, Pool: "a", NoLeftoverRuns: true}
	step(entry.Configured{Version: 1, Settings: policy.Settings{Classes: []policy.Class{{Name: "a", Pool: "a"}, {Name: "b"}}}})
	step(entry.LinkUp{Hello: usual})
	step(entry.StoredLease{Until: time.Hour})
	for i := range 400 {
		now += time.Duration(x.IntN(60)) * time.Millisecond
		switch x.IntN(9) {
		case 0:
			hello := extreme.Of[wire.AgentHello](x)
			if hello.Agent != 0 && hello.Epoch != 0 && hello.Slots > 0 && hello.Check() == nil {
				step(entry.LinkUp{Hello: *hello})
			}
		case 1, 2, 3:
			frame := extreme.Of[wire.ToEntry](x)
			for j := range frame.Results {
				if len(open) > 0 && x.IntN(3) > 0 {
					frame.Results[j].Seq = open[x.IntN(len(open))]
				}
			}
			if frame.Check() == nil {
				step(entry.Received{Agent: wire.Incarnation(x.IntN(4)), Epoch: wire.Epoch(x.IntN(4)), Frame: frame})
			}
		case 4, 5:
			job := extreme.Of[entry.Submit](x)
			job.Submission = wire.SubmissionID{byte(i), byte(i >> 8), 1}
			job.Progress = job.Progress[:min(len(job.Progress), len(job.Payloads))]
			if x.IntN(2) == 0 {
				job.Class, job.Need, job.Deadline, job.NeedsClaim = "a", wire.Capacity{}, time.Second, false
				job.Steps, job.Occurrences = nil, nil
			}
			step(*job)
		case 6:
			step(entry.Configured{Version: int64(i), Settings: *extreme.Of[policy.Settings](x)})
		case 7:
			step(entry.LinkDown{Agent: wire.Incarnation(x.IntN(4)), Epoch: wire.Epoch(x.IntN(4))})
		default:
			step(entry.Tick{})
		}
		now += time.Millisecond
		step(entry.Tick{})
	}
}

// Guards against a process that ends because the number of tasks in the steps of a job
// overflows and then seems to match the payloads.
func TestStepsWhoseTasksOverflowAreRefused(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{})})
	actions := m.Step(time.Second, entry.Submit{
		Submission: wire.SubmissionID{1}, Deadline: time.Second, Payloads: [][]byte{{1}},
		Steps: []entry.Step{{Tasks: math.MaxInt}, {Tasks: math.MaxInt}, {Tasks: 3}},
	})
	assert.Equal(t, actions[0].(entry.Answer).Answer.Reason, entry.ReasonBadSteps)
}
