package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// crashesIn returns the crash counts that are to be recorded.
func crashesIn(actions []entry.Action) (out []int) {
	for _, a := range actions {
		if x, ok := a.(entry.RunCrashed); ok {
			out = append(out, x.Crashes)
		}
	}
	return out
}

// Guards against a task that ends the process of one worker after the other for as
// long as its job may wait.
func TestJobFailsAfterThreeWorkersCrashedUnderOneTask(t *testing.T) {
	m := startRepeatableJob(t)
	for seq := wire.Seq(1); seq <= 2; seq++ {
		f, _ := mergeFrames(deliverResult(m, seq, wire.Failed, wire.ReasonWorkerCrashed))
		assert.Equal(t, len(f.Starts), 1)
	}
	actions := deliverResult(m, 3, wire.Failed, wire.ReasonWorkerCrashed)
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, answersIn(actions)[0].Outcome, entry.Failed)
	assert.Equal(t, answersIn(actions)[0].Reason, entry.ReasonWorkersCrashed)
	assert.Equal(t, answersIn(actions)[0].Detail, "task 0.0.0 after run 3: failed runs 0 of 3, worker crashes 3 of 3, last run worker_crashed")
}

// Guards against a task that uses up its failed runs because its workers crash, and
// against one that is given up because its workers were silent.
func TestCrashesAndFailuresAreCountedApart(t *testing.T) {
	m := startRepeatableJob(t)
	for i, reason := range []wire.Reason{
		wire.ReasonWorkerCrashed, wire.ReasonRunEnded, wire.ReasonUpstreamError, wire.ReasonRunEnded,
		wire.ReasonWorkerCrashed, wire.ReasonRunEnded, wire.ReasonUpstreamError,
	} {
		f, _ := mergeFrames(deliverResult(m, wire.Seq(i+1), wire.Failed, reason))
		assert.Equal(t, len(f.Starts), 1, "run %d", i+1)
	}
	assert.Equal(t, answersIn(deliverResult(m, 8, wire.Succeeded, wire.ReasonNone))[0].Outcome, entry.Complete)
}

// Guards against crashes that are forgotten with the entry that saw them.
func TestCrashesOfStoredJobAreReportedForRecording(t *testing.T) {
	m := startStoredJob(t, false)
	assert.DeepEqual(t, crashesIn(deliverResult(m, 1, wire.Failed, wire.ReasonWorkerCrashed)), []int{1})
	assert.DeepEqual(t, crashesIn(deliverResult(m, 2, wire.Failed, wire.ReasonWorkerCrashed)), []int{2})
	assert.Equal(t, len(crashesIn(deliverResult(m, 3, wire.Failed, wire.ReasonRunEnded))), 0)
}

// Guards against a further run of a task whose previous owner had recorded the last
// failure or crash that is allowed, but was lost before it recorded the job's end.
func TestTaskIsNotStartedBeyondRecordedLimit(t *testing.T) {
	for _, c := range []struct {
		progress entry.TaskProgress
		reason   string // "" if the task may run
	}{
		{entry.TaskProgress{Failures: 1, Crashes: 2}, ""},
		{entry.TaskProgress{Failures: 2}, entry.ReasonTaskFailed},
		{entry.TaskProgress{Crashes: 3}, entry.ReasonWorkersCrashed},
		{entry.TaskProgress{Crashes: 3, Done: true}, ""},
	} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
		m.Step(0, linkUp(1, 0))
		m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
		actions := m.Step(0, entry.Submit{
			Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 2), Stored: true,
			Progress: []entry.TaskProgress{{}, c.progress},
		})
		f, _ := mergeFrames(actions)
		if c.reason == "" {
			assert.Assert(t, len(f.Starts) > 0, "%+v", c.progress)
			continue
		}
		assert.Equal(t, len(f.Starts), 0, "%+v", c.progress)
		assert.Equal(t, answersIn(actions)[0].Reason, c.reason)
		assert.Equal(t, answersIn(actions)[0].Detail, fmt.Sprintf(
			"task 0.0.1 after run 0: failed runs %d of 2, worker crashes %d of 3, last run none", c.progress.Failures, c.progress.Crashes))
		assert.Equal(t, answersIn(actions)[0].Outcome, entry.Failed)
	}
}

