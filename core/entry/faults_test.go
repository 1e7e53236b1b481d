package entry_test

import (
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

type (
	policyTask = policy.Task
	placement  = policy.Placement
)

// pickAgent draws one of the live agents for which ok holds.
func (sim *simulation) pickAgent(t *rapid.T, ok func(*modelAgent) bool) *modelAgent {
	var candidates []*modelAgent
	for _, a := range sim.agents {
		if !a.dead && ok(a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such agent")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "agent")]
}

func (sim *simulation) connect(a *modelAgent) {
	a.forgotten = a.forgotten || !a.up && a.downAt > 0 && sim.now-a.downAt >= entry.DefaultLostAgentTimeout
	a.epoch++
	a.up = true
	a.inbox = nil
	sim.step(entry.LinkUp{Hello: wire.AgentHello{Agent: a.incarnation, Epoch: a.epoch, Name: a.name, Slots: 4}})
}

func (sim *simulation) reply(a *modelAgent, results ...wire.Result) {
	if !a.up {
		return
	}
	sim.deliveredResults = append(sim.deliveredResults, results...)
	sim.step(entry.Received{Agent: a.incarnation, Epoch: a.epoch, Frame: &wire.ToEntry{Results: results}})
}

// markNotRun records that the attempt will never start.
func (sim *simulation) markNotRun(a *modelAgent, at *modelAttempt) {
	at.state = ended
	at.result = wire.Result{Seq: at.seq, Outcome: wire.NotRun, Reason: wire.ReasonBusy}
	sim.liveAttempts[at.task]--
}

// deliverFrame delivers one frame to an agent, which accepts or refuses its
// starts.
func (sim *simulation) deliverFrame(t *rapid.T) {
	a := sim.pickAgent(t, func(a *modelAgent) bool { return a.up && len(a.inbox) > 0 })
	f := a.inbox[0]
	a.inbox = a.inbox[1:]
	var out []wire.Result
	for _, s := range f.Starts {
		at := &modelAttempt{task: taskID{s.Submission, s.Index}, seq: s.Seq, state: queued}
		a.attempts[s.Seq] = at
		if a.notReceived[s.Seq] {
			t.Fatalf("an attempt was sent again after it was reported as not received")
		}
		if rapid.IntRange(0, 2).Draw(t, "busy") == 0 {
			sim.markNotRun(a, at)
			out = append(out, at.result)
		}
	}
	for _, seq := range f.Cancels {
		if at := a.attempts[seq]; at != nil && at.state == queued {
			sim.markNotRun(a, at)
			out = append(out, at.result)
		}
	}
	for _, seq := range f.Queries {
		out = append(out, sim.query(a, seq)...)
	}
	sim.reply(a, out...)
}

// query answers a query as an agent does: an attempt that it does not know is
// refused for good.
func (sim *simulation) query(a *modelAgent, seq wire.Seq) []wire.Result {
	at := a.attempts[seq]
	switch {
	case at == nil:
		a.notReceived[seq] = true
		sim.dropLostStart(a, seq)
		return []wire.Result{{Seq: seq, Outcome: wire.NotRun, Reason: wire.ReasonNotReceived}}
	case at.state == ended:
		return []wire.Result{at.result}
	}
	return nil
}

// dropLostStart marks the attempt of a start that never arrived as not run.
func (sim *simulation) dropLostStart(a *modelAgent, seq wire.Seq) {
	for id, s := range sim.startsInTransit[a.incarnation] {
		if s == seq {
			sim.liveAttempts[id]--
			delete(sim.startsInTransit[a.incarnation], id)
		}
	}
}

func (sim *simulation) startRun(t *rapid.T) {
	a := sim.pickAgent(t, func(a *modelAgent) bool { return len(a.attemptsIn(queued)) > 0 })
	at := rapid.SampledFrom(a.attemptsIn(queued)).Draw(t, "attempt")
	at.state = running
	sim.startCounts[at.task]++
	if sim.startCounts[at.task] > 1 {
		t.Fatalf("task %v started twice", at.task)
	}
	j := sim.jobs[at.task.sub]
	if j.released || (j.answer != nil && j.answer.Outcome == entry.Refused) {
		t.Fatalf("a task started after its job was refused or its claim was released")
	}
}

func (sim *simulation) finishRun(t *rapid.T) {
	a := sim.pickAgent(t, func(a *modelAgent) bool { return len(a.attemptsIn(running)) > 0 })
	at := rapid.SampledFrom(a.attemptsIn(running)).Draw(t, "attempt")
	at.state = ended
	at.result = wire.Result{Seq: at.seq, Outcome: wire.Succeeded, Body: []byte(expectedBody(at.task))}
	switch rapid.IntRange(0, 11).Draw(t, "outcome") {
	case 0:
		at.result = wire.Result{Seq: at.seq, Outcome: wire.Failed}
	case 1:
		at.result = wire.Result{Seq: at.seq, Outcome: wire.Unknown}
	}
	sim.outcomeKnown[at.task] = at.result.Outcome != wire.Unknown
	sim.ranAndFailed[at.task] = at.result.Outcome == wire.Failed
	sim.reply(a, at.result)
}

func (sim *simulation) loseLink(t *rapid.T) {
	a := sim.pickAgent(t, func(a *modelAgent) bool { return a.up })
	a.up, a.downAt = false, sim.now
	a.inbox = nil
	sim.step(entry.LinkDown{Agent: a.incarnation, Epoch: a.epoch})
}

func (sim *simulation) reconnect(t *rapid.T) {
	sim.connect(sim.pickAgent(t, func(*modelAgent) bool { return true }))
}

// restart kills an agent and connects a new incarnation of the same name,
// before or after the entry notices that the old link is down.
func (sim *simulation) restart(t *rapid.T) {
	a := sim.pickAgent(t, func(*modelAgent) bool { return true })
	a.dead = true
	successor := sim.newAgent(a.name)
	sim.agents = append(sim.agents, successor)
	noticed := rapid.Bool().Draw(t, "noticed")
	down := entry.LinkDown{Agent: a.incarnation, Epoch: a.epoch}
	if noticed {
		sim.step(down)
	}
	sim.connect(successor)
	a.up = false
	sim.step(down)
}

// replayResult delivers an earlier result again, on its own or another link. A
// Seq is unique per entry, so only the link that sent the attempt could match.
func (sim *simulation) replayResult(t *rapid.T) {
	if len(sim.deliveredResults) == 0 {
		t.Skip("no result yet")
	}
	a := sim.pickAgent(t, func(a *modelAgent) bool { return a.up })
	r := rapid.SampledFrom(sim.deliveredResults).Draw(t, "result")
	done := sim.scheduler.done
	sim.step(entry.Received{Agent: a.incarnation, Epoch: a.epoch, Frame: &wire.ToEntry{Results: []wire.Result{r}}})
	if sim.scheduler.done != done {
		t.Fatalf("a repeated result ended an attempt")
	}
}

// deliverForgedResult delivers a forged success for an open attempt of another
// agent, and one in a frame of an earlier connection.
func (sim *simulation) deliverForgedResult(t *rapid.T) {
	a := sim.pickAgent(t, func(a *modelAgent) bool { return a.up })
	b := sim.pickAgent(t, func(b *modelAgent) bool { return len(b.attemptsIn(running)) > 0 })
	r := wire.Result{Seq: b.attemptsIn(running)[0].seq, Outcome: wire.Succeeded, Body: []byte("wrong")}
	if a != b {
		sim.step(entry.Received{Agent: a.incarnation, Epoch: a.epoch, Frame: &wire.ToEntry{Results: []wire.Result{r}}})
	}
	sim.step(entry.Received{Agent: b.incarnation, Epoch: b.epoch - 1, Frame: &wire.ToEntry{Results: []wire.Result{r}}})
}
