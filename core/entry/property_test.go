package entry_test

import (
	"encoding/binary"
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// defaultChecks is the number of random cases of each property unless the command line
// states one.
const defaultChecks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	// Use a fixed seed unless the command line sets one, so that CI gets the same
	// result on every run.
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.checks", defaultChecks)
	setDefault("rapid.steps", "80")
	flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

// setDefault sets a flag that the command line does not set.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() == f.DefValue {
		f.Value.Set(value)
	}
}

// simulation is the entry machine with a model of its agents and callers.
type simulation struct {
	t                *rapid.T
	m                *entry.Machine
	scheduler        *strictScheduler
	now              time.Duration
	agents           []*modelAgent
	jobs             map[wire.SubmissionID]*modelJob
	submissions      []wire.SubmissionID
	pendingClaims    []wire.SubmissionID // claims without an outcome
	startCounts      map[taskID]int
	outcomeKnown     map[taskID]bool // ended with a known outcome
	ranAndFailed     map[taskID]bool // ran and failed
	liveAttempts     map[taskID]int  // attempts that are not known to be NotRun
	deliveredResults []wire.Result   // results that were delivered at least once
	nextIncarnation  wire.Incarnation
	// startsInTransit holds the starts sent to each agent, so that the report
	// that one was not received can end its attempt.
	startsInTransit map[wire.Incarnation]map[taskID]wire.Seq
	cancelledEpochs map[wire.Incarnation]map[wire.Seq]wire.Epoch // connection of the last cancel
	drained         bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &strictScheduler{t: t, queued: map[*policyTask]bool{}, placed: map[*policyTask]int{}}
	sim := &simulation{
		t: t, scheduler: s, jobs: map[wire.SubmissionID]*modelJob{},
		startCounts: map[taskID]int{}, liveAttempts: map[taskID]int{}, nextIncarnation: 100,
		cancelledEpochs: map[wire.Incarnation]map[wire.Seq]wire.Epoch{},
		startsInTransit: map[wire.Incarnation]map[taskID]wire.Seq{}, outcomeKnown: map[taskID]bool{}, ranAndFailed: map[taskID]bool{},
	}
	sim.m = entry.New(entry.Options{Incarnation: 1, Scheduler: s, MaxAnswerBytes: 200})
	for _, name := range []string{"a", "b", "c"} {
		sim.agents = append(sim.agents, sim.newAgent(name))
	}
	return sim
}

func (sim *simulation) newAgent(name string) *modelAgent {
	sim.nextIncarnation++
	sim.startsInTransit[sim.nextIncarnation] = map[taskID]wire.Seq{}
	sim.cancelledEpochs[sim.nextIncarnation] = map[wire.Seq]wire.Epoch{}
	return &modelAgent{
		name: name, incarnation: sim.nextIncarnation,
		attempts: map[wire.Seq]*modelAttempt{}, notReceived: map[wire.Seq]bool{},
	}
}

func (sim *simulation) step(ev entry.Event) {
	for _, a := range sim.m.Step(sim.now, ev) {
		switch action := a.(type) {
		case entry.Send:
			sim.recordStarts(action)
		case entry.RequestClaim:
			sim.pendingClaims = append(sim.pendingClaims, action.Submission)
		case entry.ReleaseClaim:
			sim.release(action.Submission)
		case entry.Answer:
			sim.recordAnswer(action.Submission, action.Answer)
		case entry.Drained:
			sim.drained = true
		}
	}
	sim.checkCancelled()
}

// checkCancelled fails if an agent is connected whose run, or queued task, of an answered job
// was not cancelled over that connection. The caller may send the job again.
func (sim *simulation) checkCancelled() {
	for _, a := range sim.agents {
		if a.dead || !a.up || a.forgotten {
			continue
		}
		for _, seq := range slices.Sorted(maps.Keys(a.attempts)) {
			at := a.attempts[seq]
			if at.state != ended && sim.jobs[at.task.sub].answer != nil && sim.cancelledEpochs[a.incarnation][seq] != a.epoch {
				sim.t.Fatalf("the job of task %v is answered, but its attempt %d at %s was not cancelled", at.task, seq, a.name)
			}
		}
	}
}

