package faultmatrix

import (
	"flag"
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// tableLosingAgent loses its attempt table whenever a link is replaced, so that it
// answers a query about a running attempt with not run.
type tableLosingAgent struct {
	*agent.Machine
	options     agent.Options
	seenEntries map[wire.Incarnation]bool
}

func (b *tableLosingAgent) Step(now time.Duration, ev agent.Event) []agent.Action {
	if up, ok := ev.(agent.LinkUp); ok {
		if b.seenEntries[up.Entry] {
			b.Machine = agent.New(b.options)
		}
		b.seenEntries[up.Entry] = true
	}
	return b.Machine.Step(now, ev)
}

// drainIgnoringAgent ignores its planned stop and continues to start tasks.
type drainIgnoringAgent struct{ *agent.Machine }

func (b drainIgnoringAgent) Step(now time.Duration, ev agent.Event) []agent.Action {
	if _, ok := ev.(agent.Drain); ok {
		ev = agent.Tick{}
	}
	return b.Machine.Step(now, ev)
}

// earlyExitAgent exits as soon as its planned stop begins.
type earlyExitAgent struct{ *agent.Machine }

func (b earlyExitAgent) Step(now time.Duration, ev agent.Event) []agent.Action {
	actions := b.Machine.Step(now, ev)
	if _, ok := ev.(agent.Drain); ok {
		actions = append(actions, agent.Drained{})
	}
	return actions
}

// staleConfigAgent keeps the first configuration that it receives.
type staleConfigAgent struct {
	*agent.Machine
	version int64
}

func (b *staleConfigAgent) ConfigVersion() int64 {
	if b.version == 0 {
		b.version = b.Machine.ConfigVersion()
	}
	return b.version
}

// brokenEntry changes the events and actions of an entry machine.
type brokenEntry struct {
	*entry.Machine
	event  func(entry.Event) entry.Event
	action func(entry.Action) entry.Action
}

func (b *brokenEntry) Step(now time.Duration, ev entry.Event) []entry.Action {
	if b.event != nil {
		ev = b.event(ev)
	}
	actions := append([]entry.Action(nil), b.Machine.Step(now, ev)...)
	if b.action != nil {
		for i, a := range actions {
			actions[i] = b.action(a)
		}
	}
	return actions
}

// withEvents returns a variant whose entries receive each event changed by f.
func withEvents(f func(entry.Event) entry.Event) variant {
	return variant{entry: func(m *entry.Machine) entryMachine { return &brokenEntry{Machine: m, event: f} }}
}

// withAnswers returns a variant whose entries give each answer changed by f.
func withAnswers(f func(*entry.JobAnswer)) variant {
	return variant{entry: func(m *entry.Machine) entryMachine {
		return &brokenEntry{Machine: m, action: func(a entry.Action) entry.Action {
			if x, ok := a.(entry.Answer); ok {
				f(&x.Answer)
				return x
			}
			return a
		}}
	}}
}

// replayingEntry treats the tasks sent on a lost link as not run, so that they are
// placed again at another agent.
type replayingEntry struct {
	*entry.Machine
	sent map[wire.Incarnation][]wire.Seq
}

func (b *replayingEntry) Step(now time.Duration, ev entry.Event) []entry.Action {
	var out []entry.Action
	if down, ok := ev.(entry.LinkDown); ok {
		f := &wire.ToEntry{}
		for _, seq := range b.sent[down.Agent] {
			f.Results = append(f.Results, wire.Result{Seq: seq, Outcome: wire.NotRun})
		}
		out = append(out, b.Machine.Step(now, entry.Received{Agent: down.Agent, Epoch: down.Epoch, Frame: f})...)
	}
	out = append(out, b.Machine.Step(now, ev)...)
	for _, a := range out {
		if s, ok := a.(entry.Send); ok {
			for i := range s.Frame.Starts {
				b.sent[s.Agent] = append(b.sent[s.Agent], s.Frame.Starts[i].Seq)
			}
		}
	}
	return out
}

// rebasingConfig also applies changes that lost the race, because it rebases each
// change on the current revision.
type rebasingConfig struct{ *config.Machine }

func (b rebasingConfig) Apply(offset int64, at time.Duration, body []byte) []config.Result {
	if r, err := config.Decode(body); err == nil && r.Change != nil {
		r.Change.Base = b.State().Revision(r.Change.Key())
		body, _ = r.Encode()
	}
	return b.Machine.Apply(offset, at, body)
}

// revertingConfig reports the version of its first change again once the version
// exceeds 3.
type revertingConfig struct {
	*config.Machine
	first *config.State
}

func (b *revertingConfig) Version() int64 {
	v := b.Machine.Version()
	if b.first == nil && v > 0 {
		b.first, _ = config.DecodeState(b.Machine.State().Encode())
	}
	if v > 3 {
		return b.first.Version()
	}
	return v
}

// ignoreClaims makes every submission run without a claim.
func ignoreClaims(ev entry.Event) entry.Event {
	if s, ok := ev.(entry.Submit); ok {
		s.NeedsClaim = false
		return s
	}
	return ev
}

// ignoreDraining hides from the entry that an agent drains.
func ignoreDraining(ev entry.Event) entry.Event {
	if r, ok := ev.(entry.Received); ok {
		f := *r.Frame
		f.Load.Draining = false
		r.Frame = &f
		return r
	}
	return ev
}

// ignoreDeadlines extends the deadline of every submission by an hour.
func ignoreDeadlines(ev entry.Event) entry.Event {
	if s, ok := ev.(entry.Submit); ok {
		s.Deadline += time.Hour
		return s
	}
	return ev
}

// brokenVariants lists, for each promise, machines that violate it.
var brokenVariants = []struct {
	name, promise string
	fault         string // cells of this fault are run first
	variant       variant
}{
	{"agent forgets its attempt table", "P1", "link-cut", variant{agent: func(o agent.Options) agentMachine {
		return &tableLosingAgent{agent.New(o), o, map[wire.Incarnation]bool{}}
	}}},
	{"entry replays starts of a lost link", "P1", "agent-killed", variant{entry: func(m *entry.Machine) entryMachine {
		return &replayingEntry{m, map[wire.Incarnation][]wire.Seq{}}
	}}},
	{"entry gives a partial answer", "P2", "link-cut", withAnswers(func(a *entry.JobAnswer) {
		a.Results = a.Results[:len(a.Results)/2]
	})},
	{"entry completes a job that failed", "P2", "upstream-killed", withAnswers(func(a *entry.JobAnswer) {
		if a.Outcome == entry.Failed || a.Outcome == entry.Unknown {
			a.Outcome = entry.Complete
		}
	})},
	{"entry swaps two results", "P3", "reply-crossed", withAnswers(func(a *entry.JobAnswer) {
		if r := a.Results; len(r) > 1 {
			r[0], r[1] = r[1], r[0]
		}
	})},
	{"entry refuses after sending", "P4", "agent-killed", withAnswers(func(a *entry.JobAnswer) {
		if a.Outcome == entry.Unknown {
			a.Outcome = entry.Refused
		}
	})},
	{"entry ignores claims", "P5", "entry-killed", withEvents(ignoreClaims)},
	{"entry ignores draining", "P6", "agent-stopped", withEvents(ignoreDraining)},
	{"agent ignores its stop", "P6", "agent-stopped", variant{agent: func(o agent.Options) agentMachine { return drainIgnoringAgent{agent.New(o)} }}},
	{"agent cuts runs at its stop", "P7", "agent-stopped", variant{agent: func(o agent.Options) agentMachine { return earlyExitAgent{agent.New(o)} }}},
	{"entry exits with open jobs", "P7", "entry-stopped", variant{entry: func(m *entry.Machine) entryMachine { return earlyExitEntry{m} }}},
	{"losing change takes effect", "P8", "operators-race", variant{config: func(m *config.Machine) configMachine { return rebasingConfig{m} }}},
	{"older configuration applied", "P8", "operators-race", variant{config: func(m *config.Machine) configMachine { return &revertingConfig{Machine: m} }}},
	{"agent keeps an old configuration", "P8", "operators-race", variant{agent: func(o agent.Options) agentMachine { return &staleConfigAgent{Machine: agent.New(o)} }}},
	{"entry ignores deadlines", "deadline", "straggler", withEvents(ignoreDeadlines)},
}

// earlyExitEntry exits as soon as its planned stop begins.
type earlyExitEntry struct{ *entry.Machine }

func (b earlyExitEntry) Step(now time.Duration, ev entry.Event) []entry.Action {
	actions := b.Machine.Step(now, ev)
	if _, ok := ev.(entry.Drain); ok {
		actions = append(actions, entry.Drained{})
	}
	return actions
}

var countAll = flag.Bool("countall", false, "count the cells that catch each broken variant")

// cellsWithFaultFirst returns the possible cells, with those of the named fault first.
func cellsWithFaultFirst(name string) []cell {
	var first, rest []cell
	for _, c := range allCells() {
		switch {
		case !c.possible():
		case c.fault.name == name:
			first = append(first, c)
		default:
			rest = append(rest, c)
		}
	}
	return append(first, rest...)
}

// TestBrokenVariantsAreCaught guards against checks that cannot fail. Each broken
// variant must violate its promise in some cell of the matrix. The test stops at
// the first such cell unless -countall is set.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for _, b := range brokenVariants {
		t.Run(b.promise+"/"+b.name, func(t *testing.T) {
			cells, caught := 0, 0
			first := ""
			for _, c := range cellsWithFaultFirst(b.fault) {
				cells++
				sim := runSimulation(c.seed(), b.variant, &injection{step: c.step, nth: 2, fault: c.fault})
				if sim.checker.violated(b.promise) {
					caught++
					if first == "" {
						first = c.name()
					}
					if !*countAll {
						break
					}
				}
			}
			t.Logf("caught in %d of %d cells, first in %s", caught, cells, first)
			if caught == 0 {
				t.Errorf("no cell detected the violation of %s", b.promise)
			}
		})
	}
}
