package durable

import (
	"time"
)

// flush appends what waits, in one piece: what callers ask for, the progress of
// owned jobs, and the lease if it is due.
func (m *Machine) flush(now time.Duration) {
	if m.inFlight != nil || now < m.appendAt || !m.loaded || m.superseded || m.left {
		return
	}
	b := &batch{sentAt: now}
	size := m.addRequests(b)
	m.addStatuses(b, size)
	m.addUpkeep(b)
	m.addLease(now, b)
	if len(b.records) == 0 {
		return
	}
	m.inFlight = b
	m.appendAt = now + appendGap
	m.emit(Append{Records: b.records})
}

func (m *Machine) addRequests(b *batch) (size int) {
	n := 0
	for n < len(m.requests) && size < maxAppendBytes {
		r := m.requests[n]
		b.records = append(b.records, r.record)
		b.requests = append(b.requests, r)
		size += len(r.record.Value)
		n++
	}
	m.requests = append(m.requests[:0], m.requests[n:]...)
	return size
}

func (m *Machine) addStatuses(b *batch, size int) {
	n := 0
	for n < len(m.dirty) && size < maxAppendBytes {
		j := m.dirty[n]
		n++
		j.dirty = false
		if !m.mine(j) || j.spec == nil {
			m.drop(j)
			continue
		}
		r := encode(statusKey(j.id), j.status(m.opts.Self))
		b.records = append(b.records, r)
		b.jobs = append(b.jobs, j)
		b.settles = append(b.settles, j.settles...)
		j.settles = nil
		size += len(r.Value)
	}
	m.dirty = append(m.dirty[:0], m.dirty[n:]...)
}

// drop gives back the ends of a job that is no longer this process's to record.
func (m *Machine) drop(j *job) {
	if j.spec != nil {
		j.reported = append(j.reported, j.settles...)
	} else {
		for _, e := range j.settles {
			m.settleOf(j, e)
		}
	}
	j.settles = nil
}

// status is the record of what the owner knows of the job.
func (j *job) status(by Owner) status {
	s := status{By: by, Class: j.class, State: max(j.state, j.next), Widths: j.widths, RunBase: j.base, Occurrences: j.occurrences}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.run > 0 {
			s.Tasks = append(s.Tasks, taskStatus{Index: i, Failures: t.Failures, Run: t.run, Done: t.Done, Checkpoint: t.Checkpoint})
		}
	}
	return s
}

func (m *Machine) addUpkeep(b *batch) {
	b.records = append(b.records, m.upkeep...)
	m.upkeep = nil
}

// addLease renews the lease while jobs depend on it. Any append does that; a
// record of its own is needed only if nothing else is to be written.
func (m *Machine) addLease(now time.Duration, b *batch) {
	switch {
	case m.own == 0:
	case m.leaving:
		if m.driving == 0 {
			b.leaving = true
			b.records = append(b.records, m.leaseRecord(true))
		}
	case len(b.requests) == 0 && len(b.jobs) == 0 && now-m.leaseSent >= m.opts.Lease/renewals:
		b.records = append(b.records, m.leaseRecord(false))
	}
}

func (m *Machine) leaseRecord(left bool) Record {
	return encode(leaseKey(m.opts.Self.Incarnation), lease{By: m.opts.Self, Left: left})
}

// appended takes the outcome of the append in progress.
func (m *Machine) appended(now time.Duration, e Appended) {
	b := m.inFlight
	if b == nil {
		return
	}
	m.inFlight = nil
	switch e.Outcome {
	case Recorded:
		m.recorded(b, e.Sent)
	case NotRecorded:
		m.refusedTo = now + refusalSpell
		m.appendAt = m.refusedTo
		m.takeBack(b)
	case Superseded:
		m.superseded = true
		m.takeBack(b)
	}
}

func (m *Machine) recorded(b *batch, sent time.Duration) {
	m.leased = true
	m.leaseSent = max(m.leaseSent, sent)
	m.emit(Leased{Until: m.leaseSent + m.opts.Lease})
	m.left = m.left || b.leaving
	if b.leaving {
		m.emit(Left{})
	}
	m.answer(b.requests, Stored)
	for _, e := range b.settles {
		m.settle(e)
	}
}

// takeBack undoes a batch that is not in the log.
func (m *Machine) takeBack(b *batch) {
	m.answer(b.requests, Unavailable)
	for _, j := range b.jobs {
		m.touch(j)
	}
	for _, e := range b.settles {
		if j := m.jobs[e.End.Run.Job]; j != nil {
			j.settles = append(j.settles, e)
		}
	}
	for _, r := range b.records[len(b.requests)+len(b.jobs):] {
		if r.Key[0] != kindLease || len(r.Value) == 0 {
			m.upkeep = append(m.upkeep, r)
		}
	}
}

// answer replies to the callers of recorded or refused requests, and to those
// that sent the same job meanwhile.
func (m *Machine) answer(requests []request, v Verdict) {
	for _, r := range requests {
		t := r.token
		if id := jobOf(r.record.Key); m.pending[id] == t {
			delete(m.pending, id)
		}
		m.emit(Reply{Token: t, Verdict: v})
		for _, f := range m.followers[t] {
			m.emit(Reply{Token: f, Verdict: v})
		}
		delete(m.followers, t)
	}
}
