package agentd

import (
	"strconv"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// traced is what the time line says about a task.
type traced struct {
	submission string
	job        string
	task       int // index plus 1
}

// tracer writes the per-task events. It remembers the tasks behind the seqs,
// which results do not name, until their result is sent. Without a log it does
// nothing.
type tracer struct {
	log   *eventlog.Log
	tasks map[agent.AttemptID]traced
}

// maxTraced bounds the remembered tasks: those whose result was never sent,
// because the entry is gone, would add up. They are then forgotten at once.
const maxTraced = 16384

func newTracer(log *eventlog.Log) tracer {
	return tracer{log: log, tasks: make(map[agent.AttemptID]traced)}
}

func (t *tracer) event(ev agent.Event) {
	if t.log == nil {
		return
	}
	switch e := ev.(type) {
	case agent.Received:
		for i := range e.Frame.Starts {
			t.received(e.Entry, &e.Frame.Starts[i])
		}
	case agent.Finished:
		f := t.fields(e.Attempt)
		f.Detail = e.Outcome.String() + " " + e.Reason.String()
		f.Duration = e.Run
		code := eventlog.TaskFinished
		if e.Outcome != wire.Succeeded {
			code = eventlog.RunFailed
		}
		t.log.Emit(code, f)
	}
}

func (t *tracer) received(entry wire.Incarnation, s *wire.Start) {
	if len(t.tasks) >= maxTraced {
		clear(t.tasks)
	}
	id := agent.AttemptID{Entry: entry, Seq: s.Seq}
	t.tasks[id] = traced{submission: s.Submission.String(), job: s.Job, task: s.Index + 1}
	t.log.Emit(eventlog.StartReceived, t.fields(id))
}

func (t *tracer) run(x *agent.Run) {
	if t.log != nil {
		t.log.Emit(eventlog.TaskStarted, t.fields(x.Attempt))
	}
}

func (t *tracer) stop(x agent.Stop) {
	if t.log != nil {
		t.log.Emit(eventlog.TaskStopAsked, t.fields(x.Attempt))
	}
}

func (t *tracer) send(x *agent.Send) {
	if t.log == nil {
		return
	}
	for i := range x.Frame.Results {
		r := &x.Frame.Results[i]
		id := agent.AttemptID{Entry: x.Entry, Seq: r.Seq}
		f := t.fields(id)
		f.Detail = r.Outcome.String() + " " + r.Reason.String()
		code := eventlog.ResultReported
		if r.Outcome == wire.NotRun {
			code = eventlog.StartRefused
		}
		t.log.Emit(code, f)
		delete(t.tasks, id)
	}
}

func (t *tracer) fields(id agent.AttemptID) eventlog.Fields {
	known := t.tasks[id]
	return eventlog.Fields{
		Submission: known.submission,
		Job:        known.job,
		Task:       known.task,
		Peer:       strconv.FormatUint(uint64(id.Entry), 16),
		Count:      int64(id.Seq),
	}
}
