package entry_test

import (
	"fmt"
	"slices"
	"time"

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
