package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

const testBound = 4 * time.Second

func evacuations(asOf int64, zones ...string) *wire.Evacuations {
	return &wire.Evacuations{AsOf: asOf, Zones: zones}
}

// evacuationScript is a script of an agent in zone "a" that counts requested listings.
type evacuationScript struct {
	*script
	listings int
}

func newEvacuationScript(opts Options) *evacuationScript {
	opts.Zone, opts.EvacuationBound = "a", testBound
	return &evacuationScript{script: newScript(opts)}
}

// tick advances the time by a second and delivers a tick.
func (s *evacuationScript) tick() {
	s.now += time.Second
	for _, a := range s.machine.Step(s.now, Tick{}) {
		if _, ok := a.(ListEvacuations); ok {
			s.listings++
		}
	}
}

// Guards against a start in an evacuated zone, whichever path and order the requests and
// their removals take, and against refusals in any other zone.
func TestStartsFollowTheNewestRequests(t *testing.T) {
	list := func(e *wire.Evacuations) Event { return EvacuationsListed{Evacuations: *e} }
	frame := func(e *wire.Evacuations) Event {
		return Received{Entry: entryA, Epoch: 1, Frame: &wire.ToAgent{Evacuations: e}}
	}
	for name, c := range map[string]struct {
		events  []Event
		refused bool
	}{
		"never requested":                       {nil, false},
		"requested":                             {[]Event{frame(evacuations(5, "a"))}, true},
		"requested for all zones":               {[]Event{frame(evacuations(5, "a", "b", "c"))}, true},
		"requested for another zone":            {[]Event{frame(evacuations(5, "b"))}, false},
		"removed":                               {[]Event{frame(evacuations(5, "a")), frame(evacuations(6))}, false},
		"request arrives behind its removal":    {[]Event{frame(evacuations(6)), frame(evacuations(5, "a"))}, false},
		"removal arrives behind a newer one":    {[]Event{frame(evacuations(7, "a")), frame(evacuations(6))}, true},
		"listed":                                {[]Event{list(evacuations(5, "a"))}, true},
		"listing is older than the frame":       {[]Event{frame(evacuations(6, "a")), list(evacuations(5))}, true},
		"frame is older than the listing":       {[]Event{list(evacuations(6)), frame(evacuations(5, "a"))}, false},
		"zones without workers":                 {[]Event{frame(evacuations(5, "", "A", "aa"))}, false},
		"frame of a connection that was closed": {[]Event{Received{Entry: entryA, Epoch: 9, Frame: &wire.ToAgent{Evacuations: evacuations(5, "a")}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationScript(Options{Slots: 1})
			for _, ev := range c.events {
				s.step(ev)
			}
			seq := s.start(1, 0)
			assert.Equal(t, s.machine.Load(s.now).Evacuated, c.refused)
			assert.Equal(t, len(s.running), map[bool]int{true: 0, false: 1}[c.refused])
			if c.refused {
				r := s.result(t, seq)
				assert.Equal(t, r.Outcome, wire.NotRun)
				assert.Equal(t, r.Reason, wire.ReasonEvacuated)
			}
		})
	}
}

// Guards against a start in the frame that carries the request, against queued tasks that
// start after it, and against running tasks that are stopped.
func TestRequestReturnsQueuedTasksAndSparesRunningOnes(t *testing.T) {
	s := newEvacuationScript(Options{Slots: 1})
	s.step(LinkUp{Entry: entryB, Epoch: 2})
	s.start(1, time.Minute)
	queued := s.start(2, time.Minute)
	s.frames, s.entries = nil, nil
	s.receive(wire.ToAgent{
		Evacuations: evacuations(5, "a"),
		Starts:      []wire.Start{{Seq: 9, Class: "c", MaxWait: 60_000_000, Deadline: 10_000_000}},
	})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonEvacuated)
	assert.Equal(t, s.result(t, 9).Reason, wire.ReasonEvacuated)
	assert.DeepEqual(t, s.entries, []wire.Incarnation{entryA, entryB}) // both are told at once
	assert.Assert(t, s.frames[0].Load.Evacuated && s.frames[1].Load.Evacuated)
	assert.Equal(t, s.stops, 0)
	s.nextSeq = 10
	assert.Equal(t, s.result(t, s.start(3, 0)).Reason, wire.ReasonEvacuated) // not busy: it is to be placed elsewhere at once
	s.finishFirst(Finished{Outcome: wire.Succeeded})
	assert.Equal(t, len(s.running), 0)

	s.receive(wire.ToAgent{Evacuations: evacuations(6)})
	s.start(4, 0)
	assert.Equal(t, len(s.running), 1)
}

// Guards against an agent that does not end its drain, or reports a misleading reason,
// because its zone is evacuated as well.
func TestDrainAndEvacuationTogether(t *testing.T) {
	for name, evacuateFirst := range map[string]bool{"evacuated first": true, "drained first": false} {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationScript(Options{Slots: 1})
			s.start(1, time.Minute)
			evacuate := func() { s.receive(wire.ToAgent{Evacuations: evacuations(5, "a")}) }
			if evacuateFirst {
				evacuate()
			}
			s.step(Drain{})
			if !evacuateFirst {
				evacuate()
			}
			assert.Equal(t, s.result(t, s.start(2, 0)).Reason, wire.ReasonDraining)
			s.finishFirst(Finished{Outcome: wire.Succeeded})
			s.now += DefaultDrainSettleTimeout
			s.step(Tick{})
			assert.Assert(t, s.drained)
		})
	}
}

