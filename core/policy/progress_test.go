package policy_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	progressAgents = 3
	// progressBound is how long after the last disruption an accepted task may wait
	// although a worker has room for it.
	progressBound  = 30 * time.Second
	maxLasting     = 5 // long-running tasks
	fullMilliCores = 64000
	taskMilliCores = 6200
	lastingRunTime = time.Hour
)

// progressWorld plays entries and agents with long-running and short stored jobs beside
// disruptions.
type progressWorld struct {
	*driver
	t       *rapid.T
	lasting map[wire.SubmissionID]int // tasks of each long-running job
	stored  map[wire.SubmissionID]string
	tasks   int // long-running tasks of all jobs
	changes []int64
}

func newProgressWorld(t *rapid.T) *progressWorld {
	seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
	capacity := wire.Capacity{MilliCores: fullMilliCores, MemoryMB: 128000}
	entries := rapid.IntRange(1, 2).Draw(t, "entries")
	d := newDriverWithCapacity(seed, entries, progressAgents, capacity, oneClass, adaptive(seed))
	for i := range entries {
		d.stepEntry(i, entry.StoredLease{Until: 1 << 62})
	}
	return &progressWorld{
		driver: d, t: t,
		lasting: map[wire.SubmissionID]int{}, stored: map[wire.SubmissionID]string{},
		changes: make([]int64, progressAgents),
	}
}

// submitStored submits a stored job, whose tasks must run at the worker of an agent unless
// label is negative, and prefer it if rack is not negative.
func (w *progressWorld) submitStored(tasks int, milliCores int64, run time.Duration, lasting bool, label int) {
	var id wire.SubmissionID
	w.lastID++
	binary.LittleEndian.PutUint64(id[:], w.lastID)
	step := entry.Step{Tasks: tasks, Need: wire.Capacity{MilliCores: milliCores, MemoryMB: 64}}
	if label >= 0 {
		step.RequiredLabel = fmt.Sprint("kind-", label)
	}
	if !lasting {
		step.DeclaredRunTime = run
	}
	payload := append(binary.LittleEndian.AppendUint64(nil, uint64(run)), 0)
	payloads := make([][]byte, tasks)
	for i := range payloads {
		payloads[i] = payload
	}
	w.jobs[id] = &submitted{class: "c", tasks: tasks, at: w.now}
	w.stepEntry(rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry"), entry.Submit{
		Submission: id, Class: "c", Job: fmt.Sprint("job-", w.lastID), Payloads: payloads, Steps: []entry.Step{step},
		Stored: true, LongRunning: lasting, MaxFailedRuns: 1 << 20,
	})
	if lasting {
		w.lasting[id] = tasks
		w.tasks += tasks
		return
	}
	w.stored[id] = fmt.Sprintf("%d tasks of %d, label %d", tasks, milliCores, label)
}

// lastingRuns returns the long-running runs by job, and one of them that is drawn.
func (w *progressWorld) lastingRuns() (byJob map[wire.SubmissionID]int, drawn agent.AttemptID) {
	byJob = map[wire.SubmissionID]int{}
	var all []agent.AttemptID
	for id, start := range w.starts {
		if w.lasting[start.Submission] > 0 {
			byJob[start.Submission]++
			all = append(all, id)
		}
	}
	for _, id := range all {
		if drawn == (agent.AttemptID{}) || id.Entry < drawn.Entry || id.Entry == drawn.Entry && id.Seq < drawn.Seq {
			drawn = id
		}
	}
	return byJob, drawn
}

func (w *progressWorld) setCapacity(k int, milliCores int64) {
	w.changes[k]++
	w.stepAgent(k, agent.CapacityChanged{Capacity: wire.Capacity{MilliCores: milliCores, MemoryMB: 128000}, Sequence: w.changes[k]})
}

// disrupt carries out one event. It returns when its effect ends.
func (w *progressWorld) disrupt() (until time.Duration) {
	k := rapid.IntRange(0, progressAgents-1).Draw(w.t, "agent")
	span := time.Duration(rapid.IntRange(200, 6500).Draw(w.t, "span")) * time.Millisecond
	label := rapid.IntRange(-1, progressAgents-1).Draw(w.t, "label")
	switch rapid.IntRange(0, 8).Draw(w.t, "event") {
	case 0:
		w.frozenUntil[k] = w.now + span
	case 1:
		w.bad[k] = true
		w.after(span, func() { w.bad[k] = false })
		return w.now + span + maxFailingRun // what it has started fails until then
	case 2:
		if _, id := w.lastingRuns(); id != (agent.AttemptID{}) {
			w.endRun(w.runningAt[id], agent.Finished{Attempt: id, Outcome: wire.Failed, Reason: wire.ReasonUpstreamError})
		}
		return w.now
	case 3:
		w.setCapacity(k, rapid.SampledFrom([]int64{16000, 40000}).Draw(w.t, "capacity"))
		w.after(span, func() { w.setCapacity(k, fullMilliCores) })
	case 4, 5:
		for range rapid.IntRange(1, 30).Draw(w.t, "burst") {
			w.submit(rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry"), "c", "", 1500*time.Millisecond,
				[]time.Duration{60 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond}, false)
		}
		return w.now
	case 6, 7:
		w.submitStored(rapid.IntRange(1, 4).Draw(w.t, "tasks"), rapid.SampledFrom([]int64{taskMilliCores, 24000}).Draw(w.t, "need"),
			200*time.Millisecond, false, label)
		return w.now
	case 8:
		if n := rapid.IntRange(1, 4).Draw(w.t, "tasks"); w.tasks+n <= maxLasting {
			w.submitStored(n, taskMilliCores, lastingRunTime, true, label)
		}
		return w.now
	}
	return w.now + span
}

// describe returns the load that each agent reports.
func (w *progressWorld) describe() (out string) {
	for k, a := range w.agents {
		out += fmt.Sprintf("\nagent %d: %+v", k, a.Load(w.now))
	}
	return out
}

// requireProgress checks that every short stored job has ended and every long-running task
// is at work.
func (w *progressWorld) requireProgress() {
	for id, what := range w.stored {
		if _, open := w.jobs[id]; open {
			w.t.Fatalf("%v: a stored job (%s) still waits%s", w.now, what, w.describe())
		}
	}
	running, _ := w.lastingRuns()
	for id, n := range w.lasting {
		if running[id] < n {
			w.t.Fatalf("%v: %d of %d tasks of a long-running job are at work%s", w.now, running[id], n, w.describe())
		}
	}
}

// Guards against accepted tasks that wait for good beside idle workers: a limit that failures,
// slow round trips or a smaller capacity have lowered rises again only with attempts that end
// or succeed, and long-running tasks do neither.
func TestAcceptedTasksProgressWhateverIsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newProgressWorld(t)
		w.run(time.Second)
		w.submitStored(rapid.IntRange(1, maxLasting).Draw(t, "lasting tasks"), taskMilliCores, lastingRunTime, true, rapid.IntRange(-1, 0).Draw(t, "label"))
		calmAt := time.Duration(0)
		for range rapid.IntRange(2, 15).Draw(t, "events") {
			calmAt = max(calmAt, w.disrupt())
			w.run(w.now + time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause"))*time.Millisecond)
		}
		w.run(max(calmAt, w.now) + time.Second)
		// Jobs that come after the disruptions have to run too.
		w.submitStored(2, taskMilliCores, 200*time.Millisecond, false, 0)
		w.submitStored(2, 24000, 200*time.Millisecond, false, -1)
		w.run(w.now + progressBound)
		w.requireProgress()
	})
}
