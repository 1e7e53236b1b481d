package agent_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/internal/extreme"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against an agent process that ends because of one frame of an entry or one answer
// of its worker: every frame that the link accepts must be handled.
func TestExtremeInputDoesNotEndTheProcess(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		t.Run(fmt.Sprint(seed), func(*testing.T) { playExtremeInput(seed) })
	}
}

func playExtremeInput(seed uint64) {
	x := extreme.New(seed)
	m := agent.New(agent.Options{Incarnation: 1, Slots: 4, RunLease: 500 * time.Millisecond, Capacity: wire.Capacity{MilliCores: 4000}})
	l := lease.New(lease.Options{})
	now := time.Second
	var runs []wire.RunRef
	var toAgent func(ev agent.Event)
	toLease := func(ev lease.Event) {
		for _, a := range append([]lease.Action(nil), l.Step(now, ev)...) {
			switch y := a.(type) {
			case lease.Finished:
				toAgent(agent.Finished{Attempt: y.Attempt, Outcome: y.Outcome, Reason: y.Reason, RunTime: y.RunTime, Checkpoint: y.Checkpoint})
			case lease.CallStart:
				runs = append(runs, y.Run)
			case lease.Admission:
				toAgent(agent.AdmissionChanged{Closed: y.Closed})
			}
		}
	}
	toAgent = func(ev agent.Event) {
		for _, a := range append([]agent.Action(nil), m.Step(now, ev)...) {
			switch y := a.(type) {
			case *agent.Run:
				toLease(lease.StartOf(y))
			case agent.Stop:
				toLease(lease.StopOf(y))
			case agent.AcknowledgeRun:
				toLease(lease.AcknowledgeRun{Run: y.Run})
			case agent.SupersedeRun:
				toLease(lease.SupersedeRun{Run: y.Run})
			case agent.Permissions:
				toLease(lease.Permissions{List: y.List})
			}
		}
	}
	someRun := func() wire.RunRef {
		if len(runs) > 0 && x.IntN(3) > 0 {
			return runs[x.IntN(len(runs))]
		}
		return *extreme.Of[wire.RunRef](x)
	}
	toAgent(agent.LinkUp{Entry: 1, Epoch: 1, HelloSentAt: now})
	for i := range 300 {
		now += time.Duration(x.IntN(50)) * time.Millisecond
		switch x.IntN(7) {
		case 0:
			toAgent(agent.LinkUp{Entry: wire.Incarnation(x.IntN(3)), Epoch: wire.Epoch(x.IntN(i + 2)), HelloSentAt: now})
		case 1, 2:
			frame := extreme.Of[wire.ToAgent](x)
			frame.ClockEcho = wire.MicrosOf(now)
			for j := range frame.Starts {
				if s := &frame.Starts[j]; x.IntN(2) == 0 {
					s.Seq, s.Deadline, s.MaxWait, s.Need, s.Job = wire.Seq(i*10+j), 1e6, 1e6, wire.Capacity{}, "a"
				}
			}
			if frame.Check() == nil {
				toAgent(agent.Received{Entry: wire.Incarnation(x.IntN(3)), Epoch: wire.Epoch(x.IntN(i + 2)), Frame: frame})
			}
		case 3:
			status := extreme.Of[lease.WorkerStatus](x)
			for j := range status.Running {
				status.Running[j] = someRun()
			}
			for j := range status.Ended {
				status.Ended[j].Run = someRun()
			}
			toLease(lease.Polled{Status: status})
		case 4:
			toLease(lease.Started{Run: someRun(), Result: lease.StartResult(x.IntN(5)), Reason: wire.Reason(x.IntN(30)), Clock: now})
		case 5:
			toLease(lease.Polled{ProcessGone: x.IntN(2) == 0})
			toAgent(agent.CapacityChanged{Capacity: *extreme.Of[wire.Capacity](x), Sequence: int64(i)})
		default:
			toLease(lease.Tick{})
			toAgent(agent.Tick{})
		}
	}
}

// Guards against an agent whose frames every entry refuses, so that all of its links break:
// it has more queued tasks than a frame may state.
func TestLoadStaysWithinTheLimitsOfFrames(t *testing.T) {
	m := agent.New(agent.Options{Incarnation: 1, Slots: wire.MaxSlots})
	now := time.Second
	for entry := wire.Incarnation(1); entry <= 3; entry++ {
		m.Step(now, agent.LinkUp{Entry: entry, Epoch: 1, HelloSentAt: now})
		for seq := range wire.Seq(agent.DefaultMaxUnsettled) {
			m.Step(now, agent.Received{Entry: entry, Epoch: 1, Frame: &wire.ToAgent{
				Starts: []wire.Start{{Seq: seq + 1, Deadline: wire.MaxMicros, MaxWait: wire.MaxMicros, Slack: wire.MaxMicros}},
			}})
		}
	}
	frame := wire.ToEntry{Load: m.Load(now)}
	assert.NilError(t, frame.Check())
	assert.Equal(t, frame.Load.Queued, wire.MaxSlots)
}
