package entry_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Times of the processes on the platform that the model uses.
const (
	modelStep      = 5 * time.Millisecond
	modelHeartbeat = 200 * time.Millisecond
	modelRunLease  = 500 * time.Millisecond // at the agent
	modelSilence   = 800 * time.Millisecond // closes a connection
	workerLease    = 720 * time.Millisecond // renewed by the agent
	stopTime       = 50 * time.Millisecond
	noticeTime     = 20 * time.Millisecond // in which an entry that runs notices that a caller has left
)

// workerRun is one run at a worker.
type workerRun struct {
	job     string
	attempt agent.AttemptID
	endAt   time.Duration
	outcome wire.Outcome
	reason  wire.Reason
}

// resendHost is an agent with its worker and its connection to the entry. Frames wait in
// the connection while their receiver is paused or the connection is cut.
type resendHost struct {
	machine     *agent.Machine
	killed      bool          // its runs go on until their lease expires
	drainUntil  time.Duration // when its process ends that is being stopped, 0 if it is not
	slow        slowness
	name        string
	incarnation wire.Incarnation
	epoch       wire.Epoch
	pausedUntil time.Duration
	cutUntil    time.Duration
	// connected is the agent's view of the connection, accepted the entry's.
	connected, accepted bool
	helloSentAt         time.Duration
	redialAt            time.Duration
	heardAt, heardBy    time.Duration // when the agent, and the entry, last received something
	toAgent             []agent.Event
	toEntry             []entry.Event
	renewedAt           time.Duration // of the lease at the worker
	runs                []*workerRun
}

// slowness makes a process run for one step of the model at a time, with gaps of up to gap
// in between.
type slowness struct {
	until time.Duration
	gap   time.Duration
}

// next returns until when the process does not run after a step now.
func (s *slowness) next(now time.Duration, draw func(int) int) time.Duration {
	if now >= s.until {
		return 0
	}
	return now + s.gap/4 + time.Duration(draw(int(s.gap*3/4/time.Millisecond)))*time.Millisecond
}

// modelCaller sends one job until it is answered or gives up.
type modelCaller struct {
	job        string
	submission wire.SubmissionID // 0 if none is in progress
	leftAt     time.Duration     // when it left, 0 if it waits
	unnoticed  time.Duration     // for which the entry has to run until it knows that it left
	resendAt   time.Duration     // 0 if it does not send again
	elsewhere  bool              // it sends the job to another entry
	sends      int
}

// resendWorld is an entry with its agents, workers and callers.
type resendWorld struct {
	fail          func(format string, args ...any)
	log           func(format string, args ...any)
	draw          func(limit int) int // 0 to limit
	m             *entry.Machine
	now           time.Duration
	pausedUntil   time.Duration // of the entry
	slow          slowness      // of the entry
	queue         []entry.Event // events that the entry has read
	hosts         []*resendHost
	callers       []*modelCaller
	byID          map[wire.SubmissionID]*modelCaller
	submitted     map[wire.SubmissionID]bool
	abandoned     map[wire.SubmissionID]bool // the caller left before its job was submitted
	otherRuns     map[string]time.Duration   // runs of other entries, with their ends
	submissions   uint64
	incarnations  wire.Incarnation
	runs          int
	storedAnswers int
	failure       string // set by playSlowMachines
}

func newResendWorld(hosts int, fail func(string, ...any), draw func(int) int) *resendWorld {
	w := &resendWorld{
		fail: fail, log: func(string, ...any) {}, draw: draw, byID: make(map[wire.SubmissionID]*modelCaller), otherRuns: make(map[string]time.Duration),
		incarnations: 100, submitted: make(map[wire.SubmissionID]bool), abandoned: make(map[wire.SubmissionID]bool),
		m: entry.New(entry.Options{
			Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: 1}), HeartbeatInterval: modelHeartbeat,
			LostAgentTimeout: 400 * time.Millisecond, ResendDelay: resendDelay,
		}),
	}
	w.step(entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: 10 * time.Second, TargetShare: 1}}}})
	w.step(entry.StoredLease{Until: time.Hour})
	for i := range hosts {
		w.hosts = append(w.hosts, w.newHost(fmt.Sprintf("w%d", i)))
	}
	w.advance(500 * time.Millisecond)
	return w
}

