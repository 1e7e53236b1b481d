package durable_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// maxFailedRuns and maxWorkerCrashes are how many failed runs of one task, and how
	// many crashes of workers under one, fail a job.
	maxFailedRuns    = 3
	maxWorkerCrashes = 3
)

func taskName(ref wire.RunRef) string {
	return fmt.Sprintf("%s.%d.%d", ref.Job, ref.Occurrence, ref.Index)
}

// drive starts all unfinished tasks of a job.
func (w *world) drive(p *process, x durable.Drive) {
	n := len(x.Progress)
	d := &activeDrive{spec: x.Spec, runBase: x.RunBase, unfinished: make([]bool, n), failures: make([]int, n), crashes: make([]int, n)}
	p.drives[x.Spec.ID] = d
	for i, task := range x.Progress {
		d.failures[i], d.crashes[i] = task.Failures, task.Crashes
		if !task.Done {
			d.failIfExhausted(i)
		}
	}
	if d.failReason != "" {
		for i, task := range x.Progress {
			d.unfinished[i] = !task.Done
		}
		return // endFailedDrives ends it
	}
	for i, task := range x.Progress {
		d.unfinished[i] = !task.Done
		if d.unfinished[i] {
			w.start(p, d, wire.RunRef{Job: x.Spec.ID, Occurrence: i / d.tasksPerOccurrence(), Index: i % d.tasksPerOccurrence(), Run: x.RunBase + 1})
		}
	}
	p.inbox = append(p.inbox, durable.JobStarted{Job: x.Spec.ID})
	w.endDrive(p, d)
}

// start starts a run. It fails the test if another run of the task is going on or
// a run of the task was acknowledged.
func (w *world) start(p *process, d *activeDrive, ref wire.RunRef) {
	for _, r := range w.runs {
		if taskName(r.ref) == taskName(ref) {
			w.t.Fatalf("%v at %v: run %d starts while run %d is running", taskName(ref), w.now, ref.Run, r.ref.Run)
		}
	}
	if n := w.notedFailures[taskName(ref)]; n >= maxFailedRuns {
		w.t.Fatalf("%v at %v: run %d starts after %d failed runs were acknowledged", taskName(ref), w.now, ref.Run, n)
	}
	if w.completedTasks[taskName(ref)] {
		w.t.Fatalf("%v at %v: run %d starts after a run of the task was acknowledged", taskName(ref), w.now, ref.Run)
	}
	for _, retained := range w.retained {
		// A task may be started again after a run that failed.
		retained.superseded = retained.superseded || !retained.run.Failed && taskName(retained.run.Run) == taskName(ref)
	}
	w.t.Logf("%v %s: run %d of %s starts", w.now, p.name, ref.Run, taskName(ref))
	d.running++
	x := &run{ref: ref, owner: p, endAt: w.now + w.runTime(ref.Job)}
	if w.faultyRuns {
		switch rapid.IntRange(0, 5).Draw(w.t, "fault of run") {
		case 0:
			x.fails = true
		case 1:
			x.crashes = true
		}
	}
	w.runs = append(w.runs, x)
}

// runTime returns how long a run of the job takes.
func (w *world) runTime(job string) time.Duration {
	if d, ok := w.runTimes[job]; ok {
		return d
	}
	longest := 1500
	if rapid.IntRange(0, 2).Draw(w.t, "long") == 2 { // longer than a lease
		longest = 8000
	}
	return time.Duration(rapid.IntRange(5, longest).Draw(w.t, "length")) * time.Millisecond
}

// endRuns ends the runs that have finished or whose owner is lost.
func (w *world) endRuns() {
	runs := w.runs
	w.runs = nil
	for _, r := range runs {
		switch {
		case r.lapseAt > 0 && w.now >= r.lapseAt:
			if d := r.owner.drives[r.ref.Job]; d != nil && d.runBase < r.ref.Run {
				d.running--
				d.lostRuns = append(d.lostRuns, r.ref)
			}
		case w.now >= r.endAt && r.crashes:
			w.crash(r)
		case w.now >= r.endAt:
			w.finish(r)
		default:
			w.runs = append(w.runs, r)
		}
	}
}

