package entryd

import (
	"fmt"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

// openLink is an open link to an agent. It is also the event that passes a new link
// to the core goroutine.
type openLink struct {
	hello  wire.AgentHello
	sender *link.Sender[*wire.ToAgent]
}

// statusQuery requests the counters of the core goroutine.
type statusQuery struct{ reply chan<- coreStatus }

// coreStatus holds the counters of the core goroutine and the names of the
// connected agents.
type coreStatus struct {
	Jobs   int         `json:"jobs"`
	Stats  entry.Stats `json:"stats"`
	Agents []string    `json:"agents"`
	// EvacuatedZones and EvacuationsAsOf are the newest known requests to evacuate zones.
	EvacuatedZones  []string `json:"evacuated_zones,omitempty"`
	EvacuationsAsOf int64    `json:"evacuations_as_of,omitempty"`
	// evacuationReadAge is valid if evacuationsRead is set.
	evacuationReadAge time.Duration
	evacuationsRead   bool
	// Interference lists the pairs of classes that slow each other down.
	Interference []interferingPair `json:"interference,omitempty"`
}

// interferingPair describes a pair of classes, see interference.Pair.
type interferingPair struct {
	Victim    string  `json:"victim"`
	Neighbour string  `json:"neighbour"`
	Effect    float64 `json:"effect"` // share of the run time that each slot adds
	Error     float64 `json:"error"`
	Runs      int64   `json:"runs"`
	Agents    int     `json:"agents"`
	SinceMS   int64   `json:"since_ms"` // time since it was found
}

// core is the state owned by the core goroutine.
type core struct {
	e          *Entry
	machine    *entry.Machine
	links      map[wire.Incarnation]openLink
	retryTimer *time.Timer   // fires when the next retry is due
	retryAt    time.Duration // 0 if the timer is not set for a retry
	retrySetAt time.Duration // when the timer was set
	// checkedAt is when the callers were last checked. checkedEvents is how many of the queued
	// events had arrived before that.
	checkedAt     time.Duration
	checkedEvents int
}

func (e *Entry) coreLoop() {
	opts := e.opts.Core
	opts.Incarnation, opts.Scheduler = e.opts.Incarnation, e.opts.Scheduler
	opts.MaxJobs, opts.MaxTasks = e.opts.MaxJobs, e.opts.MaxTasks
	if e.log != nil {
		opts.Observer = observer{e.log}
	}
	c := &core{
		e: e, machine: entry.New(opts), links: make(map[wire.Incarnation]openLink),
		retryTimer: time.NewTimer(tickInterval), retrySetAt: e.now(),
	}
	defer c.retryTimer.Stop()
	defer func() {
		for _, l := range c.links {
			l.sender.Close()
		}
	}()
	c.step(entry.Configured{Settings: e.opts.Settings})
	// The end is looked for first: once the listeners are closed, a process at the same
	// addresses may take jobs over, and events of this one must not renew leases.
	for e.ctx.Err() == nil {
		select {
		case <-e.ctx.Done():
			return
		case ev := <-e.events:
			c.handleEvent(ev)
		case <-c.retryTimer.C:
			c.retryAt = 0
			// The timer is not set while starts are held back after a pause, so its ticks
			// do not count towards entry.SettleTicks.
			c.step(entry.Tick{MadeAt: c.retrySetAt})
		}
		c.resetRetryTimer()
	}
}

// resetRetryTimer sets the timer to the time of the next retry. Waiting for the
// next tick instead would lengthen the task's response time, since retry delays
// are shorter than the tick interval.
func (c *core) resetRetryTimer() {
	at, ok := c.machine.NextRetry()
	if !ok || at == c.retryAt {
		return
	}
	c.retryAt, c.retrySetAt = at, c.e.now()
	c.retryTimer.Reset(max(0, at-c.retrySetAt))
}

// step passes an event to the machine and applies the resulting actions.
func (c *core) step(ev entry.Event) {
	for _, action := range c.machine.Step(c.e.now(), ev) {
		c.applyAction(action)
	}
}

// handleEvent handles the part of an event that concerns this package, mainly the
// set of links, and passes the event to the machine.
func (c *core) handleEvent(ev any) {
	checked := c.checkCallersBefore(ev)
	if x, ok := ev.(receivedFrame); ok {
		defer x.memory.release()
		ev = x.Received
	}
	switch x := ev.(type) {
	case openLink:
		c.addLink(x)
	case entry.LinkDown:
		if l, ok := c.links[x.Agent]; ok && l.hello.Epoch == x.Epoch {
			l.sender.Close()
			delete(c.links, x.Agent)
			c.e.links.Store(int64(len(c.links)))
			c.e.log.Emit(eventlog.AgentLinkDown, eventlog.Fields{Peer: l.hello.Name})
		}
		c.step(x)
	case entry.Received:
		c.e.log.Observe(timeline.Stamp(x.Frame.Stamp))
		x.CallersChecked = checked
		c.step(x)
	case statusQuery:
		x.reply <- c.status()
	case callerJob:
		c.submitCallerJob(x)
	case callersLeft:
		c.cancelAbandoned()
	case checkRequest:
		x.known <- checked
	case entry.Event:
		c.step(x)
	}
}

// addLink adds a link. Of two links to the same agent it keeps the one with
// the higher epoch.
func (c *core) addLink(x openLink) {
	if old, ok := c.links[x.hello.Agent]; ok {
		if old.hello.Epoch >= x.hello.Epoch {
			x.sender.Close()
			return
		}
		old.sender.Close()
	}
	c.links[x.hello.Agent] = x
	c.e.links.Store(int64(len(c.links)))
	c.e.log.Emit(eventlog.AgentLinkUp, eventlog.Fields{Peer: x.hello.Name})
	c.step(entry.LinkUp{Hello: x.hello})
}

func (c *core) applyAction(action entry.Action) {
	switch x := action.(type) {
	case entry.Send:
		if l, ok := c.links[x.Agent]; ok && l.hello.Epoch == x.Epoch {
			x.Frame.Stamp = uint64(c.e.log.Stamp())
			l.sender.Send(x.Frame)
		}
	case entry.JobStarted:
		c.e.opts.StoredJobObserver.JobStarted(x.Job)
	case entry.RunFinished:
		if c.e.opts.StoredJobObserver != nil {
			c.e.opts.StoredJobObserver.RunFinished(x)
		}
	case entry.RunCrashed:
		if c.e.opts.StoredJobObserver != nil {
			c.e.opts.StoredJobObserver.RunCrashed(x)
		}
	case entry.RunRepeated:
		if c.e.opts.StoredJobObserver != nil {
			c.e.opts.StoredJobObserver.RunRepeated(x)
		}
	case entry.Answer:
		if c.e.handleStoredAnswer(&x) {
			return
		}
		c.e.emitAnswer(x)
		c.e.countAnswer(&x)
		c.e.table.resolve(x.Submission, x.Answer)
	case entry.RequestClaim:
		c.e.requestClaim(x.Submission)
	case entry.ReleaseClaim:
		c.e.releaseClaim(x.Submission)
	case entry.NewerConfig:
		if c.e.opts.OnAgentConfig != nil {
			c.e.opts.OnAgentConfig(x.State)
		}
	case entry.EvacuationsChanged:
		c.e.emitEvacuations(x)
	case entry.ContainmentChanged:
		c.e.emitContainment(x)
	case entry.InterferenceChanged:
		c.e.emitInterference(x)
	case entry.VersionAnnounced:
		if c.e.opts.OnVersionAnnounced != nil {
			c.e.opts.OnVersionAnnounced(x)
		}
	case entry.Paused:
		c.e.log.Emit(eventlog.EntryPaused, eventlog.Fields{Duration: x.Duration, Count: int64(x.Jobs)})
	case entry.Drained:
		close(c.e.drained)
	}
}

func (c *core) status() coreStatus {
	s := coreStatus{Jobs: c.machine.Jobs(), Stats: c.machine.Stats()}
	for _, l := range c.links {
		s.Agents = append(s.Agents, l.hello.Name)
	}
	slices.Sort(s.Agents)
	evacuations := c.machine.Evacuations()
	s.EvacuatedZones, s.EvacuationsAsOf = evacuations.Zones, evacuations.AsOf
	s.evacuationReadAge, s.evacuationsRead = c.machine.EvacuationsReadAge(c.e.now())
	for _, p := range c.machine.InterferencePairs() {
		s.Interference = append(s.Interference, interferingPair{
			Victim: p.Victim, Neighbour: p.Neighbour, Effect: p.Effect, Error: p.Error,
			Runs: int64(p.Runs), Agents: p.Agents, SinceMS: (c.e.now() - p.Since).Milliseconds(),
		})
	}
	return s
}

func (e *Entry) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
			now := e.now()
			e.pauses.tick(now)
			select {
			case e.events <- entry.Tick{MadeAt: now}:
			default: // the queue is full; a later tick has the same effect
			}
		}
	}
}

