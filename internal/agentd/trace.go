package agentd

import (
	"strconv"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// taskInfo identifies a task in the events.
type taskInfo struct {
	submission string
	job        string
	task       int // index plus 1
}

// tracer emits the events of tasks. Results name only the sequence number of an
// attempt, so it remembers the task of each attempt until the result is sent.
// Without a log it does nothing.
type tracer struct {
	log   *eventlog.Log
	tasks map[agent.AttemptID]taskInfo
}

// maxTracedTasks bounds the remembered tasks. Those whose result is never sent,
// because their entry is gone, would accumulate. When the bound is reached, all
// remembered tasks are dropped.
const maxTracedTasks = 16384

func newTracer(log *eventlog.Log) tracer {
	return tracer{log: log, tasks: make(map[agent.AttemptID]taskInfo)}
}

func (t *tracer) traceEvent(ev agent.Event) {
	if t.log == nil {
		return
	}
	switch e := ev.(type) {
	case agent.Received:
		for i := range e.Frame.Starts {
			t.startReceived(e.Entry, &e.Frame.Starts[i])
		}
	case agent.Finished:
		f := t.fields(e.Attempt)
		f.Detail = e.Outcome.String() + " " + e.Reason.String()
		f.Duration = e.RunTime
		code := eventlog.TaskFinished
		if e.Outcome != wire.Succeeded {
			code = eventlog.RunFailed
		}
		t.log.Emit(code, f)
	}
}

// startReceived remembers the task of a received start and emits the event.
func (t *tracer) startReceived(entry wire.Incarnation, s *wire.Start) {
	if len(t.tasks) >= maxTracedTasks {
		clear(t.tasks)
	}
	id := agent.AttemptID{Entry: entry, Seq: s.Seq}
	t.tasks[id] = taskInfo{submission: s.Submission.String(), job: s.Job, task: s.Index + 1}
	t.log.Emit(eventlog.StartReceived, t.fields(id))
}

func (t *tracer) taskStarted(x *agent.Run) {
	if t.log != nil {
		t.log.Emit(eventlog.TaskStarted, t.fields(x.Attempt))
	}
}

func (t *tracer) stopRequested(x agent.Stop) {
	if t.log != nil {
		t.log.Emit(eventlog.TaskStopAsked, t.fields(x.Attempt))
	}
}

// resultsReported emits an event for each result in a frame to an entry and forgets
// the tasks.
func (t *tracer) resultsReported(x *agent.Send) {
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
	info := t.tasks[id]
	return eventlog.Fields{
		Submission: info.submission,
		Job:        info.job,
		Task:       info.task,
		Peer:       strconv.FormatUint(uint64(id.Entry), 16),
		Count:      int64(id.Seq),
	}
}
