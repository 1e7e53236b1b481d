package faultmatrix

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// answerBound is how long after its deadline a submission may be answered by
// an entry that was not paused: SettleBound, and ticks.
const answerBound = entry.DefaultSettleTimeout + 500*time.Millisecond

// violation is one broken promise.
type violation struct {
	promise string
	detail  string
}

type taskID struct {
	owner string // submission or key
	index int
}

// checker observes starts at upstreams, answers, and configurations in force.
type checker struct {
	found   []violation
	starts  map[taskID]int
	keys    map[taskID]int
	started map[wire.SubmissionID]int
	answers map[wire.SubmissionID]entry.JobAnswer
}

func newChecker() *checker {
	return &checker{
		starts: make(map[taskID]int), keys: make(map[taskID]int),
		started: make(map[wire.SubmissionID]int), answers: make(map[wire.SubmissionID]entry.JobAnswer),
	}
}

func (c *checker) fail(promise, detail string) { c.found = append(c.found, violation{promise, detail}) }

func (c *checker) broken(promise string) bool {
	return slices.ContainsFunc(c.found, func(v violation) bool { return v.promise == promise })
}

// started counts one start that an upstream saw (P1, P3, P4, P5).
func (c *checker) startedTask(sub wire.SubmissionID, j *job, r *wire.Start) {
	id := taskID{sub.String(), r.Index}
	c.starts[id]++
	c.started[sub]++
	if c.starts[id] > 1 {
		c.fail("P1", fmt.Sprintf("submission %s task %d started %d times", sub, r.Index, c.starts[id]))
	}
	if a, ok := c.answers[sub]; ok && a.Outcome == entry.Refused {
		c.fail("P4", fmt.Sprintf("submission %s was refused (%s) and started later", sub, a.Reason))
	}
	if !bytes.Equal(r.Payload, j.tasks[r.Index]) {
		c.fail("P3", fmt.Sprintf("submission %s task %d got another payload", sub, r.Index))
	}
	if j.key == "" {
		return
	}
	id.owner = j.key
	if c.keys[id]++; c.keys[id] > 1 {
		c.fail("P5", fmt.Sprintf("key %s task %d ran %d times", j.key, r.Index, c.keys[id]))
	}
}

func (c *checker) startedRun(w *world, r *taskRun) {
	c.startedTask(r.start.Submission, w.calls[r.start.Submission].job, &r.start)
}

// runOrdered checks P6 at the agent: after its stop began it starts nothing.
func (c *checker) runOrdered(a *agentNode) {
	if a.draining {
		c.fail("P6", fmt.Sprintf("agent %d ordered a start %v after its stop began", a.k, a.w.now-a.drainAt))
	}
}

// startSent checks P6 at the entry: it has read that the agent is draining.
func (c *checker) startSent(e *entryNode, a *agentNode) {
	if e.saidDraining[a.inc] {
		c.fail("P6", fmt.Sprintf("entry %d sent a start to agent %d, which had said that it drains", e.i, a.k))
	}
}

// answered checks one answer of an entry (P2, P3, P4).
func (c *checker) answered(w *world, k *call, a entry.JobAnswer) {
	if _, twice := c.answers[k.id]; twice {
		c.fail("P2", fmt.Sprintf("submission %s was answered twice", k.id))
	}
	c.answers[k.id] = a
	if a.Outcome == entry.Refused && c.started[k.id] > 0 {
		c.fail("P4", fmt.Sprintf("submission %s was refused (%s) after %d starts", k.id, a.Reason, c.started[k.id]))
	}
	c.results(k, a)
}

// passedOn checks the answer of another submission with the same key.
func (c *checker) passedOn(_ *world, k *call, a entry.JobAnswer) {
	if n := c.started[k.id]; n > 0 {
		c.fail("P5", fmt.Sprintf("submission %s started %d tasks of a key that another holds", k.id, n))
	}
	c.results(k, a)
}

func (c *checker) results(k *call, a entry.JobAnswer) {
	if a.Outcome != entry.Complete {
		if len(a.Results) > 0 {
			c.fail("P2", fmt.Sprintf("submission %s is %v with %d results", k.id, a.Outcome, len(a.Results)))
		}
		return
	}
	if len(a.Results) != len(k.job.tasks) {
		c.fail("P2", fmt.Sprintf("submission %s has %d of %d results", k.id, len(a.Results), len(k.job.tasks)))
		return
	}
	for i, r := range a.Results {
		if !bytes.Equal(r, resultOf(k.job.tasks[i])) {
			c.fail("P3", fmt.Sprintf("submission %s task %d: result %q", k.id, i, r))
		}
	}
}

// took checks the time of an answer. Only a pause of the entry adds to the bound.
func (c *checker) took(w *world, k *call) {
	if took := w.now - k.sentAt; took > k.job.deadline+answerBound+k.entry.pausedFor {
		c.fail("deadline", fmt.Sprintf("submission %s took %v", k.id, took))
	}
}

