package entry_test

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// workerRun is one run at a worker.
type workerRun struct {
	job     string
	attempt agent.AttemptID
	endAt   time.Duration
	outcome wire.Outcome
	reason  wire.Reason
}

// resendHost is an agent with its worker and its connection to the entry. Frames wait in
// the connection while their receiver is paused or the connection is cut.
type resendHost struct {
	machine     *agent.Machine
	killed      bool          // its runs go on until their lease expires
	drainUntil  time.Duration // when its process ends that is being stopped, 0 if it is not
	slow        slowness
	name        string
	incarnation wire.Incarnation
	epoch       wire.Epoch
	pausedUntil time.Duration
	cutUntil    time.Duration
	// connected is the agent's view of the connection, accepted the entry's.
	connected, accepted bool
	helloSentAt         time.Duration
	redialAt            time.Duration
	heardAt, heardBy    time.Duration // when the agent, and the entry, last received something
	toAgent             []agent.Event
	toEntry             []entry.Event
	renewedAt           time.Duration // of the lease at the worker
	runs                []*workerRun
}

// slowness makes a process run for one step of the model at a time, with gaps of up to gap
// in between.
type slowness struct {
	until time.Duration
	gap   time.Duration
}

// next returns until when the process does not run after a step now.
func (s *slowness) next(now time.Duration, draw func(int) int) time.Duration {
	if now >= s.until {
		return 0
	}
	return now + s.gap/4 + time.Duration(draw(int(s.gap*3/4/time.Millisecond)))*time.Millisecond
}

func (w *resendWorld) newHost(name string) *resendHost {
	w.incarnations++
	return &resendHost{
		name: name, incarnation: w.incarnations, redialAt: w.now + modelStep,
		machine: agent.New(agent.Options{
			Incarnation: w.incarnations, Slots: 2, HeartbeatInterval: modelHeartbeat, RunLease: modelRunLease, LostLinkTimeout: modelRunLease,
		}),
	}
}

