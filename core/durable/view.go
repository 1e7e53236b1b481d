package durable

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// read applies records in the order of the log.
func (m *Machine) read(now time.Duration, e Read) {
	if !e.Whole && !m.loaded {
		return // of a read that began before this machine did
	}
	if e.Whole {
		// The newest records come by key.
		slices.SortFunc(e.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	for i := range e.Records {
		m.apply(now, &e.Records[i])
	}
	if e.Whole && !m.loaded {
		m.loaded = true
		m.removeOwnRemnants(now)
	}
	m.asked = max(m.asked, e.Asked)
	m.answerCancels(now)
	m.answerStrays(now)
}

func (m *Machine) apply(now time.Duration, r *Record) {
	if len(r.Value) == 0 {
		m.removed(r.Key)
		return
	}
	v, err := decode(r)
	if err != nil {
		m.emit(Unreadable{Err: err})
		return
	}
	switch x := v.(type) {
	case *accepted:
		m.heard(now, x.By)
		m.applyAccepted(x)
	case *status:
		m.heard(now, x.By)
		m.applyStatus(now, statusJob(r.Key), x)
	case *cancel:
		m.heard(now, x.By)
		m.applyCancel(jobOf(r.Key))
	case *takeover:
		m.heard(now, x.By)
		m.applyTakeover(now, x)
	case *lease:
		m.heard(now, x.By)
		m.processes[x.By.Incarnation].left = x.Left
	}
}

func statusJob(key string) string { return key[1:] }

// heard notes a sign of life.
func (m *Machine) heard(now time.Duration, o Owner) {
	p := m.processes[o.Incarnation]
	if p == nil {
		p = &process{owner: o}
		m.processes[o.Incarnation] = p
	}
	p.heardAt = now
}

func (m *Machine) applyAccepted(x *accepted) {
	by := x.By.Incarnation
	j := m.jobs[x.Spec.ID]
	if j != nil && (j.spec != nil || j.state.Final()) {
		if !slices.Contains(j.accepts, by) {
			j.accepts = append(j.accepts, by) // not the first
		}
		return
	}
	if j == nil {
		j = &job{id: x.Spec.ID, state: Queued}
		m.jobs[j.id] = j
	}
	j.spec = &x.Spec
	j.class = x.Spec.Class
	j.accepts = append(j.accepts, by)
	j.setWidths(x.Spec.widths(), x.Spec.Schedule.Occurrences())
	for i := range x.Spec.Steps {
		j.gangs = append(j.gangs, x.Spec.Steps[i].Gang)
	}
	m.setOwner(j, x.By)
}

// setWidths makes room for the tasks of each step in every occurrence.
func (j *job) setWidths(widths []int, occurrences int) {
	j.widths = widths
	j.occurrences = occurrences
	n := 0
	for _, w := range widths {
		n += max(0, w) * occurrences
	}
	j.tasks = make([]task, min(n, MaxTasks))
}

// setOwner moves an unfinished job to a process.
func (m *Machine) setOwner(j *job, o Owner) {
	if p := m.processes[j.owner.Incarnation]; p != nil && j.owner.Incarnation != 0 {
		p.jobs--
	}
	if m.mine(j) {
		m.own--
	}
	j.owner = o
	m.processes[o.Incarnation].jobs++
	if !m.mine(j) {
		return
	}
	m.own++
	m.wait(j)
}

// wait lists a job to be driven.
func (m *Machine) wait(j *job) {
	if !j.listed {
		j.listed = true
		m.waiting = append(m.waiting, j)
	}
}

func (m *Machine) applyStatus(now time.Duration, id string, x *status) {
	j := m.jobs[id]
	if j == nil {
		// Only the end is kept of a job that has ended.
		j = &job{id: id, class: x.Class}
		j.setWidths(x.Widths, min(max(1, x.Occurrences), wire.MaxOccurrences))
		m.jobs[id] = j
	}
	if j.state.Final() {
		return
	}
	if j.spec != nil && j.owner.Incarnation != x.By.Incarnation {
		m.setOwner(j, x.By)
	}
	j.state = x.State
	if !m.mine(j) {
		j.takeProgress(x)
	}
	if x.State.Final() {
		m.jobFinal(now, j)
	}
}

// takeProgress replaces the progress by what is recorded.
func (j *job) takeProgress(x *status) {
	j.base = x.RunBase
	for _, t := range x.Tasks {
		if t.Index >= 0 && t.Index < len(j.tasks) {
			j.tasks[t.Index] = task{
				TaskProgress: entry.TaskProgress{Done: t.Done, Failures: t.Failures, Checkpoint: t.Checkpoint}, run: t.Run,
			}
		}
	}
}

// jobFinal releases what an ended job needs no more.
func (m *Machine) jobFinal(now time.Duration, j *job) {
	j.finalAt = now
	if j.spec != nil {
		m.processes[j.owner.Incarnation].jobs--
		if m.mine(j) {
			m.own--
			for _, by := range j.accepts {
				m.upkeep = append(m.upkeep, Record{Key: acceptedKey(j.id, by)})
			}
			j.accepts = nil
		}
	}
	for _, e := range j.reported {
		m.settleOf(j, e)
	}
	j.spec, j.reported = nil, nil
}

func (m *Machine) applyCancel(id string) {
	j := m.jobs[id]
	if j == nil || j.cancelled || j.state.Final() {
		return // of a job that was removed meanwhile
	}
	j.cancelled = true
	if !m.mine(j) {
		return
	}
	if j.driving {
		m.halt(j)
		return
	}
	m.wait(j)
}

// applyTakeover moves the jobs of a process. A second takeover of it finds none.
func (m *Machine) applyTakeover(now time.Duration, x *takeover) {
	from := m.processes[x.From]
	if x.By.Incarnation == m.opts.Self.Incarnation {
		m.cleanups = append(m.cleanups,
			cleanup{at: now + recordCleanup, key: takeoverKey(x.From, x.By.Incarnation)},
			cleanup{at: now + recordCleanup, key: leaseKey(x.From)})
	}
	if from == nil || from.jobs == 0 {
		return
	}
	moved := 0
	for _, j := range m.sorted() {
		if j.spec == nil || j.state.Final() || j.owner.Incarnation != x.From {
			continue
		}
		m.setOwner(j, x.By)
		j.base += runsPerOwner
		moved++
		if m.mine(j) {
			j.freeAt = m.freeAt(now, from)
			m.adopt(j)
		}
	}
	if x.By.Incarnation == m.opts.Self.Incarnation && m.loaded {
		m.emit(Moved{From: from.owner, Jobs: moved})
	}
}

// freeAt is when no run of the process can go on any more.
func (m *Machine) freeAt(now time.Duration, from *process) time.Duration {
	switch {
	case from.left:
		return now
	case from.owner.Name == m.opts.Self.Name: // ended before this process began
		return m.startedAt + m.opts.RunsEnd
	}
	return from.heardAt + m.opts.Lease + m.opts.RunsEnd
}

// adopt applies the ends that agents told of before the job came to this process.
func (m *Machine) adopt(j *job) {
	m.touch(j) // the new owner is recorded with the job
	reported := j.reported
	j.reported = nil
	for _, e := range reported {
		m.note(j, e)
	}
}

// Unsettled returns the ends that this machine was told of and has not settled,
// for the machine that replaces it.
func (m *Machine) Unsettled() []TaskEnded {
	var out []TaskEnded
	for _, j := range m.sorted() {
		out = append(out, j.reported...)
		out = append(out, j.settles...)
	}
	if m.inFlight != nil {
		out = append(out, m.inFlight.settles...)
	}
	for _, s := range m.strays {
		out = append(out, s.event)
	}
	return out
}

// removed applies the removal of a key.
func (m *Machine) removed(key string) {
	if key == "" || key[0] != kindStatus {
		return
	}
	if j := m.jobs[statusJob(key)]; j != nil && j.state.Final() {
		delete(m.jobs, j.id)
	}
}

// removeOwnRemnants removes, later, what earlier processes of this VM left in
// the log.
func (m *Machine) removeOwnRemnants(now time.Duration) {
	for id, p := range m.processes {
		if p.owner.Name == m.opts.Self.Name && id != m.opts.Self.Incarnation {
			m.cleanups = append(m.cleanups, cleanup{at: now + recordCleanup, key: leaseKey(id)})
		}
	}
	slices.SortFunc(m.cleanups, func(a, b cleanup) int { return cmp.Compare(a.key, b.key) })
}

// survey looks for jobs of processes that are gone, and for records that are no
// longer needed.
func (m *Machine) survey(now time.Duration) {
	if now < m.surveyAt || !m.loaded || m.superseded {
		return
	}
	m.surveyAt = now + surveyInterval
	m.expire(now)
	if m.leaving {
		return
	}
	for id, p := range m.processes {
		if p.jobs > 0 && !p.fencing && m.gone(now, p) {
			p.fencing = true
			m.emit(Fence{From: id})
		}
	}
}

// gone reports whether the process can own its jobs no longer.
func (m *Machine) gone(now time.Duration, p *process) bool {
	switch {
	case p.owner.Incarnation == m.opts.Self.Incarnation:
		return false
	case p.left || p.owner.Name == m.opts.Self.Name:
		return true
	}
	spread := time.Duration(uint64(m.opts.Self.Incarnation)%takeoverSpread) * time.Millisecond
	over := p.heardAt + m.opts.Lease
	// A view that is older than the lease may lack the process's newest record.
	return m.asked >= over && now >= over+spread
}

func (m *Machine) fenced(e Fenced) {
	p := m.processes[e.From]
	if p == nil {
		return
	}
	if !e.Done {
		p.fencing = false // the next survey tries again
		return
	}
	key := takeoverKey(e.From, m.opts.Self.Incarnation)
	m.upkeep = append(m.upkeep, encode(key, takeover{From: e.From, By: m.opts.Self}))
}

// expire removes ended jobs after the retention. Those of other processes are
// left to their owner for as long again.
func (m *Machine) expire(now time.Duration) {
	for _, j := range m.jobs {
		if !j.state.Final() {
			continue
		}
		age := now - j.finalAt
		if age < m.opts.Retention || !m.mine(j) && age < 2*m.opts.Retention {
			continue
		}
		delete(m.jobs, j.id)
		m.upkeep = append(m.upkeep, Record{Key: statusKey(j.id)})
		if j.cancelled {
			m.upkeep = append(m.upkeep, Record{Key: cancelKey(j.id)})
		}
		for _, by := range j.accepts {
			m.upkeep = append(m.upkeep, Record{Key: acceptedKey(j.id, by)})
		}
	}
	rest := m.cleanups[:0]
	for _, c := range m.cleanups {
		if now < c.at {
			rest = append(rest, c)
			continue
		}
		m.upkeep = append(m.upkeep, Record{Key: c.key})
	}
	m.cleanups = rest
}
