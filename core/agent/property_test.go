package agent

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

// TestMain fixes the seed so that every run checks the same executions; a
// -rapid.seed argument still overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260105"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// modelEntry is a model of an entry that follows the protocol: it settles an
// attempt on its first answer and queries the open attempts on every new link.
type modelEntry struct {
	id            wire.Incarnation
	nextSeq       wire.Seq
	epoch         wire.Epoch
	previousEpoch wire.Epoch // epoch of the connection before the current one
	up            bool
	lossy         bool // frames from the agent are lost on the current link
	open          map[wire.Seq]bool
	frames        []Received // frames of all epochs, sent and not yet delivered
}

func (e *modelEntry) lowestOpen() wire.Seq {
	low := e.nextSeq
	for seq := range e.open {
		low = min(low, seq)
	}
	return low
}

func (e *modelEntry) send(f wire.ToAgent) {
	f.LowestOpenSeq = e.lowestOpen()
	e.frames = append(e.frames, Received{Entry: e.id, Epoch: e.epoch, Frame: &f})
}

// simulation connects a machine to model entries and checks its invariants.
type simulation struct {
	t          *rapid.T
	machine    *Machine
	now        time.Duration
	slots      int
	entries    []*modelEntry
	epoch      wire.Epoch // last epoch used on any link
	ran        map[AttemptID]bool
	running    []AttemptID
	notRun     map[AttemptID]bool // NotRun was reported
	notStarted map[AttemptID]bool // the run ended as NotRun
	probing    bool
	draining   bool
}

func newSimulation(t *rapid.T) *simulation {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	sim := &simulation{
		t: t, slots: slots,
		machine:    New(Options{Incarnation: 1, Slots: slots, MaxUnsettled: 12, MaxRetainedBytes: 64}),
		ran:        make(map[AttemptID]bool),
		notRun:     make(map[AttemptID]bool),
		notStarted: make(map[AttemptID]bool),
	}
	for i := range 2 {
		e := &modelEntry{id: wire.Incarnation(i + 10), nextSeq: 1, open: make(map[wire.Seq]bool)}
		sim.entries = append(sim.entries, e)
		sim.linkUp(e, false)
	}
	return sim
}

func (sim *simulation) step(ev Event) {
	for _, action := range sim.machine.Step(sim.now, ev) {
		switch x := action.(type) {
		case *Run:
			sim.started(x)
		case *Send:
			sim.sent(x)
		case Probe:
			sim.probing = true
		}
	}
}

func (sim *simulation) started(x *Run) {
	if sim.ran[x.Attempt] {
		sim.t.Fatalf("attempt %v was started twice", x.Attempt)
	}
	if sim.notRun[x.Attempt] {
		sim.t.Fatalf("attempt %v was started after it was reported as not run", x.Attempt)
	}
	if x.Timeout <= 0 {
		sim.t.Fatalf("attempt %v was started after its deadline", x.Attempt)
	}
	if sim.draining {
		sim.t.Fatalf("attempt %v was started while draining", x.Attempt)
	}
	sim.ran[x.Attempt] = true
	sim.running = append(sim.running, x.Attempt)
	if len(sim.running) > sim.slots {
		sim.t.Fatalf("%d tasks run on %d slots", len(sim.running), sim.slots)
	}
}

func (sim *simulation) sent(x *Send) {
	e := sim.entries[x.Entry-10]
	for _, r := range x.Frame.Results {
		id := AttemptID{Entry: x.Entry, Seq: r.Seq}
		if r.Outcome == wire.NotRun {
			if sim.ran[id] && !sim.notStarted[id] {
				sim.t.Fatalf("attempt %v was run and is reported as not run (%v)", id, r.Reason)
			}
			sim.notRun[id] = true
		}
		if x.Epoch == e.epoch && e.up && !e.lossy {
			delete(e.open, r.Seq)
		}
	}
}

func (sim *simulation) linkUp(e *modelEntry, lossy bool) {
	sim.epoch++
	e.previousEpoch, e.epoch = e.epoch, sim.epoch
	e.up = true
	e.lossy = lossy
	sim.step(LinkUp{Entry: e.id, Epoch: e.epoch})
	var queries []wire.Seq
	for seq := range e.open {
		queries = append(queries, seq)
	}
	slices.Sort(queries)
	if len(queries) > 0 {
		e.send(wire.ToAgent{Queries: queries})
	}
}

func (sim *simulation) drawEntry() *modelEntry {
	return rapid.SampledFrom(sim.entries).Draw(sim.t, "entry")
}

func (sim *simulation) draw(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(sim.t, name)
}

func (sim *simulation) sendStarts(*rapid.T) {
	e := sim.drawEntry()
	var f wire.ToAgent
	for range sim.draw("starts", 1, 5) {
		f.Starts = append(f.Starts, wire.Start{
			Seq: e.nextSeq, Submission: wire.SubmissionID{byte(sim.draw("submission", 0, 3))}, Class: "c",
			Slack:    wire.Micros(sim.draw("slack", -1000, 1000)),
			MaxWait:  wire.Micros(sim.draw("max wait", 0, 2_000_000)),
			Deadline: wire.Micros(sim.draw("deadline", -1, 3_000_000)),
		})
		e.open[e.nextSeq] = true
		e.nextSeq++
	}
	e.send(f)
}

