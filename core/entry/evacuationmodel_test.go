package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// inContact reports whether the agent is in contact as the specification defines it: for
// contactTime it ran, had a link, and had a sound path to the store, its own one or that of an
// entry with a sound link.
func (w *evacuationWorld) inContact(a *zoneAgent) bool {
	since := w.now - contactTime
	if a.ranSince > since || a.linkedSince > since {
		return false
	}
	if a.path.faultUntil <= since {
		return true
	}
	return slices.ContainsFunc(a.links[:], func(l *zoneLink) bool {
		if l == nil || !l.up || l.upSince > since {
			return false
		}
		return a.ways[l.entry.index].soundSince() <= since && l.entry.ranSince <= since && l.entry.reader.path.faultUntil <= since
	})
}

// soundBound is the time within which an evacuation takes effect if nothing has failed: that of
// a pause after a configuration, a read, a listing and a frame.
const soundBound = 2 * time.Second

// allSound reports whether nothing has failed lately that concerns the agent.
func (w *evacuationWorld) allSound(a *zoneAgent) bool {
	since := w.now - contactTime
	sound := a.ranSince <= since
	for i, e := range w.entries {
		l := a.links[i]
		sound = sound && l != nil && l.up && l.upSince <= since && a.ways[i].soundSince() <= since && e.ranSince <= since && e.reader.path.faultUntil <= since
	}
	return sound
}

func (w *evacuationWorld) checkStart(a *zoneAgent, x *agent.Run) {
	w.starts++
	if a.refused[x.Attempt] {
		w.fail("%s starts %v, which it has refused as evacuated", a.name, x.Attempt)
	}
	if a.toldEvacuated() {
		w.fail("%s starts a task although it has received %v", a.name, *a.told[0])
	}
	if at, requested := w.topic.requestedAt[a.zone]; requested &&
		(w.settled || w.now-at > evacuationBound && w.inContact(a) || w.now-at > soundBound && w.allSound(a)) {
		w.fail("%s starts a task in zone %s, whose evacuation was requested at %v", a.name, a.zone, at)
	}
	if len(w.topic.requestedAt) > 0 && w.inContact(a) {
		w.checked++
	}
}

// noteResults notes what the agent refuses as evacuated, which must be in an evacuated zone as
// far as an agent in contact can know.
func (w *evacuationWorld) noteResults(a *zoneAgent, x *agent.Send) {
	for _, r := range x.Frame.Results {
		if r.Reason != wire.ReasonEvacuated {
			continue
		}
		id := agent.AttemptID{Entry: x.Entry, Seq: r.Seq}
		if a.refused[id] {
			continue // repeated after a query
		}
		w.refusals++
		a.refused[id] = true
		_, requested := w.topic.requestedAt[a.zone]
		withdrawnAt, wasRequested := w.topic.withdrawnAt[a.zone]
		switch {
		case r.Outcome != wire.NotRun:
			w.fail("%s refuses a task as evacuated with the outcome %v", a.name, r.Outcome)
		case requested, a.arrivedOn[id] != x.Epoch: // it may have been decided while there was no connection
		case !wasRequested, w.settled, w.now-withdrawnAt > evacuationBound && w.inContact(a):
			w.fail("%s refuses a task as evacuated, but zone %s is not (withdrawn at %v)", a.name, a.zone, withdrawnAt)
		}
	}
}

// checkPlacement checks that an entry places nothing where it knows that it would be refused.
func (w *evacuationWorld) checkPlacement(e *zoneEntry, l *zoneLink, f *wire.ToAgent) {
	if len(f.Starts) == 0 {
		return
	}
	known := e.machine.Evacuations()
	if known.Contains(l.agent.zone) || l.refuses {
		w.fail("entry %d places a task at %s, which is evacuated (%v, reported %v)", e.index, l.agent.name, known, l.refuses)
	}
}

// checkAsOf checks that a state is not replaced by an older one. It leaves an agent that does so
// to the other checks; what such an entry does is corrected by its agents at once.
func (w *evacuationWorld) checkAsOf(name string, highest *int64, e *wire.Evacuations) {
	if e.AsOf < *highest && w.broken != agentReverts {
		w.fail("%s replaces its state as of %d with %v", name, *highest, *e)
	}
	*highest = e.AsOf
}

