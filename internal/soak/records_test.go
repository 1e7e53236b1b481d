package soak

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

const ms = time.Millisecond

// TestRunsAtTheSameTimeAreFoundInRecords guards against a check that misses a second run,
// or that counts a run beyond the end of its lease or of its process.
func TestRunsAtTheSameTimeAreFoundInRecords(t *testing.T) {
	start := func(at time.Duration) emulator.RunEvent {
		return emulator.RunEvent{Kind: emulator.RunStarted, At: at, Worker: "a", Task: "job.0.0.0", Attempt: 1, LeaseEnd: at + 700*ms}
	}
	end := func(at time.Duration, outcome string, leaseEnd time.Duration) emulator.RunEvent {
		return emulator.RunEvent{Kind: emulator.RunEnded, At: at, Worker: "a", Task: "job.0.0.0", Attempt: 1, Outcome: outcome, LeaseEnd: leaseEnd}
	}
	renewal := func(at time.Duration) emulator.RunEvent {
		return emulator.RunEvent{Kind: emulator.LeaseRenewed, At: at, Worker: "a", LeaseEnd: at + 700*ms}
	}
	second := Run{Worker: "b", Task: "job.0.0.0", Attempt: 2, Start: 2000 * ms, End: 2500 * ms, Outcome: "done"}
	for name, test := range map[string]struct {
		first    []emulator.RunEvent
		killedAt time.Duration
		overlap  time.Duration // of the first run with second, 0 if there is none
	}{
		"done before":                    {first: []emulator.RunEvent{start(1000 * ms), end(1999*ms, "done", 2600*ms)}},
		"stopped after":                  {first: []emulator.RunEvent{start(1000 * ms), end(2100*ms, "stopped", 2600*ms)}, overlap: 100 * ms},
		"goes on":                        {first: []emulator.RunEvent{start(1000 * ms)}, overlap: 500 * ms},
		"lapsed, noticed later":          {first: []emulator.RunEvent{start(1000 * ms), end(2300*ms, "lapsed", 1700*ms)}},
		"lapsed during the second run":   {first: []emulator.RunEvent{start(1400 * ms), end(2300*ms, "lapsed", 2100*ms)}, overlap: 100 * ms},
		"killed before":                  {first: []emulator.RunEvent{start(1900 * ms)}, killedAt: 1950 * ms},
		"killed after":                   {first: []emulator.RunEvent{start(1900 * ms)}, killedAt: 2200 * ms, overlap: 200 * ms},
		"killed after its lease expired": {first: []emulator.RunEvent{start(1000 * ms)}, killedAt: 2200 * ms},
		"killed, lease renewed":          {first: []emulator.RunEvent{start(1000 * ms), renewal(1500 * ms)}, killedAt: 2400 * ms, overlap: 200 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			overlaps := Overlaps(append(runsOf(test.first, test.killedAt), second))
			if test.overlap == 0 {
				assert.Equal(t, len(overlaps), 0, "%v", overlaps)
				return
			}
			assert.Equal(t, len(overlaps), 1)
			assert.Equal(t, overlaps[0].Duration(), test.overlap)
		})
	}
}

// TestSummaryCountsRequestsThatLeftRuns guards against a soak whose callers never leave
// runs behind, or whose jobs are all refused, and that looks like one that met faults.
func TestSummaryCountsRequestsThatLeftRuns(t *testing.T) {
	runs := []Run{
		{Task: "a.0.0.0", Start: 100 * ms, End: 300 * ms, Outcome: "stopped"},
		{Task: "b.0.0.0", Start: 100 * ms, End: 1700 * ms, Outcome: "done"},
	}
	calls := []Call{
		{Job: "c", Try: 1, SentAt: 10 * ms, EndAt: 20 * ms, Status: 429},
		{Job: "a", Try: 1, SentAt: 50 * ms, EndAt: 250 * ms},
		{Job: "b", Try: 1, SentAt: 60 * ms, EndAt: 260 * ms},
		{Job: "a", Try: 2, SentAt: 1550 * ms, EndAt: 1600 * ms, Status: 200, State: "completed"},
		{Job: "b", Try: 2, SentAt: 1560 * ms, EndAt: 1700 * ms, Status: 200, State: "completed"},
	}
	s := summarize(calls, runs, []time.Duration{30 * ms, 200 * ms})
	assert.Equal(t, s.Jobs, 3)
	assert.Equal(t, s.Completed, 2)
	assert.Equal(t, s.CompletedBefore, 0.0)
	assert.Equal(t, s.OpenAtFaults, 1.0)
	assert.Equal(t, s.Repeats, 2)
	assert.Equal(t, s.AfterOpenRun, 2)
	assert.Equal(t, s.BesideOpenRun, 1)
}

// TestSiteFilesAreChecked guards against a site file with a mistake that is played as if
// it were right.
func TestSiteFilesAreChecked(t *testing.T) {
	for _, name := range []string{"site.toml", "small-site.toml"} {
		_, err := LoadSite(filepath.Join("testdata", name))
		assert.NilError(t, err)
	}
	data, err := os.ReadFile(filepath.Join("testdata", "small-site.toml"))
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "site.toml")
	assert.NilError(t, os.WriteFile(path, append([]byte("unknown_key = 1\n"), data...), 0o600))
	_, err = LoadSite(path)
	assert.ErrorContains(t, err, "unknown_key")
	assert.NilError(t, os.WriteFile(path, []byte("spare_entries = 1\n[[zones]]\nentries = 1\n"), 0o600))
	_, err = LoadSite(path)
	assert.ErrorContains(t, err, "zones[0]")
	assert.ErrorContains(t, err, "classes")
}

// TestFalseAnswersAreFoundInRecords guards against a check that accepts a refusal of a job
// that ran, or a completed job with a task that was not done.
func TestFalseAnswersAreFoundInRecords(t *testing.T) {
	runs := []Run{{Task: "a.0.0.0", Outcome: "stopped"}, {Task: "b.0.0.0", Outcome: "done"}, {Task: "c.0.0.0", Outcome: "stopped"}}
	answers := falseAnswers(map[string][]Call{
		"a": {{Job: "a", Tasks: 1, Status: 503}, {Job: "a", Tasks: 1, Status: 429}},
		"b": {{Job: "b", Tasks: 2, Status: 200, State: "completed"}},
		"c": {{Job: "c", Tasks: 1}, {Job: "c", Tasks: 1, Status: 429}}, // the first request has no answer
	}, runs)
	slices.Sort(answers)
	assert.DeepEqual(t, answers, []string{
		"job a was refused, but a task of it ran",
		"job b was reported as completed, but no run of task b.0.0.1 was done",
	})
}
