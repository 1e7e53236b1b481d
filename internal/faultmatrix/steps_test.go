package faultmatrix

// step is a point in the processing of a request or of a configuration change.
type step string

// Steps of a request in order, then those of a configuration change.
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

// injection injects a fault when a step is reached for the nth time.
type injection struct {
	step  step
	nth   int // counted down by reachStep
	fault *fault
	done  bool // the fault was injected
}

// reachStep injects the faults that are due at a step, reached at entry e and
// agent a.
func (sim *simulation) reachStep(s step, e, a int) {
	for _, inj := range sim.injections {
		if inj.done || inj.step != s {
			continue
		}
		if inj.nth--; inj.nth > 0 {
			continue
		}
		inj.done = true
		sim.injectedFaults++
		inj.fault.inject(sim, e, a)
	}
}
