package lease_test

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// swarmOrigin is where a call of the swarm comes from.
type swarmOrigin struct {
	host        *fleetHost // that of the agent process
	client      *lease.Machine
	attempt     agent.AttemptID // of a start
	incarnation int64           // of the worker when the call was sent
	sentAt      time.Duration
	answerLost  bool
}

// site returns the host whose worker the agent process calls.
func (h *fleetHost) site() *fleetHost {
	if h.successor != nil {
		return h.successor.site()
	}
	return h
}

// send sends a call to the worker. It may wait on its way, arrive at a later incarnation of
// the worker than the one that it was sent to, or be lost.
func (f *fleet) send(h *fleetHost, a lease.Action) {
	site := h.site()
	x := &fleetCall{at: f.now, timeout: f.now + callTimeout, action: a, token: h.token, origin: swarmOrigin{
		host: h, client: h.lease, incarnation: site.worker.incarnation, sentAt: f.now,
	}}
	switch call := a.(type) {
	case lease.CallPoll:
		if f.now > call.AckUntil { // as internal/leased does
			call.AckUpTo = 0
			x.action, x.withheld = call, true
		}
	case lease.CallStart:
		x.origin.attempt = f.swarm.ordered[swarmRun{site, call.Run}]
	}
	p := &site.process
	switch n := f.rng.IntN(20); {
	case f.now < p.downTill:
		f.answerGone(h, a, p.refuses)
		return
	case f.now < p.muteTill:
		f.delay(x)
	case f.now < site.callsCutTill:
		x.at = site.callsCutTill
	case f.rng.Float64() < site.lateShare:
		x.at = f.now + f.swarm.lateness(f)
	case n < 4:
		x.at = f.now + f.millis(5, 30)
	case n < 5:
		x.at = f.now + f.millis(30, 200)
	}
	site.inTransit = append(site.inTransit, x)
}

// delay has a call that is left unanswered carried out late, or never.
func (f *fleet) delay(x *fleetCall) {
	x.at = x.origin.sentAt + f.millis(2000, 12000)
	if f.rng.IntN(2) == 0 {
		x.at = x.timeout
		x.lost = true
	}
}

// answerGone answers a call to a worker whose process is gone: its connection is refused, or
// breaks.
func (f *fleet) answerGone(h *fleetHost, a lease.Action, refused bool) {
	event := noAnswer(a)
	switch x := a.(type) {
	case lease.CallStart:
		if refused {
			event = lease.Started{Run: x.Run, Result: lease.StartRefused, Reason: wire.ReasonUpstreamDown, ProcessGone: true}
		}
	case lease.CallPoll:
		event = lease.Polled{ProcessGone: refused}
	}
	h.answers = append(h.answers, chainAnswer{at: f.now, timeout: f.now + callTimeout, event: event, lost: event})
}

// carryOutSwarm carries out the calls that arrive at the worker of a host.
func (f *fleet) carryOutSwarm(h *fleetHost, stalled bool) {
	calls := h.inTransit
	h.inTransit = calls[:0]
	for _, x := range calls {
		if !x.unanswered && f.now >= x.timeout {
			f.giveUp(x)
		}
		if f.now < x.at || stalled {
			h.inTransit = append(h.inTransit, x)
			continue
		}
		if x.lost || f.now < h.process.downTill {
			f.giveUp(x)
			continue
		}
		if f.now < h.process.muteTill && !x.unanswered {
			f.delay(x)
			h.inTransit = append(h.inTransit, x)
			continue
		}
		if f.now < h.answersCutTill {
			x.origin.answerLost = true
		}
		answer := f.arriveSwarm(h, x)
		if answer == nil || x.origin.answerLost {
			f.giveUp(x)
			continue
		}
		f.deliverAnswer(x, chainAnswer{at: f.now + f.millis(0, 15), timeout: x.timeout, event: answer, lost: noAnswer(x.action)})
	}
}

// deliverAnswer passes an answer to the agent process if it still waits for it.
func (f *fleet) deliverAnswer(x *fleetCall, answer chainAnswer) {
	if h := x.origin.host; !x.unanswered && h.lease == x.origin.client {
		h.answers = append(h.answers, answer)
	}
}

// giveUp ends the wait for the answer to a call. The client raises its token after a poll that
// acknowledged ends.
func (f *fleet) giveUp(x *fleetCall) {
	f.deliverAnswer(x, chainAnswer{at: max(f.now, x.timeout), timeout: max(f.now, x.timeout), event: noAnswer(x.action), lost: noAnswer(x.action)})
	poll, ok := x.action.(lease.CallPoll)
	if h := x.origin.host; !x.unanswered && ok && poll.AckUpTo > 0 && h.lease == x.origin.client && x.token == h.token {
		h.token++
	}
	x.unanswered = true
}

