package durable

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
)

// Guards against one record that ends every process that becomes its job's owner, one
// after the other, because the job cannot be driven: it has no steps, or steps and times
// that no process accepts from a caller.
func TestJobThatNoProcessAcceptsIsNotDriven(t *testing.T) {
	for name, change := range map[string]func(*Spec){
		"no steps":             func(s *Spec) { s.Steps = nil },
		"step without tasks":   func(s *Spec) { s.Steps[0].Tasks = 0 },
		"depends on itself":    func(s *Spec) { s.Steps[0].DependsOn = []int{0} },
		"negative dependency":  func(s *Spec) { s.Steps[0].DependsOn = []int{-1} },
		"negative need":        func(s *Spec) { s.Steps[0].Need.MemoryMB = -1 },
		"huge need":            func(s *Spec) { s.Steps[0].Need.MilliCores = math.MaxInt64 },
		"negative run time":    func(s *Spec) { s.Steps[0].DeclaredRunTime = -1 },
		"huge run time":        func(s *Spec) { s.Steps[0].DeclaredRunTime = math.MaxInt64 },
		"negative bound":       func(s *Spec) { s.Steps[0].MaxPerWorker = -1 },
		"negative occurrences": func(s *Spec) { s.Schedule.Count = -1 },
		"huge period":          func(s *Spec) { s.Schedule = Schedule{Count: 2, PeriodMs: math.MaxInt64} },
		"huge start":           func(s *Spec) { s.Schedule = Schedule{Count: 2, StartMs: math.MaxInt64} },
	} {
		t.Run(name, func(t *testing.T) {
			gone, own := ProcessID{Incarnation: 3, Name: "own"}, ProcessID{Incarnation: 7, Name: "own"}
			spec := Spec{ID: "j", Class: "c", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}
			change(&spec)
			m := New(Options{Self: own})
			now := time.Second
			records := []Record{
				encode(acceptedKey("j", 3), acceptance{By: gone, Spec: spec}),
				encode(acceptedKey("k", 3), acceptance{By: gone, Spec: Spec{ID: "k", Class: "c", Steps: []entry.Step{{Tasks: 1}}}}),
			}
			unreadable, driven := 0, 0
			step := func(ev Event) {
				for _, a := range m.Step(now, ev) {
					switch x := a.(type) {
					case Undecodable:
						unreadable++
					case Drive:
						assert.Equal(t, x.Spec.ID, "k")
						driven++
					}
				}
			}
			step(Read{Snapshot: true, RequestedAt: now, Records: records})
			for range 20 {
				now += 500 * time.Millisecond
				step(Tick{})
				step(Fenced{Writer: 3, Done: true})
				step(Appended{Outcome: Recorded, SentAt: now})
				step(Read{RequestedAt: now, Records: []Record{encode(takeoverKey(3, 7), takeoverRecord{From: 3, By: own})}})
			}
			assert.Equal(t, unreadable, 1)
			assert.Equal(t, driven, 1, "the other job of the lost process")
		})
	}
}

// Guards against run numbers that overflow when a job is taken over, after which no worker
// starts its tasks.
func TestStatusWithImpossibleRunsIsSkipped(t *testing.T) {
	for _, s := range []jobStatus{
		{RunBase: math.MaxInt}, {RunBase: -1},
		{Tasks: []taskStatus{{Run: math.MaxInt}}}, {Tasks: []taskStatus{{Run: -1}}}, {Tasks: []taskStatus{{Failures: -1}}},
	} {
		s.By, s.State, s.StepSizes, s.Occurrences = ProcessID{Incarnation: 3}, Running, []int{1}, 1
		r := encode(statusKey("j"), s)
		_, err := decode(&r)
		assert.Assert(t, err != nil, "%+v", s)
	}
}