func (w *resendWorld) newHost(name string) *resendHost {
	w.incarnations++
	return &resendHost{
		name: name, incarnation: w.incarnations, redialAt: w.now + modelStep,
		machine: agent.New(agent.Options{
			Incarnation: w.incarnations, Slots: 2, HeartbeatInterval: modelHeartbeat, RunLease: modelRunLease, LostLinkTimeout: modelRunLease,
		}),
	}
}

// advance lets everything run for d.
func (w *resendWorld) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += modelStep
		for _, h := range w.hosts {
			w.runHost(h)
		}
		w.runCallers()
		w.runEntry()
	}
}

// runEntry reads what the agents sent, handles the events and ticks, unless the entry is
// paused.
func (w *resendWorld) runEntry() {
	if w.now < w.pausedUntil {
		return
	}
	w.pausedUntil = max(w.pausedUntil, w.slow.next(w.now, w.draw))
	for _, h := range w.hosts {
		if w.now < h.cutUntil {
			w.closeSilent(h)
			continue
		}
		for _, ev := range h.toEntry {
			if up, ok := ev.(entry.LinkUp); ok {
				h.accepted = true
				h.toAgent = append(h.toAgent, agent.LinkUp{Entry: 1, Epoch: up.Hello.Epoch, HelloSentAt: h.helloSentAt})
			}
			h.heardBy = w.now
			w.queue = append(w.queue, ev)
		}
		h.toEntry = nil
		w.closeSilent(h)
	}
	if w.now%(4*modelStep) == 0 {
		w.queue = slices.Insert(w.queue, w.draw(len(w.queue)), entry.Event(entry.Tick{MadeAt: w.now}))
	}
	if w.draw(30) == 0 {
		return // the core gets no processor time; a pause may begin before it handles the events
	}
	queue := w.queue
	w.queue = nil
	for _, ev := range queue {
		w.step(ev)
	}
}

// checkCallers looks at the connections of all callers, as entryd does with each tick.
func (w *resendWorld) checkCallers() {
	for _, c := range w.callers {
		switch {
		case c.unnoticed == 0:
		case w.submitted[c.submission]:
			w.step(entry.CancelJob{Submission: c.submission})
		default:
			w.abandoned[c.submission] = true
		}
		c.unnoticed = 0
	}
	w.step(entry.CallersChecked{})
}

