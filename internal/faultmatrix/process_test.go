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

// steadyJobs returns n jobs, every second one not idempotent.
func steadyJobs(n int, deadline time.Duration) []load.Job {
	var list []load.Job
	for i := range n {
		j := load.Job{At: time.Duration(i) * 20 * time.Millisecond, Class: "render", Deadline: deadline, Keyed: i%2 == 1}
		for range 1 + i%3 {
			j.Runs = append(j.Runs, 20*time.Millisecond)
		}
		list = append(list, j)
	}
	return list
}

// nudge appends an empty claims record, which ends the entries' long polls.
func (s *system) nudge() {
	s.t.Helper()
	r := claims.Record{Entry: 1, Peer: "127.0.0.1:1"}
	body, err := r.Encode()
	assert.NilError(s.t, err)
	_, err = s.client().Append(s.ctx, logstate.StreamClaims, platformlog.NewRecordID(), body)
	assert.NilError(s.t, err)
}

// claimsOnRecord counts the claims in the log.
func (s *system) claimsOnRecord() int {
	n := 0
	for _, r := range s.log.Records(logstate.StreamClaims) {
		if rec, err := claims.Decode(r.Body); err == nil {
			n += len(rec.Claims)
		}
	}
	return n
}

func keyedJob(name string) string {
	key := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name)
	return fmt.Sprintf(`{"class":"render","key":%q,"idempotent":false,"deadline_ms":20000,"tasks":[{"sleep_us":1000,"key":%q,"text":%q}]}`, key, key, name)
}

// TestEntryKilledBetweenClaimAndStart guards against a key that runs although
// another entry may have started it, and against a "not run" for it: the claim
// is in the log, its entry is dead, and the caller submits again elsewhere.
func TestEntryKilledBetweenClaimAndStart(t *testing.T) {
	s := startSystem(t, 2, 2)
	reads := s.log.Counts().Reads
	s.log.SetFaults(logserver.Faults{ReadDelayMillis: 3000})
	s.nudge()
	s.until("delayed reads", func() bool { return s.log.Counts().Reads >= reads+2 })
	body := keyedJob("claimed")
	broken := make(chan error, 1)
	go func() {
		_, err := s.post(0, body)
		broken <- err
	}()
	s.until("the claim in the log", func() bool { return s.claimsOnRecord() == 1 })
	s.entries[0].kill()
	assert.Assert(t, <-broken != nil, "the caller must see a broken connection")
	ran := s.watch.Starts()
	s.log.SetFaults(logserver.Faults{})
	var r jobReply
	s.until("an answer that is final", func() bool {
		var err error
		r, err = s.post(1, body)
		assert.NilError(t, err)
		return r.Outcome != "refused" // the log is being caught up with
	})
	assert.Equal(t, r.Outcome, "unknown", r.Reason)
	assert.Equal(t, s.watch.Starts(), ran, "the resubmission must start nothing")
	t.Logf("%d starts before the kill, answer %s (%s)", ran, r.Outcome, r.Reason)
	s.startEntry(0)
	s.awaitReady()
	again, err := s.post(0, body)
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, "unknown", again.Reason)
	assert.Equal(t, s.watch.Starts(), ran, "the entry's successor must start nothing")
}

// TestLogOutageInTheMiddle guards against non-idempotent requests that run
// without a claim or hang, and idempotent ones that fail, while the log is out.
func TestLogOutageInTheMiddle(t *testing.T) {
	s := startSystem(t, 3, 3)
	before := s.drive("before", steadyJobs(40, 20*time.Second))
	s.until("some starts", func() bool { return s.watch.Starts() >= 10 })
	s.log.SetFaults(logserver.Faults{Outage: true})
	for _, e := range s.entries {
		s.await(e, "the outage to be noticed", func(st state) bool { return !st.Log.Reachable })
	}
	before()
	for _, o := range s.drive("outage", steadyJobs(30, 20*time.Second))() {
		if o.Job.Keyed {
			assert.Equal(t, o.Ending, observer.NotRun, o.Reason)
			assert.Equal(t, o.Reason, logstate.ReasonLogUnavailable)
			continue
		}
		assert.Equal(t, o.Ending, observer.Complete, o.Reason)
	}
	s.log.SetFaults(logserver.Faults{})
	s.awaitReady()
	for _, o := range s.drive("after", steadyJobs(30, 20*time.Second))() {
		assert.Equal(t, o.Ending, observer.Complete, o.Reason)
	}
	s.judge()
}

