package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

// steadyJobs returns n jobs at equal intervals. Every second one is not
// idempotent.
func steadyJobs(n int, deadline time.Duration) []load.Job {
	var list []load.Job
	for i := range n {
		j := load.Job{SendAt: time.Duration(i) * 20 * time.Millisecond, Class: "render", Deadline: deadline, Keyed: i%2 == 1}
		for range 1 + i%3 {
			j.RunTimes = append(j.RunTimes, 20*time.Millisecond)
		}
		list = append(list, j)
	}
	return list
}

// wakeLongPolls appends an empty claims record, which ends the entries' long polls.
func (s *system) wakeLongPolls() {
	s.t.Helper()
	r := claims.Record{Entry: 1, Peer: "127.0.0.1:1"}
	body, err := r.Encode()
	assert.NilError(s.t, err)
	_, err = s.logClient().Append(s.ctx, logstate.StreamClaims, platformlog.NewRecordID(), body)
	assert.NilError(s.t, err)
}

// loggedClaims returns the number of claims in the log.
func (s *system) loggedClaims() int {
	n := 0
	for _, r := range s.log.Records(logstate.StreamClaims) {
		if rec, err := claims.Decode(r.Body); err == nil {
			n += len(rec.Claims)
		}
	}
	return n
}

// keyedJob returns the body of a job with one task and a key that contains name.
func keyedJob(name string) string {
	key := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name)
	return fmt.Sprintf(`{"class":"render","key":%q,"idempotent":false,"deadline_ms":20000,"tasks":[{"sleep_us":1000,"key":%q,"text":%q}]}`, key, key, name)
}

// TestEntryKilledBetweenClaimAndStart guards against a job with a key that runs,
// or is answered as not run, although the killed entry may have started it. The
// claim of that entry is in the log, and the caller resubmits to another entry.
func TestEntryKilledBetweenClaimAndStart(t *testing.T) {
	s := startSystem(t, 2, 2)
	reads := s.log.Counts().Reads
	s.log.SetFaults(logserver.Faults{ReadDelayMillis: 3000})
	s.wakeLongPolls()
	s.waitUntil("the entries' delayed reads", func() bool { return s.log.Counts().Reads >= reads+2 })
	body := keyedJob("claimed")
	submitErr := make(chan error, 1)
	go func() {
		_, err := s.post(0, body)
		submitErr <- err
	}()
	s.waitUntil("the claim in the log", func() bool { return s.loggedClaims() == 1 })
	s.entries[0].kill()
	assert.Assert(t, <-submitErr != nil, "the caller's connection must break")
	startsBeforeKill := s.observer.Starts()
	s.log.SetFaults(logserver.Faults{})
	var r jobReply
	s.waitUntil("a final answer", func() bool {
		var err error
		r, err = s.post(1, body)
		assert.NilError(t, err)
		return r.Outcome != "refused" // the entry is still catching up with the log
	})
	assert.Equal(t, r.Outcome, "unknown", r.Reason)
	assert.Equal(t, s.observer.Starts(), startsBeforeKill, "the resubmission must start nothing")
	t.Logf("%d starts before the kill, answer %s (%s)", startsBeforeKill, r.Outcome, r.Reason)
	s.startEntry(0)
	s.awaitReady()
	again, err := s.post(0, body)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, "unknown", again.Reason)
	assert.Equal(t, s.observer.Starts(), startsBeforeKill, "the restarted entry must start nothing")
}

// TestLogOutageInTheMiddle guards against non-idempotent requests that hang or
// run without a claim, and against idempotent ones that fail, during an outage of
// the log under load.
func TestLogOutageInTheMiddle(t *testing.T) {
	s := startSystem(t, 3, 3)
	awaitOutcomes := s.submitJobs("before", steadyJobs(40, 20*time.Second))
	s.waitUntil("some starts", func() bool { return s.observer.Starts() >= 10 })
	s.log.SetFaults(logserver.Faults{Outage: true})
	for _, e := range s.entries {
		s.awaitStatus(e, "the entry to notice the outage", func(st processStatus) bool { return !st.Log.Reachable })
	}
	awaitOutcomes()
	for _, o := range s.submitJobs("outage", steadyJobs(30, 20*time.Second))() {
		if o.Job.Keyed {
			assert.Equal(t, o.Outcome, observer.NotRun, o.Reason)
			assert.Equal(t, o.Reason, logstate.ReasonLogUnavailable)
			continue
		}
		assert.Equal(t, o.Outcome, observer.Complete, o.Reason)
	}
	s.log.SetFaults(logserver.Faults{})
	s.awaitReady()
	for _, o := range s.submitJobs("after", steadyJobs(30, 20*time.Second))() {
		assert.Equal(t, o.Outcome, observer.Complete, o.Reason)
	}
	s.checkPromises()
}

