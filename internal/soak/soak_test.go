package soak_test

import (
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

// A longer soak outside CI; failed seeds leave their logs in the folder:
//
//	go test ./internal/soak -soak.first 100 -soak.seeds 50 -soak.logs /tmp/soak
var (
	first = flag.Uint64("soak.first", 0, "first seed")
	seeds = flag.Uint64("soak.seeds", 1, "number of seeds")
	logs  = flag.String("soak.logs", "", "folder for the logs of failed seeds")
)

// failed holds the seeds that ever failed, each with its cause. They are played
// in every run.
var failed = []uint64{
	1,  // the end that a new agent found came after the attempt was given up
	41, // an entry that stood still took an earlier agent for the newer one
}

const (
	bound     = 3 * time.Minute // of one seed
	jobs      = 220
	stored    = 90
	jobEvery  = 25 * time.Millisecond
	keepEvery = 60 * time.Millisecond
	faults    = 10
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.Remove()
	os.Exit(code)
}

// Guards against promises that hold in one process and one fault at a time, but
// not between real processes under faults that overlap.
func TestPromisesHoldBetweenProcesses(t *testing.T) {
	bin, err := harness.Build(false)
	assert.NilError(t, err)
	list := slices.Clone(failed)
	for seed := *first; seed < *first+*seeds; seed++ {
		list = append(list, seed)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			play(t, bin.Limpettrail, seed)
		})
	}
}

func play(t *testing.T, binary string, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	s, err := soak.Start(ctx, soak.Options{Binary: binary, Dir: t.TempDir(), Entries: 2, Workers: 3, Seed: seed})
	assert.NilError(t, err)
	defer s.Close()
	defer keepLogs(t, s, seed)
	replies := make(chan []emulator.Reply, 1)
	kept := make(chan []emulator.Stored, 1)
	go func() { replies <- s.Load(ctx, jobs, jobEvery) }()
	go func() { kept <- s.LoadStored(ctx, stored, keepEvery) }()
	s.Disturb(ctx, t.Logf, rand.New(rand.NewPCG(seed, 7)), faults)
	assert.NilError(t, s.Calm(ctx))
	served := 0
	for _, r := range <-replies {
		if r.State == "completed" {
			served++
		}
	}
	done := <-kept
	for i := range done {
		if done[i].Accepted {
			s.Await(ctx, &done[i], i)
		}
	}
	again := s.Load(ctx, 10, 100*time.Millisecond)
	for _, v := range s.Judge.Violations() {
		t.Error(v)
	}
	t.Logf("%d of %d jobs served; %+v", served, jobs, s.Judge.Counts())
	assert.Check(t, slices.ContainsFunc(again, func(r emulator.Reply) bool { return r.State == "completed" }),
		"the system must serve again: %v", again)
}

// keepLogs writes the logs of a failed seed.
func keepLogs(t *testing.T, s *soak.System, seed uint64) {
	if !t.Failed() || *logs == "" {
		return
	}
	for name, text := range s.Logs() {
		path := filepath.Join(*logs, fmt.Sprintf("%d-%s.log", seed, name))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Log(err)
		}
	}
}