// open returns the agents outside of evacuated zones.
func (w *evacuationWorld) open() (n int) {
	for _, a := range w.agents {
		if _, requested := w.topic.requestedAt[a.zone]; !requested {
			n++
		}
	}
	return n
}

func (w *evacuationWorld) checkAnswer(x *entry.JobAnswer) {
	if !w.settled {
		return
	}
	want := entry.Complete
	if w.open() == 0 {
		want = entry.Refused
	}
	if x.Outcome != want {
		w.fail("a job is answered %v (%s, %s), want %v", x.Outcome, x.Reason, x.Detail, want)
	}
}

// requireSettled checks that all processes know the state of the topic, and that jobs run
// outside of evacuated zones and nowhere else.
func (w *evacuationWorld) requireSettled() {
	zones := zonesOf(w.topic.listed())
	for _, e := range w.entries {
		if known := e.machine.Evacuations(); !slices.Equal(known.Zones, zones) {
			w.fail("entry %d has %v, want %v", e.index, known, zones)
		}
	}
	for _, a := range w.agents {
		if known := a.machine.Evacuations(); !slices.Equal(known.Zones, zones) {
			w.fail("%s has %v, want %v", a.name, known, zones)
		}
	}
	w.settled = true
	for i := range 6 {
		w.submit(w.entries[i%3], 4*time.Second)
		w.advance(700 * time.Millisecond)
	}
	w.advance(4 * time.Second)
	w.requireStored()
}

// requireStored checks that stored jobs, which wait while all zones are evacuated, are completed
// once one is not.
func (w *evacuationWorld) requireStored() {
	if w.open() == 0 {
		w.settled = false // agents and entries learn of the withdrawal one after the other
		w.topic.write(w.now, w.agents[0].zone, false)
		w.advance(10 * time.Second)
	}
	for _, e := range w.entries {
		if len(e.stored) > 0 {
			w.fail("%d stored jobs of entry %d wait although %d agents are not evacuated", len(e.stored), e.index, w.open())
		}
	}
}

// playEvacuations plays a number of events. choose returns 0 to limit.
func playEvacuations(w *evacuationWorld, events int, choose func(name string, limit int) int) {
	for range events {
		a := w.agents[choose("agent", len(w.agents)-1)]
		e := w.entries[choose("entry", 2)]
		way := &a.ways[e.index]
		span := time.Duration(20+choose("span", 3000)) * time.Millisecond
		kind := choose("kind", 22)
		d := &way.toAgent
		if kind%2 == 0 {
			d = &way.toEntry
		}
		w.log("%v: event %d, span %v, %s in zone %s, entry %d", w.now, kind, span, a.name, a.zone, e.index)
		switch kind {
		case 0, 1, 2, 3, 4:
			w.operate(1+choose("requests", 3), choose)
		case 5, 6:
			d.holdUntil = max(d.holdUntil, w.now+span)
		case 7, 8:
			d.delay, d.delayUntil = span/3, max(d.delayUntil, w.now+3*span)
		case 9, 10:
			if l := a.links[e.index]; l != nil {
				w.breakLink(l)
			}
		case 11:
			e.freeze(w.now, span)
		case 12:
			a.freeze(w.now, span)
		case 13:
			w.restartEntry(e, span/4)
		case 14, 15:
			w.restartAgent(a, kind == 14, span/4)
		case 16:
			w.spoil(&e.reader.path, 4*span, choose)
		case 17:
			w.spoil(&a.path, 4*span, choose)
		case 18: // only agents can read the topic
			fault := storeFault(1 + choose("fault", int(storeSlow)-2))
			for _, e := range w.entries {
				e.reader.path.fault, e.reader.path.faultUntil = fault, w.now+3*evacuationBound+span
			}
			w.operate(1+choose("requests", 1), choose)
			w.advance(evacuationBound + span)
		case 19:
			for _, e := range w.entries {
				w.spoil(&e.reader.path, 2*span, choose)
			}
			for _, a := range w.agents {
				w.spoil(&a.path, 2*span, choose)
			}
		case 20:
			w.topic.first = len(w.topic.records)
		case 22:
			w.drainAgent(a, span)
		case 21:
			w.topic.records = append(w.topic.records, topicRecord{key: [...]string{"", operatorConfigKey}[choose("record", 1)]})
		}
		between := time.Duration(choose("between", 900)) * time.Millisecond
		if choose("long", 5) == 0 {
			between *= 8
		}
		w.advance(between)
	}
	w.recover()
	w.advance(4 * time.Second)
	w.quiet = true
	w.advance(5 * time.Second) // all jobs are answered
	w.requireSettled()
}

