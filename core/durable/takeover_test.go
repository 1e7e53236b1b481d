package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
)

// takeover is a machine that takes over the job of another process. The fence is
// answered after fenceTime. At lateAt, unless it is 0, the log carries out an append that
// the other process had sent before, and the machine reads it.
type takeover struct {
	machine           *durable.Machine
	now               time.Duration
	fenceTime, lateAt time.Duration
	owned             []durable.Record // what the other process appended
	fencedAt          time.Duration
	takenOver         bool
	drivenAt          time.Duration
}

const fencing = time.Hour // later than every time in these tests

func (x *takeover) step(ev durable.Event) {
	for _, action := range x.machine.Step(x.now, ev) {
		switch a := action.(type) {
		case durable.Fence:
			x.fencedAt = x.now + x.fenceTime
		case durable.Append:
			x.step(durable.Appended{Outcome: durable.Recorded, SentAt: x.now})
			x.step(durable.Read{Records: a.Records, RequestedAt: x.now})
		case durable.TakenOver:
			x.takenOver = true
		case durable.Drive:
			x.drivenAt = x.now
		}
	}
}

// run lets the machine read the log until it drives the job, or for a minute. It
// returns when the last record of the other process was read.
func (x *takeover) run(firstReadAt time.Duration) (lastReadAt time.Duration) {
	x.now = firstReadAt
	x.fencedAt = fencing
	x.step(durable.Read{Snapshot: true, Records: x.owned, RequestedAt: x.now})
	lastReadAt = x.now
	for x.drivenAt == 0 && x.now < firstReadAt+time.Minute {
		x.now += 10 * time.Millisecond
		if x.lateAt > 0 && x.now >= x.lateAt {
			x.lateAt = 0
			x.step(durable.Read{Records: x.owned, RequestedAt: x.now})
			lastReadAt = x.now
		}
		if x.now >= x.fencedAt {
			x.fencedAt = fencing
			x.lateAt = 0 // from now on the log refuses the append
			x.step(durable.Fenced{Writer: 7, Done: true})
		}
		x.step(durable.Read{RequestedAt: x.now})
		x.step(durable.Tick{})
	}
	return lastReadAt
}

// Guards against two runs of a task at the same time: the owner may start tasks for the
// lease after it has sent an append, and the log may carry the append out seconds later,
// as late as between the decision to take its jobs over and the fence.
func TestTakeoverWaitsForRunsUnderLateAppend(t *testing.T) {
	owner := newScriptedLog(7, nil)
	owner.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}})
	for _, lateAt := range []time.Duration{0, 2 * time.Second, 3400 * time.Millisecond, 4500 * time.Millisecond} {
		for _, fenceTime := range []time.Duration{0, 2 * time.Second} {
			x := &takeover{
				machine:   durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 8, Name: "other"}}),
				fenceTime: fenceTime, lateAt: lateAt, owned: owner.records,
			}
			lastReadAt := x.run(time.Second)
			assert.Assert(t, x.takenOver && x.drivenAt > 0)
			earliest := lastReadAt + durable.DefaultLease + durable.DefaultOrphanRunTime
			assert.Assert(t, x.drivenAt >= earliest, "late append at %v, fence after %v: driven at %v, runs may go on until %v",
				lateAt, fenceTime, x.drivenAt, earliest)
		}
	}
}

// Guards against two runs of a task at the same time after a restart: runs of the
// earlier process of the same VM go on for a while after the start of the new one.
func TestRestartedProcessWaitsForRunsOfEarlierProcess(t *testing.T) {
	owner := newScriptedLog(7, nil)
	owner.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}})
	x := &takeover{
		machine: durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 8, Name: "vm"}}), owned: owner.records,
	}
	startedAt := time.Second
	x.run(startedAt)
	assert.Assert(t, x.takenOver)
	assert.Assert(t, x.drivenAt >= startedAt+durable.DefaultOrphanRunTime, "driven at %v", x.drivenAt)
	assert.Assert(t, x.drivenAt < startedAt+durable.DefaultLease, "driven at %v: it need not wait for the lease", x.drivenAt)
}

// Guards against an owner that starts tasks beyond its lease because the answer to its
// append came late: the others count the lease from the record at the latest.
func TestLeaseCountsFromSendingOfAppend(t *testing.T) {
	const sentAt, answeredAt = 2 * time.Second, 4 * time.Second
	m := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 7, Name: "vm"}})
	m.Step(time.Second, durable.Read{Snapshot: true, RequestedAt: time.Second})
	m.Step(sentAt, durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}})
	for _, action := range m.Step(answeredAt, durable.Appended{Outcome: durable.Recorded, SentAt: sentAt}) {
		if renewed, ok := action.(durable.LeaseRenewed); ok {
			assert.Equal(t, renewed.Until, sentAt+durable.DefaultLease)
			return
		}
	}
	t.Fatal("the lease was not renewed")
}

// Guards against two runs of a task at the same time after a job changed hands twice: the
// second owner left before it drove the job, while runs of the first one could still go on.
func TestHandoverWaitsForRunsOfFormerOwners(t *testing.T) {
	first := newScriptedLog(7, nil)
	first.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}})
	second := newScriptedLog(8, nil)
	second.machine = durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 8, Name: "second"}})
	second.step(durable.Read{Snapshot: true, RequestedAt: second.now, Records: first.records})
	for len(second.records) == 0 { // until it has taken the job over
		second.step(durable.Read{RequestedAt: second.now})
		second.step(durable.Tick{})
	}
	assert.Equal(t, len(second.drives), 0)
	second.step(durable.Leave{})

	x := &takeover{machine: durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 9, Name: "third"}}), owned: first.records, fencedAt: fencing}
	x.now = second.now // later than the other records are read
	x.step(durable.Read{Snapshot: true, RequestedAt: x.now, Records: first.records})
	lastReadAt := x.now
	x.now += durable.DefaultLease
	x.step(durable.Read{RequestedAt: x.now, Records: second.records})
	for x.drivenAt == 0 && x.now < lastReadAt+time.Minute {
		x.now += 10 * time.Millisecond
		if x.now >= x.fencedAt {
			x.fencedAt = fencing
			x.step(durable.Fenced{Writer: 8, Done: true})
		}
		x.step(durable.Tick{})
	}
	assert.Assert(t, x.drivenAt >= lastReadAt+durable.DefaultLease+durable.DefaultOrphanRunTime, "driven at %v, first owner seen at %v", x.drivenAt, lastReadAt)
	assert.Assert(t, x.drivenAt < lastReadAt+time.Minute, "the job was not handed over")
}