// Guards against a long-running task that fails because of unrelated crashes over its
// life, and against one that ends the process of each worker it starts on.
func TestLongRunningTaskIsBlamedForEarlyCrashesOnly(t *testing.T) {
	m := startStoredJob(t, true)
	seq, now := wire.Seq(0), time.Duration(1)
	crash := func(runTime time.Duration) []entry.Action {
		seq++
		now += time.Second // beyond the delay before a restart
		m.Step(now, entry.Tick{})
		return m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{
			{Seq: seq, Outcome: wire.Failed, Reason: wire.ReasonWorkerCrashed, RunTime: wire.MicrosOf(runTime)},
		}}})
	}
	for range 5 {
		assert.Equal(t, len(answersIn(crash(time.Minute))), 0)
	}
	crash(time.Second)
	crash(time.Second)
	assert.Equal(t, answersIn(crash(time.Second))[0].Reason, entry.ReasonWorkersCrashed)
}

// Guards against a long-running task that fails after a takeover because of early crashes
// long ago: the owner forgot them, but the record did not.
func TestForgottenCrashesOfLongRunningTaskAreReportedForRecording(t *testing.T) {
	m := startStoredJob(t, true)
	now := time.Duration(1)
	for i, c := range []struct {
		runTime  time.Duration
		reported []int
	}{{time.Second, []int{1}}, {time.Second, []int{2}}, {time.Minute, []int{0}}, {time.Minute, nil}, {time.Second, []int{1}}} {
		now += time.Second
		m.Step(now, entry.Tick{})
		actions := m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{
			{Seq: wire.Seq(i + 1), Outcome: wire.Failed, Reason: wire.ReasonWorkerCrashed, RunTime: wire.MicrosOf(c.runTime)},
		}}})
		assert.DeepEqual(t, crashesIn(actions), c.reported)
	}
}

// Guards against a gang under which worker after worker crashes.
func TestGangFailsAfterThreeRunsWithCrashes(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	m.Step(0, entry.Submit{
		Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 2), Stored: true,
		Steps: []entry.Step{{Tasks: 2, Gang: true}},
	})
	now := time.Duration(1)
	var last []entry.Action
	for run := range 3 {
		now += time.Second
		m.Step(now, entry.Tick{})
		first := wire.Seq(2*run + 1)
		last = m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{
			{Seq: first, Outcome: wire.Failed, Reason: wire.ReasonWorkerCrashed},
			{Seq: first + 1, Outcome: wire.Failed, Reason: wire.ReasonRunEnded},
		}}})
		assert.DeepEqual(t, crashesIn(last), []int{run + 1})
	}
	assert.Equal(t, answersIn(last)[0].Reason, entry.ReasonWorkersCrashed)
}

// Guards against a gang that is given up although under none of its tasks two workers have
// crashed, and against members that keep ending their workers after a takeover.
func TestCrashesUnderDifferentMembersOfGangAreCountedApart(t *testing.T) {
	const members = 3
	var open []wire.Start // of the current run
	record := func(actions []entry.Action) {
		f, _ := mergeFrames(actions)
		open = append(open, f.Starts...)
	}
	start := func(progress []entry.TaskProgress) *entry.Machine {
		open = nil
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
		m.Step(0, linkUp(1, 0))
		m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
		record(m.Step(0, entry.Submit{
			Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, members), Stored: true,
			Steps: []entry.Step{{Tasks: members, Gang: true}}, Progress: progress,
		}))
		return m
	}
	// crash ends the run in which the worker of one member crashes.
	crash := func(m *entry.Machine, run, member int) []entry.Action {
		now := time.Duration(run+1) * time.Second
		record(m.Step(now, entry.Tick{}))
		assert.Equal(t, len(open), members)
		frame := &wire.ToEntry{}
		for _, s := range open {
			reason := wire.ReasonRunEnded
			if s.Index == member {
				reason = wire.ReasonWorkerCrashed
			}
			frame.Results = append(frame.Results, wire.Result{Seq: s.Seq, Outcome: wire.Failed, Reason: reason})
		}
		open = nil
		actions := m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: frame})
		record(actions)
		return actions
	}
	m := start(nil)
	for run, member := range []int{0, 1, 2, 2, 1, 0} {
		assert.Equal(t, len(answersIn(crash(m, run, member))), 0, "run %d", run)
	}
	last := answersIn(crash(m, 6, 1))[0]
	assert.Equal(t, last.Reason, entry.ReasonWorkersCrashed)
	assert.Equal(t, last.Detail, "task 0.0.1 after run 7: failed runs 0 of 2, worker crashes 3 of 3, last run worker_crashed")

	for crashed := range members {
		progress := make([]entry.TaskProgress, members)
		progress[crashed].Crashes = 2
		m = start(progress)
		assert.Equal(t, len(answersIn(crash(m, 0, (crashed+1)%members))), 0, "crashes under member %d before the takeover", crashed)
		assert.Equal(t, answersIn(crash(m, 1, crashed))[0].Reason, entry.ReasonWorkersCrashed)
	}
}

