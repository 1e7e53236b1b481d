package capacity

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	className  = "quote"
	benchSlots = 8
	// benchAgents is about the number of agents linked to one entry at the target
	// scale: 11,000 agents with 6 links each, over 48 entries.
	benchAgents         = 1375
	tasksPerMeasurement = 100_000
	payloadSize         = 200
	resultSize          = 100
	// agentsPerTask is the number of agents per task that lets all tasks be in
	// flight. One per task is not enough, since the policy spreads a job over
	// racks and does not fill them.
	agentsPerTask = 2
	longTarget    = 10 * time.Minute
	// longDeadline is long enough for admission to accept any backlog.
	longDeadline = 100 * time.Hour
)

// entryBench is an entry's state machine whose simulated agents return results at
// once.
type entryBench struct {
	machine *entry.Machine
	frame   wire.ToEntry
	body    []byte
	sends   []entry.Send // frames with starts that are not answered yet
	frames  int          // answered frames
	jobs    uint64
	now     time.Duration
}

func newEntryBench(agents, slots int, disable policy.Parts) *entryBench {
	b := &entryBench{body: make([]byte, resultSize)}
	b.machine = entry.New(entry.Options{
		Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: 1, Zone: "zone-0", Disable: disable}),
	})
	b.machine.Step(0, entry.Configured{Settings: policy.Settings{
		Classes: []policy.Class{{Name: className, ResponseTarget: longTarget, TargetShare: 0.5}},
	}})
	for i := range agents {
		b.machine.Step(0, entry.LinkUp{Hello: wire.AgentHello{
			Agent: wire.Incarnation(i + 1), Epoch: 1, Name: fmt.Sprintf("worker-%05d", i),
			Zone: fmt.Sprintf("zone-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/3), Slots: slots,
		}})
	}
	b.frame.Load = wire.Load{Slots: slots, Limit: slots}
	return b
}

// submit submits a job and collects its frames with starts.
func (b *entryBench) submit(payloads [][]byte) {
	b.jobs++
	b.now += time.Millisecond
	var id wire.SubmissionID
	binary.BigEndian.PutUint64(id[:], b.jobs)
	b.collect(b.machine.Step(b.now, entry.Submit{
		Submission: id, Class: className, Deadline: longDeadline,
		DeclaredRunTime: time.Millisecond, Payloads: payloads,
	}))
}

// collect keeps the frames with starts.
func (b *entryBench) collect(actions []entry.Action) {
	for _, a := range actions {
		if s, ok := a.(entry.Send); ok && len(s.Frame.Starts) > 0 {
			b.sends = append(b.sends, s)
		}
	}
}

// answerAll returns results for the collected frames, and for those that follow
// from them, until no start is left.
func (b *entryBench) answerAll() {
	for i := 0; i < len(b.sends); i++ {
		s := b.sends[i]
		b.frames++
		b.frame.Results = b.frame.Results[:0]
		for j := range s.Frame.Starts {
			b.frame.Load.Successes++
			b.frame.Results = append(b.frame.Results, wire.Result{
				Seq: s.Frame.Starts[j].Seq, Outcome: wire.Succeeded, RunTime: 1000, Body: b.body,
			})
		}
		b.collect(b.machine.Step(b.now, entry.Received{Agent: s.Agent, Epoch: 1, Frame: &b.frame}))
	}
	clear(b.sends)
	b.sends = b.sends[:0]
}

// zeroPayloads returns payloads of zero bytes, one for each task.
func zeroPayloads(tasks int) [][]byte {
	out := make([][]byte, tasks)
	for i := range out {
		out[i] = make([]byte, payloadSize)
	}
	return out
}

var entryTasks = experiment{
	name: "entry-tasks", sizeUnit: "tasks", sizes: []int{1, 8, 64, 570},
	title: fmt.Sprintf("entry state machine and policy for one job of that many tasks, %d agents, without HTTP, codec and sockets", benchAgents),
	measure: func(_ context.Context, _ Options, tasks int) ([]reading, error) {
		b, payloads := newEntryBench(benchAgents, benchSlots, 0), zeroPayloads(tasks)
		jobs := tasksPerMeasurement/tasks + 1
		before := usageAfterGC()
		for range jobs {
			b.submit(payloads)
			b.answerAll()
		}
		d := usageDelta(before, currentUsage())
		if unfinished := b.machine.Jobs(); unfinished > 0 {
			return nil, fmt.Errorf("%d jobs did not finish", unfinished)
		}
		n := float64(jobs)
		return []reading{
			{"cpu us", d.cpu / n}, {"allocs", d.allocs / n}, {"alloc B", d.bytes / n},
			{"frames", float64(b.frames) / n},
		}, nil
	},
}

// memoryJobs is the number of jobs that the entry holds in a memory measurement.
const memoryJobs = 100

var entryMemory = experiment{
	name: "entry-memory", sizeUnit: "tasks", sizes: []int{1, 8, 64},
	title: "heap of the entry for one job of that many tasks, without payloads, one task in flight on an agent",
	measure: func(_ context.Context, _ Options, tasks int) ([]reading, error) {
		waitingBytes, placedOnOne := jobMemory(tasks, 1, 1)
		inFlightBytes, placedOnMany := jobMemory(tasks, agentsPerTask*memoryJobs*tasks, benchSlots)
		if placedOnOne < 0 || placedOnOne > 2*benchSlots || placedOnMany != memoryJobs*tasks {
			return nil, fmt.Errorf("got %d tasks placed on one agent, want at most twice its slots; got %d of %d placed on many agents, want all", placedOnOne, placedOnMany, memoryJobs*tasks)
		}
		return []reading{{"waiting B", waitingBytes}, {"in flight B", inFlightBytes}}, nil
	},
}

