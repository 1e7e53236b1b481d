package durable

import (
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a process that ends because of one malformed record of the log: every
// process reads all records, so one record would end them all, again and again.
func FuzzRecord(f *testing.F) {
	by := ProcessID{Incarnation: 3, Name: "vm"}
	spec := Spec{ID: "j", Class: "c", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 2}, {Tasks: 1, DependsOn: []int{0}, Gang: true}}}
	large := spec
	large.ID = "k"
	large.Steps = []entry.Step{{Tasks: 1 << 62}, {Tasks: 1 << 62}, {Tasks: 1 << 62}}
	for _, r := range []Record{
		encode(acceptedKey("j", 3), acceptance{By: by, Spec: spec}),
		encode(acceptedKey("k", 3), acceptance{By: by, Spec: large}),
		encode(statusKey("j"), jobStatus{By: by, Class: "c", State: Running, StepSizes: []int{2, 1}, Occurrences: 1, Tasks: []taskStatus{{Index: 1, Run: 7}}}),
		encode(statusKey("k"), jobStatus{By: by, Class: "c", State: Running, StepSizes: []int{1 << 62, 1 << 62, 1 << 62}, Occurrences: 1 << 40}),
		encode(cancelKey("j"), cancellation{By: by}),
		encode(takeoverKey(3, 7), takeoverRecord{From: 3, By: ProcessID{Incarnation: 7, Name: "own"}}),
		encode(leaseKey(3), leaseRecord{By: by, Left: true}),
		encode(crashKey("j"), crashRecord{By: by, Tasks: []taskCrashes{{Index: -1, Crashes: 3}, {Index: 1, Crashes: 1}}}),
		encode(classKey("j"), classRecord{By: by, Name: "c", Address: "h/c/", Pool: "p", Target: 60 * time.Millisecond, TargetShare: 1, RunTimeFactor: 1.6}),
	} {
		f.Add(r.Key, r.Value, r.Key, []byte{})
	}
	f.Fuzz(func(_ *testing.T, firstKey string, first []byte, secondKey string, second []byte) {
		m := New(Options{Self: ProcessID{Incarnation: 7, Name: "own"}})
		now := time.Second
		m.Step(now, Read{Snapshot: true, RequestedAt: now, Records: []Record{
			encode(acceptedKey("j", 3), acceptance{By: by, Spec: spec}),
			{Key: firstKey, Value: first, Offset: 1},
		}})
		m.Step(now, Read{RequestedAt: now, Records: []Record{{Key: secondKey, Value: second, Offset: 2}}})
		for range 4 {
			now += 5 * time.Second
			m.Step(now, Tick{})
			for _, run := range []wire.RunRef{{Job: "j", Step: 1, Run: 8}, {Job: "j", Occurrence: 1 << 40, Step: -1, Index: -3, Run: 1}} {
				m.Step(now, RunFinished{Agent: 9, Run: wire.FinishedRun{Run: run, Failed: true}})
			}
			m.Step(now, Fenced{Writer: 3, Done: true})
			m.Step(now, Appended{Outcome: Recorded, SentAt: now})
		}
	})
}
