package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
)

// waitingRequests is a machine with an append in flight, which holds job a, and requests
// that wait behind it: job b, submitted twice, and the cancellation of the stored job s.
type waitingRequests struct {
	machine *durable.Machine
	replies map[uint64]durable.Result
}

// Tokens of the requests.
const (
	inFlightToken uint64 = iota + 1
	waitingToken
	repeatedToken
	cancelToken
)

func newWaitingRequests(t *testing.T) *waitingRequests {
	owner := newScriptedLog(7, nil)
	owner.step(durable.Submit{Token: 1, Spec: oneTaskJob("s")})
	x := &waitingRequests{
		machine: durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 8, Name: "other"}}),
		replies: make(map[uint64]durable.Result),
	}
	x.step(time.Second, durable.Read{Snapshot: true, Records: owner.records, RequestedAt: time.Second})
	x.step(time.Second, durable.Submit{Token: inFlightToken, Spec: oneTaskJob("a")})
	x.step(1100*time.Millisecond, durable.Submit{Token: waitingToken, Spec: oneTaskJob("b")})
	x.step(1100*time.Millisecond, durable.Submit{Token: repeatedToken, Spec: oneTaskJob("b")})
	x.step(1100*time.Millisecond, durable.Cancel{Token: cancelToken, Job: "s"})
	assert.Equal(t, len(x.replies), 0)
	return x
}

func (x *waitingRequests) step(at time.Duration, ev durable.Event) {
	for _, a := range x.machine.Step(at, ev) {
		if r, ok := a.(durable.Reply); ok {
			x.replies[r.Token] = r.Result
		}
	}
}

func oneTaskJob(id string) durable.Spec {
	return durable.Spec{ID: id, MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}
}

// refusedWaiting are the answers to the requests that were never sent.
var refusedWaiting = map[uint64]durable.Result{
	waitingToken: durable.Unavailable, repeatedToken: durable.Unavailable, cancelToken: durable.Unavailable,
}

// Guards against callers that wait until their deadline for a request that was never sent,
// because the append before it gets no answer.
func TestRequestsBehindUnansweredAppendAreRefused(t *testing.T) {
	x := newWaitingRequests(t)
	x.step(1600*time.Millisecond, durable.Tick{})
	assert.Equal(t, len(x.replies), 0, "the log may answer yet")
	x.step(1800*time.Millisecond, durable.Tick{})
	assert.DeepEqual(t, x.replies, refusedWaiting)
	x.step(5*time.Second, durable.Appended{Outcome: durable.Recorded, SentAt: time.Second})
	assert.Equal(t, x.replies[inFlightToken], durable.Stored)
	x.step(5*time.Second, durable.Submit{Token: 9, Spec: oneTaskJob("b")})
	x.step(6*time.Second, durable.Appended{Outcome: durable.Recorded, SentAt: 5 * time.Second})
	assert.Equal(t, x.replies[9], durable.Stored, "a refused job can be submitted again")
}

// Guards against callers that wait until their deadline for a request that was never sent
// and never will be, because the machine that holds it is fenced off and replaced.
func TestRequestsBehindFencedOffAppendAreRefused(t *testing.T) {
	x := newWaitingRequests(t)
	x.step(1200*time.Millisecond, durable.Appended{Outcome: durable.FencedOffUnresolved, SentAt: time.Second})
	assert.DeepEqual(t, x.replies, refusedWaiting)
	assert.Equal(t, len(x.machine.UnresolvedRequests()), 1)

	x = newWaitingRequests(t)
	x.step(1200*time.Millisecond, durable.Appended{Outcome: durable.FencedOff, SentAt: time.Second})
	assert.Equal(t, len(x.replies), 4, "%v", x.replies)
	assert.Equal(t, x.replies[inFlightToken], durable.Unavailable)
	assert.Equal(t, len(x.machine.UnresolvedRequests()), 0)
}