// arriveSwarm has the worker carry out a call. It returns nil if there is no answer.
func (f *fleet) arriveSwarm(h *fleetHost, x *fleetCall) lease.Event {
	if x.token < h.fence {
		if start, ok := x.action.(lease.CallStart); ok {
			return lease.Started{Run: start.Run, Result: lease.StartRefused, Reason: wire.ReasonUpstreamDown}
		}
		return nil
	}
	if start, ok := x.action.(lease.CallStart); ok {
		if f.ruledOut(h, x) {
			return nil
		}
		f.swarm.arriving = x
		defer func() { f.swarm.arriving = nil }()
		if x.origin.incarnation != h.worker.incarnation {
			f.logf("%s: start of %v, sent at %v to incarnation %d, arrives at incarnation %d", h.name, start.Run, x.origin.sentAt-time.Minute, x.origin.incarnation, h.worker.incarnation)
		}
	}
	if _, ok := x.action.(lease.CallPoll); ok && x.unanswered {
		f.counts.latePolls++
	}
	h.fence = x.token
	answer := f.execute(h, x.action, x.unanswered)
	polled, ok := answer.(lease.Polled)
	if !ok || x.unanswered || x.origin.answerLost {
		return answer
	}
	if client := x.origin.host; h.unfenced() {
		if f.now < client.frozenTill {
			return nil // the second poll, which fences off earlier starts, is not sent in time
		}
		client.token = max(h.born, client.token+1)
		h.fence = client.token
		f.fence(h)
		polled = f.execute(h, lease.CallPoll{}, false).(lease.Polled)
	}
	polled.AckWithheld = x.withheld
	return polled
}

// ruledOut reports whether a start to an earlier incarnation is left out: it was known to have
// no effect any more before the worker restarted, or its client had been fenced off by a takeover
// before. Nothing can prevent that one, see
// docs/platform.md.
func (f *fleet) ruledOut(h *fleetHost, x *fleetCall) bool {
	if x.origin.incarnation == h.worker.incarnation {
		return false
	}
	f.counts.lateStarts++
	end, ended := f.swarm.ends[x.origin.attempt]
	if ended && end.proven && end.at <= h.process.restartedAt || x.token < h.takeoverToken {
		f.counts.tooLate++
		return true
	}
	return false
}

// takeOverSwarm fences off the calls of all earlier clients of the worker. Those that are on
// their way have no effect from then on, also if the worker restarts later.
func (f *fleet) takeOverSwarm(h *fleetHost) {
	h.fence = max(h.fence+1, int64(f.now/time.Millisecond))
	h.takeoverToken = h.fence
	calls := h.inTransit
	h.inTransit = nil
	for _, x := range calls {
		if !x.unanswered {
			f.giveUp(x)
		}
	}
}

// restartSwarmWorker ends the worker process of a host, at any time. The next one has seen no
// fencing token, its clock begins again, and calls to the one before may reach it.
func (f *fleet) restartSwarmWorker(h *fleetHost) {
	p := &h.process
	if f.now < p.downTill || h.worker.stalled() || p.takenOver {
		return
	}
	f.counts.restarts++
	h.worker.restart()
	h.worker.fenceAt, h.worker.now, h.worker.stalledUntil = 0, chainStep, 0
	h.acked, h.fence = 0, 0
	p.restartedAt = f.now
	p.refuses = f.rng.IntN(2) == 0
	p.downTill = f.now + f.millis(60, 150)
	if p.refuses {
		p.downTill = f.now + f.millis(300, 1500)
	}
	h.born = int64(p.downTill / time.Millisecond)
	p.muteTill = p.downTill
	switch f.rng.IntN(8) {
	case 0:
		p.muteTill += f.millis(4000, 14000)
	case 1, 2, 3:
		p.muteTill += f.millis(0, 4000)
	}
	p.announceAt = p.downTill + f.millis(0, 100)
	if f.rng.IntN(4) == 0 {
		p.announceAt += 1500 * time.Millisecond // the first announcement is lost
	}
	f.logf("the worker of %s restarts as incarnation %d, down for %v, mute for %v, announced at %v", h.name, h.worker.incarnation, p.downTill-f.now, p.muteTill-p.downTill, p.announceAt-time.Minute)
}

// moveCalls makes the calls of an agent process that goes on beside its successor come from
// its new host.
func (s *swarm) moveCalls(from, to *fleetHost) {
	for _, x := range from.inTransit {
		if x.origin.host == from && x.origin.client == to.lease {
			x.origin.host = to
		}
	}
}