// closeSilent closes the entry's end of a connection on which nothing arrives.
func (w *resendWorld) closeSilent(h *resendHost) {
	if h.accepted && w.now-h.heardBy > modelSilence {
		h.accepted = false
		w.queue = append(w.queue, entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
		h.toAgent = append(h.toAgent, agent.LinkDown{Entry: 1, Epoch: h.epoch})
	}
}

func (w *resendWorld) step(ev entry.Event) {
	switch x := ev.(type) {
	case entry.Tick:
		w.checkCallers()
	case entry.Submit:
		if w.abandoned[x.Submission] {
			w.answered(entry.Answer{Submission: x.Submission, Answer: entry.JobAnswer{Outcome: entry.Refused}})
			return
		}
		w.submitted[x.Submission] = true
	}
	for _, a := range slices.Clone(w.m.Step(w.now, ev)) {
		switch x := a.(type) {
		case entry.Send:
			for _, h := range w.hosts {
				if h.incarnation == x.Agent && h.epoch == x.Epoch && h.accepted {
					h.toAgent = append(h.toAgent, agent.Received{Entry: 1, Epoch: x.Epoch, Frame: x.Frame})
				}
			}
		case entry.Answer:
			w.answered(x)
		}
	}
}

// answered passes an answer to the caller. If it does not tell the outcome, the caller
// sends the job again.
func (w *resendWorld) answered(x entry.Answer) {
	c := w.byID[x.Submission]
	if c == nil {
		w.storedAnswers++
		return
	}
	delete(w.byID, x.Submission)
	if c.submission != x.Submission {
		return
	}
	c.submission = wire.SubmissionID{}
	if c.leftAt > 0 {
		return
	}
	switch x.Answer.Outcome {
	case entry.Failed, entry.Unknown:
		w.log("%v: %s is answered as %v %s", w.now, c.job, x.Answer.Outcome, x.Answer.Reason)
		c.resendAt = w.now + resendDelay
		c.elsewhere = w.draw(1) == 1
	}
}

// runHost delivers what has arrived at an agent and lets it and its worker run.
func (w *resendWorld) runHost(h *resendHost) {
	paused := w.now < h.pausedUntil || h.killed
	var ended []*workerRun
	for _, r := range h.runs {
		if lapse := h.renewedAt + workerLease; paused && lapse < r.endAt {
			r.endAt, r.outcome, r.reason = lapse, wire.Failed, wire.ReasonRunEnded
		}
		if w.now >= r.endAt {
			ended = append(ended, r)
		}
	}
	if h.killed {
		h.runs = slices.DeleteFunc(h.runs, func(r *workerRun) bool { return slices.Contains(ended, r) })
	}
	if paused {
		return
	}
	h.renewedAt = w.now
	h.pausedUntil = max(h.pausedUntil, h.slow.next(w.now, w.draw))
	if w.now >= h.cutUntil {
		arrived := h.toAgent
		h.toAgent = nil
		for _, ev := range arrived {
			h.heardAt = w.now
			switch x := ev.(type) {
			case agent.LinkUp:
				h.connected = true
			case agent.LinkDown:
				w.disconnect(h, 0)
			case agent.Received:
				if x.Epoch != h.epoch {
					continue
				}
			}
			w.agentStep(h, ev)
		}
	}
	if h.redialAt == 0 && w.now-h.heardAt > modelSilence {
		w.agentStep(h, agent.LinkDown{Entry: 1, Epoch: h.epoch})
		h.toEntry = append(h.toEntry, entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
		w.disconnect(h, 0)
	}
	if h.redialAt > 0 && w.now >= h.redialAt && w.now >= h.cutUntil {
		w.dial(h)
	}
	for _, r := range ended {
		h.runs = slices.DeleteFunc(h.runs, func(x *workerRun) bool { return x == r })
		w.agentStep(h, agent.Finished{Attempt: r.attempt, Outcome: r.outcome, Reason: r.reason})
	}
	w.agentStep(h, agent.Tick{})
	if h.drainUntil > 0 && w.now >= h.drainUntil {
		w.kill(h, time.Duration(100+w.draw(1000))*time.Millisecond)
	}
}

// stop stops the process of an agent: it drains, and ends at once when it is drained, or
// after d.
func (w *resendWorld) stop(h *resendHost, d time.Duration) {
	if h.drainUntil > 0 || h.killed {
		return
	}
	w.log("%v: the agent %s is stopped", w.now, h.name)
	h.drainUntil = w.now + d
	w.agentStep(h, agent.Drain{})
}

// disconnect drops the agent's end of the connection. It dials again after a delay.
func (w *resendWorld) disconnect(h *resendHost, after time.Duration) {
	h.connected = false
	h.redialAt = w.now + after + modelStep
}

func (w *resendWorld) dial(h *resendHost) {
	// What the entry has not read of the old connection may be read after the hello of
	// the new one; the end of the old connection is read in any case.
	down := entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch}
	h.toEntry = append(h.toEntry, down)
	h.epoch++
	h.redialAt, h.heardAt, h.helloSentAt = 0, w.now, w.now
	w.log("%v: %s dials", w.now, h.name)
	h.accepted, h.toAgent = false, nil
	h.toEntry = append(h.toEntry, entry.LinkUp{Hello: wire.AgentHello{
		Agent: h.incarnation, Epoch: h.epoch, Name: h.name, Slots: 2, NoLeftoverRuns: !w.leftoverRuns(h), TakeoverTime: wire.Micros(h.incarnation),
	}})
}

// leftoverRuns reports whether runs of killed agents go on at the agent's worker.
func (w *resendWorld) leftoverRuns(h *resendHost) bool {
	return slices.ContainsFunc(w.hosts, func(x *resendHost) bool { return x.killed && x.name == h.name && len(x.runs) > 0 })
}

func (w *resendWorld) agentStep(h *resendHost, ev agent.Event) {
	for _, a := range slices.Clone(h.machine.Step(w.now, ev)) {
		switch x := a.(type) {
		case *agent.Send:
			if h.connected && x.Epoch == h.epoch {
				x.Frame.AgentClock = wire.MicrosOf(w.now)
				h.toEntry = append(h.toEntry, entry.Received{Agent: h.incarnation, Epoch: x.Epoch, Frame: x.Frame})
			}
		case *agent.Run:
			w.startRun(h, x)
		case agent.Drained:
			h.drainUntil = w.now
		case agent.Stop:
			took := stopTime
			if w.now < h.slow.until {
				took += time.Duration(w.draw(int(2*h.slow.gap/time.Millisecond))) * time.Millisecond
			}
			for _, r := range h.runs {
				if r.attempt == x.Attempt && r.endAt > w.now+took {
					r.endAt, r.outcome, r.reason = w.now+took, wire.Failed, wire.ReasonStopped
				}
			}
		}
	}
}

func (w *resendWorld) startRun(h *resendHost, x *agent.Run) {
	w.requireNoRun(x.Start.Job, "at "+h.name)
	w.runs++
	w.log("%v: %s starts %s", w.now, h.name, x.Start.Job)
	length := time.Duration(50+w.draw(3000)) * time.Millisecond
	h.runs = append(h.runs, &workerRun{
		job: x.Start.Job, attempt: x.Attempt, endAt: w.now + min(length, x.Timeout), outcome: wire.Succeeded,
	})
}

// requireNoRun fails the test if a run of the job is going on.
func (w *resendWorld) requireNoRun(job, where string) {
	for _, h := range w.hosts {
		for _, r := range h.runs {
			if r.job == job && r.endAt > w.now {
				w.fail("%v: %s starts %s while it runs at %s", w.now, job, where, h.name)
			}
		}
	}
	if w.otherRuns[job] > w.now {
		w.fail("%v: %s starts %s while another entry runs it", w.now, job, where)
	}
}

// submit has a new caller send a job.
func (w *resendWorld) submit() *modelCaller {
	c := &modelCaller{job: fmt.Sprintf("job%d", len(w.callers))}
	w.callers = append(w.callers, c)
	w.send(c)
	return c
}

func (w *resendWorld) newID() (id wire.SubmissionID) {
	w.submissions++
	binary.BigEndian.PutUint64(id[:], w.submissions)
	return id
}

func (w *resendWorld) send(c *modelCaller) {
	c.sends++
	c.resendAt, c.leftAt, c.unnoticed = 0, 0, 0
	c.submission = w.newID()
	w.byID[c.submission] = c
	deadline := time.Duration(500+w.draw(4000)) * time.Millisecond
	w.queue = append(w.queue, entry.Submit{
		Submission: c.submission, Class: "c", Deadline: deadline, ReceivedAt: w.now, MaxFailedRuns: 3, Job: c.job, Payloads: make([][]byte, 1),
	})
}

// leave breaks the caller's connection. The caller sends the job again later.
func (w *resendWorld) leave(c *modelCaller) {
	w.log("%v: the caller of %s leaves", w.now, c.job)
	c.leftAt, c.unnoticed = w.now, noticeTime
	c.resendAt = w.now + resendDelay
	c.elsewhere = w.draw(1) == 1
}

// runCallers lets the entry notice that callers have left, and callers send their jobs
// again.
func (w *resendWorld) runCallers() {
	for _, c := range w.callers {
		if c.unnoticed > 0 && w.now >= w.pausedUntil {
			c.unnoticed -= modelStep
			if c.unnoticed == 0 {
				w.queue = append(w.queue, entry.CancelJob{Submission: c.submission})
			}
		}
		if c.resendAt == 0 || w.now < c.resendAt {
			continue
		}
		switch {
		case c.elsewhere:
			c.resendAt = 0
			w.requireNoRun(c.job, "at another entry")
			w.otherRuns[c.job] = w.now + time.Duration(w.draw(3000))*time.Millisecond
		case w.now >= w.pausedUntil && c.unnoticed == 0:
			w.resendHere(c)
		}
	}
}

// resendHere sends the job to the same entry. While an earlier submission is in
// progress, the entry lets the caller wait for its answer.
func (w *resendWorld) resendHere(c *modelCaller) {
	if _, inProgress := w.byID[c.submission]; inProgress {
		c.leftAt, c.resendAt = 0, 0
		return
	}
	w.send(c)
}

// submitStored has the entry drive a stored job.
func (w *resendWorld) submitStored() {
	w.queue = append(w.queue, entry.Submit{
		Submission: w.newID(), Class: "c", MaxFailedRuns: 100, Job: fmt.Sprintf("stored%d", w.submissions), Payloads: make([][]byte, 1), Stored: true,
	})
}

// kill ends the process of an agent and starts a new one on its VM after a delay.
func (w *resendWorld) kill(h *resendHost, restartAfter time.Duration) {
	w.log("%v: the agent %s is killed", w.now, h.name)
	h.killed = true
	h.toAgent, h.accepted = nil, false
	h.toEntry = append(h.toEntry, entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch})
	successor := w.newHost(h.name)
	successor.redialAt = w.now + restartAfter + modelStep
	successor.cutUntil = h.cutUntil
	w.hosts = append(w.hosts, successor)
}