// jobMemory returns the heap bytes per job and the number of tasks that were
// placed, or -1 if a job was refused. Admission is switched off, since it would
// not accept such a backlog for a few agents.
func jobMemory(tasks, agents, slots int) (perJob float64, placed int) {
	b, payloads := newEntryBench(agents, slots, policy.PartAdmission), zeroPayloads(tasks)
	before := usageAfterGC()
	for range memoryJobs {
		b.submit(payloads)
		for _, s := range b.sends {
			placed += len(s.Frame.Starts)
		}
		b.sends = b.sends[:0]
	}
	clear(b.sends[:cap(b.sends)])
	d := usageDelta(before, usageAfterGC())
	runtime.KeepAlive(b)
	if b.machine.Jobs() != memoryJobs {
		return 0, -1
	}
	return d.heap / memoryJobs, placed
}

var frames = experiment{
	name: "frames", sizeUnit: "items", sizes: []int{1, 8, 64},
	title: fmt.Sprintf("one frame of that many starts (%d B payload) or results (%d B)", payloadSize, resultSize),
	measure: func(_ context.Context, _ Options, n int) ([]reading, error) {
		starts, results := sampleFrames(n)
		out := []reading{
			{"start frame B", float64(len(encodeFrame(starts)))},
			{"result frame B", float64(len(encodeFrame(results)))},
		}
		for _, c := range []struct {
			name       string
			v          any
			newMessage func() any
		}{
			{"start", starts, func() any { return new(wire.ToAgent) }},
			{"result", results, func() any { return new(wire.ToEntry) }},
		} {
			r, err := codecCost(c.name, c.v, c.newMessage, tasksPerMeasurement/4/n)
			if err != nil {
				return nil, err
			}
			out = append(out, r...)
		}
		return out, nil
	},
}

// sampleFrames returns a frame of n starts and a frame of n results.
func sampleFrames(n int) (*wire.ToAgent, *wire.ToEntry) {
	starts := &wire.ToAgent{LowestOpenSeq: 1 << 40, Stamp: sampleStamp}
	results := &wire.ToEntry{Stamp: sampleStamp, Load: wire.Load{Slots: 8, Limit: 8, Running: 5, Successes: 1 << 20}}
	for i := range n {
		starts.Starts = append(starts.Starts, wire.Start{
			Seq: wire.Seq(1<<40 + i), Index: i, Class: className, Slack: 800_000, MaxWait: 100_000,
			Deadline: 5_000_000, Payload: make([]byte, payloadSize),
		})
		results.Results = append(results.Results, wire.Result{
			Seq: wire.Seq(1<<40 + i), Outcome: wire.Succeeded, QueueTime: 1000, RunTime: 200_000, Status: 200,
			Body: make([]byte, resultSize),
		})
	}
	return starts, results
}

// codecCost measures the encoding of v and its decoding into new messages.
func codecCost(name string, v any, newMessage func() any, rounds int) ([]reading, error) {
	body, err := link.Encode(v)
	if err != nil {
		return nil, err
	}
	n := float64(rounds)
	before := currentUsage()
	for range rounds {
		if _, err := link.Encode(v); err != nil {
			return nil, err
		}
	}
	encode := usageDelta(before, currentUsage())
	before = currentUsage()
	for range rounds {
		if err := link.Decode(body, newMessage()); err != nil {
			return nil, err
		}
	}
	decode := usageDelta(before, currentUsage())
	return []reading{
		{"encode " + name + " us", encode.cpu / n}, {"decode " + name + " us", decode.cpu / n},
		{"decode " + name + " allocs", decode.allocs / n},
	}, nil
}

var agentTasks = experiment{
	name: "agent-tasks", sizeUnit: "starts", sizes: []int{1, 4, 8},
	title: "agent state machine for one frame of that many starts and their results, without codec, sockets and upstream",
	measure: func(_ context.Context, _ Options, n int) ([]reading, error) {
		m := agent.New(agent.Options{Incarnation: 1, Slots: benchSlots})
		m.Step(0, agent.LinkUp{Entry: 1, Epoch: 1})
		f := &wire.ToAgent{Starts: make([]wire.Start, n)}
		rounds := tasksPerMeasurement / n
		var now time.Duration
		var seq wire.Seq
		before := usageAfterGC()
		for range rounds {
			now += time.Millisecond
			f.LowestOpenSeq = seq + 1
			for i := range f.Starts {
				f.Starts[i] = wire.Start{Seq: seq + wire.Seq(i) + 1, Class: className, Deadline: 1e6, MaxWait: 1e6}
			}
			m.Step(now, agent.Received{Entry: 1, Epoch: 1, Frame: f})
			for range f.Starts {
				seq++
				m.Step(now, agent.Finished{
					Attempt: agent.AttemptID{Entry: 1, Seq: seq}, Outcome: wire.Succeeded, RunTime: time.Millisecond,
				})
			}
		}
		d := usageDelta(before, currentUsage())
		if succeeded := m.Load(now).Successes; succeeded != uint64(seq) {
			return nil, fmt.Errorf("%d of %d tasks succeeded", succeeded, seq)
		}
		r := float64(rounds)
		return []reading{{"cpu us", d.cpu / r}, {"allocs", d.allocs / r}, {"alloc B", d.bytes / r}}, nil
	},
}
