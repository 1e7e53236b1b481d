package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// scriptedLog applies the appends of one machine at once and keeps the records.
type scriptedLog struct {
	machine *durable.Machine
	now     time.Duration
	records []durable.Record
	drives  []durable.Drive
	// acknowledged holds what the machine has acknowledged.
	acknowledged []durable.Acknowledge
	refused      []durable.DrivesRefused
}

func newScriptedLog(incarnation wire.Incarnation, records []durable.Record) *scriptedLog {
	l := &scriptedLog{machine: durable.New(durable.Options{Self: durable.ProcessID{Incarnation: incarnation, Name: "vm"}}), now: 1}
	l.step(durable.Read{Snapshot: true, RequestedAt: 1, Records: records})
	return l
}

// step steps the machine, records what it appends, and lets it read that.
func (l *scriptedLog) step(ev durable.Event) {
	l.now += 30 * time.Millisecond // longer than the least time between two appends
	for _, action := range l.machine.Step(l.now, ev) {
		switch x := action.(type) {
		case durable.Fence:
			l.step(durable.Fenced{Writer: x.Writer, Done: true})
		case durable.Drive:
			l.drives = append(l.drives, x)
		case durable.DrivesRefused:
			l.refused = append(l.refused, x)
		case durable.Acknowledge:
			l.acknowledged = append(l.acknowledged, x)
		case durable.Append:
			var appended []durable.Record
			for _, r := range x.Records {
				r.Offset = int64(len(l.records) + len(appended))
				appended = append(appended, r)
			}
			l.records = append(l.records, appended...)
			l.step(durable.Appended{Outcome: durable.Recorded, SentAt: l.now})
			l.step(durable.Read{Records: appended, RequestedAt: l.now})
		}
	}
}

// newest returns the newest record of each key.
func (l *scriptedLog) newest() (out []durable.Record) {
	last := make(map[string]int)
	for i, r := range l.records {
		last[r.Key] = i
	}
	for i, r := range l.records {
		if last[r.Key] == i && len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Guards against an owner that starts a task on as many workers again as the owner
// before it, whose crashes it does not know of, and against a record that is kept
// after the end of the job.
func TestCrashesSurviveTakeover(t *testing.T) {
	crashed := func(index, crashes int) durable.RunCrashed {
		return durable.RunCrashed{Run: wire.RunRef{Job: "j", Index: index, Run: crashes}, Crashes: crashes}
	}
	first := newScriptedLog(7, nil)
	first.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 3}}}})
	first.step(durable.Tick{})
	assert.Equal(t, len(first.drives), 1)
	first.step(crashed(1, 1))
	first.step(crashed(1, 2))
	first.step(durable.RunFinished{Run: wire.FinishedRun{Run: wire.RunRef{Job: "j", Index: 1, Run: 3}, Failed: true}})
	first.step(crashed(2, 1))
	first.step(durable.Tick{})

	// The next process of the same VM takes the job over at once.
	second := newScriptedLog(9, first.newest())
	second.records = first.records
	for range 100 {
		second.step(durable.Tick{})
	}
	assert.Equal(t, len(second.drives), 1)
	assert.DeepEqual(t, second.drives[0].Progress, []entry.TaskProgress{{}, {Failures: 1, Crashes: 2}, {Crashes: 1}})

	second.step(durable.DriveEnded{Job: "j", Outcome: entry.Failed, Reason: entry.ReasonWorkersCrashed})
	for range 3 {
		second.step(durable.Tick{})
	}
	state, _ := second.machine.State("j")
	assert.Equal(t, state, durable.Failed)
	for _, r := range second.newest() {
		assert.Assert(t, r.Key[0] != 'x', "the crash record is kept")
	}
}

// Guards against a long-running task that fails after a takeover because of crashes that
// its owner has forgotten.
func TestForgottenCrashesDoNotSurviveTakeover(t *testing.T) {
	first := newScriptedLog(7, nil)
	first.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, LongRunning: true, Steps: []entry.Step{{Tasks: 2}}}})
	first.step(durable.Tick{})
	for run, crashes := range []int{1, 2, 0} {
		first.step(durable.RunCrashed{Run: wire.RunRef{Job: "j", Index: 1, Run: run + 1}, Crashes: crashes})
		first.step(durable.Tick{})
	}
	follower := newScriptedLog(9, first.records) // reads every record, as it follows the log
	follower.records = first.records
	for range 100 {
		follower.step(durable.Tick{})
	}
	assert.Equal(t, len(follower.drives), 1)
	assert.DeepEqual(t, follower.drives[0].Progress, []entry.TaskProgress{{}, {}})
}

// Guards against crashes under members of a gang that are lost with their owner, and
// against the sum of the members' crashes in their place: the gang would be given up
// although under none of its tasks two workers crashed.
func TestCrashesUnderGangAreRecordedForEachMember(t *testing.T) {
	first := newScriptedLog(7, nil)
	first.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 3, Gang: true}}}})
	first.step(durable.Tick{})
	for _, x := range []durable.RunCrashed{
		{Run: wire.RunRef{Job: "j", Index: 1, Run: 1}, Crashes: 1},
		{Run: wire.RunRef{Job: "j", Index: 2, Run: 2}, Crashes: 1},
		{Run: wire.RunRef{Job: "j", Index: 2, Run: 3}, Crashes: 2},
		{Run: wire.RunRef{Job: "j", Index: 0, Run: 4}, Crashes: 1},
	} {
		first.step(x)
	}
	first.step(durable.Tick{})

	second := newScriptedLog(9, first.newest())
	second.records = first.records
	for range 100 {
		second.step(durable.Tick{})
	}
	assert.Equal(t, len(second.drives), 1)
	assert.DeepEqual(t, second.drives[0].Progress, []entry.TaskProgress{{Crashes: 1}, {Crashes: 1}, {Crashes: 2}})
}
