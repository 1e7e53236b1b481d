package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// alonePlacingScheduler also places tasks that run alone.
type alonePlacingScheduler struct{ gatedScheduler }

func (s *alonePlacingScheduler) PlaceAlone(_ time.Duration, t *policy.Task) (placement, bool) {
	return placement{Task: t, Agent: 1}, true
}

// A leasedStart is a way in which a stored job comes to start a task. prepare brings the
// machine to the point at which the next event starts it.
type leasedStart struct {
	name    string
	job     entry.Submit
	prepare func(*alonePlacingScheduler, func(entry.Event))
	event   entry.Event
	// leaseLeft is the part of the lease that the start needs. 0 stands for the least.
	leaseLeft time.Duration
}

func resultEvent(seq wire.Seq, o wire.Outcome, r wire.Reason) entry.Received {
	return entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{{Seq: seq, Outcome: o, Reason: r}}}}
}

var leasedStarts = []leasedStart{
	{name: "submission", event: entry.Submit{Submission: wire.SubmissionID{2}, Job: "k", Payloads: make([][]byte, 1), Stored: true}},
	{name: "run that its agent ended", event: resultEvent(1, wire.Failed, wire.ReasonRunEnded)},
	{name: "run that failed", event: resultEvent(1, wire.Failed, wire.ReasonUpstreamError)},
	{name: "due retry", prepare: func(_ *alonePlacingScheduler, step func(entry.Event)) {
		step(resultEvent(1, wire.NotRun, wire.ReasonBusy))
	}, event: entry.Tick{}},
	{name: "task in the queue", prepare: func(s *alonePlacingScheduler, step func(entry.Event)) {
		s.open = false
		step(resultEvent(1, wire.Failed, wire.ReasonRunEnded))
		s.open = true
	}, event: entry.Tick{}},
	{
		name: "next step", job: entry.Submit{Steps: stepsDependingOn(nil, []int{0}), Payloads: make([][]byte, 2)},
		event: resultEvent(1, wire.Succeeded, wire.ReasonNone),
	},
	{
		name: "next occurrence", job: entry.Submit{
			Steps: []entry.Step{{Tasks: 1}}, Occurrences: []time.Duration{0, 30 * time.Second}, Payloads: make([][]byte, 2),
		},
		event: entry.Tick{},
	},
	{name: "restart of a long-running task", job: entry.Submit{LongRunning: true}, prepare: func(_ *alonePlacingScheduler, step func(entry.Event)) {
		step(resultEvent(1, wire.Succeeded, wire.ReasonNone))
	}, event: entry.Tick{}},
	{name: "gang that runs again", job: entry.Submit{Steps: []entry.Step{{Tasks: 2, Gang: true}}, Payloads: make([][]byte, 2)}, prepare: func(_ *alonePlacingScheduler, step func(entry.Event)) {
		step(resultEvent(1, wire.Failed, wire.ReasonRunEnded))
	}, event: resultEvent(2, wire.Failed, wire.ReasonStopped)},
	{name: "task that runs alone", job: entry.Submit{Progress: []entry.TaskProgress{{Crashes: 1}}}, event: resultEvent(1, wire.Failed, wire.ReasonWorkerCrashed)},
	{name: "lost run", prepare: func(_ *alonePlacingScheduler, step func(entry.Event)) {
		step(entry.AgentReplaced{Agent: 1})
		step(linkUp(2, 0))
	}, event: entry.Tick{}, leaseLeft: 1200 * time.Millisecond},
}

// startsAt returns how many tasks the event starts at the given time.
func (c *leasedStart) startsAt(at, lease time.Duration) int {
	s := new(alonePlacingScheduler)
	s.open = true
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: lease})
	job := c.job
	job.Submission, job.Job, job.Stored, job.MaxFailedRuns = testJob, "j", true, 3
	if job.Payloads == nil {
		job.Payloads = make([][]byte, 1)
	}
	m.Step(0, job)
	if c.prepare != nil {
		c.prepare(s, func(ev entry.Event) { m.Step(1, ev) })
	}
	before := m.Stats().Starts
	m.Step(at, c.event)
	return int(m.Stats().Starts - before)
}

// Guards against two runs of a task at the same time: an entry wakes after its lease has
// expired, or an agent reports late, and the first event that it handles would start a
// task of a job that another entry may drive by then.
func TestNothingOfStoredJobsIsStartedWithoutLease(t *testing.T) {
	for i := range leasedStarts {
		c := &leasedStarts[i]
		leaseLeft := max(1, c.leaseLeft)
		assert.Assert(t, c.startsAt(storedLeaseEnd-leaseLeft, storedLeaseEnd) > 0, "%s: the event starts nothing under the lease", c.name)
		assert.Equal(t, c.startsAt(storedLeaseEnd, storedLeaseEnd), 0, c.name)
		assert.Equal(t, c.startsAt(time.Hour, storedLeaseEnd), 0, c.name)
	}
}

// Guards against a task that is started again after a run of it has succeeded: an owner
// that was cut off repeats a lost run at the end of its lease, and the next owner is told
// of the success of that run and counts it.
func TestLostRunIsNotRepeatedByOwnerThatWasCutOff(t *testing.T) {
	m := startStoredJobWith(t, new(newestAgentScheduler), false)
	lost := storedLeaseEnd - 1700*time.Millisecond
	m.Step(lost, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(lost, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "v", Slots: 8}})
	for now := lost; now < storedLeaseEnd; now += 10 * time.Millisecond {
		m.Step(now, entry.Tick{})
		assert.Equal(t, int(m.Stats().Starts), 1, "the lost run is repeated %v before the end of the lease", storedLeaseEnd-now)
	}
	m.Step(storedLeaseEnd-1, entry.StoredLease{Until: storedLeaseEnd + 5*time.Second})
	m.Step(storedLeaseEnd+time.Second, entry.Tick{})
	assert.Equal(t, int(m.Stats().Starts), 2, "an owner in touch with the log repeats the lost run")
}

// Guards against a repetition of a lost run that the next owner of the job cannot know of.
func TestRepetitionOfLostRunIsReported(t *testing.T) {
	m := startStoredJobWith(t, new(newestAgentScheduler), false)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(time.Second, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "v", Slots: 8}})
	var reported []entry.RunRepeated
	for _, a := range m.Step(1500*time.Millisecond, entry.Tick{}) {
		if x, ok := a.(entry.RunRepeated); ok {
			reported = append(reported, x)
		}
	}
	assert.DeepEqual(t, reported, []entry.RunRepeated{{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}}})
}
