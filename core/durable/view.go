package durable

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
)

// applyRead applies records in the order of the log.
func (m *Machine) applyRead(now time.Duration, e Read) {
	if !e.Snapshot && !m.loaded {
		return // the read began before this machine was created
	}
	if e.Snapshot {
		// The newest records are returned in the order of their keys.
		slices.SortFunc(e.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	for i := range e.Records {
		m.apply(now, &e.Records[i])
	}
	if e.Snapshot && !m.loaded {
		m.loaded = true
		m.scheduleLeaseCleanup(now)
	}
	if !e.CutOff {
		m.viewAt = max(m.viewAt, e.RequestedAt)
	}
	m.resolveRequests(now)
	m.resolveCancels(now)
	m.resolveUnknownRuns(now)
}

func (m *Machine) apply(now time.Duration, r *Record) {
	if len(r.Value) == 0 {
		m.applyRemoval(r.Key)
		return
	}
	v, err := decode(r)
	if err != nil {
		m.emit(Undecodable{Err: err})
		return
	}
	switch x := v.(type) {
	case *acceptance:
		m.markSeen(now, x.By)
		m.applyAccepted(x)
	case *jobStatus:
		m.markSeen(now, x.By)
		m.applyStatus(now, jobOfStatusKey(r.Key), x)
	case *cancellation:
		m.markSeen(now, x.By)
		m.applyCancel(jobOfKey(r.Key))
	case *crashRecord:
		m.markSeen(now, x.By)
		m.applyCrashes(jobOfKey(r.Key), x)
	case *repeatRecord:
		m.markSeen(now, x.By)
		m.applyRepeats(jobOfKey(r.Key), x)
	case *classRecord:
		m.markSeen(now, x.By)
		m.applyClass(jobOfKey(r.Key), x)
	case *takeoverRecord:
		m.markSeen(now, x.By)
		m.applyTakeover(now, x)
	case *leaseRecord:
		m.markSeen(now, x.By)
		m.processes[x.By.Incarnation].left = x.Left
	}
}

// jobOfStatusKey returns the ID of the job in the key of a status record.
func jobOfStatusKey(key string) string { return key[1:] }

// markSeen notes that a record of the process was read.
func (m *Machine) markSeen(now time.Duration, o ProcessID) {
	p := m.processes[o.Incarnation]
	if p == nil {
		p = &process{owner: o}
		m.processes[o.Incarnation] = p
	}
	p.lastSeenAt = now
}

func (m *Machine) applyAccepted(rec *acceptance) {
	by := rec.By.Incarnation
	j := m.jobs[rec.Spec.ID]
	if j != nil && (j.spec != nil || j.state.Final()) {
		if !slices.Contains(j.acceptedBy, by) {
			j.acceptedBy = append(j.acceptedBy, by) // a later acceptance, which does not count
		}
		return
	}
	if j == nil {
		j = &job{id: rec.Spec.ID, state: Queued}
		m.jobs[j.id] = j
	}
	j.spec = &rec.Spec
	if class, ok := m.classes[j.id]; ok {
		delete(m.classes, j.id)
		j.hasClass = true
		j.spec.Published = class
	}
	j.class = rec.Spec.Class
	j.acceptedBy = append(j.acceptedBy, by)
	j.setStepSizes(rec.Spec.stepSizes(), rec.Spec.Schedule.Occurrences())
	for i := range rec.Spec.Steps {
		j.gangs = append(j.gangs, rec.Spec.Steps[i].Gang)
	}
	m.setOwner(j, rec.By)
}

// setStepSizes sets the number of tasks of each step and the number of
// occurrences, which decode has checked, and allocates all tasks.
func (j *job) setStepSizes(sizes []int, occurrences int) {
	j.stepSizes = sizes
	j.occurrences = occurrences
	n := 0
	for _, size := range sizes {
		n += size * occurrences
	}
	j.tasks = make([]task, n)
}

// setOwner assigns an unfinished job to a process.
func (m *Machine) setOwner(j *job, o ProcessID) {
	if p := m.processes[j.owner.Incarnation]; p != nil && j.owner.Incarnation != 0 {
		p.jobs--
	}
	if m.owns(j) {
		m.ownedCount--
	}
	j.owner = o
	m.processes[o.Incarnation].jobs++
	if !m.owns(j) {
		return
	}
	m.ownedCount++
	m.enqueue(j)
}

// enqueue queues a job to be driven.
func (m *Machine) enqueue(j *job) {
	if !j.inDriveQueue {
		j.inDriveQueue = true
		m.driveQueue = append(m.driveQueue, j)
	}
}

func (m *Machine) applyStatus(now time.Duration, id string, rec *jobStatus) {
	j := m.jobs[id]
	if j == nil {
		// Only the end of an ended job is kept.
		j = &job{id: id, class: rec.Class}
		j.setStepSizes(rec.StepSizes, rec.occurrences())
		m.jobs[id] = j
	}
	if j.state.Final() {
		return
	}
	if j.spec != nil && j.owner.Incarnation != rec.By.Incarnation {
		m.setOwner(j, rec.By)
	}
	j.state = rec.State
	if !m.owns(j) {
		j.restoreProgress(rec)
	}
	if rec.State.Final() {
		m.releaseEnded(now, j)
	}
}

// applyCrashes sets the crashes of workers in the progress of a job to the recorded ones.
// A record of this process may be older than what it knows.
func (m *Machine) applyCrashes(id string, rec *crashRecord) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	j.hasCrashes = true
	if rec.By == m.opts.Self {
		return
	}
	for i := range j.tasks {
		j.tasks[i].Crashes = 0
	}
	for _, t := range rec.Tasks {
		if t.Index >= 0 && t.Index < len(j.tasks) {
			j.tasks[t.Index].Crashes = max(0, t.Crashes)
		}
	}
}

// applyRepeats adds the recorded repetitions of lost runs to the progress of a job.
func (m *Machine) applyRepeats(id string, rec *repeatRecord) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	j.hasRepeats = true
	for _, t := range rec.Tasks {
		if t.Index >= 0 && t.Index < len(j.tasks) {
			j.tasks[t.Index].repeatedRun = max(j.tasks[t.Index].repeatedRun, t.Run)
		}
	}
}

