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

// answerBound is the time after its deadline within which an entry that was not
// paused must answer a submission: the settle timeout, plus 500 ms for ticks.
const answerBound = entry.DefaultSettleTimeout + 500*time.Millisecond

// violation is one observed violation of a promise.
type violation struct {
	promise string
	detail  string
}

// taskID identifies a task by its submission or, for a job with a key, by the key.
type taskID struct {
	submissionOrKey string
	index           int
}

// checker checks the promises. It observes starts at upstreams, answers, and the
// current configurations of entries and agents.
type checker struct {
	violations         []violation
	startsByTask       map[taskID]int
	startsByKey        map[taskID]int
	startsBySubmission map[wire.SubmissionID]int
	answers            map[wire.SubmissionID]entry.JobAnswer
}

func newChecker() *checker {
	return &checker{
		startsByTask: make(map[taskID]int), startsByKey: make(map[taskID]int),
		startsBySubmission: make(map[wire.SubmissionID]int), answers: make(map[wire.SubmissionID]entry.JobAnswer),
	}
}

func (c *checker) report(promise, detail string) {
	c.violations = append(c.violations, violation{promise, detail})
}

func (c *checker) violated(promise string) bool {
	return slices.ContainsFunc(c.violations, func(v violation) bool { return v.promise == promise })
}

// taskStarted counts a start that reached an upstream (P1, P3, P4, P5).
func (c *checker) taskStarted(sub wire.SubmissionID, j *job, r *wire.Start) {
	id := taskID{sub.String(), r.Index}
	c.startsByTask[id]++
	c.startsBySubmission[sub]++
	if c.startsByTask[id] > 1 {
		c.report("P1", fmt.Sprintf("submission %s task %d started %d times", sub, r.Index, c.startsByTask[id]))
	}
	if a, ok := c.answers[sub]; ok && a.Outcome == entry.Refused {
		c.report("P4", fmt.Sprintf("submission %s was refused (%s) and started later", sub, a.Reason))
	}
	if !bytes.Equal(r.Payload, j.tasks[r.Index]) {
		c.report("P3", fmt.Sprintf("submission %s task %d started with a different payload", sub, r.Index))
	}
	if j.key == "" {
		return
	}
	id.submissionOrKey = j.key
	if c.startsByKey[id]++; c.startsByKey[id] > 1 {
		c.report("P5", fmt.Sprintf("key %s task %d started %d times", j.key, r.Index, c.startsByKey[id]))
	}
}

// runStarted counts a run that reached its upstream.
func (c *checker) runStarted(sim *simulation, r *taskRun) {
	c.taskStarted(r.start.Submission, sim.submissions[r.start.Submission].job, &r.start)
}

// runRequested checks P6 at the agent: after its planned stop has begun, it starts
// no task.
func (c *checker) runRequested(a *agentNode) {
	if a.draining {
		c.report("P6", fmt.Sprintf("agent %d requested a run %v after its planned stop began", a.index, a.sim.now-a.drainStartedAt))
	}
}

// startSent checks P6 at the entry: it sends no start to an agent after it has
// received a frame saying that the agent drains.
func (c *checker) startSent(e *entryNode, a *agentNode) {
	if e.reportedDraining[a.incarnation] {
		c.report("P6", fmt.Sprintf("entry %d sent a start to agent %d, which had reported that it drains", e.index, a.index))
	}
}

// submissionAnswered checks an answer of an entry (P2, P3, P4).
func (c *checker) submissionAnswered(sim *simulation, sub *submission, a entry.JobAnswer) {
	if _, twice := c.answers[sub.id]; twice {
		c.report("P2", fmt.Sprintf("submission %s was answered twice", sub.id))
	}
	c.answers[sub.id] = a
	if a.Outcome == entry.Refused && c.startsBySubmission[sub.id] > 0 {
		c.report("P4", fmt.Sprintf("submission %s was refused (%s) after %d starts", sub.id, a.Reason, c.startsBySubmission[sub.id]))
	}
	c.checkResults(sub, a)
}

// duplicateAnswered checks the answer to a submission that got the answer of
// another submission with the same key.
func (c *checker) duplicateAnswered(_ *simulation, sub *submission, a entry.JobAnswer) {
	if n := c.startsBySubmission[sub.id]; n > 0 {
		c.report("P5", fmt.Sprintf("submission %s started %d tasks, but another submission holds its key", sub.id, n))
	}
	c.checkResults(sub, a)
}

// checkResults checks that an answer has the result of every task if it is complete,
// and otherwise no result (P2, P3).
func (c *checker) checkResults(sub *submission, a entry.JobAnswer) {
	if a.Outcome != entry.Complete {
		if len(a.Results) > 0 {
			c.report("P2", fmt.Sprintf("submission %s is %v with %d results", sub.id, a.Outcome, len(a.Results)))
		}
		return
	}
	if len(a.Results) != len(sub.job.tasks) {
		c.report("P2", fmt.Sprintf("submission %s is complete with %d of %d results", sub.id, len(a.Results), len(sub.job.tasks)))
		return
	}
	for i, r := range a.Results {
		if !bytes.Equal(r, resultOf(sub.job.tasks[i])) {
			c.report("P3", fmt.Sprintf("submission %s task %d has the wrong result %q", sub.id, i, r))
		}
	}
}

// checkResponseTime checks the time until an answer. Only pauses of the entry
// extend the bound.
func (c *checker) checkResponseTime(sim *simulation, sub *submission) {
	if elapsed := sim.now - sub.sentAt; elapsed > sub.job.deadline+answerBound+sub.entry.totalPause {
		c.report("deadline", fmt.Sprintf("submission %s was answered after %v", sub.id, elapsed))
	}
}

