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
	lossy         bool // frames from the agent are lost on this link
	open          map[wire.Seq]bool
	frames        []Received // sent and not yet delivered, of all epochs
}

func (e *modelEntry) floor() wire.Seq {
	low := e.nextSeq
	for seq := range e.open {
		low = min(low, seq)
	}
	return low
}

func (e *modelEntry) send(f wire.ToAgent) {
	f.LowestOpenSeq = e.floor()
	e.frames = append(e.frames, Received{Entry: e.id, Epoch: e.epoch, Frame: &f})
}

// world connects a machine to model entries and checks its invariants.
type world struct {
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

func newWorld(t *rapid.T) *world {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	w := &world{
		t: t, slots: slots,
		machine:    New(Options{Incarnation: 1, Slots: slots, Window: 12, MaxRetainedBytes: 64}),
		ran:        make(map[AttemptID]bool),
		notRun:     make(map[AttemptID]bool),
		notStarted: make(map[AttemptID]bool),
	}
	for i := range 2 {
		e := &modelEntry{id: wire.Incarnation(i + 10), nextSeq: 1, open: make(map[wire.Seq]bool)}
		w.entries = append(w.entries, e)
		w.linkUp(e, false)
	}
	return w
}

func (w *world) step(ev Event) {
	for _, action := range w.machine.Step(w.now, ev) {
		switch x := action.(type) {
		case *Run:
			w.started(x)
		case *Send:
			w.sent(x)
		case Probe:
			w.probing = true
		}
	}
}

func (w *world) started(x *Run) {
	if w.ran[x.Attempt] {
		w.t.Fatalf("attempt %v was started twice", x.Attempt)
	}
	if w.notRun[x.Attempt] {
		w.t.Fatalf("attempt %v was started after it was reported as not run", x.Attempt)
	}
	if x.Timeout <= 0 {
		w.t.Fatalf("attempt %v was started after its deadline", x.Attempt)
	}
	if w.draining {
		w.t.Fatalf("attempt %v was started while draining", x.Attempt)
	}
	w.ran[x.Attempt] = true
	w.running = append(w.running, x.Attempt)
	if len(w.running) > w.slots {
		w.t.Fatalf("%d tasks run on %d slots", len(w.running), w.slots)
	}
}

func (w *world) sent(x *Send) {
	e := w.entries[x.Entry-10]
	for _, r := range x.Frame.Results {
		id := AttemptID{Entry: x.Entry, Seq: r.Seq}
		if r.Outcome == wire.NotRun {
			if w.ran[id] && !w.notStarted[id] {
				w.t.Fatalf("attempt %v was run and is reported as not run (%v)", id, r.Reason)
			}
			w.notRun[id] = true
		}
		if x.Epoch == e.epoch && e.up && !e.lossy {
			delete(e.open, r.Seq)
		}
	}
}

func (w *world) linkUp(e *modelEntry, lossy bool) {
	w.epoch++
	e.previousEpoch, e.epoch = e.epoch, w.epoch
	e.up = true
	e.lossy = lossy
	w.step(LinkUp{Entry: e.id, Epoch: e.epoch})
	var queries []wire.Seq
	for seq := range e.open {
		queries = append(queries, seq)
	}
	slices.Sort(queries)
	if len(queries) > 0 {
		e.send(wire.ToAgent{Queries: queries})
	}
}

func (w *world) drawEntry() *modelEntry { return rapid.SampledFrom(w.entries).Draw(w.t, "entry") }

func (w *world) draw(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, name)
}

func (w *world) sendStarts(*rapid.T) {
	e := w.drawEntry()
	var f wire.ToAgent
	for range w.draw("starts", 1, 5) {
		f.Starts = append(f.Starts, wire.Start{
			Seq: e.nextSeq, Submission: wire.SubmissionID{byte(w.draw("submission", 0, 3))}, Class: "c",
			Slack:    wire.Micros(w.draw("slack", -1000, 1000)),
			MaxWait:  wire.Micros(w.draw("max wait", 0, 2_000_000)),
			Deadline: wire.Micros(w.draw("deadline", -1, 3_000_000)),
		})
		e.open[e.nextSeq] = true
		e.nextSeq++
	}
	e.send(f)
}

func (w *world) repeatStart(*rapid.T) {
	e := w.drawEntry()
	if e.nextSeq > 1 {
		seq := wire.Seq(w.draw("seq", 1, int(e.nextSeq)-1))
		e.send(wire.ToAgent{Starts: []wire.Start{{Seq: seq, MaxWait: 1e6, Deadline: 1e6}}})
	}
}

