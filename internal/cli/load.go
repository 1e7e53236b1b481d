package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/internal/experiment"
	"github.com/limpettrail/limpettrail/internal/load"
)

type loadArgs struct {
	Compare       bool          `help:"run the chosen policy beside the baselines on the same workload"`
	Ablate        bool          `help:"run the chosen scheduler beside copies that lack one part each"`
	Scenario      string        `help:"run a named experiment; an unknown name lists them"`
	ConfigChanges int           `arg:"--config-changes" help:"measure that many configuration changes, restarts and a log outage"`
	Overhead      bool          `help:"measure what the path adds to calling upstreams directly"`
	Short         bool          `help:"a run that ends within 45 seconds"`
	Scheme        string        `default:"chosen" help:"scheduler of a single run"`
	Targets       []string      `arg:"--target,separate" help:"URL of a running entry; may be repeated; no system is started"`
	Seed          uint64        `default:"1" help:"seed of the workload"`
	Load          float64       `default:"0.7" help:"offered work over slots"`
	Duration      time.Duration `default:"30s" help:"how long jobs arrive"`
	Entries       int           `default:"3"`
	Agents        int           `default:"11" help:"agents of 8 slots; with --target, what the ideal assumes"`
	Bursts        int           `help:"number of bursts"`
	BurstShare    float64       `arg:"--burst-share" default:"0.2" help:"share of the jobs that arrive in bursts"`
	CancelWaves   int           `arg:"--cancel-waves" help:"number of waves of cancellations"`
	CancelShare   float64       `arg:"--cancel-share" default:"0.5" help:"share of recent jobs that a wave cancels"`
	FailShare     float64       `arg:"--fail-share" help:"share of jobs that fail on every upstream"`
	DeclaredError float64       `arg:"--declared-error" default:"10" help:"largest factor by which declared run times are off"`
	SendDeclared  bool          `arg:"--send-declared" help:"send declared run times with the jobs"`
	KeyedShare    float64       `arg:"--keyed-share" help:"share of jobs that are not idempotent and carry a key"`
	Slow          int           `help:"upstreams that take 4 times as long"`
	Bad           int           `help:"upstreams that fail every task"`
	Kill          int           `help:"upstreams killed after a third of the run"`
	CountBytes    bool          `arg:"--count-bytes" help:"count the bytes on links, through relays that add to response times"`
	JSON          string        `help:"write the report to this file"`
	Plot          string        `help:"write the distribution to this .svg or .png file"`
}

// options returns the options of a run whose progress is written to progress.
func (a *loadArgs) options(progress io.Writer) load.Options {
	o := load.Options{
		Entries: a.Entries, Agents: a.Agents, Progress: progress, CountBytes: a.CountBytes,
		Faults: load.Faults{Slow: a.Slow, Bad: a.Bad, Kill: a.Kill},
	}
	o.Shape = load.Shape{
		Seed: a.Seed, Duration: a.Duration, Load: a.Load,
		Bursts: a.Bursts, BurstShare: a.BurstShare,
		CancelWaves: a.CancelWaves, CancelShare: a.CancelShare,
		FailShare: a.FailShare, DeclaredError: a.DeclaredError,
		SendDeclared: a.SendDeclared, KeyedShare: a.KeyedShare,
	}
	if a.Short {
		o.Duration = load.ShortDuration
	}
	return o.WithDefaults()
}

// example returns the command line that the help text shows.
func (*loadArgs) example() string { return "limpettrail load --compare --short --seed 1" }

func (a *loadArgs) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Overhead {
		return a.runOverhead(ctx, stdout, stderr)
	}
	if a.ConfigChanges > 0 {
		return a.runConfigChanges(stdout, stderr)
	}
	rep, err := a.report(ctx, a.options(stderr))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if err := a.writeReport(rep, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if rep.Violations() > 0 {
		return ExitFailed
	}
	return ExitOK
}

func (a *loadArgs) runOverhead(ctx context.Context, stdout, stderr io.Writer) int {
	r, err := load.MeasureOverhead(ctx, a.options(stderr))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	r.Write(stdout)
	return ExitOK
}

func (a *loadArgs) runConfigChanges(stdout, stderr io.Writer) int {
	r, err := experiment.Run(experiment.Options{
		Entries: a.Entries, Agents: a.Agents, Changes: a.ConfigChanges, Seed: a.Seed,
	})
	r.Write(stdout)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

func (a *loadArgs) report(ctx context.Context, o load.Options) (load.Report, error) {
	switch {
	case len(a.Targets) > 0:
		return load.DriveExternal(ctx, o, a.Targets)
	case a.Scenario != "":
		return load.RunScenario(ctx, o, a.Scenario)
	case a.Ablate:
		return load.Ablate(ctx, o)
	case a.Compare:
		return load.CompareSchemes(ctx, o, load.Schemes())
	}
	var names []string
	for _, s := range load.Schemes() {
		if s.Name == a.Scheme {
			return load.CompareSchemes(ctx, o, []load.Scheme{s})
		}
		names = append(names, s.Name)
	}
	return load.Report{}, fmt.Errorf("load: unknown scheme %q; known schemes: %s", a.Scheme, strings.Join(names, ", "))
}

func (a *loadArgs) writeReport(rep load.Report, stdout io.Writer) error {
	if err := rep.WriteTable(stdout); err != nil {
		return err
	}
	if a.JSON != "" {
		if err := rep.WriteJSON(a.JSON); err != nil {
			return err
		}
	}
	if a.Plot != "" {
		return rep.WritePlot(a.Plot)
	}
	return nil
}
