package entry_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	benchAgents = 11
	benchSlots  = 8
)

// fifoScheduler is a scheduler of constant cost, so that the benchmarks measure
// the machine.
type fifoScheduler struct {
	queue     []*policy.Task
	head      int
	lastAgent int
}

func (s *fifoScheduler) Configure(time.Duration, policy.Settings)                                {}
func (s *fifoScheduler) AgentUp(time.Duration, policy.AgentInfo)                                 {}
func (s *fifoScheduler) AgentDown(time.Duration, wire.Incarnation)                               {}
func (s *fifoScheduler) Observe(time.Duration, wire.Incarnation, wire.Load)                      {}
func (s *fifoScheduler) Admit(time.Duration, *policy.Job) (v policy.AdmitResult)                 { return }
func (s *fifoScheduler) Enqueue(_ time.Duration, t *policy.Task)                                 { s.queue = append(s.queue, t) }
func (s *fifoScheduler) Remove(time.Duration, *policy.Task)                                      {}
func (s *fifoScheduler) SetEvacuatedZones(time.Duration, []string)                               {}
func (s *fifoScheduler) Retain(time.Duration, policy.Class)                                      {}
func (s *fifoScheduler) JobDone(time.Duration, *policy.Job, bool)                                {}
func (s *fifoScheduler) AttemptDone(time.Duration, wire.Incarnation, *policy.Task, *wire.Result) {}

func (s *fifoScheduler) Retry(time.Duration, *policy.Task, wire.Reason) (time.Duration, bool) {
	return 0, true
}

func (s *fifoScheduler) Next(time.Duration) (policy.Placement, bool) {
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
		return policy.Placement{}, false
	}
	t := s.queue[s.head]
	s.head++
	s.lastAgent = s.lastAgent%benchAgents + 1
	return policy.Placement{Task: t, Agent: wire.Incarnation(s.lastAgent)}, true
}

// benchmarkJobs runs jobs of zero-length tasks through the machine. Each frame
// of starts is answered at once with one frame of results.
func benchmarkJobs(b *testing.B, s policy.Scheduler, tasks int) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
	m.Step(0, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Second}}}})
	for a := range benchAgents {
		m.Step(0, entry.LinkUp{Hello: wire.AgentHello{Agent: wire.Incarnation(a + 1), Epoch: 1, Slots: benchSlots}})
	}
	payloads := make([][]byte, tasks)
	var id wire.SubmissionID
	var sends []entry.Send
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += tasks {
		binary.BigEndian.PutUint64(id[:], uint64(n+1))
		now := time.Duration(n) * time.Microsecond
		sends = appendStartFrames(sends[:0], m.Step(now, entry.Submit{Submission: id, Class: "c", Deadline: time.Minute, Payloads: payloads}))
		for len(sends) > 0 {
			send := sends[0]
			sends = sends[1:]
			f := &wire.ToEntry{Results: make([]wire.Result, len(send.Frame.Starts)), Load: wire.Load{Slots: benchSlots, Limit: benchSlots}}
			for i := range f.Results {
				f.Results[i] = wire.Result{Seq: send.Frame.Starts[i].Seq, Outcome: wire.Succeeded}
			}
			sends = appendStartFrames(sends, m.Step(now, entry.Received{Agent: send.Agent, Epoch: 1, Frame: f}))
		}
		if m.Jobs() > 0 {
			b.Fatal("the job was not answered")
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

// appendStartFrames appends the frames with starts among the actions to out.
func appendStartFrames(out []entry.Send, actions []entry.Action) []entry.Send {
	for _, a := range actions {
		if s, ok := a.(entry.Send); ok && len(s.Frame.Starts) > 0 {
			out = append(out, s)
		}
	}
	return out
}

func BenchmarkTasks1PerJob(b *testing.B)   { benchmarkJobs(b, &fifoScheduler{}, 1) }
func BenchmarkTasks88PerJob(b *testing.B)  { benchmarkJobs(b, &fifoScheduler{}, 88) }
func BenchmarkTasks570PerJob(b *testing.B) { benchmarkJobs(b, &fifoScheduler{}, 570) }

// BenchmarkCancelWave cancels 10,000 queued tasks of 100 jobs. The reported
// cost is that of one task.
func BenchmarkCancelWave(b *testing.B) {
	const jobs, tasks = 100, 100
	payloads := make([][]byte, tasks)
	ids := make([]wire.SubmissionID, jobs)
	b.ReportAllocs()
	for n := 0; n < b.N; n += jobs * tasks {
		b.StopTimer()
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: &neverPlacesScheduler{}})
		for i := range ids {
			binary.BigEndian.PutUint64(ids[i][:], uint64(i+1))
			m.Step(0, entry.Submit{Submission: ids[i], Deadline: time.Minute, Payloads: payloads})
		}
		b.StartTimer()
		for i := range ids {
			m.Step(0, entry.CancelJob{Submission: ids[i]})
		}
	}
}

// neverPlacesScheduler is a scheduler that never places a task.
type neverPlacesScheduler struct{ fifoScheduler }

func (*neverPlacesScheduler) Next(time.Duration) (policy.Placement, bool) {
	return policy.Placement{}, false
}