// applyClass sets the class of a job as it was published when the job was accepted.
func (m *Machine) applyClass(id string, rec *classRecord) {
	j := m.jobs[id]
	if j == nil {
		m.classes[id] = rec.class()
		return
	}
	j.hasClass = true
	j.setPublished(rec.class())
}

// setPublished sets the class of the job. A drive keeps the spec that it was given.
func (j *job) setPublished(class policy.Class) {
	if j.spec == nil {
		return
	}
	spec := *j.spec
	spec.Published = class
	j.spec = &spec
}

// restoreProgress sets the progress to the recorded one.
func (j *job) restoreProgress(rec *jobStatus) {
	j.runBase = rec.RunBase
	for _, t := range rec.Tasks {
		if t.Index >= 0 && t.Index < len(j.tasks) {
			j.tasks[t.Index] = task{
				TaskProgress: entry.TaskProgress{Done: t.Done, Failures: t.Failures, Checkpoint: t.Checkpoint, Crashes: j.tasks[t.Index].Crashes},
				lastRun:      t.Run,
				repeatedRun:  j.tasks[t.Index].repeatedRun,
			}
		}
	}
}

// releaseEnded releases what a job no longer needs after its end.
func (m *Machine) releaseEnded(now time.Duration, j *job) {
	j.endedAt = now
	if j.spec != nil {
		m.processes[j.owner.Incarnation].jobs--
		if m.owns(j) {
			m.ownedCount--
			for _, by := range j.acceptedBy {
				m.maintenance = append(m.maintenance, Record{Key: acceptedKey(j.id, by)})
			}
			j.acceptedBy = nil
			m.removeRunRecords(j)
		}
	}
	for _, e := range j.reported {
		m.acknowledgeEnded(j, e)
	}
	j.spec, j.reported = nil, nil
}