// resetLink breaks a connection with all that is in it. Both ends notice.
func (w *resendWorld) resetLink(h *resendHost, redialAfter time.Duration) {
	if h.redialAt > 0 || h.killed {
		return
	}
	w.log("%v: the link of %s breaks, redial after %v", w.now, h.name, redialAfter)
	h.toAgent, h.accepted = nil, false
	w.agentStep(h, agent.LinkDown{Entry: 1, Epoch: h.epoch})
	h.toEntry = []entry.Event{entry.LinkDown{Agent: h.incarnation, Epoch: h.epoch}}
	w.disconnect(h, redialAfter)
}

// Guards against a run that goes on while its task runs again: the agent was given up
// after the loss of its connection, and connected again before its lease had expired.
func TestRunAtAgentThatWasGivenUpDoesNotGoOn(t *testing.T) {
	for _, stored := range []bool{false, true} {
		for _, away := range []time.Duration{100, 300, 380, 400, 420, 440, 460, 480, 500, 600} {
			longest := func(limit int) int { return limit }
			var failure string
			w := newResendWorld(2, func(format string, args ...any) { failure = fmt.Sprintf(format, args...) }, longest)
			if stored {
				w.submitStored()
			} else {
				w.submit()
			}
			w.advance(200 * time.Millisecond)
			busy := w.hosts[slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 })]
			// The result of another run makes the entry's clock echo as new as possible.
			busy.toEntry = append(busy.toEntry, entry.Received{Agent: busy.incarnation, Epoch: busy.epoch, Frame: &wire.ToEntry{AgentClock: wire.MicrosOf(w.now)}})
			w.advance(modelStep)
			w.queue = append(w.queue, entry.EntriesChanged{List: []wire.EntryAddr{{Incarnation: 1, Peer: "a"}}})
			w.advance(2 * modelStep)
			w.resetLink(busy, away*time.Millisecond)
			w.advance(6 * time.Second)
			assert.Equal(t, failure, "", "stored %v, away for %v", stored, away*time.Millisecond)
		}
	}
}