// operate requests or withdraws evacuations, of one or all zones, in quick succession. Zone d
// has no workers.
func (w *evacuationWorld) operate(n int, choose func(string, int) int) {
	for range n {
		evacuate, zone := choose("evacuate", 1) > 0, choose("zone", 7)
		for i, name := range []string{"a", "b", "c", "d"} {
			if zone%4 == i && zone < 7 || zone == 7 && i < 3 {
				w.log("%v: evacuation of %s: %v", w.now, name, evacuate)
				w.topic.write(w.now, name, evacuate)
			}
		}
		w.advance(time.Duration(choose("gap", 20)) * evacuationStep)
	}
}

func (w *evacuationWorld) spoil(p *storePath, d time.Duration, choose func(string, int) int) {
	p.fault, p.faultUntil = storeFault(1+choose("fault", int(storeFaults)-2)), max(p.faultUntil, w.now+d)
}

// recover ends all faults.
func (w *evacuationWorld) recover() {
	for _, e := range w.entries {
		e.frozenUntil, e.ranSince = min(e.frozenUntil, w.now), min(e.ranSince, w.now)
		e.reader.path.faultUntil = min(e.reader.path.faultUntil, w.now)
	}
	for _, a := range w.agents {
		a.frozenUntil, a.ranSince = min(a.frozenUntil, w.now), min(a.ranSince, w.now)
		a.path.faultUntil = min(a.path.faultUntil, w.now)
		for i := range a.ways {
			for _, d := range []*direction{&a.ways[i].toAgent, &a.ways[i].toEntry} {
				d.holdUntil, d.delayUntil = min(d.holdUntil, w.now), min(d.delayUntil, w.now)
			}
		}
	}
}

// evacuationChecks is the number of random cases unless the command line states one. A case
// takes about as long as ten of the other properties of this package.
const evacuationChecks = "300"

// Guards against a start in an evacuated zone after the bound, a process that keeps an outdated
// set of zones, a refusal elsewhere and a task that is lost, whatever fails meanwhile. For fresh
// cases:
//
//	go test ./core/entry -run EvacuationsHoldUnderFaults -rapid.checks 20000 -rapid.seed N
func TestEvacuationsHoldUnderFaults(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value
	if before := checks.String(); before == defaultChecks {
		assert.NilError(t, checks.Set(evacuationChecks))
		defer func() { assert.Check(t, checks.Set(before)) }()
	}
	var starts, checked, refusals int
	answers := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newEvacuationWorld(rapid.IntRange(3, 6).Draw(t, "agents"), nothingBroken, func(limit int) int { return random.IntN(limit + 1) })
		w.log = t.Logf
		playEvacuations(w, rapid.IntRange(5, 40).Draw(t, "events"), func(name string, limit int) int {
			return rapid.IntRange(0, limit).Draw(t, name)
		})
		if w.failure != "" {
			t.Fatal(w.failure)
		}
		starts, checked, refusals = starts+w.starts, checked+w.checked, refusals+w.refusals
		for a, n := range w.answers {
			answers[a] += n
		}
	})
	t.Logf("%d starts, %d of them checked while a zone was evacuated, %d refusals, answers %v", starts, checked, refusals, answers)
	assert.Assert(t, checked > 0 && refusals > 0)
}

// Guards against a model that would not notice the faults that it is meant to find.
func TestBrokenEvacuationsAreDetected(t *testing.T) {
	for name, broken := range map[string]brokenPart{
		"agent that does not check": agentUnchecked, "agent that never lists": agentNeverLists,
		"agent that applies older states": agentReverts, "entry that applies older states": entryReverts,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 1))
				draw := func(limit int) int { return random.IntN(limit + 1) }
				w := newEvacuationWorld(3+draw(3), broken, draw)
				playEvacuations(w, 5+draw(35), func(_ string, limit int) int { return draw(limit) })
				if w.failure != "" {
					t.Log(fmt.Sprint("seed ", seed, ": ", w.failure))
					return
				}
			}
			t.Fatal("not detected")
		})
	}
}
