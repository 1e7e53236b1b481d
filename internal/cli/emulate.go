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
	emulateEvery = 15 * time.Millisecond  // between two jobs
	faultSpan    = 400 * time.Millisecond // between two faults
	emulateBound = 5 * time.Minute
)

// example is shown in the help.
func (*emulateArgs) example() string { return "limpettrail emulate --jobs 200 --faults --seed 1" }

func (a *emulateArgs) run(stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), emulateBound)
	defer cancel()
	c, err := emulator.StartCluster(emulator.ClusterOptions{Entries: a.Entries, Workers: a.Workers, Seed: a.Seed})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer c.Close()
	if err := c.Ready(ctx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	faults, stop := context.WithCancel(ctx)
	faulted := make(chan error, 1)
	go func() { faulted <- a.disturb(faults, c) }()
	replies := c.Load(ctx, a.Jobs, emulateEvery)
	stop()
	if err := <-faulted; err != nil {
		fmt.Fprintln(stderr, "a process could not be started again:", err)
		return ExitFailed
	}
	return report(stdout, c, replies)
}

// disturb injects one fault after the other until ctx ends.
func (a *emulateArgs) disturb(ctx context.Context, c *emulator.Cluster) error {
	r := rand.New(rand.NewPCG(a.Seed, 3))
	for a.Faults && ctx.Err() == nil {
		w := r.IntN(a.Workers)
		e := r.IntN(a.Entries)
		var err error
		switch r.IntN(8) {
		case 0:
			c.Workers[w].Set(emulator.WorkerFaults{Late: 0.2, Lost: 0.2})
		case 1:
			c.Workers[w].Set(emulator.WorkerFaults{Fail: 0.7})
		case 2:
			c.Workers[w].Set(emulator.WorkerFaults{Hang: true})
		case 3:
			c.Workers[w].Set(emulator.WorkerFaults{Dark: true})
		case 4:
			c.Workers[w].Reborn()
		case 5:
			err = c.RestartAgent(w)
		case 6:
			err = c.RestartEntry(e)
		case 7:
			c.StoreFault(e, emulator.StoreFault(r.IntN(4)))
		}
		if err != nil {
			return err
		}
		time.Sleep(faultSpan)
		c.Workers[r.IntN(a.Workers)].Set(emulator.WorkerFaults{})
	}
	return nil
}

// report prints a summary and returns whether every promise was kept.
func report(w io.Writer, c *emulator.Cluster, replies []emulator.Reply) int {
	byAnswer := make(map[string]int)
	for _, r := range replies {
		byAnswer[fmt.Sprintf("%d %s", r.Status, r.State)]++
	}
	fmt.Fprintf(w, "%d jobs, by answer: %v\nruns: %+v\n", len(replies), byAnswer, c.Judge.Counts())
	broken := c.Judge.Violations()
	for _, v := range broken {
		fmt.Fprintln(w, "BROKEN:", v)
	}
	if len(broken) > 0 {
		return ExitFailed
	}
	fmt.Fprintln(w, "no promise was broken")
	return ExitOK
}