// Guards against a run that goes on while its task runs again: the connection of its agent
// was accepted before the entry was paused, and is handled after the agent was removed.
func TestRunAtAgentThatWasRemovedDoesNotGoOn(t *testing.T) {
	for _, pause := range []time.Duration{900, 920, 940, 960, 980, 1000, 1040, 1100} {
		var failure string
		busyCore := false
		draw := func(limit int) int {
			if busyCore {
				return 0
			}
			return limit
		}
		w := newResendWorld(2, func(format string, args ...any) { failure = fmt.Sprintf(format, args...) }, draw)
		w.submitStored()
		w.advance(200 * time.Millisecond)
		busy := w.hosts[slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 })]
		// The result of another run makes the entry's clock echo as new as possible.
		busy.toEntry = append(busy.toEntry, entry.Received{Agent: busy.incarnation, Epoch: busy.epoch, Frame: &wire.ToEntry{AgentClock: wire.MicrosOf(w.now)}})
		w.advance(modelStep)
		w.queue = append(w.queue, entry.EntriesChanged{List: []wire.EntryAddr{{Incarnation: 1, Peer: "a"}}})
		w.advance(2 * modelStep)
		w.resetLink(busy, 440*time.Millisecond)
		w.advance(430 * time.Millisecond)
		busyCore = true // accepts connections and makes ticks, but handles no event
		for !busy.accepted {
			w.advance(modelStep)
		}
		w.advance(4 * modelStep)
		w.pausedUntil = w.now + pause*time.Millisecond
		busyCore = false
		w.advance(modelRunLease - 8*modelStep)
		busy.pausedUntil = w.now + time.Minute // just before it stops its runs
		w.advance(6 * time.Second)
		assert.Equal(t, failure, "", "pause of %v", pause*time.Millisecond)
	}
}