// agentExited checks P7 when an agent exits at the end of its planned stop.
func (c *checker) agentExited(a *agentNode) {
	if len(a.runs) > 0 {
		c.report("P7", fmt.Sprintf("agent %d ended its planned stop with %d unfinished runs", a.index, len(a.runs)))
	}
}

// entryExited checks P7 when an entry exits at the end of its planned stop.
func (c *checker) entryExited(e *entryNode) {
	for _, id := range sortedIDs(e.submissions) {
		if _, ok := c.answers[id]; !ok {
			c.report("P7", fmt.Sprintf("entry %d ended its planned stop without answering %s", e.index, id))
		}
	}
}

// checkAgentConfigVersion checks that the configuration version of an agent never
// decreases (P8).
func (c *checker) checkAgentConfigVersion(a *agentNode) {
	v := a.machine.ConfigVersion()
	if v < a.configVersion {
		c.report("P8", fmt.Sprintf("agent %d went back from version %d to %d", a.index, a.configVersion, v))
	}
	a.configVersion = v
}

// applyConfig passes a new state of the configuration machine to the entry's state
// machine, as the entry process does.
func (e *entryNode) applyConfig() {
	v := e.config.Version()
	if v == e.configVersion {
		return
	}
	if v < e.configVersion {
		e.sim.checker.report("P8", fmt.Sprintf("entry %d went back from version %d to %d", e.index, e.configVersion, v))
	}
	before := e.configVersion
	e.configVersion = v
	e.sim.reachStep(stepInForce, e.index, int(v)%agentCount)
	if e.dead {
		return
	}
	ev := entry.Configured{Settings: e.config.State().Settings(), Version: v, State: e.config.State().Encode()}
	if delta, ok := config.Delta(ev.State, before); ok && before > 0 {
		ev.Delta, ev.BaseVersion = delta, before
	}
	e.step(ev)
	e.sim.checker.checkConfigInEffect(e)
}

// checkConfigInEffect checks that the current configuration of an entry is the one
// accepted at exactly that version. A change that lost the race must have no
// effect, not even until the next change (P8).
func (c *checker) checkConfigInEffect(e *entryNode) {
	accepted := make(map[int64]time.Duration)
	m := config.New(config.Options{})
	for _, r := range e.sim.log.records[configStream] {
		for _, v := range m.Apply(r.offset, r.at, r.body) {
			if v.Outcome == config.Accepted {
				accepted[v.Revision] = time.Duration(v.Change.Value.ResponseTargetMicros) * time.Microsecond
			}
		}
	}
	got := e.scheduler.settings.Classes
	if want, ok := accepted[e.configVersion]; !ok || len(got) != 1 || got[0].ResponseTarget != want {
		c.report("P8", fmt.Sprintf("entry %d has %v in effect as version %d, but %v was accepted", e.index, got, e.configVersion, want))
	}
}

// checkNoJobLost checks that no accepted submission failed, had an unknown outcome or
// lost its connection, and that every job was complete in the end (P7 for planned
// stops).
func (c *checker) checkNoJobLost(sim *simulation) {
	for _, id := range sortedIDs(sim.submissions) {
		sub := sim.submissions[id]
		lost := sub.accepted && (sub.connectionBroken || sub.outcome == entry.Failed || sub.outcome == entry.Unknown)
		if lost || !sub.job.done {
			c.report("P7", fmt.Sprintf("%s ended as %v (%s), connection broken %v", sub.job.name, sub.outcome, sub.reason, sub.connectionBroken))
		}
	}
}

// checkFinalState checks that all submissions have ended and that every process
// has the accepted configuration, without any effect of changes that lost the
// race (P8).
func (c *checker) checkFinalState(sim *simulation) {
	if sim.openSubmissions > 0 {
		c.report("deadline", fmt.Sprintf("%d submissions have not ended at %v", sim.openSubmissions, sim.now))
	}
	want := sim.acceptedConfig()
	wantTarget := want.State().Settings().Classes[0].ResponseTarget
	for _, e := range sim.entries {
		got := e.scheduler.settings.Classes
		if e.configVersion != want.Version() || len(got) != 1 || got[0].ResponseTarget != wantTarget {
			c.report("P8", fmt.Sprintf("entry %d has version %d (%v), accepted is %d (%v)", e.index, e.configVersion, got, want.Version(), wantTarget))
		}
	}
	for _, a := range sim.agents {
		if v := a.machine.ConfigVersion(); v != want.Version() {
			c.report("P8", fmt.Sprintf("agent %d has version %d, accepted is %d", a.index, v, want.Version()))
		}
		if !bytes.Equal(configOf(a), want.State().Encode()) {
			c.report("P8", fmt.Sprintf("agent %d holds a state that differs from the accepted one", a.index))
		}
	}
}

// configOf returns the configuration that an agent sends to an entry that has
// none.
func configOf(a *agentNode) []byte {
	const unknownEntry = 1 << 40
	for _, action := range a.machine.Step(a.sim.now, agent.LinkUp{Entry: unknownEntry, Epoch: 1}) {
		if x, ok := action.(*agent.Send); ok && x.Entry == unknownEntry && x.Frame.Config != nil {
			return x.Frame.Config.State
		}
	}
	return nil
}

var _ agentMachine = (*agent.Machine)(nil)
var _ configMachine = (*config.Machine)(nil)