func (e *Entry) emitAnswer(x entry.Answer) {
	if e.log == nil {
		return
	}
	detail := x.Answer.Outcome.String()
	if x.Answer.Reason != "" {
		detail += " " + x.Answer.Reason
	}
	if x.Answer.Detail != "" {
		detail += ": " + x.Answer.Detail
	}
	if x.Answer.Started > 0 {
		detail += fmt.Sprintf(": last start after %v, longest wait at an agent %v, longest run %v",
			x.Answer.LastStart.Round(time.Millisecond), x.Answer.LongestWait.Round(time.Millisecond), x.Answer.LongestRun.Round(time.Millisecond))
	}
	f := eventlog.Fields{Submission: x.Submission.String(), Detail: detail, Count: int64(x.Answer.Started), Version: e.ConfigVersion()}
	if sub := e.table.get(x.Submission); sub != nil {
		f.Job, f.Class, f.Duration = sub.key.key, sub.class, time.Since(sub.accepted)
	}
	e.log.Emit(eventlog.JobAnswered, f)
}

// observer writes the machine's task-level events to the event log.
type observer struct{ log *eventlog.Log }

// Placed implements entry.Observer.
func (o observer) Placed(s wire.SubmissionID, index int, agent string) {
	o.log.Emit(eventlog.TaskPlaced, eventlog.Fields{Submission: s.String(), Task: index + 1, Peer: agent})
}