// restartAll kills every entry and agent, then starts them on their addresses.
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

// TestEverythingRestartedAtOnce guards against promises kept only as long as
// some process remembers them: all entries and agents die under load.
func TestEverythingRestartedAtOnce(t *testing.T) {
	s := startSystem(t, 3, 3)
	wait := s.drive("before", steadyJobs(100, 20*time.Second))
	s.until("some starts", func() bool { return s.watch.Starts() >= 20 })
	s.restartAll()
	wait()
	s.awaitReady()
	for _, o := range s.drive("after", steadyJobs(20, 20*time.Second))() {
		assert.Equal(t, o.Ending, observer.Complete, o.Reason)
	}
	s.judge()
}

// TestEverythingRestartedInAnOutage guards against a system that starts with no
// or another configuration, or runs a claimed key again, when all its memory is
// lost while the log is out.
func TestEverythingRestartedInAnOutage(t *testing.T) {
	s := startSystem(t, 3, 3)
	s.publish(4000)
	version := s.awaitConfig()
	wait := s.drive("before", steadyJobs(60, 20*time.Second))
	s.until("some starts", func() bool { return s.watch.Starts() >= 20 })
	s.log.SetFaults(logserver.Faults{Outage: true})
	s.restartAll()
	wait()
	for _, o := range s.drive("outage", steadyJobs(10, 2*time.Second))() {
		assert.Equal(t, o.Ending, observer.NotRun, o.Reason)
	}
	s.log.SetFaults(logserver.Faults{})
	s.awaitReady()
	assert.Equal(t, s.awaitConfig(), version)
	for _, o := range s.drive("after", steadyJobs(20, 20*time.Second))() {
		assert.Equal(t, o.Ending, observer.Complete, o.Reason)
	}
	s.judge()
}

// awaitConfig waits until every process has the version that follows from the
// log, and returns it.
func (s *system) awaitConfig() int64 {
	s.t.Helper()
	records := s.log.Records(logstate.StreamConfig)
	want := records[len(records)-1].Offset + 1
	for _, p := range append(append([]*program(nil), s.entries...), s.agents...) {
		s.await(p, fmt.Sprintf("version %d", want), func(st state) bool { return st.ConfigVersion == want })
	}
	return want
}

// TestConfigurationWhileAThirdRestarts guards against a process that misses a
// change, or goes back to an earlier one, while a third of all restart.
func TestConfigurationWhileAThirdRestarts(t *testing.T) {
	s := startSystem(t, 3, 3)
	highest := make(map[string]int64)
	for round := range 3 {
		s.entries[round].kill()
		s.agents[round].kill()
		s.publish(3000 + round)
		s.startEntry(round)
		s.startAgent(round)
		version := s.awaitConfig()
		for _, p := range append(append([]*program(nil), s.entries...), s.agents...) {
			st, err := p.status()
			assert.NilError(t, err)
			assert.Assert(t, st.ConfigVersion >= highest[st.Incarnation], "version went back")
			highest[st.Incarnation] = st.ConfigVersion
		}
		t.Logf("round %d: version %d in force in all processes", round, version)
	}
	s.awaitReady()
	for _, o := range s.drive("after", steadyJobs(20, 20*time.Second))() {
		assert.Equal(t, o.Ending, observer.Complete, o.Reason)
	}
	s.judge()
}
