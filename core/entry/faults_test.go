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

func (w *world) pick(t *rapid.T, ok func(*modelAgent) bool) *modelAgent {
	var fit []*modelAgent
	for _, a := range w.agents {
		if !a.dead && ok(a) {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		t.Skip("no such agent")
	}
	return fit[rapid.IntRange(0, len(fit)-1).Draw(t, "agent")]
}

func (w *world) connect(a *modelAgent) {
	a.epoch++
	a.up = true
	a.inbox = nil
	w.step(entry.LinkUp{Hello: wire.AgentHello{Agent: a.inc, Epoch: a.epoch, Name: a.name, Slots: 4}})
}

func (w *world) reply(a *modelAgent, results ...wire.Result) {
	if !a.up {
		return
	}
	w.old = append(w.old, results...)
	w.step(entry.Received{Agent: a.inc, Epoch: a.epoch, Frame: &wire.ToEntry{Results: results}})
}

// notRun records, for good, that the attempt will not start.
func (w *world) notRun(a *modelAgent, t *modelAttempt) {
	t.state = ended
	t.result = wire.Result{Seq: t.seq, Outcome: wire.NotRun, Reason: wire.ReasonBusy}
	w.live[t.task]--
}

// deliver hands one frame to an agent, which accepts or refuses its starts.
func (w *world) deliver(t *rapid.T) {
	a := w.pick(t, func(a *modelAgent) bool { return a.up && len(a.inbox) > 0 })
	f := a.inbox[0]
	a.inbox = a.inbox[1:]
	var out []wire.Result
	for _, s := range f.Starts {
		at := &modelAttempt{task: taskID{s.Submission, s.Index}, seq: s.Seq, state: queued}
		a.attempts[s.Seq] = at
		if a.refused[s.Seq] {
			t.Fatalf("a seq was sent again after a tombstone")
		}
		if rapid.IntRange(0, 2).Draw(t, "busy") == 0 {
			w.notRun(a, at)
			out = append(out, at.result)
		}
	}
	for _, seq := range f.Cancels {
		if at := a.attempts[seq]; at != nil && at.state == queued {
			w.notRun(a, at)
			out = append(out, at.result)
		}
	}
	for _, seq := range f.Queries {
		out = append(out, w.query(a, seq)...)
	}
	w.reply(a, out...)
}

func (w *world) query(a *modelAgent, seq wire.Seq) []wire.Result {
	at := a.attempts[seq]
	switch {
	case at == nil:
		a.refused[seq] = true
		w.lost(a, seq)
		return []wire.Result{{Seq: seq, Outcome: wire.NotRun, Reason: wire.ReasonNotReceived}}
	case at.state == ended:
		return []wire.Result{at.result}
	}
	return nil
}

// lost marks the attempt of a start that never arrived as not run.
func (w *world) lost(a *modelAgent, seq wire.Seq) {
	for id, s := range w.transit[a.inc] {
		if s == seq {
			w.live[id]--
			delete(w.transit[a.inc], id)
		}
	}
}

func (w *world) run(t *rapid.T) {
	a := w.pick(t, func(a *modelAgent) bool { return len(a.in(queued)) > 0 })
	at := rapid.SampledFrom(a.in(queued)).Draw(t, "attempt")
	at.state = running
	w.starts[at.task]++
	if w.starts[at.task] > 1 {
		t.Fatalf("task %v started twice", at.task)
	}
	j := w.jobs[at.task.sub]
	if j.released || (j.answer != nil && j.answer.Outcome == entry.Refused) {
		t.Fatalf("started after its job was refused or its claim released")
	}
}

func (w *world) finish(t *rapid.T) {
	a := w.pick(t, func(a *modelAgent) bool { return len(a.in(running)) > 0 })
	at := rapid.SampledFrom(a.in(running)).Draw(t, "attempt")
	at.state = ended
	at.result = wire.Result{Seq: at.seq, Outcome: wire.Succeeded, Body: []byte(bodyOf(at.task))}
	switch rapid.IntRange(0, 11).Draw(t, "outcome") {
	case 0:
		at.result = wire.Result{Seq: at.seq, Outcome: wire.Failed}
	case 1:
		at.result = wire.Result{Seq: at.seq, Outcome: wire.Unknown}
	}
	w.known[at.task] = at.result.Outcome != wire.Unknown
	w.failed[at.task] = at.result.Outcome == wire.Failed
	w.reply(a, at.result)
}

func (w *world) loseLink(t *rapid.T) {
	a := w.pick(t, func(a *modelAgent) bool { return a.up })
	a.up = false
	a.inbox = nil
	w.step(entry.LinkDown{Agent: a.inc, Epoch: a.epoch})
}

func (w *world) reconnect(t *rapid.T) {
	w.connect(w.pick(t, func(*modelAgent) bool { return true }))
}

// restart kills an agent and brings up a new incarnation of the same name,
// before or after the entry notices that the old link is down.
func (w *world) restart(t *rapid.T) {
	a := w.pick(t, func(*modelAgent) bool { return true })
	a.dead = true
	fresh := w.newAgent(a.name)
	w.agents = append(w.agents, fresh)
	noticed := rapid.Bool().Draw(t, "noticed")
	down := entry.LinkDown{Agent: a.inc, Epoch: a.epoch}
	if noticed {
		w.step(down)
	}
	w.connect(fresh)
	a.up = false
	w.step(down)
}

// replay delivers an earlier result again on its own or another link: seqs are
// unique per entry, so only the owner's link could match.
func (w *world) replay(t *rapid.T) {
	if len(w.old) == 0 {
		t.Skip("no result yet")
	}
	a := w.pick(t, func(a *modelAgent) bool { return a.up })
	r := rapid.SampledFrom(w.old).Draw(t, "result")
	done := w.s.done
	w.step(entry.Received{Agent: a.inc, Epoch: a.epoch, Frame: &wire.ToEntry{Results: []wire.Result{r}}})
	if w.s.done != done {
		t.Fatalf("a repeated result ended an attempt")
	}
}

// crossed delivers a forged success for an open attempt of another agent, and
// a frame of an older connection.
func (w *world) crossed(t *rapid.T) {
	a := w.pick(t, func(a *modelAgent) bool { return a.up })
	b := w.pick(t, func(b *modelAgent) bool { return len(b.in(running)) > 0 })
	r := wire.Result{Seq: b.in(running)[0].seq, Outcome: wire.Succeeded, Body: []byte("wrong")}
	if a != b {
		w.step(entry.Received{Agent: a.inc, Epoch: a.epoch, Frame: &wire.ToEntry{Results: []wire.Result{r}}})
	}
	w.step(entry.Received{Agent: b.inc, Epoch: b.epoch - 1, Frame: &wire.ToEntry{Results: []wire.Result{r}}})
}
