package cli

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

type emulateArgs struct {
	Entries int    `default:"3" help:"number of entries"`
	Workers int    `default:"5" help:"number of workers, each with its agent"`
	Jobs    int    `default:"200" help:"number of jobs, of 1 to 6 tasks"`
	Seed    uint64 `default:"1" help:"seed of the jobs and faults"`
	Faults  bool   `help:"inject faults of workers, agents, entries and the store"`
}

const (
	emulatedJobInterval = 15 * time.Millisecond
	faultInterval       = 400 * time.Millisecond
	emulateTimeout      = 5 * time.Minute
)

// example returns the command line that the help text shows.
func (*emulateArgs) example() string { return "limpettrail emulate --jobs 200 --faults --seed 1" }

func (a *emulateArgs) run(stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), emulateTimeout)
	defer cancel()
	c, err := emulator.StartCluster(emulator.ClusterOptions{Entries: a.Entries, Workers: a.Workers, Seed: a.Seed})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer c.Close()
	if err := c.AwaitReady(ctx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- a.injectFaults(faultCtx, c) }()
	replies := c.SubmitJobs(ctx, a.Jobs, emulatedJobInterval)
	stopFaults()
	if err := <-faultsDone; err != nil {
		fmt.Fprintln(stderr, "could not restart a process:", err)
		return ExitFailed
	}
	return printReport(stdout, c, replies)
}

// injectFaults injects a random fault every faultInterval until ctx is done. After
// each interval it clears the faults of a random worker.
func (a *emulateArgs) injectFaults(ctx context.Context, c *emulator.Cluster) error {
	r := rand.New(rand.NewPCG(a.Seed, 3))
	for a.Faults && ctx.Err() == nil {
		worker := r.IntN(a.Workers)
		entry := r.IntN(a.Entries)
		var err error
		switch r.IntN(8) {
		case 0:
			c.Workers[worker].SetFaults(emulator.WorkerFaults{DelayedShare: 0.2, LostReplyShare: 0.2})
		case 1:
			c.Workers[worker].SetFaults(emulator.WorkerFaults{FailureShare: 0.7})
		case 2:
			c.Workers[worker].SetFaults(emulator.WorkerFaults{Hang: true})
		case 3:
			c.Workers[worker].SetFaults(emulator.WorkerFaults{Unresponsive: true})
		case 4:
			c.Workers[worker].Restart()
		case 5:
			err = c.RestartAgent(worker)
		case 6:
			err = c.RestartEntry(entry)
		case 7:
			c.SetStoreFault(entry, emulator.StoreFault(r.IntN(4)))
		}
		if err != nil {
			return err
		}
		time.Sleep(faultInterval)
		c.Workers[r.IntN(a.Workers)].SetFaults(emulator.WorkerFaults{})
	}
	return nil
}

// printReport prints a summary and returns ExitFailed if there are violations.
func printReport(w io.Writer, c *emulator.Cluster, replies []emulator.Reply) int {
	byAnswer := make(map[string]int)
	for _, r := range replies {
		byAnswer[fmt.Sprintf("%d %s", r.Status, r.State)]++
	}
	fmt.Fprintf(w, "%d jobs, by answer: %v\nruns: %+v\n", len(replies), byAnswer, c.Checker.Counts())
	violations := c.Checker.Violations()
	for _, v := range violations {
		fmt.Fprintln(w, "violation:", v)
	}
	if len(violations) > 0 {
		return ExitFailed
	}
	fmt.Fprintln(w, "no violations")
	return ExitOK
}
