package lease_test

import (
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// disturb makes one random disturbance.
func (f *fleet) disturb() {
	h, e := f.hosts[f.rng.IntN(len(f.hosts))], f.entries[f.rng.IntN(len(f.entries))]
	if f.disturbFurther != nil && f.rng.IntN(3) == 0 {
		f.disturbFurther(h, e)
		return
	}
	span, gap, kind := f.millis(20, 2500), f.millis(20, 395), f.rng.IntN(20)
	if f.calm {
		gap = min(gap, 150*time.Millisecond)
		kind = max(kind, 3) // no freezes
	}
	switch kind {
	case 0:
		e.frozenTill = f.now + span
		f.logf("entry %d is frozen for %v", e.index, span)
	case 1:
		e.slowTill, e.gap = f.now+span, gap
		f.logf("entry %d is slow for %v, gaps of %v", e.index, span, gap)
	case 2:
		h.frozenTill = f.now + span
		f.logf("the agent of %s is frozen for %v", h.name, span)
	case 3, 4:
		h.slowTill, h.gap = f.now+span, gap
		f.logf("the agent of %s is slow for %v, gaps of %v", h.name, span, gap)
	case 5, 6:
		f.logf("the connections of %s break", h.name)
		away := f.millis(0, 500)
		for _, l := range h.links {
			f.reset(h, l, away+f.millis(0, 30))
		}
	case 7, 8, 9:
		f.stopAgent(h, span)
	case 10, 11, 12:
		f.leaveOne()
	case 13:
		f.newJob(true)
	case 14:
		if f.rng.IntN(4) == 0 && e.index > 0 {
			f.stopEntry(e)
		}
	default:
		f.newJob(false)
	}
}

// gapEntry lets an entry run between gaps that are each too short for a pause.
func (f *fleet) gapEntry(_ *fleetHost, e *fleetEntry) {
	e.slowTill, e.gap, e.shortestGap = f.now+f.millis(1000, 5000), entry.MinGap-chainStep, entry.MinGap-2*chainStep
	f.logf("entry %d has gaps of %v for %v", e.index, e.gap, e.slowTill-f.now)
}

// cutLinks cuts the connections of a host in one of four directions.
func (f *fleet) cutLinks(h *fleetHost, _ *fleetEntry) {
	till := f.now + f.millis(50, 2500)
	way := f.rng.IntN(4)
	f.logf("%s is cut in direction %d until %v", h.name, way, till-time.Minute)
	switch way {
	case 0:
		h.callsCutTill = till
	case 1:
		h.answersCutTill = till
	}
	for _, l := range h.links {
		switch way {
		case 2:
			l.agentCutTill = till
		case 3:
			l.entryCutTill = till
		}
	}
}

// endAll ends all entries and agents. Others start at different times, the entries with the
// identifiers after nextID.
func (f *fleet) endAll(nextID *wire.Incarnation) {
	f.logf("all processes end")
	for i, e := range f.entries {
		if !e.stopped {
			f.stopEntry(e)
		}
		*nextID++
		f.entries[i] = f.newEntry(i, *nextID)
		f.entries[i].frozenTill = f.now + f.millis(50, 3000)
	}
	for _, h := range f.hosts {
		if h.agent != nil {
			f.endAgent(h)
		}
		h.startAt = f.now + f.millis(50, 3000)
	}
}

// standStill stops the agent and the worker of a host for a while.
func (f *fleet) standStill(h *fleetHost) { f.standStillFor(h, f.millis(200, 3000)) }

func (f *fleet) standStillFor(h *fleetHost, span time.Duration) {
	f.logf("the VM of %s stands still for %v", h.name, span)
	h.frozenTill = max(h.frozenTill, f.now+span)
	for _, other := range f.hosts { // agent processes that go on beside their successor
		if other.successor != nil && other.site() == h {
			other.frozenTill = max(other.frozenTill, f.now+span)
		}
	}
	h.worker.stalledUntil = h.worker.now + span + f.millis(-30, 30)
	h.callsFirst, h.worker.runsFirst = f.rng.IntN(2) == 0, f.rng.IntN(2) == 0
}

// replaceAgent starts the next agent process of a host while the present one goes on. With
// fleet.swarm the worker refuses calls of the earlier one by their fencing token.
func (f *fleet) replaceAgent(h *fleetHost, _ *fleetEntry) {
	if h.agent == nil || h.replaced {
		return
	}
	f.logf("the agent of %s is replaced and goes on", h.name)
	earlier := *h
	earlier.replaced, earlier.endAt = true, f.now+f.millis(100, 4000)
	if f.rng.IntN(2) == 0 {
		earlier.frozenTill = max(earlier.frozenTill, f.now+f.millis(20, 2500))
	}
	earlier.worker = fencedWorker(h)
	if f.swarm != nil {
		earlier.successor, earlier.inTransit = h, nil
		f.swarm.moveCalls(h, &earlier)
		earlier.process.announceAt, earlier.process.replaced, earlier.process.takenOver = 0, false, false
	}
	f.hosts = append(f.hosts, &earlier)
	h.agent, h.lease, h.links, h.endAt, h.frozenTill, h.startAt = nil, nil, nil, 0, 0, f.now
}

func (f *fleet) freezeEntry(_ *fleetHost, e *fleetEntry) {
	span := f.millis(20, 2500)
	e.frozenTill = max(e.frozenTill, f.now+span)
	f.logf("entry %d is frozen for %v", e.index, span)
}

func (f *fleet) slowEntry(_ *fleetHost, e *fleetEntry) {
	span, gap := f.millis(20, 2500), f.millis(20, 395)
	e.slowTill, e.gap, e.shortestGap = f.now+span, gap, 0
	f.logf("entry %d is slow for %v, gaps of %v", e.index, span, gap)
}

func (f *fleet) freezeAgent(h *fleetHost, _ *fleetEntry) {
	span := f.millis(20, 2500)
	h.frozenTill = max(h.frozenTill, f.now+span)
	f.logf("the agent of %s is frozen for %v", h.name, span)
}

func (f *fleet) slowAgent(h *fleetHost, _ *fleetEntry) {
	span, gap := f.millis(20, 2500), f.millis(20, 395)
	h.slowTill, h.gap = f.now+span, gap
	f.logf("the agent of %s is slow for %v, gaps of %v", h.name, span, gap)
}

func (f *fleet) killAgent(h *fleetHost, _ *fleetEntry) {
	if h.agent != nil {
		f.counts.agentsStopped++
		f.endAgent(h)
	}
}

func (f *fleet) breakConnections(h *fleetHost, _ *fleetEntry) {
	f.logf("the connections of %s break", h.name)
	away := f.millis(0, 500)
	for _, l := range h.links {
		f.reset(h, l, away+f.millis(0, 30))
	}
}

func (f *fleet) muteWorker(h *fleetHost, _ *fleetEntry) {
	h = h.site()
	span := f.millis(20, 600)
	if f.rng.IntN(4) == 0 {
		span = f.millis(600, 4000)
	}
	h.process.muteTill = max(h.process.muteTill, f.now+span)
	f.logf("the worker of %s is mute until %v", h.name, h.process.muteTill-time.Minute)
}

// replaceEntry ends an entry, in whose place another one starts.
func (f *fleet) replaceEntry(_ *fleetHost, e *fleetEntry) {
	if e.stopped || f.rng.IntN(3) > 0 {
		return
	}
	f.endEntry(e)
}

// endEntry ends an entry at once, in whose place another one starts.
func (f *fleet) endEntry(e *fleetEntry) {
	f.stopEntry(e)
	f.swarm.nextEntry++
	next := f.newEntry(e.index, f.swarm.nextEntry)
	next.frozenTill = f.now + f.millis(50, 3000)
	f.entries[e.index] = next
	for _, h := range f.hosts {
		if h.agent != nil {
			h.links = append(h.links, &fleetLink{entry: next, redialAt: next.frozenTill + f.millis(5, 100)})
		}
	}
}

func (f *fleet) endAllAtTimes(*fleetHost, *fleetEntry) {
	if f.rng.IntN(4) == 0 {
		f.endAll(&f.swarm.nextEntry)
	}
}
