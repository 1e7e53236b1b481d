package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// lostAgentScript is an entry that has started the only task of a stored job at an agent whose
// connection is lost.
type lostAgentScript struct {
	m   *entry.Machine
	now time.Duration
}

const workerIncarnation = 100

func newLostAgentScript(settled bool) *lostAgentScript {
	s := &lostAgentScript{m: entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler), LostAgentTimeout: 400 * time.Millisecond})}
	s.step(entry.StoredLease{Until: time.Hour})
	s.step(s.hello(1, "w", workerIncarnation))
	s.step(entry.Submit{Submission: testJob, Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 3, Stored: true})
	s.step(s.hello(2, "other", workerIncarnation))
	if settled {
		s.step(entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{SettledStarts: []wire.Seq{1, 7}}})
	}
	s.step(entry.LinkDown{Agent: 1, Epoch: 1})
	return s
}

func (s *lostAgentScript) hello(agent wire.Incarnation, name string, worker int64) entry.LinkUp {
	return entry.LinkUp{Hello: wire.AgentHello{
		Agent: agent, Epoch: 1, Name: name, Slots: 8, NoLeftoverRuns: true, WorkerIncarnation: worker, TakeoverTime: wire.MicrosOf(time.Second),
	}}
}

func (s *lostAgentScript) step(ev entry.Event) []entry.Action { return s.m.Step(s.now, ev) }

// startAfter returns how long after now the task is started again, at the latest after limit.
func (s *lostAgentScript) startAfter(limit time.Duration) time.Duration {
	for began := s.now; s.now-began < limit; {
		s.now += 20 * time.Millisecond
		if f, _ := mergeFrames(s.step(entry.Tick{})); len(f.Starts) > 0 {
			return s.now - began
		}
	}
	return limit
}

// Guards against two runs of one task: the agent is silent while its worker restarts, and the
// next incarnation carries out a start that had no answer, up to 12 s after it was sent. Its
// run has a lease of 1 s.
func TestStoredTaskIsRepeatedOnceStartAtLostAgentHasNoEffect(t *testing.T) {
	s := newLostAgentScript(false)
	after := s.startAfter(20 * time.Second)
	assert.Assert(t, after > 13500*time.Millisecond && after < 16*time.Second, "started again after %v", after)
}

// Guards against tasks that wait for a late start although their agent has reported that no
// copy of it is left.
func TestStoredTaskWithSettledStartIsRepeatedWithItsLease(t *testing.T) {
	s := newLostAgentScript(true)
	after := s.startAfter(20 * time.Second)
	assert.Assert(t, after >= 1400*time.Millisecond && after < 1500*time.Millisecond, "started again after %v", after)
}

// Guards against tasks that wait for a late start although the next agent has fenced it off.
func TestStoredTaskIsRepeatedWhenNextAgentHasTakenOver(t *testing.T) {
	s := newLostAgentScript(false)
	assert.Equal(t, s.startAfter(3*time.Second), 3*time.Second)
	f, _ := mergeFrames(s.step(s.hello(3, "w", workerIncarnation+1)))
	assert.Equal(t, len(f.Starts), 1)
}

// Guards against a start that counts as settled because an earlier attempt of its task was.
func TestSettledStartOfEarlierAttemptSettlesNoOther(t *testing.T) {
	s := newLostAgentScript(true)
	s.startAfter(2 * time.Second) // at the other agent
	s.step(entry.LinkDown{Agent: 2, Epoch: 1})
	s.step(s.hello(4, "third", workerIncarnation))
	after := s.startAfter(20 * time.Second)
	assert.Assert(t, after > 13500*time.Millisecond && after < 20*time.Second, "started again after %v", after)
}

// Guards against a cancelled job that is not answered until the start at a lost agent can have
// no effect: its task is not repeated.
func TestCancelledJobDoesNotWaitForStartAtLostAgent(t *testing.T) {
	s := newLostAgentScript(false)
	s.step(entry.CancelJob{Submission: testJob})
	answered := time.Duration(0)
	for began := s.now; answered == 0 && s.now-began < 20*time.Second; {
		s.now += 20 * time.Millisecond
		if len(answersIn(s.step(entry.Tick{}))) > 0 {
			answered = s.now - began
		}
	}
	assert.Assert(t, answered > 0 && answered < 1600*time.Millisecond, "answered after %v", answered)
}

// Guards against a task that waits for 15 s for a late start although the agent that has taken
// the worker over was connected when the connection of the replaced one was lost.
func TestStoredTaskIsRepeatedIfNextAgentHadTakenOverBefore(t *testing.T) {
	s := &lostAgentScript{m: entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler), LostAgentTimeout: 400 * time.Millisecond})}
	s.step(entry.StoredLease{Until: time.Hour})
	s.step(s.hello(1, "w", workerIncarnation))
	s.step(entry.Submit{Submission: testJob, Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 3, Stored: true})
	f, _ := mergeFrames(s.step(s.hello(2, "w", workerIncarnation+1)))
	assert.Equal(t, len(f.Starts), 0)
	s.step(entry.LinkDown{Agent: 1, Epoch: 1})
	after := s.startAfter(20 * time.Second)
	assert.Assert(t, after >= 1400*time.Millisecond && after < 1500*time.Millisecond, "started again after %v", after)
}

// Guards against a worker that is not used for 15 s: its time of day was set back, it
// restarted, and a start at its lost agent, which states the later takeover, is in doubt.
func TestNextAgentIsUsedWhileStartAtLostAgentIsInDoubt(t *testing.T) {
	s := newLostAgentScript(false)
	s.now += 2 * time.Second
	s.step(entry.Tick{})
	s.step(s.hello(3, "w", workerIncarnation-1))
	other := testJob
	other[0]++
	started := startedAt(s.step(entry.Submit{Submission: other, Payloads: make([][]byte, 1), MaxFailedRuns: 3, Deadline: time.Minute}))
	assert.DeepEqual(t, started, []wire.Incarnation{3})
}