// Guards against two runs of a job at the same time while the entry and its agents are
// paused, connections are cut or break, and callers send their jobs again.
func TestResentJobsRunOnceAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newResendWorld(rapid.IntRange(1, 3).Draw(t, "agents"), t.Fatalf, func(limit int) int { return random.IntN(limit + 1) })
		w.log = t.Logf
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
			span := time.Duration(rapid.IntRange(20, 2500).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				w.pausedUntil = max(w.pausedUntil, w.now+span)
				t.Logf("%v: the entry is paused until %v", w.now, w.pausedUntil)
			case 1:
				h.pausedUntil = max(h.pausedUntil, w.now+span)
				t.Logf("%v: %s is paused until %v", w.now, h.name, h.pausedUntil)
			case 2:
				h.cutUntil = max(h.cutUntil, w.now+span)
				t.Logf("%v: %s is cut off until %v", w.now, h.name, h.cutUntil)
			case 3:
				w.resetLink(h, span/5)
			case 4, 5:
				if waiting := w.waitingCallers(); len(waiting) > 0 {
					w.leave(rapid.SampledFrom(waiting).Draw(t, "caller"))
				}
			case 6:
				w.submitStored()
			case 8:
				if !h.killed {
					w.kill(h, span/2)
				}
			case 7: // callers leave because of a pause
				w.pausedUntil = max(w.pausedUntil, w.now+span)
				t.Logf("%v: the entry is paused until %v", w.now, w.pausedUntil)
				for _, c := range w.waitingCallers() {
					w.leave(c)
				}
			default:
				if w.now >= w.pausedUntil {
					w.submit()
				}
			}
			w.advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "between")) * time.Millisecond)
		}
		w.advance(5 * time.Second)
	})
}

// Guards against two runs of a job at the same time while agents are stopped one after
// another, all connections break at the same moment, and processes are slow without
// pausing for long.
func TestResentJobsRunOnceAtATimeOnSlowMachines(t *testing.T) {
	runs, resent, ended := 0, 0, 0
	for seed := range uint64(*slowSeeds) {
		w, log := playSlowMachines(seed)
		if w.failure != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.failure, strings.Join(log, "\n"))
		}
		runs += w.runs
		for _, c := range w.callers {
			resent += c.sends - 1
		}
		for _, h := range w.hosts {
			if h.drainUntil > 0 && h.killed {
				ended++
			}
		}
	}
	t.Logf("%d runs, %d jobs sent to the entry again, %d agents stopped", runs, resent, ended)
	assert.Assert(t, runs > 0 && resent > 0 && ended > 0)
}

// slowSeeds is the number of seeds that TestResentJobsRunOnceAtATimeOnSlowMachines plays.
var slowSeeds = flag.Int("slow.seeds", 150, "seeds of the model with slow processes")

// playSlowMachines plays a seed and returns the world and what happened in it.
func playSlowMachines(seed uint64) (*resendWorld, []string) {
	random := rand.New(rand.NewPCG(seed, 41))
	millis := func(low, high int) time.Duration {
		return time.Duration(low+random.IntN(high-low+1)) * time.Millisecond
	}
	var log []string
	var w *resendWorld
	fail := func(format string, args ...any) {
		if w.failure == "" {
			w.failure = fmt.Sprintf(format, args...)
		}
	}
	w = newResendWorld(2+random.IntN(3), fail, func(limit int) int { return random.IntN(limit + 1) })
	w.log = func(format string, args ...any) { log = append(log, fmt.Sprintf(format, args...)) }
	for range 10 + random.IntN(30) {
		h := w.hosts[random.IntN(len(w.hosts))]
		span, gap := millis(20, 2500), millis(20, int(slowestGap/time.Millisecond))
		switch random.IntN(14) {
		case 0:
			w.slow = slowness{until: w.now + span, gap: gap}
			w.log("%v: the entry is slow until %v, gaps of %v", w.now, w.slow.until, gap)
		case 1, 2:
			h.slow = slowness{until: w.now + span, gap: gap}
			w.log("%v: %s is slow until %v, gaps of %v", w.now, h.name, h.slow.until, gap)
		case 3:
			for _, x := range w.hosts {
				w.resetLink(x, millis(0, 500))
			}
		case 4, 5:
			if waiting := w.waitingCallers(); len(waiting) > 0 {
				w.leave(waiting[random.IntN(len(waiting))])
			}
		case 6:
			w.submitStored()
		case 7, 8:
			w.stop(h, span)
		default:
			if w.now >= w.pausedUntil {
				w.submit()
			}
		}
		w.advance(millis(0, 700))
		if w.failure != "" {
			return w, log
		}
	}
	w.advance(5 * time.Second)
	return w, log
}