// agentExit checks P7 at the exit of an agent that was asked to stop.
func (c *checker) agentExit(a *agentNode) {
	if len(a.runs) > 0 {
		c.fail("P7", fmt.Sprintf("agent %d ended its planned stop with %d runs", a.k, len(a.runs)))
	}
}

// entryExit checks P7 at the exit of an entry that was asked to stop.
func (c *checker) entryExit(e *entryNode) {
	for _, id := range sortedIDs(e.calls) {
		if _, ok := c.answers[id]; !ok {
			c.fail("P7", fmt.Sprintf("entry %d ended its planned stop without an answer to %s", e.i, id))
		}
	}
}

// agentConfig checks that an agent's version never goes back (P8).
func (c *checker) agentConfig(a *agentNode) {
	v := a.core.ConfigVersion()
	if v < a.config {
		c.fail("P8", fmt.Sprintf("agent %d went from version %d to %d", a.k, a.config, v))
	}
	a.config = v
}

// configMoved puts the machine's state in force at the core, as the shell does.
func (e *entryNode) configMoved() {
	v := e.cfg.Version()
	if v == e.version {
		return
	}
	if v < e.version {
		e.w.check.fail("P8", fmt.Sprintf("entry %d went from version %d to %d", e.i, e.version, v))
	}
	before := e.version
	e.version = v
	e.w.reach(stepInForce, e.i, int(v)%agentCount)
	if e.dead {
		return
	}
	ev := entry.Configured{Settings: e.cfg.State().Settings(), Version: v, State: e.cfg.State().Encode()}
	if delta, ok := config.Delta(ev.State, before); ok && before > 0 {
		ev.Delta, ev.BaseVersion = delta, before
	}
	e.step(ev)
	e.w.check.inForce(e)
}

// inForce checks that what is in force at an entry was accepted at exactly that
// version: a change that lost the race must not have an effect, not even until
// the next change (P8).
func (c *checker) inForce(e *entryNode) {
	accepted := make(map[int64]time.Duration)
	m := config.New(config.Options{})
	for _, r := range e.w.log.records[configStream] {
		for _, v := range m.Apply(r.offset, r.at, r.body) {
			if v.Outcome == config.Accepted {
				accepted[v.Revision] = time.Duration(v.Change.Value.ResponseTargetMicros) * time.Microsecond
			}
		}
	}
	got := e.sched.settings.Classes
	if want, ok := accepted[e.version]; !ok || len(got) != 1 || got[0].ResponseTarget != want {
		c.fail("P8", fmt.Sprintf("entry %d has %v in force as version %d, accepted is %v", e.i, got, e.version, want))
	}
}

// costsNothing checks that every accepted submission was complete or refused
// and that every job was complete in the end (P7 for planned stops).
func (c *checker) costsNothing(w *world) {
	for _, id := range sortedIDs(w.calls) {
		k := w.calls[id]
		lost := k.accepted && (k.broken || k.outcome == entry.Failed || k.outcome == entry.Unknown)
		if lost || !k.job.done {
			c.fail("P7", fmt.Sprintf("%s ended as %v (%s), broken %v", k.job.name, k.outcome, k.reason, k.broken))
		}
	}
}

// final checks that every call ended and every process has the accepted
// configuration, without effect of changes that lost (P8).
func (c *checker) final(w *world) {
	if w.open > 0 {
		c.fail("deadline", fmt.Sprintf("%d calls have not ended at %v", w.open, w.now))
	}
	want := w.reference()
	within := want.State().Settings().Classes[0].ResponseTarget
	for _, e := range w.entries {
		got := e.sched.settings.Classes
		if e.version != want.Version() || len(got) != 1 || got[0].ResponseTarget != within {
			c.fail("P8", fmt.Sprintf("entry %d has version %d %v, accepted is %d (%v)", e.i, e.version, got, want.Version(), within))
		}
	}
	for _, a := range w.agents {
		if v := a.core.ConfigVersion(); v != want.Version() {
			c.fail("P8", fmt.Sprintf("agent %d has version %d, accepted is %d", a.k, v, want.Version()))
		}
		if !bytes.Equal(configOf(a), want.State().Encode()) {
			c.fail("P8", fmt.Sprintf("agent %d holds another state than the accepted one", a.k))
		}
	}
}

// configOf returns the state that an agent would give to an entry that has none.
func configOf(a *agentNode) []byte {
	const stranger = 1 << 40
	for _, action := range a.core.Step(a.w.now, agent.LinkUp{Entry: stranger, Epoch: 1}) {
		if x, ok := action.(*agent.Send); ok && x.Entry == stranger && x.Frame.Config != nil {
			return x.Frame.Config.State
		}
	}
	return nil
}

var _ agentCore = (*agent.Machine)(nil)
var _ configCore = (*config.Machine)(nil)
