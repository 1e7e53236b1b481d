package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

type discardInput struct{ io.Writer }

func (discardInput) Close() error { return nil }

// Guards against a soak that fails because a spare entry was started twice: another fault
// took it for an entry that is down while the one that it replaces was still stopping.
func TestSpareEntryIsInUseOnlyOnceItRuns(t *testing.T) {
	c, err := emulator.StartCluster(emulator.ClusterOptions{Entries: 2, Workers: 1, Seed: 1, External: true, ExternalWorkers: true})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	dir := t.TempDir()
	binary := filepath.Join(dir, "entry") // takes a while to stop
	script := "#!/bin/sh\ntrap 'sleep 0.3; exit 0' TERM\nwhile :; do sleep 0.02; done\n"
	assert.NilError(t, os.WriteFile(binary, []byte(script), 0o700))
	s := &System{
		Cluster: c, opts: Options{Binary: binary, Dir: dir, Entries: 2, Site: &Site{Zones: []Zone{{Entries: 1}}}},
		callers: &callerProcess{input: discardInput{io.Discard}},
	}
	s.allocate()
	const old, spare = 0, 1
	s.removed[spare], s.unstarted = true, []int{spare}
	assert.NilError(t, s.StartVM(old))
	t.Cleanup(func() {
		s.Kill(old)
		s.Kill(spare)
	})
	time.Sleep(100 * time.Millisecond) // the script sets its trap
	r := rand.New(rand.NewPCG(1, 1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	planned := s.replacedEntry(r)
	for planned.name != "replacement of an entry, planned true, VMs [0]" {
		planned = s.replacedEntry(r)
	}
	done := make(chan error, 1)
	go func() { done <- planned.inject(ctx) }()
	for {
		select {
		case err := <-done:
			assert.NilError(t, err)
			assert.Assert(t, s.process(spare) != nil)
			return
		default:
		}
		if slices.Contains(s.entryVMs(r, 2), spare) {
			s.processMu[spare].Lock() // as a fault of its process does
			assert.Check(t, s.process(spare) != nil, "a fault found the spare entry before it was started")
			s.processMu[spare].Unlock()
		}
		time.Sleep(time.Millisecond)
	}
}
