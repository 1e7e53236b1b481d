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

// forgetfulAgent loses its attempt table whenever a link is replaced, so that
// a query about a running attempt is answered as not run.
type forgetfulAgent struct {
	*agent.Machine
	options agent.Options
	linked  map[wire.Incarnation]bool
}

func (b *forgetfulAgent) Step(now time.Duration, ev agent.Event) []agent.Action {
	if up, ok := ev.(agent.LinkUp); ok {
		if b.linked[up.Entry] {
			b.Machine = agent.New(b.options)
		}
		b.linked[up.Entry] = true
	}
	return b.Machine.Step(now, ev)
}

// deafAgent ignores its planned stop and goes on starting tasks.
type deafAgent struct{ *agent.Machine }

func (b deafAgent) Step(now time.Duration, ev agent.Event) []agent.Action {
	if _, ok := ev.(agent.Drain); ok {
		ev = agent.Tick{}
	}
	return b.Machine.Step(now, ev)
}

// hastyAgent exits as soon as its planned stop begins.
type hastyAgent struct{ *agent.Machine }

func (b hastyAgent) Step(now time.Duration, ev agent.Event) []agent.Action {
	actions := b.Machine.Step(now, ev)
	if _, ok := ev.(agent.Drain); ok {
		actions = append(actions, agent.Drained{})
	}
	return actions
}

// staleAgent keeps the oldest configuration it is sent.
type staleAgent struct {
	*agent.Machine
	version int64
}

func (b *staleAgent) ConfigVersion() int64 {
	if b.version == 0 {
		b.version = b.Machine.ConfigVersion()
	}
	return b.version
}

// brokenEntry changes the events and actions of an entry's machine.
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

func withEvents(f func(entry.Event) entry.Event) variant {
	return variant{entry: func(m *entry.Machine) entryCore { return &brokenEntry{Machine: m, event: f} }}
}

func withAnswers(f func(*entry.JobAnswer)) variant {
	return variant{entry: func(m *entry.Machine) entryCore {
		return &brokenEntry{Machine: m, action: func(a entry.Action) entry.Action {
			if x, ok := a.(entry.Answer); ok {
				f(&x.Answer)
				return x
			}
			return a
		}}
	}}
}

// impatientEntry takes the tasks on a lost link for not run and places them
// again at another agent.
type impatientEntry struct {
	*entry.Machine
	sent map[wire.Incarnation][]wire.Seq
}

func (b *impatientEntry) Step(now time.Duration, ev entry.Event) []entry.Action {
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

// loserConfig applies changes that lost the race: it rebases each on the
// current revision.
type loserConfig struct{ *config.Machine }

func (b loserConfig) Apply(offset int64, at time.Duration, body []byte) []config.Result {
	if r, err := config.Decode(body); err == nil && r.Change != nil {
		r.Change.Base = b.State().Revision(r.Change.Key())
		body, _ = r.Encode()
	}
	return b.Machine.Apply(offset, at, body)
}

// olderConfig puts the state of its first change in force again at the last.
type olderConfig struct {
	*config.Machine
	first *config.State
}

func (b *olderConfig) Version() int64 {
	v := b.Machine.Version()
	if b.first == nil && v > 0 {
		b.first, _ = config.DecodeState(b.Machine.State().Encode())
	}
	if v > 3 {
		return b.first.Version()
	}
	return v
}

func ignoreClaims(ev entry.Event) entry.Event {
	if s, ok := ev.(entry.Submit); ok {
		s.NeedsClaim = false
		return s
	}
	return ev
}

func ignoreDraining(ev entry.Event) entry.Event {
	if r, ok := ev.(entry.Received); ok {
		f := *r.Frame
		f.Load.Draining = false
		r.Frame = &f
		return r
	}
	return ev
}

func ignoreDeadlines(ev entry.Event) entry.Event {
	if s, ok := ev.(entry.Submit); ok {
		s.Deadline += time.Hour
		return s
	}
	return ev
}

// brokenVariants lists, for each promise, machines that break it.
var brokenVariants = []struct {
	name, promise string
	fault         string // tried first
	variant       variant
}{
	{"agent forgets its attempt table", "P1", "link-cut", variant{agent: func(o agent.Options) agentCore {
		return &forgetfulAgent{agent.New(o), o, map[wire.Incarnation]bool{}}
	}}},
	{"entry replays starts of a lost link", "P1", "agent-killed", variant{entry: func(m *entry.Machine) entryCore {
		return &impatientEntry{m, map[wire.Incarnation][]wire.Seq{}}
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
	{"agent ignores its stop", "P6", "agent-stopped", variant{agent: func(o agent.Options) agentCore { return deafAgent{agent.New(o)} }}},
	{"agent cuts runs at its stop", "P7", "agent-stopped", variant{agent: func(o agent.Options) agentCore { return hastyAgent{agent.New(o)} }}},
	{"entry exits with open jobs", "P7", "entry-stopped", variant{entry: func(m *entry.Machine) entryCore { return hastyEntry{m} }}},
	{"losing change takes effect", "P8", "operators-race", variant{config: func(m *config.Machine) configCore { return loserConfig{m} }}},
	{"older configuration applied", "P8", "operators-race", variant{config: func(m *config.Machine) configCore { return &olderConfig{Machine: m} }}},
	{"agent keeps an old configuration", "P8", "operators-race", variant{agent: func(o agent.Options) agentCore { return &staleAgent{Machine: agent.New(o)} }}},
	{"entry ignores deadlines", "deadline", "straggler", withEvents(ignoreDeadlines)},
}

// hastyEntry exits as soon as its planned stop begins.
type hastyEntry struct{ *entry.Machine }

func (b hastyEntry) Step(now time.Duration, ev entry.Event) []entry.Action {
	actions := b.Machine.Step(now, ev)
	if _, ok := ev.(entry.Drain); ok {
		actions = append(actions, entry.Drained{})
	}
	return actions
}

var countAll = flag.Bool("countall", false, "count the cells that catch each broken variant")

// cellsFrom returns the possible cells, those of the named fault first.
func cellsFrom(name string) []cell {
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

// TestBrokenVariantsAreCaught guards against checks that cannot fail: each
// variant must break its promise in some cell of the matrix. It stops at the
// first such cell unless -countall is given.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for _, b := range brokenVariants {
		t.Run(b.promise+"/"+b.name, func(t *testing.T) {
			cells, caught := 0, 0
			first := ""
			for _, c := range cellsFrom(b.fault) {
				cells++
				w := explore(c.seed(), b.variant, &injection{step: c.step, nth: 2, fault: c.fault})
				if w.check.broken(b.promise) {
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
				t.Errorf("no cell saw that %s is broken", b.promise)
			}
		})
	}
}