// Guards against a long-running gang whose members end the process of each worker that
// starts them and are started without end, and against one that fails because of
// unrelated crashes over its life.
func TestLongRunningGangIsBlamedForEarlyCrashesOnly(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	var open []wire.Start
	record := func(actions []entry.Action) {
		f, _ := mergeFrames(actions)
		open = append(open, f.Starts...)
	}
	record(m.Step(0, entry.Submit{
		Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 2), Stored: true, LongRunning: true,
		Steps: []entry.Step{{Tasks: 2, Gang: true}},
	}))
	now := time.Duration(0)
	crash := func(runTime time.Duration) []entry.Action {
		now += time.Second // beyond the delay before a restart
		record(m.Step(now, entry.Tick{}))
		assert.Equal(t, len(open), 2)
		frame := &wire.ToEntry{}
		for _, s := range open {
			reason := wire.ReasonRunEnded
			if s.Index == 1 {
				reason = wire.ReasonWorkerCrashed
			}
			frame.Results = append(frame.Results, wire.Result{Seq: s.Seq, Outcome: wire.Failed, Reason: reason, RunTime: wire.MicrosOf(runTime)})
		}
		open = nil
		actions := m.Step(now, entry.Received{Agent: 1, Epoch: 1, Frame: frame})
		record(actions)
		return actions
	}
	for range 5 {
		assert.Equal(t, len(answersIn(crash(time.Minute))), 0)
	}
	for range 2 {
		assert.Equal(t, len(answersIn(crash(time.Second))), 0)
	}
	answers := answersIn(crash(time.Second))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Reason, entry.ReasonWorkersCrashed)
}

// Guards against a job that is given up because its task ran beside one that ends the
// process of its worker: after two crashes a task runs alone.
func TestTaskRunsAloneAfterTwoCrashes(t *testing.T) {
	capacity := wire.Capacity{MilliCores: 32000, MemoryMB: 65536}
	need := wire.Capacity{MilliCores: 3000, MemoryMB: 64}
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: 1})})
	m.Step(0, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Minute, TargetShare: 1}}}})
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	const agents, tasks = 4, 6
	now := time.Second
	for i := range agents {
		id := wire.Incarnation(i + 1)
		m.Step(now, entry.LinkUp{Hello: wire.AgentHello{Agent: id, Epoch: 1, Name: string(rune('a' + i)), Slots: 8, Capacity: capacity}})
		m.Step(now, entry.Received{Agent: id, Epoch: 1, Frame: &wire.ToEntry{Load: wire.Load{Slots: 8, Limit: 8, Successes: 100}}})
	}
	type start struct {
		agent wire.Incarnation
		wire.Start
	}
	var open []start
	record := func(actions []entry.Action) {
		for _, a := range actions {
			if s, ok := a.(entry.Send); ok {
				for _, x := range s.Frame.Starts {
					open = append(open, start{s.Agent, x})
				}
			}
		}
	}
	end := func(s start, outcome wire.Outcome, reason wire.Reason) {
		record(m.Step(now, entry.Received{Agent: s.agent, Epoch: 1, Frame: &wire.ToEntry{
			Load:    wire.Load{Slots: 8, Limit: 8, Successes: 100},
			Results: []wire.Result{{Seq: s.Seq, Outcome: outcome, Reason: reason, RunTime: wire.MicrosOf(time.Second)}},
		}}))
	}
	record(m.Step(now, entry.Submit{
		Submission: testJob, Class: "c", Stored: true, MaxFailedRuns: 2, Job: "j", Need: need, Payloads: make([][]byte, tasks),
	}))
	for range 2 {
		crashed := open
		open = nil
		assert.Equal(t, len(crashed), tasks)
		for _, s := range crashed {
			assert.Equal(t, s.Need, need)
			end(s, wire.Failed, wire.ReasonWorkerCrashed)
		}
	}
	for finished := 0; finished < tasks; finished++ {
		now += 100 * time.Millisecond
		record(m.Step(now, entry.Tick{}))
		assert.Equal(t, len(open), 1, "one task at a time")
		assert.Equal(t, open[0].Need, capacity)
		first := open[0]
		open = open[1:]
		end(first, wire.Succeeded, wire.ReasonNone)
	}
	assert.Equal(t, m.Jobs(), 0)
}