func (sim *simulation) repeatStart(*rapid.T) {
	e := sim.drawEntry()
	if e.nextSeq > 1 {
		seq := wire.Seq(sim.draw("seq", 1, int(e.nextSeq)-1))
		e.send(wire.ToAgent{Starts: []wire.Start{{Seq: seq, MaxWait: 1e6, Deadline: 1e6}}})
	}
}

func (sim *simulation) pickOpen(e *modelEntry) (wire.Seq, bool) {
	var seqs []wire.Seq
	for seq := range e.open {
		seqs = append(seqs, seq)
	}
	if len(seqs) == 0 {
		return 0, false
	}
	slices.Sort(seqs)
	return rapid.SampledFrom(seqs).Draw(sim.t, "open seq"), true
}

func (sim *simulation) cancel(*rapid.T) {
	e := sim.drawEntry()
	if seq, ok := sim.pickOpen(e); ok {
		e.send(wire.ToAgent{Cancels: []wire.Seq{seq}})
	}
}

// giveUp settles an open attempt at the entry, which may raise its LowestOpenSeq.
func (sim *simulation) giveUp(*rapid.T) {
	e := sim.drawEntry()
	if seq, ok := sim.pickOpen(e); ok {
		delete(e.open, seq)
		e.send(wire.ToAgent{})
	}
}

// deliver delivers the oldest frame of a random epoch, current or replaced.
func (sim *simulation) deliver(*rapid.T) {
	e := sim.drawEntry()
	if len(e.frames) == 0 {
		return
	}
	epoch := rapid.SampledFrom(e.frames).Draw(sim.t, "frame").Epoch
	i := slices.IndexFunc(e.frames, func(r Received) bool { return r.Epoch == epoch })
	f := e.frames[i]
	e.frames = slices.Delete(e.frames, i, i+1)
	sim.step(f)
}

func (sim *simulation) replaceLink(*rapid.T) {
	sim.linkUp(sim.drawEntry(), rapid.Bool().Draw(sim.t, "lossy"))
}

// lateLinkUp announces a replaced connection after its successor.
func (sim *simulation) lateLinkUp(*rapid.T) {
	e := sim.drawEntry()
	if e.previousEpoch > 0 {
		sim.step(LinkUp{Entry: e.id, Epoch: e.previousEpoch})
	}
}

func (sim *simulation) breakLink(*rapid.T) {
	e := sim.drawEntry()
	e.up = false
	sim.step(LinkDown{Entry: e.id, Epoch: e.epoch})
}

func (sim *simulation) finishRun(*rapid.T) {
	if len(sim.running) == 0 {
		return
	}
	i := sim.draw("run", 0, len(sim.running)-1)
	outcomes := []Finished{
		{Outcome: wire.Succeeded, Body: make([]byte, 30)},
		{Outcome: wire.Succeeded, Body: []byte("r")},
		{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500},
		{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 503},
		{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost},
		{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown},
		{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 429},
	}
	sim.end(i, rapid.SampledFrom(outcomes).Draw(sim.t, "outcome"))
}

func (sim *simulation) end(i int, f Finished) {
	f.Attempt = sim.running[i]
	f.RunTime = 5 * time.Millisecond
	sim.notStarted[f.Attempt] = f.Outcome == wire.NotRun
	sim.running = slices.Delete(sim.running, i, i+1)
	sim.step(f)
}

func (sim *simulation) endProbe(t *rapid.T) {
	if sim.probing {
		sim.probing = false
		sim.step(Probed{Reachable: rapid.Bool().Draw(t, "reachable")})
	}
}

func (sim *simulation) advance(t *rapid.T) {
	jumps := []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, 6 * time.Second, 11 * time.Minute}
	sim.now += rapid.SampledFrom(jumps).Draw(t, "pause")
	if rapid.Bool().Draw(t, "tick") {
		sim.step(Tick{})
	}
}

func (sim *simulation) retire(*rapid.T) { sim.step(Retire{Entry: sim.drawEntry().id}) }

func (sim *simulation) drain(t *rapid.T) {
	if sim.draw("drain", 0, 9) == 0 {
		sim.draining = true // set first: no Run may follow from this step
		sim.step(Drain{})
	}
}

// settleAll finishes all runs, delivers all frames and checks that no open attempt
// is left without an answer.
func (sim *simulation) settleAll() {
	for _, e := range sim.entries {
		sim.linkUp(e, false)
		for _, f := range e.frames {
			sim.step(f)
		}
		e.frames = nil
	}
	for range 100 {
		for len(sim.running) > 0 {
			sim.end(0, Finished{Outcome: wire.Succeeded})
		}
		sim.now += 50 * time.Millisecond
		sim.step(Tick{})
	}
	for _, e := range sim.entries {
		if len(e.open) > 0 {
			sim.t.Fatalf("entry %d has unanswered attempts %v", e.id, e.open)
		}
	}
}

// Guards against a task that starts twice, a false "not run", too many concurrent
// runs and an attempt without an answer, for any order of events.
func TestNoAttemptStartsTwiceOrIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": sim.sendStarts, "repeat start": sim.repeatStart, "cancel": sim.cancel,
			"give up": sim.giveUp, "deliver": sim.deliver, "deliver more": sim.deliver,
			"replace link": sim.replaceLink, "late link up": sim.lateLinkUp, "break link": sim.breakLink,
			"finish": sim.finishRun, "finish more": sim.finishRun, "probe": sim.endProbe, "pass": sim.advance, "drain": sim.drain, "retire": sim.retire,
		})
		sim.settleAll()
	})
}