func (sim *simulation) recordStarts(action entry.Send) {
	for _, seq := range action.Frame.Cancels {
		sim.cancelledEpochs[action.Agent][seq] = action.Epoch
	}
	for _, s := range action.Frame.Starts {
		id := taskID{s.Submission, s.Index}
		sim.liveAttempts[id]++
		sim.startsInTransit[action.Agent][id] = s.Seq
		if sim.liveAttempts[id] > 1 {
			sim.t.Fatalf("task %v has two attempts that are not known to be NotRun", id)
		}
		if j := sim.jobs[s.Submission]; j.claimed && !j.won {
			sim.t.Fatalf("a task was started before its claim was won")
		}
		if string(s.Payload) != expectedBody(id) {
			sim.t.Fatalf("a start has the wrong payload")
		}
	}
	for _, a := range sim.agents {
		if a.incarnation == action.Agent && a.up && a.epoch == action.Epoch {
			a.inbox = append(a.inbox, action.Frame)
		}
	}
}

func (sim *simulation) release(id wire.SubmissionID) {
	j := sim.jobs[id]
	if !j.won || j.released {
		sim.t.Fatalf("a claim was released that was not held")
	}
	j.released = true
	sim.checkNothingRan(id, "released")
}

// checkNothingRan fails if a task of the submission started or may still start.
func (sim *simulation) checkNothingRan(id wire.SubmissionID, what string) {
	for i := range sim.jobs[id].tasks {
		task := taskID{id, i}
		if sim.startCounts[task] > 0 || sim.liveAttempts[task] > 0 {
			sim.t.Fatalf("the submission was %s although task %d started or may start", what, i)
		}
	}
}

// checkAllKnown fails if the outcome of an attempt of the submission is in
// doubt.
func (sim *simulation) checkAllKnown(id wire.SubmissionID) {
	for i := range sim.jobs[id].tasks {
		if task := (taskID{id, i}); sim.liveAttempts[task] > 0 && !sim.outcomeKnown[task] {
			sim.t.Fatalf("the job is answered as failed although the outcome of task %d is unknown", i)
		}
	}
}

// checkFailed fails unless the Failed answer is certain: a task of the job ran
// and failed, or every task that may have started has a known outcome.
func (sim *simulation) checkFailed(id wire.SubmissionID, a *entry.JobAnswer) {
	if a.Started == 0 {
		sim.t.Fatalf("the job is answered as failed although nothing started")
	}
	for i := range sim.jobs[id].tasks {
		if sim.ranAndFailed[taskID{id, i}] {
			return
		}
	}
	if a.Unknown > 0 {
		sim.t.Fatalf("the job is answered as failed with %d unknown tasks and none that failed", a.Unknown)
	}
	sim.checkAllKnown(id)
}

func (sim *simulation) recordAnswer(id wire.SubmissionID, a entry.JobAnswer) {
	j := sim.jobs[id]
	if j.answer != nil {
		sim.t.Fatalf("the submission was answered twice")
	}
	j.answer = &a
	switch a.Outcome {
	case entry.Complete:
		if len(a.Results) != j.tasks {
			sim.t.Fatalf("the answer does not have one result for each task")
		}
		for i, r := range a.Results {
			if string(r) != expectedBody(taskID{id, i}) {
				sim.t.Fatalf("the answer has a wrong result of task %d: %q", i, r)
			}
		}
	case entry.Refused:
		sim.checkNothingRan(id, "refused")
		if slices.Contains(sim.pendingClaims, id) {
			sim.t.Fatalf("the submission was refused while its claim may still be won")
		}
	case entry.Failed:
		sim.checkFailed(id, &a)
	case entry.Unknown:
		if a.Unknown == 0 && !j.claimed {
			sim.t.Fatalf("the job is answered as unknown although no task is in doubt")
		}
	}
	if a.Outcome != entry.Complete && a.Results != nil {
		sim.t.Fatalf("an answer that is not complete has results")
	}
}

