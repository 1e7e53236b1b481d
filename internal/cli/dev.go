package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/load"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
	// devLoad is the offered load of `dev --jobs`, as a share of the slots. It
	// determines over which time the jobs are spread.
	devLoad = 0.6
)

type devArgs struct {
	Entries int    `default:"3" help:"number of entries"`
	Agents  int    `default:"11" help:"number of agents"`
	Jobs    int    `help:"run that many mixed jobs, print a summary and exit"`
	Seed    uint64 `default:"1" help:"seed of the jobs"`
}

// example returns the command line that the help text shows.
func (*devArgs) example() string { return "limpettrail dev --jobs 200 --seed 1" }

func (a *devArgs) run(stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Jobs > 0 {
		return runDevJobs(ctx, a, stdout, stderr)
	}
	return serveDev(ctx, a, stdout, stderr)
}

// serveDev runs the system until ctx is done.
func serveDev(ctx context.Context, a *devArgs, stdout, stderr io.Writer) int {
	s, err := dev.Start(dev.Options{Entries: a.Entries, Agents: a.Agents, ServeOperators: true})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	err = s.WaitReady(waitCtx)
	cancel()
	if err == nil {
		describeDev(stdout, s)
		<-ctx.Done()
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := errors.Join(err, s.Stop(stopCtx)); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

// describeDev prints the addresses of the system and some commands to try.
func describeDev(w io.Writer, s *dev.System) {
	for i, e := range s.Entries {
		fmt.Fprintf(w, "entry-%d: callers http://%s  operators http://%s (/status /metrics /readyz /timeline)\n", i, e.Addr(), e.OperatorAddr())
	}
	fmt.Fprintf(w, "agents: operators %s\n", strings.Join(s.OperatorAddrs[len(s.Entries):], " "))
	fmt.Fprintf(w, "platform log: %s  fault injection: %s\n\nTry:\n", s.Log.URL(), s.Log.ControlURL())
	fmt.Fprintf(w, "  curl -s http://%s/v1/jobs -d '{\"class\":\"quote\",\"tasks\":[{\"sleep_us\":50000},{\"sleep_us\":80000}]}'\n", s.Entries[0].Addr())
	fmt.Fprintf(w, "  limpettrail config --log %s list\n", s.Log.URL())
	fmt.Fprintf(w, "  limpettrail config status %s\n", strings.Join(s.OperatorAddrs, " "))
	fmt.Fprintf(w, "  limpettrail timeline --job SUBMISSION %s\n", strings.Join(s.OperatorAddrs, " "))
}

// runDevJobs runs mixed jobs through a complete system and fails if the observer
// finds a violation.
func runDevJobs(ctx context.Context, a *devArgs, stdout, stderr io.Writer) int {
	o := load.Options{Entries: a.Entries, Agents: a.Agents, Progress: stderr}
	o.Shape = load.MixedShape(a.Seed, a.Jobs, o.WithDefaults().Slots, devLoad)
	r, err := load.Run(ctx, o, load.DefaultScheme())
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	writeSummary(stdout, r)
	if len(r.Violations) > 0 {
		return ExitFailed
	}
	return ExitOK
}

func writeSummary(w io.Writer, r *load.Result) {
	a := r.All
	fmt.Fprintf(w, "jobs: %d complete, %d failed, %d refused, %d unknown, %d without an answer\n",
		a.Complete, a.Failed, a.Refused, a.Unknown, a.Broken)
	fmt.Fprintf(w, "response time over ideal: p50 %.3f, p99 %.3f, mean %.3f\n", a.Ratio.P50, a.Ratio.P99, a.Ratio.Mean)
	fmt.Fprintf(w, "messages beyond one start and one result: %s per task\n", r.Wasted)
	fmt.Fprintf(w, "tasks of complete jobs: %d in %.1f s\n", r.TasksOfCompleteJobs, r.Seconds)
	fmt.Fprintf(w, "violations: %d\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}