func (w *world) pickOpen(e *modelEntry) (wire.Seq, bool) {
	var seqs []wire.Seq
	for seq := range e.open {
		seqs = append(seqs, seq)
	}
	if len(seqs) == 0 {
		return 0, false
	}
	slices.Sort(seqs)
	return rapid.SampledFrom(seqs).Draw(w.t, "open seq"), true
}

func (w *world) cancel(*rapid.T) {
	e := w.drawEntry()
	if seq, ok := w.pickOpen(e); ok {
		e.send(wire.ToAgent{Cancels: []wire.Seq{seq}})
	}
}

// giveUp settles an open attempt at the entry, which may raise the floor.
func (w *world) giveUp(*rapid.T) {
	e := w.drawEntry()
	if seq, ok := w.pickOpen(e); ok {
		delete(e.open, seq)
		e.send(wire.ToAgent{})
	}
}

// deliver delivers the oldest frame of a random epoch, current or replaced.
func (w *world) deliver(*rapid.T) {
	e := w.drawEntry()
	if len(e.frames) == 0 {
		return
	}
	epoch := rapid.SampledFrom(e.frames).Draw(w.t, "frame").Epoch
	i := slices.IndexFunc(e.frames, func(r Received) bool { return r.Epoch == epoch })
	f := e.frames[i]
	e.frames = slices.Delete(e.frames, i, i+1)
	w.step(f)
}

func (w *world) replaceLink(*rapid.T) {
	w.linkUp(w.drawEntry(), rapid.Bool().Draw(w.t, "lossy"))
}

// lateLinkUp announces a replaced connection after its successor.
func (w *world) lateLinkUp(*rapid.T) {
	e := w.drawEntry()
	if e.previousEpoch > 0 {
		w.step(LinkUp{Entry: e.id, Epoch: e.previousEpoch})
	}
}

func (w *world) breakLink(*rapid.T) {
	e := w.drawEntry()
	e.up = false
	w.step(LinkDown{Entry: e.id, Epoch: e.epoch})
}

func (w *world) finishRun(*rapid.T) {
	if len(w.running) == 0 {
		return
	}
	i := w.draw("run", 0, len(w.running)-1)
	outcomes := []Finished{
		{Outcome: wire.Succeeded, Body: make([]byte, 30)},
		{Outcome: wire.Succeeded, Body: []byte("r")},
		{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500},
		{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 503},
		{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost},
		{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown},
		{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 429},
	}
	w.end(i, rapid.SampledFrom(outcomes).Draw(w.t, "outcome"))
}

func (w *world) end(i int, f Finished) {
	f.Attempt = w.running[i]
	f.RunTime = 5 * time.Millisecond
	w.notStarted[f.Attempt] = f.Outcome == wire.NotRun
	w.running = slices.Delete(w.running, i, i+1)
	w.step(f)
}

func (w *world) endProbe(t *rapid.T) {
	if w.probing {
		w.probing = false
		w.step(Probed{Reachable: rapid.Bool().Draw(t, "reachable")})
	}
}

func (w *world) advance(t *rapid.T) {
	jumps := []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, 6 * time.Second, 11 * time.Minute}
	w.now += rapid.SampledFrom(jumps).Draw(t, "pause")
	if rapid.Bool().Draw(t, "tick") {
		w.step(Tick{})
	}
}

func (w *world) retire(*rapid.T) { w.step(Retire{Entry: w.drawEntry().id}) }

func (w *world) drain(t *rapid.T) {
	if w.draw("drain", 0, 9) == 0 {
		w.draining = true // set first: no Run may follow from this step
		w.step(Drain{})
	}
}

// settleAll finishes all runs, delivers all frames and checks that no open attempt
// is left without an answer.
func (w *world) settleAll() {
	for _, e := range w.entries {
		w.linkUp(e, false)
		for _, f := range e.frames {
			w.step(f)
		}
		e.frames = nil
	}
	for range 100 {
		for len(w.running) > 0 {
			w.end(0, Finished{Outcome: wire.Succeeded})
		}
		w.now += 50 * time.Millisecond
		w.step(Tick{})
	}
	for _, e := range w.entries {
		if len(e.open) > 0 {
			w.t.Fatalf("entry %d has unanswered attempts %v", e.id, e.open)
		}
	}
}

// Guards against a task that starts twice, a false "not run", too many concurrent
// runs and an attempt without an answer, for any order of events.
func TestNoAttemptStartsTwiceOrIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": w.sendStarts, "repeat start": w.repeatStart, "cancel": w.cancel,
			"give up": w.giveUp, "deliver": w.deliver, "deliver more": w.deliver,
			"replace link": w.replaceLink, "late link up": w.lateLinkUp, "break link": w.breakLink,
			"finish": w.finishRun, "finish more": w.finishRun, "probe": w.endProbe, "pass": w.advance, "drain": w.drain, "retire": w.retire,
		})
		w.settleAll()
	})
}