// removeRunRecords removes the records of a job that has ended which only its runs need:
// those of its class, of the crashes and of the repeated runs.
func (m *Machine) removeRunRecords(j *job) {
	if j.hasClass {
		j.hasClass = false
		m.maintenance = append(m.maintenance, Record{Key: classKey(j.id)})
	}
	if j.hasRepeats {
		j.hasRepeats = false
		m.maintenance = append(m.maintenance, Record{Key: repeatKey(j.id)})
	}
	if j.hasCrashes {
		j.hasCrashes = false
		m.maintenance = append(m.maintenance, Record{Key: crashKey(j.id)})
	}
}

func (m *Machine) applyCancel(id string) {
	j := m.jobs[id]
	if j == nil || j.cancelled || j.state.Final() {
		return // the job has ended, was removed, or is already cancelled
	}
	j.cancelled = true
	if !m.owns(j) {
		return
	}
	if j.driving {
		m.halt(j)
		return
	}
	m.enqueue(j)
}

// applyTakeover moves the jobs of a process to the one that takes them over. A
// second takeover of the same process finds none.
func (m *Machine) applyTakeover(now time.Duration, rec *takeoverRecord) {
	from := m.processes[rec.From]
	if rec.By.Incarnation == m.opts.Self.Incarnation {
		m.cleanups = append(m.cleanups,
			cleanup{at: now + cleanupDelay, key: takeoverKey(rec.From, rec.By.Incarnation)},
			cleanup{at: now + cleanupDelay, key: leaseKey(rec.From)})
	}
	if from == nil || from.jobs == 0 {
		return
	}
	moved := 0
	for _, j := range m.sortedJobs() {
		if j.spec == nil || j.state.Final() || j.owner.Incarnation != rec.From {
			continue
		}
		m.setOwner(j, rec.By)
		j.runBase += runsPerOwner
		// Kept also if another process takes the job over: that one may leave at once, and
		// hands over no run of its own then.
		j.driveAfter = max(j.driveAfter, m.runsEndBy(now, from, rec.By))
		moved++
		if m.owns(j) {
			m.takeOver(j)
		}
	}
	if rec.By.Incarnation == m.opts.Self.Incarnation && m.loaded {
		m.emit(TakenOver{From: from.owner, Jobs: moved})
	}
}

// runsEndBy returns the time from which no run of the process can still be going on. by is
// the process that takes its jobs over.
func (m *Machine) runsEndBy(now time.Duration, from *process, by ProcessID) time.Duration {
	switch {
	case from.left:
		return now
	case from.owner.Name == m.opts.Self.Name: // ended before this process began
		return m.startedAt + m.opts.OrphanRunTime
	case from.owner.Name == by.Name: // ended before that one began
		return now + m.opts.OrphanRunTime
	}
	return from.lastSeenAt + m.opts.Lease + m.opts.OrphanRunTime
}

// takeOver schedules the record that this process owns the job now, and counts the
// runs that agents reported before. A success does not count if a later run of its task
// was reported too: the task was started again.
func (m *Machine) takeOver(j *job) {
	m.markDirty(j) // the status names its writer as the owner
	reported := j.reported
	j.reported = nil
	for _, e := range reported {
		isLater := func(other RunFinished) bool {
			return j.taskIndex(other.Run.Run) == j.taskIndex(e.Run.Run) && other.Run.Run.Run > e.Run.Run.Run
		}
		if !e.Run.Failed && slices.ContainsFunc(reported, isLater) {
			m.acknowledgeSuperseded(e)
			continue
		}
		m.countRun(j, e)
	}
}

// UnacknowledgedRuns returns the finished runs that were reported to this machine and
// not acknowledged. They must be delivered to the machine that replaces it.
func (m *Machine) UnacknowledgedRuns() []RunFinished {
	var out []RunFinished
	for _, j := range m.sortedJobs() {
		out = append(out, j.reported...)
		out = append(out, j.unrecorded...)
	}
	if m.inFlight != nil {
		out = append(out, m.inFlight.countedRuns...)
	}
	for _, r := range m.unknownRuns {
		out = append(out, r.event)
	}
	return out
}

