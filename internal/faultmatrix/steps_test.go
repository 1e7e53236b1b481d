package faultmatrix

// step is a point in the life of a request or of a configuration change.
type step string

// Steps of a request, then of a change, in order.
const (
	stepAccepted     step = "accepted"
	stepClaimWritten step = "claim-written"
	stepPlaced       step = "placed"
	stepSent         step = "sent"
	stepReceived     step = "received"
	stepBeforeStart  step = "before-start"
	stepRunning      step = "running"
	stepResult       step = "result-at-agent"
	stepResultSent   step = "result-on-its-way"
	stepAnswer       step = "answer-assembled"
	stepAnswerSent   step = "answer-on-its-way"
	stepAppendSent   step = "append-sent"
	stepAppended     step = "appended"
	stepRead         step = "read"
	stepInForce      step = "in-force"
	stepSnapshot     step = "snapshot"
)

var allSteps = []step{
	stepAccepted, stepClaimWritten, stepPlaced, stepSent, stepReceived, stepBeforeStart, stepRunning, stepResult,
	stepResultSent, stepAnswer, stepAnswerSent, stepAppendSent, stepAppended, stepRead, stepInForce, stepSnapshot,
}

// injection applies a fault when a step is reached for the nth time.
type injection struct {
	step  step
	nth   int
	fault *fault
	done  bool
}

// reach tells that an execution is at a step, at entry e and agent a.
func (w *world) reach(s step, e, a int) {
	for _, h := range w.hooks {
		if h.done || h.step != s {
			continue
		}
		if h.nth--; h.nth > 0 {
			continue
		}
		h.done = true
		w.faults++
		h.fault.inject(w, e, a)
	}
}