// Guards against an entry that the store refuses and that none of its agents tells of a
// request or its removal, and against a state that is sent again and again.
func TestNewestStateIsForwardedToEntriesThatLackIt(t *testing.T) {
	for name, c := range map[string]struct {
		known, stated, forwarded *wire.Evacuations
	}{
		"entry states nothing":                    {evacuations(5, "b"), nil, evacuations(5, "b")},
		"entry has an older request":              {evacuations(5), evacuations(4, "b"), evacuations(5)},
		"entry has the same zones":                {evacuations(5, "b"), evacuations(4, "b"), evacuations(5, "b")},
		"entry is newer":                          {evacuations(5, "b"), evacuations(6, "c"), nil},
		"nothing is requested":                    {evacuations(5), nil, evacuations(5)},
		"entry has another state as of that time": {evacuations(5, "b"), evacuations(5, "c"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationScript(Options{Slots: 1, HeartbeatInterval: time.Minute})
			s.step(LinkUp{Entry: entryB, Epoch: 2})
			if c.stated != nil {
				s.step(Received{Entry: entryB, Epoch: 2, Frame: &wire.ToAgent{Evacuations: c.stated}})
			}
			s.frames, s.entries = nil, nil
			s.receive(wire.ToAgent{Evacuations: c.known})
			s.receive(wire.ToAgent{Evacuations: c.known})
			s.tick()
			var sent []*wire.Evacuations
			for i, f := range s.frames {
				if f.Evacuations != nil && s.entries[i] == entryB {
					sent = append(sent, f.Evacuations)
				}
			}
			if c.forwarded == nil {
				assert.Equal(t, len(sent), 0)
				return
			}
			assert.DeepEqual(t, sent, []*wire.Evacuations{c.forwarded})

			s.frames = nil
			s.step(LinkUp{Entry: entryB, Epoch: 3}) // it may have restarted
			assert.DeepEqual(t, s.frames[0].Evacuations, c.forwarded)
		})
	}
}

// Guards against an agent whose entries are cut off from the store, or stand still, and that
// does not look for requests itself; and against listings while entries read the store, which
// all agents would make together.
func TestStateOlderThanHalfTheBoundIsListed(t *testing.T) {
	half := int(testBound / 2 / time.Second)
	frame := func(s *evacuationScript, echo, age time.Duration) {
		s.receive(wire.ToAgent{ClockEcho: wire.MicrosOf(echo), EvacuationsAge: wire.MicrosOf(age)})
	}
	for name, c := range map[string]struct {
		eachSecond func(s *evacuationScript)
		listings   int // within 10 s
	}{
		"entry reads the store":       {func(s *evacuationScript) { frame(s, s.now, time.Second/2) }, 0},
		"entry echoes a time to come": {func(s *evacuationScript) { frame(s, time.Hour, s.now) }, 10 / half},
		"new links of an entry that reads": {func(s *evacuationScript) {
			s.step(LinkUp{Entry: entryA, Epoch: s.machine.entries[entryA].epoch + 1, HelloSentAt: s.now})
			frame(s, 0, time.Second/2)
		}, 0},
		"entry has never read it":         {func(s *evacuationScript) { frame(s, s.now, 0) }, 10 / half},
		"entry has not read it for long":  {func(s *evacuationScript) { frame(s, s.now, s.now) }, 10 / half},
		"entry does not receive anything": {func(s *evacuationScript) { frame(s, time.Second, time.Second/2) }, 10 / half},
		"frames do not arrive":            {func(*evacuationScript) {}, 10 / half},
		"one of two entries reads it": {func(s *evacuationScript) {
			frame(s, s.now, time.Second/2)
			s.step(Received{Entry: entryB, Epoch: 2, Frame: &wire.ToAgent{ClockEcho: 1, EvacuationsAge: wire.MicrosOf(s.now)}})
		}, 0},
		"no link is up": {func(s *evacuationScript) {
			s.step(LinkDown{Entry: entryA, Epoch: 1})
			s.step(LinkDown{Entry: entryB, Epoch: 2})
		}, 0},
		"the listing answers": {func(s *evacuationScript) {
			if s.listings > 0 {
				s.step(EvacuationsListed{Evacuations: *evacuations(5), RequestedAt: s.now})
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationScript(Options{Slots: 1})
			s.step(LinkUp{Entry: entryB, Epoch: 2})
			for range 10 {
				s.tick()
				c.eachSecond(s)
			}
			assert.Equal(t, s.listings, c.listings)
		})
	}
	t.Run("disabled", func(t *testing.T) {
		s := newEvacuationScript(Options{Slots: 1})
		s.machine.opts.EvacuationBound = 0
		for range 10 {
			s.tick()
		}
		assert.Equal(t, s.listings, 0)
	})
}

// Guards against a new incarnation in the same process that starts tasks until it is told of
// the request.
func TestNewIncarnationBeginsWithTheLastState(t *testing.T) {
	s := newEvacuationScript(Options{Slots: 1, Evacuations: *evacuations(5, "a")})
	assert.Equal(t, s.result(t, s.start(1, 0)).Reason, wire.ReasonEvacuated)
}
