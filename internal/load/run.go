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
	// killAfter is the part of the run after which an upstream is killed.
	killAfter = 3
	// upstreamName is the format of a sample upstream's name in records.
	upstreamName = "upstream-%02d"
)

// Faults are defects of the sample upstreams. They are given to the first
// agents in turn: slow ones, then bad ones, then the ones that are killed.
type Faults struct {
	Slow       int     // upstreams that take SlowFactor times as long
	SlowFactor float64 // default 4
	Bad        int     // upstreams that fail every task
	Kill       int     // upstreams killed after a third of the run
}

// Options describe one run on a system that the run itself starts.
type Options struct {
	Shape
	Entries  int // default 3
	Agents   int // default 11
	Settings policy.Settings
	Faults   Faults
	// CountBytes leads the agents' links through relays that count bytes. The
	// relays add to response times, so take the two figures in separate runs.
	CountBytes bool
	Progress   io.Writer
}

// Scheme is one way to schedule.
type Scheme struct {
	Name string
	// Entries overrides the number of entries if it is not 0.
	Entries int
	New     func(entry int, seed uint64) policy.Scheduler
}

// WithDefaults fills in the zero fields with today's system at 70% load.
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

// slotsAt returns the slots in service at a moment of the run: those of
// upstreams that are neither bad nor killed by then.
func (o Options) slotsAt(at time.Duration) int {
	out := o.Faults.Bad
	if at >= o.Duration/killAfter {
		out += o.Faults.Kill
	}
	return max(o.Slots-out*(o.Slots/o.Agents), 1)
}

// Run starts a system with the scheme, drives it with the workload and stops it.
func Run(ctx context.Context, o Options, s Scheme) (r *Result, err error) {
	o = o.WithDefaults()
	if s.Entries > 0 {
		o.Entries = s.Entries
	}
	p := &probes{watch: observer.New()}
	defer p.relays.close()
	sys, err := start(o, s, p)
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

// probes observe one run.
type probes struct {
	watch   *observer.Observer
	relays  relays
	reasons reasons
}

// start brings up the system with an observer at every upstream.
func start(o Options, s Scheme, p *probes) (*dev.System, error) {
	opts := dev.Options{
		Entries: o.Entries, Agents: o.Agents, Slots: o.Slots / o.Agents,
		Settings: o.Settings,
		NewScheduler: func(i int) policy.Scheduler {
			return counted{Scheduler: s.New(i, o.Seed+uint64(i)), reasons: &p.reasons}
		},
		Upstream: func(i int) upstream.Options {
			name := fmt.Sprintf(upstreamName, i)
			u := upstream.Options{OnStart: func(st upstream.Started) { p.watch.Started(observer.StartOf(name, st)) }}
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

func measure(ctx context.Context, o Options, s Scheme, sys *dev.System, p *probes) (*Result, error) {
	t := Target{Entries: addresses(sys), Observer: p.watch, Progress: o.Progress}
	roundTrip, err := RoundTrip(ctx, t.Entries)
	if err != nil {
		return nil, err
	}
	bytesBefore := p.relays.count()
	before, began := processorTime(), time.Now()
	stopFaults := scheduleKills(o, sys)
	defer stopFaults()
	outcomes, err := Drive(ctx, t, s.Name, Generate(o.Shape))
	if err != nil {
		return nil, err
	}
	r := &Result{
		Name: s.Name, Seed: o.Seed, Entries: o.Entries, Slots: o.Slots, Offered: o.Load,
		Seconds: time.Since(began).Seconds(), Processor: (processorTime() - before).Seconds(),
	}
	r.summarise(outcomes, o, roundTrip)
	r.ControlByte = p.relays.control(bytesBefore, r, o.Agents)
	r.StartsBy = p.watch.StartsBy()
	messages := sys.Messages()
	r.Wasted = wasted(messages, p.watch.Duplicates())
	r.Wasted.Reasons = p.reasons.snapshot()
	r.Heartbeats = messages.Heartbeats
	r.Violations = p.watch.Judge()
	return r, nil
}

// DriveRunning drives entries that run elsewhere. Starts are not observed and
// message counters are not read, so the verdict covers only what callers see.
func DriveRunning(ctx context.Context, o Options, entries []string) (Report, error) {
	o = o.WithDefaults()
	rep := Report{Seed: o.Seed, Load: o.Load, Shape: o.Shape}
	roundTrip, err := RoundTrip(ctx, entries)
	if err != nil {
		return rep, err
	}
	watch := observer.New()
	watch.WithoutStarts()
	began := time.Now()
	t := Target{Entries: entries, Observer: watch, Progress: o.Progress}
	outcomes, err := Drive(ctx, t, runName(o.Seed), Generate(o.Shape))
	if err != nil {
		return rep, err
	}
	r := &Result{
		Name: "running", Seed: o.Seed, Entries: len(entries), Slots: o.Slots, Offered: o.Load,
		Seconds: time.Since(began).Seconds(), Violations: watch.Judge(),
	}
	r.summarise(outcomes, o, roundTrip)
	rep.Results = []*Result{r}
	return rep, nil
}

// runName names a run on a system that other runs may have used before, so
// that payloads of two runs differ.
func runName(seed uint64) string { return fmt.Sprintf("load-%d-%d", seed, time.Now().UnixNano()) }

func addresses(sys *dev.System) []string {
	var urls []string
	for _, e := range sys.Entries {
		urls = append(urls, "http://"+e.Addr())
	}
	return urls
}

// scheduleKills kills upstreams later; the returned function calls it off.
func scheduleKills(o Options, sys *dev.System) func() {
	if o.Faults.Kill == 0 {
		return func() {}
	}
	first := o.Faults.Slow + o.Faults.Bad
	timer := time.AfterFunc(o.Duration/killAfter, func() {
		for i := first; i < min(first+o.Faults.Kill, len(sys.Upstreams)); i++ {
			sys.Upstreams[i].Close()
		}
	})
	return func() { timer.Stop() }
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