// Result implements entry.Observer.
func (o observer) Result(s wire.SubmissionID, index int, agent string, out wire.Outcome, r wire.Reason) {
	detail := out.String()
	if r != wire.ReasonNone {
		detail += " " + r.String()
	}
	code := eventlog.TaskResult
	if out != wire.Succeeded {
		code = eventlog.AttemptFailed
	}
	o.log.Emit(code, eventlog.Fields{
		Submission: s.String(), Task: index + 1, Peer: agent, Detail: detail,
	})
}

// Queried implements entry.Observer.
func (o observer) Queried(s wire.SubmissionID, index int, agent string) {
	o.log.Emit(eventlog.AttemptQueried, eventlog.Fields{Submission: s.String(), Task: index + 1, Peer: agent})
}

var _ entry.Observer = observer{}

// requestClaim requests the claim of a submission. The result is handled on a
// separate goroutine: the handler may wait for the answer of another entry, and it
// sends to the event queue, which the core goroutine must not wait for because it
// is the queue's only reader.
func (e *Entry) requestClaim(id wire.SubmissionID) {
	sub := e.table.get(id)
	if sub == nil {
		return
	}
	e.opts.Claims.Claim(sub.claimRequest(), func(res claimapi.ClaimResult) {
		e.goroutines.start(func() { e.handleClaimResult(sub, res) })
	})
}

// releaseClaim releases the claim of a submission. If the table no longer has
// it, the claim stays until it expires.
func (e *Entry) releaseClaim(id wire.SubmissionID) {
	if sub := e.table.get(id); sub != nil {
		e.table.markClaimDropped(sub)
		e.opts.Claims.Release(sub.claimRequest())
	}
}
