package lease_test

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// fleetLink is a connection between a host and an entry. Frames wait in it while their
// receiver does not run.
type fleetLink struct {
	entry            *fleetEntry
	epoch            wire.Epoch
	up, accepted     bool // the agent's view and the entry's
	redialAt         time.Duration
	helloSentAt      time.Duration
	heardAt, heardBy time.Duration // when the agent, and the entry, last received something
	toAgent          []fleetFrame
	toEntry          []fleetFrame
	// Until these times nothing arrives at the agent, and at the entry.
	agentCutTill, entryCutTill time.Duration
	breakAt                    time.Duration // when it breaks, 0 if it does not, see breakSoon
}

type fleetFrame struct {
	at time.Duration
	ev any
}

// readAgent reads what an agent has sent on a connection.
func (f *fleet) readAgent(h *fleetHost, l *fleetLink) {
	for len(l.toEntry) > 0 && l.toEntry[0].at <= f.now && l.entryCutTill <= f.now {
		ev := l.toEntry[0].ev
		l.toEntry = l.toEntry[1:]
		l.heardBy = f.now
		if up, ok := ev.(entry.LinkUp); ok {
			if !f.maySayHello(l.entry) {
				f.reset(h, l, f.millis(5, 100))
				return
			}
			l.accepted = true
			l.send(&l.toAgent, f.now+f.millis(0, 5), agent.LinkUp{Entry: l.entry.id, Epoch: up.Hello.Epoch, HelloSentAt: l.helloSentAt})
			f.breakSoon(h, l)
		}
		l.entry.queue = append(l.entry.queue, ev.(entry.Event))
	}
	if l.accepted && f.now-l.heardBy > linkSilence {
		l.accepted = false
		l.entry.queue = append(l.entry.queue, entry.LinkDown{Agent: h.incarnation, Epoch: l.epoch})
		l.send(&l.toAgent, f.now, agent.LinkDown{Entry: l.entry.id, Epoch: l.epoch})
	}
}

// send queues a frame behind those that were sent before.
func (l *fleetLink) send(queue *[]fleetFrame, at time.Duration, ev any) {
	if n := len(*queue); n > 0 {
		at = max(at, (*queue)[n-1].at)
	}
	*queue = append(*queue, fleetFrame{at, ev})
}

// reset breaks a connection with all that is in it. Both ends notice.
func (f *fleet) reset(h *fleetHost, l *fleetLink, redialAfter time.Duration) {
	if l.redialAt > 0 {
		return
	}
	f.counts.resets++
	l.accepted = false
	l.toAgent = []fleetFrame{{f.now, agent.LinkDown{Entry: l.entry.id, Epoch: l.epoch}}}
	// The ends of earlier connections that the entry has not noticed yet are not lost.
	l.toEntry = slices.DeleteFunc(l.toEntry, func(frame fleetFrame) bool {
		_, down := frame.ev.(entry.LinkDown)
		return !down
	})
	l.send(&l.toEntry, f.now, entry.LinkDown{Agent: h.incarnation, Epoch: l.epoch})
	l.redialAt = f.now + redialAfter + chainStep
}

func (f *fleet) dial(h *fleetHost, l *fleetLink) {
	if l.up {
		f.stepAgent(h, agent.LinkDown{Entry: l.entry.id, Epoch: l.epoch})
	}
	l.send(&l.toEntry, f.now, entry.LinkDown{Agent: h.incarnation, Epoch: l.epoch})
	l.epoch++
	l.up, l.accepted, l.redialAt, l.heardAt, l.helloSentAt = false, false, 0, f.now, f.now
	l.toAgent = nil
	l.send(&l.toEntry, f.now+f.millis(0, 5), entry.LinkUp{Hello: wire.AgentHello{
		Agent: h.incarnation, Epoch: l.epoch, Name: h.name, Slots: fleetSlots, NoLeftoverRuns: true,
		WorkerIncarnation: h.workerIncarnation, TakeoverTime: wire.Micros(h.incarnation), FinishedRuns: h.finished,
	}})
}

// oldLinks delivers what is left in the connections of the last process to the entries.
func (f *fleet) oldLinks(h *fleetHost) []*fleetLink {
	for _, l := range h.links {
		for _, frame := range l.toEntry {
			l.entry.queue = append(l.entry.queue, frame.ev.(entry.Event))
		}
	}
	return nil
}