func (sim *simulation) submit(t *rapid.T) {
	var id wire.SubmissionID
	binary.BigEndian.PutUint64(id[:], uint64(len(sim.submissions)+1))
	n := rapid.IntRange(1, 5).Draw(t, "tasks")
	deadline := time.Duration(rapid.IntRange(10, 3000).Draw(t, "deadline")) * time.Millisecond
	j := &modelJob{tasks: n, deadline: sim.now + deadline, claimed: rapid.Bool().Draw(t, "claimed")}
	sim.jobs[id] = j
	sim.submissions = append(sim.submissions, id)
	var payloads [][]byte
	for i := range n {
		payloads = append(payloads, []byte(expectedBody(taskID{id, i})))
	}
	sim.step(entry.Submit{Submission: id, Deadline: deadline, NeedsClaim: j.claimed, Payloads: payloads})
}

func (sim *simulation) resolveClaim(t *rapid.T) {
	if len(sim.pendingClaims) == 0 {
		t.Skip("no claim")
	}
	i := rapid.IntRange(0, len(sim.pendingClaims)-1).Draw(t, "claim")
	id := sim.pendingClaims[i]
	sim.pendingClaims = append(sim.pendingClaims[:i], sim.pendingClaims[i+1:]...)
	won := rapid.Bool().Draw(t, "won")
	sim.jobs[id].won = won
	e := entry.ClaimResolved{Submission: id, Won: won, MayHaveRun: rapid.Bool().Draw(t, "before")}
	sim.step(e)
	sim.step(e) // a repeated outcome changes nothing
}

func (sim *simulation) cancel(t *rapid.T) {
	if len(sim.submissions) == 0 {
		t.Skip("no job")
	}
	sim.step(entry.CancelJob{Submission: rapid.SampledFrom(sim.submissions).Draw(t, "job")})
}

func (sim *simulation) advance(t *rapid.T) {
	sim.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	sim.step(entry.Tick{})
	for _, j := range sim.jobs {
		if j.answer == nil && sim.now >= j.deadline+entry.DefaultSettleTimeout {
			t.Fatalf("no answer by the deadline plus the settle timeout")
		}
	}
}

// Guards against tasks that start twice, answers that are partial, wrong,
// repeated or missing, and refusals of jobs that ran, when agents refuse
// starts, lose links, crash, and deliver results late, twice or on the wrong
// link; and against runs that go on at connected agents after their job was answered.
func TestEntryInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for _, a := range sim.agents {
			sim.connect(a)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":    func(t *rapid.T) { sim.t = t; sim.submit(t) },
			"submit2":   func(t *rapid.T) { sim.t = t; sim.submit(t) },
			"claim":     sim.resolveClaim,
			"cancel":    sim.cancel,
			"advance":   sim.advance,
			"block":     func(t *rapid.T) { sim.scheduler.blocked = rapid.Bool().Draw(t, "blocked") },
			"deliver":   sim.deliverFrame,
			"deliver2":  sim.deliverFrame,
			"run":       sim.startRun,
			"finish":    sim.finishRun,
			"finish2":   sim.finishRun,
			"loselink":  sim.loseLink,
			"reconnect": sim.reconnect,
			"restart":   sim.restart,
			"replay":    sim.replayResult,
			"crossed":   sim.deliverForgedResult,
		})
		sim.drainAndCheck()
	})
}

// drainAndCheck drains the entry and checks that every submission has its
// answer.
func (sim *simulation) drainAndCheck() {
	sim.step(entry.Drain{})
	for len(sim.pendingClaims) > 0 {
		id := sim.pendingClaims[0]
		sim.pendingClaims = sim.pendingClaims[1:]
		sim.jobs[id].won = true
		sim.step(entry.ClaimResolved{Submission: id, Won: true})
	}
	for range 100 {
		sim.now += 100 * time.Millisecond
		sim.step(entry.Tick{})
	}
	for _, j := range sim.jobs {
		if j.answer == nil {
			sim.t.Fatalf("a submission has no answer after the drain")
		}
	}
	if !sim.drained || sim.m.Jobs() != 0 {
		sim.t.Fatalf("after the drain: drained is %v, %d jobs are left; want true and 0", sim.drained, sim.m.Jobs())
	}
}
