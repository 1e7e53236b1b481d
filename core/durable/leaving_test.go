package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
)

// Guards against a request that is never answered because the process leaves while it
// waits for the next append: a process without jobs left at once.
func TestLeavingProcessAnswersWaitingRequests(t *testing.T) {
	m := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 7, Name: "vm"}})
	var actions []durable.Action
	step := func(at time.Duration, ev durable.Event) { actions = append(actions, m.Step(at, ev)...) }
	step(time.Second, durable.Read{Snapshot: true, RequestedAt: time.Second})
	step(time.Second, durable.Submit{Token: 1, Spec: oneTaskJob("a")})
	step(1005*time.Millisecond, durable.Appended{Outcome: durable.Recorded, SentAt: time.Second})
	step(1010*time.Millisecond, durable.Submit{Token: 2, Spec: oneTaskJob("b")})
	step(1011*time.Millisecond, durable.Leave{})
	step(1050*time.Millisecond, durable.Tick{})
	step(1055*time.Millisecond, durable.Appended{Outcome: durable.Recorded, SentAt: 1050 * time.Millisecond})
	var replies []durable.Reply
	left := 0
	for _, a := range actions {
		switch x := a.(type) {
		case durable.Reply:
			replies = append(replies, x)
		case durable.Left:
			left++
		}
	}
	assert.DeepEqual(t, replies, []durable.Reply{{Token: 1, Result: durable.Stored}, {Token: 2, Result: durable.Stored}})
	assert.Equal(t, left, 1)
}
