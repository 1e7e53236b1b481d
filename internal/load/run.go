package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	defaultSlots = 8
	// killDivisor sets the time of kills: Duration/killDivisor into the run.
	killDivisor = 3
	// upstreamNameFormat is the format of an upstream's name in the observer's record.
	upstreamNameFormat = "upstream-%02d"
)

// Faults are injected into the stand-in upstreams. The first upstreams are the slow
// ones, followed by the bad ones and then by those that are killed.
type Faults struct {
	Slow       int     // number of upstreams that take SlowFactor times as long
	SlowFactor float64 // default 4
	Bad        int     // number of upstreams that fail every task
	Kill       int     // number of upstreams killed after a third of the run
}

// Options configure one run and the system that it starts.
type Options struct {
	Shape
	Entries  int // default 3
	Agents   int // default 11
	Settings policy.Settings
	Faults   Faults
	// CountBytes routes the agents' links through relays that count bytes. The
	// relays add to response times, so measure bytes and response times in
	// separate runs.
	CountBytes bool
	Progress   io.Writer
}

// Scheme is a named way to schedule jobs.
type Scheme struct {
	Name string
	// Entries, if not 0, overrides Options.Entries.
	Entries      int
	NewScheduler func(entry int, seed uint64) policy.Scheduler
}

// WithDefaults returns o with its zero fields set to the current size of the
// system and 70% load.
func (o Options) WithDefaults() Options {
	if o.Entries == 0 {
		o.Entries = 3
	}
	if o.Agents == 0 {
		o.Agents = 11
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots * o.Agents
	}
	if o.Load == 0 {
		o.Load = 0.7
	}
	if o.Duration == 0 {
		o.Duration = 30 * time.Second
	}
	if len(o.Classes) == 0 {
		o.Classes = DefaultClasses()
	}
	if len(o.Settings.Classes) == 0 {
		o.Settings.Classes = dev.SampleClasses()
	}
	if o.Faults.SlowFactor == 0 {
		o.Faults.SlowFactor = 4
	}
	return o
}

// usableSlotsAt returns the number of slots whose upstream is neither bad nor
// killed at the given time of the run. It is at least 1.
func (o Options) usableSlotsAt(at time.Duration) int {
	unusable := o.Faults.Bad
	if at >= o.Duration/killDivisor {
		unusable += o.Faults.Kill
	}
	return max(o.Slots-unusable*(o.Slots/o.Agents), 1)
}

// Run starts a system with the scheme, sends it the workload and stops it.
func Run(ctx context.Context, o Options, s Scheme) (r *Result, err error) {
	o = o.WithDefaults()
	if s.Entries > 0 {
		o.Entries = s.Entries
	}
	p := &probes{obs: observer.New()}
	defer p.relays.close()
	sys, err := startSystem(o, s, p)
	if err != nil {
		return nil, err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err = errors.Join(err, sys.Stop(stopCtx))
	}()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := sys.WaitReady(readyCtx); err != nil {
		return nil, err
	}
	return measure(ctx, o, s, sys, p)
}

// probes collect what is observed during one run.
type probes struct {
	obs     *observer.Observer
	relays  linkRelays
	reasons reasonCounter
}

// startSystem starts a system whose schedulers and upstreams report to the probes.
// With CountBytes the agents' links pass through the probes' relays.
func startSystem(o Options, s Scheme, p *probes) (*dev.System, error) {
	opts := dev.Options{
		Entries: o.Entries, Agents: o.Agents, Slots: o.Slots / o.Agents,
		Settings: o.Settings,
		NewScheduler: func(i int) policy.Scheduler {
			return countingScheduler{Scheduler: s.NewScheduler(i, o.Seed+uint64(i)), reasons: &p.reasons}
		},
		Upstream: func(i int) upstream.Options {
			name := fmt.Sprintf(upstreamNameFormat, i)
			u := upstream.Options{OnStart: func(st upstream.TaskStart) { p.obs.RecordStart(observer.StartOf(name, st)) }}
			switch {
			case i < o.Faults.Slow:
				u.SlowFactor = o.Faults.SlowFactor
			case i < o.Faults.Slow+o.Faults.Bad:
				u.FailAll = true
			}
			return u
		},
	}
	if o.CountBytes {
		opts.Relay = p.relays.add
	}
	return dev.Start(opts)
}

