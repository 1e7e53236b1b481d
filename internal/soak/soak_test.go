package soak_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/soak"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

// Flags for a longer soak outside CI. The logs of failed seeds are written to the
// folder given by -soak.logs:
//
//	go test ./internal/soak -soak.first 100 -soak.seeds 50 -soak.logs /tmp/soak
//	go test ./internal/soak -soak.large -soak.first 11 -soak.seeds 4 -soak.logs /tmp/soak
var (
	firstSeed = flag.Uint64("soak.first", 0, "first seed")
	seedCount = flag.Uint64("soak.seeds", 1, "number of seeds")
	large     = flag.Bool("soak.large", false, "play largeSize, one seed after the other, without failedSeeds")
	allFaults = flag.Bool("soak.all", false, "inject all kinds of faults; always on with -soak.large")
	binary    = flag.String("soak.binary", "", "path of another build to play, for instance of an earlier commit")
	evacuate  = flag.Bool("soak.evacuations", true, "evacuate zones among the faults; off for builds that cannot")
	logDir    = flag.String("soak.logs", "", "folder for the logs of failed seeds")
)

// failedSeeds holds the seeds that once failed, each with its cause. They are run
// every time.
var failedSeeds = []uint64{
	1,  // a new agent reported a finished run after the attempt was given up
	41, // a suspended entry took an earlier agent process for the newer one
}

const seedTimeout = 3 * time.Minute

// size is the size of one seed.
type size struct {
	entries, workers, jobs, stored, faults int
	jobInterval, storedInterval            time.Duration
}

var (
	defaultSize = size{
		entries: 2, workers: 3, jobs: 220, jobInterval: 25 * time.Millisecond,
		stored: 90, storedInterval: 60 * time.Millisecond, faults: 10,
	}
	// largeSize is that of issue 41: 11 entries and 62 agents.
	largeSize = size{
		entries: 11, workers: 62, jobs: 3000, jobInterval: 5 * time.Millisecond,
		stored: 900, storedInterval: 15 * time.Millisecond, faults: 40,
	}
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// TestPromisesHoldBetweenProcesses guards against promises that hold within one
// process under single faults, but not between separate processes under
// overlapping faults.
func TestPromisesHoldBetweenProcesses(t *testing.T) {
	bin, err := harness.BuildBinaries(false)
	assert.NilError(t, err)
	seeds, extent := slices.Clone(failedSeeds), defaultSize
	if *large {
		seeds, extent = nil, largeSize
	}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			if !*large {
				t.Parallel()
			}
			runSeed(t, cmp.Or(*binary, bin.Limpettrail), seed, extent)
		})
	}
}

// runSeed runs the jobs and faults of one seed and checks the promises.
func runSeed(t *testing.T, binary string, seed uint64, extent size) {
	ctx, cancel := context.WithTimeout(context.Background(), seedTimeout)
	defer cancel()
	s, err := soak.Start(ctx, soak.Options{
		Binary: binary, Dir: t.TempDir(), Entries: extent.entries, Workers: extent.workers, Seed: seed, Large: *large, AllFaults: *large || *allFaults, Evacuations: *evacuate,
	})
	assert.NilError(t, err)
	defer s.Close()
	defer saveLogs(t, s, seed)
	replies := make(chan []emulator.Reply, 1)
	stored := make(chan []emulator.StoredJob, 1)
	go func() { replies <- s.SubmitJobs(ctx, extent.jobs, extent.jobInterval) }()
	go func() { stored <- s.SubmitStoredJobs(ctx, extent.stored, extent.storedInterval) }()
	evacuated := evacuateZones(ctx, t, s, seed)
	s.InjectFaults(ctx, t.Logf, rand.New(rand.NewPCG(seed, 7)), extent.faults)
	zone := evacuated()
	if err := s.Recover(ctx); err != nil {
		t.Error(err)
	}
	answers := make(map[string]int) // by status and state
	for _, r := range <-replies {
		answers[fmt.Sprintf("%d %s", r.Status, r.State)]++
	}
	jobs := <-stored
	for i := range jobs {
		if jobs[i].Accepted {
			s.Await(ctx, &jobs[i], i)
		}
	}
	if zone != "" {
		s.AwaitContact(ctx)
	}
	repliesAfter := s.SubmitJobs(ctx, 10, 100*time.Millisecond)
	if zone != "" {
		awaitReturn(ctx, t, s, zone)
	}
	for _, v := range s.Checker.Violations() {
		t.Error(v)
	}
	t.Logf("answers to %d jobs: %v; %+v", extent.jobs, answers, s.Checker.Counts())
	assert.Check(t, slices.ContainsFunc(repliesAfter, func(r emulator.Reply) bool { return r.State == "completed" }),
		"no job completed after the faults: %v", repliesAfter)
}

// evacuateZones evacuates zones until the returned function is called, which leaves one zone
// evacuated and returns its name.
func evacuateZones(ctx context.Context, t *testing.T, s *soak.System, seed uint64) (end func() string) {
	if !*evacuate {
		return func() string { return "" }
	}
	ctx, cancel := context.WithCancel(ctx)
	zone := make(chan string, 1)
	go func() { zone <- s.EvacuateZones(ctx, t.Logf, rand.New(rand.NewPCG(seed, 13))) }()
	return func() string { cancel(); return <-zone }
}

// awaitReturn withdraws the evacuation of a zone and waits until tasks start there again. It
// submits bursts of jobs: with little load, workers that were slow during the faults get none.
func awaitReturn(ctx context.Context, t *testing.T, s *soak.System, zone string) {
	s.WithdrawEvacuation(zone)
	for before := s.Checker.StartsIn(zone); s.Checker.StartsIn(zone) == before; {
		if ctx.Err() != nil {
			t.Errorf("no task starts in zone %s after its evacuation", zone)
			return
		}
		s.SubmitJobs(ctx, 60, time.Millisecond)
	}
}

// saveLogs writes the logs of a failed seed to the folder given by -soak.logs.
func saveLogs(t *testing.T, s *soak.System, seed uint64) {
	if !t.Failed() || *logDir == "" {
		return
	}
	for name, output := range s.Logs() {
		path := filepath.Join(*logDir, fmt.Sprintf("%d-%s.log", seed, name))
		if err := os.WriteFile(path, []byte(output), 0o600); err != nil {
			t.Log(err)
		}
	}
}