// restartAll kills all entries and agents, then starts them again. The entries
// keep their addresses.
func (s *system) restartAll() {
	s.t.Helper()
	s.killAll()
	for i := range s.entries {
		s.startEntry(i)
	}
	for k := range s.agents {
		s.startAgent(k)
	}
}

// TestEverythingRestartedAtOnce guards against promises that hold only while some
// process has their state in memory. All entries and agents are killed under load.
func TestEverythingRestartedAtOnce(t *testing.T) {
	s := startSystem(t, 3, 3)
	awaitOutcomes := s.submitJobs("before", steadyJobs(100, 20*time.Second))
	s.waitUntil("some starts", func() bool { return s.observer.Starts() >= 20 })
	s.restartAll()
	awaitOutcomes()
	s.awaitReady()
	for _, o := range s.submitJobs("after", steadyJobs(20, 20*time.Second))() {
		assert.Equal(t, o.Outcome, observer.Complete, o.Reason)
	}
	s.checkPromises()
}

// TestEverythingRestartedInAnOutage guards against a system that serves without a
// configuration or with a different one, or runs a claimed key again, after all
// its processes were killed during an outage of the log.
func TestEverythingRestartedInAnOutage(t *testing.T) {
	s := startSystem(t, 3, 3)
	s.publishClass(4000)
	version := s.awaitConfig()
	awaitOutcomes := s.submitJobs("before", steadyJobs(60, 20*time.Second))
	s.waitUntil("some starts", func() bool { return s.observer.Starts() >= 20 })
	s.log.SetFaults(logserver.Faults{Outage: true})
	s.restartAll()
	awaitOutcomes()
	for _, o := range s.submitJobs("outage", steadyJobs(10, 2*time.Second))() {
		assert.Equal(t, o.Outcome, observer.NotRun, o.Reason)
	}
	s.log.SetFaults(logserver.Faults{})
	s.awaitReady()
	assert.Equal(t, s.awaitConfig(), version)
	for _, o := range s.submitJobs("after", steadyJobs(20, 20*time.Second))() {
		assert.Equal(t, o.Outcome, observer.Complete, o.Reason)
	}
	s.checkPromises()
}

// awaitConfig waits until every process has the newest configuration version in
// the log, and returns that version.
func (s *system) awaitConfig() int64 {
	s.t.Helper()
	records := s.log.Records(logstate.StreamConfig)
	want := records[len(records)-1].Offset + 1
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		s.awaitStatus(p, fmt.Sprintf("version %d", want), func(st processStatus) bool { return st.ConfigVersion == want })
	}
	return want
}

// TestConfigurationWhileAThirdRestarts guards against a process that misses a
// configuration change, or returns to an earlier version, while a third of all
// processes restart.
func TestConfigurationWhileAThirdRestarts(t *testing.T) {
	s := startSystem(t, 3, 3)
	highest := make(map[string]int64)
	for round := range 3 {
		s.entries[round].kill()
		s.agents[round].kill()
		s.publishClass(3000 + round)
		s.startEntry(round)
		s.startAgent(round)
		version := s.awaitConfig()
		for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
			st, err := p.status()
			assert.NilError(t, err)
			assert.Assert(t, st.ConfigVersion >= highest[st.Incarnation], "the configuration version went back")
			highest[st.Incarnation] = st.ConfigVersion
		}
		t.Logf("round %d: version %d in effect in all processes", round, version)
	}
	s.awaitReady()
	for _, o := range s.submitJobs("after", steadyJobs(20, 20*time.Second))() {
		assert.Equal(t, o.Outcome, observer.Complete, o.Reason)
	}
	s.checkPromises()
}