// slowestGap is the longest time for which a slow process does not run. Alone it is no
// pause.
const slowestGap = entry.MinPause - modelStep

// waitingCallers returns the callers that wait for an answer.
func (w *resendWorld) waitingCallers() (out []*modelCaller) {
	for _, id := range slices.SortedFunc(maps.Keys(w.byID), func(a, b wire.SubmissionID) int { return slices.Compare(a[:], b[:]) }) {
		if c := w.byID[id]; c.submission == id && c.leftAt == 0 {
			out = append(out, c)
		}
	}
	return out
}

// A doubt makes the outcome of the run at an agent unknown to the entry for some time.
type doubt struct {
	name  string
	begin func(w *resendWorld, h *resendHost, span time.Duration)
}

var doubts = []doubt{
	{"reachable", func(*resendWorld, *resendHost, time.Duration) {}},
	{"cut off", func(w *resendWorld, h *resendHost, span time.Duration) { h.cutUntil = w.now + span }},
	{"paused", func(w *resendWorld, h *resendHost, span time.Duration) { h.pausedUntil = w.now + span }},
	{"connection broken", func(w *resendWorld, h *resendHost, span time.Duration) { w.resetLink(h, span) }},
	{"killed", func(w *resendWorld, h *resendHost, span time.Duration) { w.kill(h, span) }},
	{"entry paused", func(w *resendWorld, _ *resendHost, span time.Duration) { w.pausedUntil = w.now + span }},
}

// Guards against two runs of a task at the same time when a job is sent to the same
// entry again while the run of its first submission is in doubt: after the caller's
// connection broke, after its deadline, or after an answer that leaves the outcome open.
func TestJobIsSubmittedAgainWhileFirstRunIsInDoubt(t *testing.T) {
	repeated := 0
	for _, d := range doubts {
		for _, way := range []string{"caller leaves", "deadline", "caller waits"} {
			for _, ms := range []time.Duration{50, 350, 410, 430, 450, 470, 700, 1000, 1400, 2000, 2900} {
				span := ms * time.Millisecond
				// The doubt begins up to 1.2 s before and 0.2 s after the caller leaves or the
				// deadline passes.
				for offset := -1200 * time.Millisecond; offset <= 200*time.Millisecond; offset += 140 * time.Millisecond {
					repeated += checkSubmittedAgain(t, d, way, span, offset)
				}
			}
		}
	}
	assert.Assert(t, repeated > 0, "no job ran again")
}

func checkSubmittedAgain(t *testing.T, d doubt, way string, span, offset time.Duration) (repeated int) {
	var failure string
	w := newResendWorld(2, func(format string, args ...any) { failure = fmt.Sprintf(format, args...) }, func(limit int) int {
		switch limit {
		case 1:
			return 0 // the job is sent to the same entry
		case 4000:
			if way == "deadline" {
				return 1500 // the deadline is after 2 s
			}
		}
		return limit
	})
	c := w.submit()
	const ends = 2 * time.Second
	w.advance(ends + min(offset, 0))
	if i := slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 }); i >= 0 && offset < 0 {
		d.begin(w, w.hosts[i], span)
	}
	w.advance(max(0, -offset))
	if way == "caller leaves" && c.submission != (wire.SubmissionID{}) {
		w.leave(c)
	}
	w.advance(max(0, offset))
	if i := slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 && !h.killed }); i >= 0 && offset >= 0 {
		d.begin(w, w.hosts[i], span)
	}
	w.advance(7 * time.Second)
	assert.Equal(t, failure, "", "%s for %v, from %v, %s", d.name, span, offset, way)
	return max(0, w.runs-1)
}
