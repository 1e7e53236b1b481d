package durable_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
)

// quotesClass is a class as it is published when a job is accepted.
var quotesClass = policy.Class{
	Name: "quotes", Address: "h.example/quotes/", Pool: "desk", Priority: 2,
	ResponseTarget: 60 * time.Millisecond, TargetShare: 1, RunTimeFactor: 1.6,
}

func submitQuote(l *scriptedLog, published policy.Class) {
	l.step(durable.Submit{Token: 1, Spec: durable.Spec{
		ID: "j", Class: "quotes", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}, Published: published,
	}})
}

// Guards against a job that cannot run any more after its owner was lost: the next owner
// does not know the configuration under which the job was accepted. Also guards against
// records of classes that are kept for good.
func TestClassOfJobSurvivesTakeover(t *testing.T) {
	first := newScriptedLog(7, nil)
	submitQuote(first, quotesClass)
	second := newScriptedLog(8, first.newest())
	for len(second.drives) == 0 && second.now < time.Minute {
		second.step(durable.Read{RequestedAt: second.now})
		second.step(durable.Tick{})
	}
	assert.Equal(t, len(second.drives), 1)
	assert.Equal(t, second.drives[0].Spec.Published, quotesClass)

	second.records = append(first.records, second.records...)
	second.step(durable.DriveEnded{Job: "j", Outcome: entry.Complete})
	for range 4 {
		second.step(durable.Tick{})
	}
	for _, r := range second.newest() {
		assert.Assert(t, !strings.HasPrefix(r.Key, "q"), "%q is kept", r.Key)
	}
}

// Guards against waiting jobs that are missing from the count of their class after it got
// another name, and against jobs that are counted for another class of their old name.
func TestPendingCountsJobsOfRenamedClass(t *testing.T) {
	renamed, reused, old := quotesClass, quotesClass, quotesClass
	renamed.Name = "offers"
	reused.Address = "h.example/other/"
	old.Address = ""
	for _, c := range []struct {
		accepted, asked policy.Class
		want            int
	}{
		{quotesClass, quotesClass, 1},
		{quotesClass, renamed, 1},
		{quotesClass, reused, 0},
		{old, quotesClass, 1},            // the address was not known
		{policy.Class{}, quotesClass, 1}, // accepted by an earlier build
		{policy.Class{}, renamed, 0},
	} {
		l := newScriptedLog(7, nil)
		submitQuote(l, c.accepted)
		assert.Equal(t, l.machine.Pending(c.asked), c.want, "accepted %+v, asked %+v", c.accepted, c.asked)
	}
}

// Guards against a job whose drives are refused for good without a word to the operator.
func TestRefusedDrivesAreReportedOnce(t *testing.T) {
	l := newScriptedLog(7, nil)
	submitQuote(l, policy.Class{})
	var reports []durable.DrivesRefused
	for drives := 0; l.now < time.Minute; {
		ev := durable.Event(durable.Tick{})
		if drives < len(l.drives) {
			drives = len(l.drives)
			ev = durable.DriveEnded{Job: "j", Outcome: entry.Refused, Reason: "class_not_published"}
		}
		l.step(ev)
		reports = append(reports, l.refused...)
		l.refused = nil
	}
	assert.DeepEqual(t, reports, []durable.DrivesRefused{{Job: "j", Class: "quotes", Reason: "class_not_published"}})
	assert.Assert(t, len(l.drives) > 20)
}

// Guards against the loss of a job that was accepted by an earlier build, when its class is
// renamed after the upgrade: the class is recorded with the first drive.
func TestClassOfJobOfEarlierBuildIsRecorded(t *testing.T) {
	first := newScriptedLog(7, nil)
	submitQuote(first, policy.Class{})
	for len(first.drives) == 0 {
		first.step(durable.Tick{})
	}
	first.step(durable.ClassFound{Job: "j", Class: quotesClass})
	second := newScriptedLog(8, first.newest())
	for len(second.drives) == 0 && second.now < time.Minute {
		second.step(durable.Read{RequestedAt: second.now})
		second.step(durable.Tick{})
	}
	assert.Equal(t, len(second.drives), 1)
	assert.Equal(t, second.drives[0].Spec.Published, quotesClass)
}