// measure sends the workload to the system and returns what the run measured.
func measure(ctx context.Context, o Options, s Scheme, sys *dev.System, p *probes) (*Result, error) {
	t := Target{Entries: entryURLs(sys), Observer: p.obs, Progress: o.Progress}
	roundTrip, err := RoundTrip(ctx, t.Entries)
	if err != nil {
		return nil, err
	}
	bytesBefore := p.relays.totals()
	cpuBefore, start := cpuTime(), time.Now()
	cancelKills := scheduleKills(o, sys)
	defer cancelKills()
	outcomes, err := Drive(ctx, t, s.Name, Generate(o.Shape))
	if err != nil {
		return nil, err
	}
	r := &Result{
		Name: s.Name, Seed: o.Seed, Entries: o.Entries, Slots: o.Slots, OfferedLoad: o.Load,
		Seconds: time.Since(start).Seconds(), CPUSeconds: (cpuTime() - cpuBefore).Seconds(),
	}
	r.summarise(outcomes, o, roundTrip)
	r.ControlBytes = p.relays.controlBytes(bytesBefore, r, o.Agents)
	r.StartsByUpstream = p.obs.StartsByUpstream()
	messages := sys.Messages()
	r.Wasted = wastedMessages(messages, p.obs.Duplicates())
	r.Wasted.Reasons = p.reasons.snapshot()
	r.Heartbeats = messages.Heartbeats
	r.Violations = p.obs.Check()
	return r, nil
}

// DriveExternal sends the workload to entries that were started elsewhere. It
// cannot observe starts or read message counters, so only promises that callers
// can see are checked.
func DriveExternal(ctx context.Context, o Options, entries []string) (Report, error) {
	o = o.WithDefaults()
	rep := Report{Seed: o.Seed, Load: o.Load, Shape: o.Shape}
	roundTrip, err := RoundTrip(ctx, entries)
	if err != nil {
		return rep, err
	}
	obs := observer.New()
	obs.SkipStartChecks()
	start := time.Now()
	t := Target{Entries: entries, Observer: obs, Progress: o.Progress}
	outcomes, err := Drive(ctx, t, uniqueRunName(o.Seed), Generate(o.Shape))
	if err != nil {
		return rep, err
	}
	r := &Result{
		Name: "running", Seed: o.Seed, Entries: len(entries), Slots: o.Slots, OfferedLoad: o.Load,
		Seconds: time.Since(start).Seconds(), Violations: obs.Check(),
	}
	r.summarise(outcomes, o, roundTrip)
	rep.Results = []*Result{r}
	return rep, nil
}

// uniqueRunName returns a run name that differs from those of earlier runs on the
// same system, so that their payloads differ too.
func uniqueRunName(seed uint64) string { return fmt.Sprintf("load-%d-%d", seed, time.Now().UnixNano()) }

func entryURLs(sys *dev.System) []string {
	var urls []string
	for _, e := range sys.Entries {
		urls = append(urls, "http://"+e.Addr())
	}
	return urls
}

// scheduleKills schedules the kills that o asks for. The returned function
// cancels them.
func scheduleKills(o Options, sys *dev.System) func() {
	if o.Faults.Kill == 0 {
		return func() {}
	}
	firstKilled := o.Faults.Slow + o.Faults.Bad
	timer := time.AfterFunc(o.Duration/killDivisor, func() {
		for i := firstKilled; i < min(firstKilled+o.Faults.Kill, len(sys.Upstreams)); i++ {
			sys.Upstreams[i].Close()
		}
	})
	return func() { timer.Stop() }
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