// closeSilent closes the entry's end of a connection on which nothing arrives.
func (w *resendWorld) closeSilent(h *resendHost) {
	if h.accepted && w.now-h.heardBy > modelSilence {
		h.accepted = false
		w.queue = append(w.queue, entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
		h.toAgent = append(h.toAgent, agent.LinkDown{Entry: 1, Epoch: h.epoch})
	}
}

// runHost delivers what has arrived at an agent and lets it and its worker run.
func (w *resendWorld) runHost(h *resendHost) {
	paused := w.now < h.pausedUntil || h.killed
	var ended []*workerRun
	for _, r := range h.runs {
		if lapse := h.renewedAt + workerLease; paused && lapse < r.endAt {
			r.endAt, r.outcome, r.reason = lapse, wire.Failed, wire.ReasonRunEnded
		}
		if w.now >= r.endAt {
			ended = append(ended, r)
		}
	}
	if h.killed {
		h.runs = slices.DeleteFunc(h.runs, func(r *workerRun) bool { return slices.Contains(ended, r) })
	}
	if paused {
		return
	}
	h.renewedAt = w.now
	h.pausedUntil = max(h.pausedUntil, h.slow.next(w.now, w.draw))
	if w.now >= h.cutUntil {
		arrived := h.toAgent
		h.toAgent = nil
		for _, ev := range arrived {
			h.heardAt = w.now
			switch x := ev.(type) {
			case agent.LinkUp:
				h.connected = true
			case agent.LinkDown:
				w.disconnect(h, 0)
			case agent.Received:
				if x.Epoch != h.epoch {
					continue
				}
			}
			w.agentStep(h, ev)
		}
	}
	if h.redialAt == 0 && w.now-h.heardAt > modelSilence {
		w.agentStep(h, agent.LinkDown{Entry: 1, Epoch: h.epoch})
		h.toEntry = append(h.toEntry, entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
		w.disconnect(h, 0)
	}
	if h.redialAt > 0 && w.now >= h.redialAt && w.now >= h.cutUntil {
		w.dial(h)
	}
	for _, r := range ended {
		h.runs = slices.DeleteFunc(h.runs, func(x *workerRun) bool { return x == r })
		w.agentStep(h, agent.Finished{Attempt: r.attempt, Outcome: r.outcome, Reason: r.reason})
	}
	w.agentStep(h, agent.Tick{})
	if h.drainUntil > 0 && w.now >= h.drainUntil {
		w.kill(h, time.Duration(100+w.draw(1000))*time.Millisecond)
	}
}

// stop stops the process of an agent: it drains, and ends at once when it is drained, or
// after d.
func (w *resendWorld) stop(h *resendHost, d time.Duration) {
	if h.drainUntil > 0 || h.killed {
		return
	}
	w.log("%v: the agent %s is stopped", w.now, h.name)
	h.drainUntil = w.now + d
	w.agentStep(h, agent.Drain{})
}

// disconnect drops the agent's end of the connection. It dials again after a delay.
func (w *resendWorld) disconnect(h *resendHost, after time.Duration) {
	h.connected = false
	h.redialAt = w.now + after + modelStep
}

func (w *resendWorld) dial(h *resendHost) {
	// What the entry has not read of the old connection may be read after the hello of
	// the new one; the end of the old connection is read in any case.
	down := entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch}
	h.toEntry = append(h.toEntry, down)
	h.epoch++
	h.redialAt, h.heardAt, h.helloSentAt = 0, w.now, w.now
	w.log("%v: %s dials", w.now, h.name)
	h.accepted, h.toAgent = false, nil
	h.toEntry = append(h.toEntry, entry.LinkUp{Hello: wire.AgentHello{
		Agent: h.incarnation, Epoch: h.epoch, Name: h.name, Slots: 2, NoLeftoverRuns: !w.leftoverRuns(h), TakeoverTime: wire.Micros(h.incarnation),
	}})
}

// leftoverRuns reports whether runs of killed agents go on at the agent's worker.
func (w *resendWorld) leftoverRuns(h *resendHost) bool {
	return slices.ContainsFunc(w.hosts, func(x *resendHost) bool { return x.killed && x.name == h.name && len(x.runs) > 0 })
}

func (w *resendWorld) agentStep(h *resendHost, ev agent.Event) {
	for _, a := range slices.Clone(h.machine.Step(w.now, ev)) {
		switch x := a.(type) {
		case *agent.Send:
			if h.connected && x.Epoch == h.epoch {
				x.Frame.AgentClock = wire.MicrosOf(w.now)
				h.toEntry = append(h.toEntry, entry.Received{Agent: h.incarnation, Epoch: x.Epoch, Frame: x.Frame})
			}
		case *agent.Run:
			w.startRun(h, x)
		case agent.Drained:
			h.drainUntil = w.now
		case agent.Stop:
			took := stopTime
			if w.now < h.slow.until {
				took += time.Duration(w.draw(int(2*h.slow.gap/time.Millisecond))) * time.Millisecond
			}
			for _, r := range h.runs {
				if r.attempt == x.Attempt && r.endAt > w.now+took {
					r.endAt, r.outcome, r.reason = w.now+took, wire.Failed, wire.ReasonStopped
				}
			}
		}
	}
}

func (w *resendWorld) startRun(h *resendHost, x *agent.Run) {
	w.requireNoRun(x.Start.Job, "at "+h.name)
	w.runs++
	w.log("%v: %s starts %s", w.now, h.name, x.Start.Job)
	length := time.Duration(50+w.draw(3000)) * time.Millisecond
	h.runs = append(h.runs, &workerRun{
		job: x.Start.Job, attempt: x.Attempt, endAt: w.now + min(length, x.Timeout), outcome: wire.Succeeded,
	})
}

// kill ends the process of an agent and starts a new one on its VM after a delay.
func (w *resendWorld) kill(h *resendHost, restartAfter time.Duration) {
	w.log("%v: the agent %s is killed", w.now, h.name)
	h.killed = true
	h.toAgent, h.accepted = nil, false
	h.toEntry = append(h.toEntry, entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
	successor := w.newHost(h.name)
	successor.redialAt = w.now + restartAfter + modelStep
	successor.cutUntil = h.cutUntil
	w.hosts = append(w.hosts, successor)
}

// resetLink breaks a connection with all that is in it. Both ends notice.
func (w *resendWorld) resetLink(h *resendHost, redialAfter time.Duration) {
	if h.redialAt > 0 || h.killed {
		return
	}
	w.log("%v: the link of %s breaks, redial after %v", w.now, h.name, redialAfter)
	h.toAgent, h.accepted = nil, false
	w.agentStep(h, agent.LinkDown{Entry: 1, Epoch: h.epoch})
	h.toEntry = []entry.Event{entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch}}
	w.disconnect(h, redialAfter)
}
