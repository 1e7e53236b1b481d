package entry

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// maxWorkerCrashes is the number of workers that may crash under the runs of one
	// task. The job then fails: such a task is likely to end the process of every
	// worker that starts it.
	maxWorkerCrashes = 3
	// longRunBlamePeriod: if the worker of a long-running task crashes later than this
	// after the start of the run, the task is not blamed. Over a long life it would
	// otherwise fail for unrelated crashes.
	longRunBlamePeriod = 10 * time.Second
)

const (
	// aloneCrashes: a task of a stored job under which this many workers crashed runs
	// alone next, so that the crash of another task beside it is not blamed on it, and
	// its own crash costs no other task. Callers of other jobs do not wait that long.
	aloneCrashes = maxWorkerCrashes - 1
	// maxAloneAttempts is how many tasks of this entry may be started alone at a time. A
	// worker takes no other task until the one that waits for it has ended.
	maxAloneAttempts = 1
	// aloneRetryDelay is the time after which a task is tried again that could not be
	// started alone.
	aloneRetryDelay = 20 * time.Millisecond
)

// aloneAttempt is an attempt that was started alone.
type aloneAttempt struct {
	task *task
	seq  wire.Seq
}

// runsAlone reports whether the next run of the task must be alone on its worker. The
// members of a gang run together.
func (t *task) runsAlone() bool {
	return t.job.stored && t.crashes >= aloneCrashes && !t.aloneRefused && t.job.steps[t.step].gang == nil
}

// enqueueTask gives a task to the scheduler, or to the tasks that wait to run alone.
func (m *Machine) enqueueTask(now time.Duration, t *task) {
	if m.alonePlacer != nil && t.runsAlone() {
		t.state = taskBackoff
		t.retryAt = now
		m.retries.Put(t)
		return
	}
	t.state = taskQueued
	m.scheduler.Enqueue(now, &t.schedTask)
}

// startAlone starts a task alone on a worker, or makes it wait.
func (m *Machine) startAlone(now time.Duration, t *task) {
	m.alone = slices.DeleteFunc(m.alone, func(a aloneAttempt) bool {
		return a.task.state != taskInFlight || a.task.seq != a.seq
	})
	if len(m.alone) < maxAloneAttempts {
		if p, ok := m.alonePlacer.PlaceAlone(now, &t.schedTask); ok {
			m.startTask(now, p)
			m.alone = append(m.alone, aloneAttempt{task: t, seq: t.seq})
			return
		}
	}
	t.retryAt = now + aloneRetryDelay
	m.retries.Put(t)
}

// needOf returns what the task's next run takes at an agent: all that its worker has if
// it must be alone there.
func (m *Machine) needOf(t *task, link *agentLink) wire.Capacity {
	if m.alonePlacer != nil && t.runsAlone() {
		return link.capacity
	}
	return t.schedTask.Job.Need
}

// countCrash counts a run of the task whose worker crashed, and reports the count for
// recording if the job is stored and the count has changed.
func (m *Machine) countCrash(t *task, r *wire.Result) {
	previous := t.crashes
	t.crashes++
	if t.job.longRunning && r.RunTime.Duration() >= longRunBlamePeriod {
		t.crashes = 0
	}
	if t.job.stored && t.crashes != previous {
		m.emit(RunCrashed{Run: t.ref(), Crashes: t.crashes})
	}
}

// exhausted returns why no further run of the task is allowed, "" if one is.
func (t *task) exhausted() string {
	switch {
	case t.crashes >= maxWorkerCrashes:
		return ReasonWorkersCrashed
	case t.failures >= t.job.maxAttempts && !t.job.longRunning:
		return ReasonTaskFailed
	}
	return ""
}

// failExhaustedJob fails a job whose recorded progress allows one of its tasks no
// further run: its previous owner was lost before it recorded the end of the job.
func (m *Machine) failExhaustedJob(now time.Duration, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if reason := t.exhausted(); t.state != taskDone && reason != "" {
			j.failBecauseOf(t, wire.ReasonNone)
			m.abortJob(now, j, reason)
			return
		}
	}
}

// reportContainment reports the classes that were contained or released since the last
// call.
func (m *Machine) reportContainment(now time.Duration) {
	if m.containment == nil {
		return
	}
	current := m.containment.ContainedClasses(now)
	for _, class := range current {
		if !slices.Contains(m.containedClasses, class) {
			m.emit(ContainmentChanged{Class: class, Contained: true})
		}
	}
	for _, class := range m.containedClasses {
		if !slices.Contains(current, class) {
			m.emit(ContainmentChanged{Class: class})
		}
	}
	m.containedClasses = current
}