// applyRemoval applies the removal of a key.
func (m *Machine) applyRemoval(key string) {
	if key == "" {
		return
	}
	if key[0] == kindClass {
		delete(m.classes, jobOfKey(key))
	}
	if key[0] != kindStatus {
		return
	}
	if j := m.jobs[jobOfStatusKey(key)]; j != nil && j.state.Final() {
		delete(m.jobs, j.id)
	}
}

// scheduleLeaseCleanup schedules the removal of the lease records of earlier
// processes of this VM.
func (m *Machine) scheduleLeaseCleanup(now time.Duration) {
	for id, p := range m.processes {
		if p.owner.vm() == m.opts.Self.vm() && id != m.opts.Self.Incarnation {
			m.cleanups = append(m.cleanups, cleanup{at: now + cleanupDelay, key: leaseKey(id)})
		}
	}
	slices.SortFunc(m.cleanups, func(a, b cleanup) int { return cmp.Compare(a.key, b.key) })
}

// scan looks for jobs of lost processes and for records that are no longer
// needed.
func (m *Machine) scan(now time.Duration) {
	if now < m.nextScanAt || !m.loaded || m.fencedOff {
		return
	}
	m.nextScanAt = now + scanInterval
	m.expire(now)
	if m.leaving {
		return
	}
	for id, p := range m.processes {
		if p.jobs > 0 && !p.fencing && m.mayTakeOver(now, p) {
			p.fencing = true
			m.emit(Fence{Writer: id})
		}
	}
}

// mayTakeOver reports whether the process has left or its lease has expired, so
// that this process may take its jobs over.
func (m *Machine) mayTakeOver(now time.Duration, p *process) bool {
	switch {
	case p.owner.Incarnation == m.opts.Self.Incarnation:
		return false
	case p.left || p.owner.Name == m.opts.Self.Name:
		return true
	}
	jitter := time.Duration(uint64(m.opts.Self.Incarnation)%takeoverJitterMs) * time.Millisecond
	leaseEnd := p.lastSeenAt + m.opts.Lease
	// A view that is older than the end of the lease may lack the process's newest
	// record.
	return m.viewAt >= leaseEnd && now >= leaseEnd+jitter
}

// fenceDone appends the takeover record once the fence is in effect.
func (m *Machine) fenceDone(e Fenced) {
	p := m.processes[e.Writer]
	if p == nil {
		return
	}
	if !e.Done {
		p.fencing = false // the next scan retries
		return
	}
	key := takeoverKey(e.Writer, m.opts.Self.Incarnation)
	m.maintenance = append(m.maintenance, encode(key, takeoverRecord{From: e.Writer, By: m.opts.Self}))
}

// expire removes the jobs that ended longer than the retention ago, and the records
// whose cleanup is due. Jobs of other processes are left to their owner for another
// retention period.
func (m *Machine) expire(now time.Duration) {
	for _, j := range m.jobs {
		if !j.state.Final() {
			continue
		}
		age := now - j.endedAt
		if age < m.opts.Retention || !m.owns(j) && age < 2*m.opts.Retention {
			continue
		}
		delete(m.jobs, j.id)
		m.maintenance = append(m.maintenance, Record{Key: statusKey(j.id)})
		m.removeRunRecords(j)
		if j.cancelled {
			m.maintenance = append(m.maintenance, Record{Key: cancelKey(j.id)})
		}
		for _, by := range j.acceptedBy {
			m.maintenance = append(m.maintenance, Record{Key: acceptedKey(j.id, by)})
		}
	}
	rest := m.cleanups[:0]
	for _, c := range m.cleanups {
		if now < c.at {
			rest = append(rest, c)
			continue
		}
		m.maintenance = append(m.maintenance, Record{Key: c.key})
	}
	m.cleanups = rest
}