// finish ends a run that succeeded and reports it to its owner; a paused owner
// handles the report when it resumes.
func (w *world) finish(r *run) {
	finished := wire.FinishedRun{Run: r.ref, Failed: r.fails}
	if r.agentLost {
		r.lapseAt = w.now
		w.runs = append(w.runs, r) // ends when its lease expires
		return
	}
	w.t.Logf("%v %s: run %d of %s is done, failed %v", w.now, r.owner.name, r.ref.Run, taskName(r.ref), r.fails)
	if r.fails {
		w.failed[r.ref] = true
		w.failedRuns[taskName(r.ref)]++
	}
	w.retained = append(w.retained, &retainedRun{run: finished, owner: r.owner, reportedTo: make(map[*process]bool), finishedAt: w.now})
	if !slices.Contains(w.processes, r.owner) {
		return
	}
	p := r.owner
	d := p.drives[r.ref.Job]
	if d == nil || d.runBase >= r.ref.Run {
		return
	}
	p.inbox = append(p.inbox, durable.RunFinished{Agent: 1, Run: finished})
	d.running--
	i := d.taskOf(r.ref)
	if r.fails {
		d.failures[i]++
		d.failIfExhausted(i)
		d.lostRuns = append(d.lostRuns, r.ref)
		return
	}
	d.unfinished[i] = false
	w.endDrive(p, d)
}

// enforceLease halts what a process drives once its lease has expired.
func (w *world) enforceLease(p *process) {
	if w.now < p.leaseUntil {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		w.halt(p, p.drives[job])
	}
}

// restartLostRuns starts the tasks of lost runs again.
func (w *world) restartLostRuns(p *process) {
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		d := p.drives[job]
		lost := d.lostRuns
		d.lostRuns = nil
		for _, ref := range lost {
			ref.Run++
			w.start(p, d, ref)
		}
	}
}

// endDrive reports the end of a drive if none of its tasks runs.
func (w *world) endDrive(p *process, d *activeDrive) {
	if d.running > 0 || len(d.lostRuns) > 0 {
		return
	}
	outcome, reason := entry.Complete, ""
	if slices.Contains(d.unfinished, true) {
		outcome, reason = entry.Failed, entry.ReasonCancelled
	}
	delete(p.drives, d.spec.ID)
	p.inbox = append(p.inbox, durable.DriveEnded{Job: d.spec.ID, Outcome: outcome, Reason: reason})
}

// halt stops the runs of a drive.
func (w *world) halt(p *process, d *activeDrive) {
	w.stopRuns(p, d)
	w.endDrive(p, d)
}

// stopRuns stops the runs of a drive.
func (w *world) stopRuns(p *process, d *activeDrive) {
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return r.owner == p && r.ref.Job == d.spec.ID })
	d.running, d.lostRuns = 0, nil
}

// taskOf returns the index of the run's task in the drive.
func (d *activeDrive) taskOf(ref wire.RunRef) int {
	return ref.Occurrence*d.tasksPerOccurrence() + ref.Index
}

// failIfExhausted fails the drive if the task may not run again.
func (d *activeDrive) failIfExhausted(i int) {
	switch {
	case d.failReason != "":
	case d.crashes[i] >= maxWorkerCrashes:
		d.failReason = entry.ReasonWorkersCrashed
	case d.failures[i] >= maxFailedRuns:
		d.failReason = entry.ReasonTaskFailed
	}
}

// crash ends a run whose worker crashes. Only its owner learns that the worker crashed.
func (w *world) crash(r *run) {
	w.t.Logf("%v %s: the worker of run %d of %s crashes", w.now, r.owner.name, r.ref.Run, taskName(r.ref))
	w.crashedRuns[taskName(r.ref)]++
	d := r.owner.drives[r.ref.Job]
	if !slices.Contains(w.processes, r.owner) || d == nil || d.runBase >= r.ref.Run {
		return
	}
	d.running--
	i := d.taskOf(r.ref)
	d.lostRuns = append(d.lostRuns, r.ref)
	if r.lapseAt == 0 {
		d.crashes[i]++
		d.failIfExhausted(i)
		r.owner.inbox = append(r.owner.inbox, durable.RunCrashed{Run: r.ref, Crashes: d.crashes[i]})
	}
}

// endFailedDrives ends the drives of jobs that have failed.
func (w *world) endFailedDrives(p *process) {
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		d := p.drives[job]
		if d.failReason == "" {
			continue
		}
		w.stopRuns(p, d)
		delete(p.drives, job)
		p.inbox = append(p.inbox, durable.DriveEnded{Job: job, Outcome: entry.Failed, Reason: d.failReason})
	}
}
