package durable

import (
	"slices"
	"time"
)

// flush writes everything that is waiting in one append: requests of callers,
// the status of owned jobs, and the lease if it is due for renewal.
func (m *Machine) flush(now time.Duration) {
	if m.inFlight != nil || now < m.nextAppendAt || !m.loaded || m.fencedOff || m.left {
		return
	}
	b := &batch{sentAt: now}
	size := m.addRequests(b)
	m.addStatuses(b, size)
	m.addMaintenance(b)
	m.addLease(now, b)
	if len(b.records) == 0 {
		return
	}
	m.inFlight = b
	m.nextAppendAt = now + appendInterval
	m.emit(Append{Records: b.records})
}

// addRequests adds waiting requests of callers until the batch has about
// maxAppendBytes, and returns the size of their values.
func (m *Machine) addRequests(b *batch) (size int) {
	n := 0
	for n < len(m.requests) && size < maxAppendBytes {
		r := m.requests[n]
		b.records = append(b.records, r.records...)
		b.requests = append(b.requests, r)
		for i := range r.records {
			size += len(r.records[i].Value)
		}
		n++
	}
	m.requests = append(m.requests[:0], m.requests[n:]...)
	return size
}

// addStatuses adds the status of owned jobs whose status changed, until the batch
// has about maxAppendBytes. size is the size of the values that it holds already.
func (m *Machine) addStatuses(b *batch, size int) {
	n := 0
	for n < len(m.dirty) && size < maxAppendBytes {
		j := m.dirty[n]
		n++
		j.dirty = false
		if !m.owns(j) || j.spec == nil {
			m.releaseRuns(j)
			continue
		}
		r := encode(statusKey(j.id), j.status(m.opts.Self))
		b.records = append(b.records, r)
		b.jobs = append(b.jobs, j)
		b.countedRuns = append(b.countedRuns, j.unrecorded...)
		j.unrecorded = nil
		size += len(r.Value)
	}
	m.dirty = append(m.dirty[:0], m.dirty[n:]...)
}

// releaseRuns handles the unrecorded runs of a job whose status this process may
// no longer write. It keeps them if another process owns the job now, and
// acknowledges them if the job has ended.
func (m *Machine) releaseRuns(j *job) {
	if j.spec != nil {
		j.reported = append(j.reported, j.unrecorded...)
	} else {
		for _, e := range j.unrecorded {
			m.acknowledgeEnded(j, e)
		}
	}
	j.unrecorded = nil
}

// status returns the record of the job's state as its owner knows it.
func (j *job) status(by ProcessID) jobStatus {
	s := jobStatus{By: by, Class: j.class, State: max(j.state, j.nextState), StepSizes: j.stepSizes, RunBase: j.runBase, Occurrences: j.occurrences}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.lastRun > 0 {
			s.Tasks = append(s.Tasks, taskStatus{Index: i, Failures: t.Failures, Run: t.lastRun, Done: t.Done, Checkpoint: t.Checkpoint})
		}
	}
	return s
}

func (m *Machine) addMaintenance(b *batch) {
	b.maintenance = m.maintenance
	b.records = append(b.records, m.maintenance...)
	m.maintenance = nil
}

// addLease renews the lease while this process owns jobs. A lease record of its own is
// written only if no other record in the batch renews it.
func (m *Machine) addLease(now time.Duration, b *batch) {
	switch {
	case m.ownedCount == 0:
	case m.leaving:
		if m.driveCount == 0 {
			b.leaving = true
			b.records = append(b.records, m.encodeLease(true))
		}
	case !b.renewsLease() && now-m.leaseSentAt >= m.opts.Lease/renewalsPerLease:
		b.records = append(b.records, m.encodeLease(false))
	}
}

// renewsLease reports whether the batch shows its writer to every other process. A removal
// names no writer, and processes of earlier builds skip records of kinds that they do not
// know.
func (b *batch) renewsLease() bool {
	return slices.ContainsFunc(b.records, func(r Record) bool {
		switch r.Key[0] {
		case kindAccepted, kindStatus, kindCancel, kindTakeover, kindLease:
			return len(r.Value) > 0
		}
		return false
	})
}

func (m *Machine) encodeLease(left bool) Record {
	return encode(leaseKey(m.opts.Self.Incarnation), leaseRecord{By: m.opts.Self, Left: left})
}

// appended handles the outcome of the append in flight.
func (m *Machine) appended(now time.Duration, e Appended) {
	b := m.inFlight
	if b == nil {
		return
	}
	m.inFlight = nil
	switch e.Outcome {
	case Recorded:
		m.commit(b, e.SentAt)
	case NotRecorded:
		m.refuseUntil = now + refusalBackoff
		m.nextAppendAt = m.refuseUntil
		m.abort(b)
	case FencedOff:
		m.abort(b)
		m.fenceOff(now)
	case FencedOffUnresolved:
		m.keepUnresolved(now, b)
		m.undo(b)
		m.fenceOff(now)
	}
}

// fenceOff ends the work of this machine. It sends nothing any more, so the requests that
// wait fail.
func (m *Machine) fenceOff(now time.Duration) {
	m.fencedOff = true
	m.refuseWaiting()
	m.resolveCancels(now)
}

// refuseWaiting refuses the requests that wait to be appended. None of them was sent.
func (m *Machine) refuseWaiting() {
	waiting := m.requests
	m.requests = nil
	m.reply(waiting, Unavailable)
}

// commit handles an append whose records are in the log. sent is when it was first
// sent.
func (m *Machine) commit(b *batch, sent time.Duration) {
	if b.renewsLease() {
		m.leaseGranted = true
		m.leaseSentAt = max(m.leaseSentAt, sent)
		m.emit(LeaseRenewed{Until: m.leaseSentAt + m.opts.Lease})
	}
	m.left = m.left || b.leaving
	if b.leaving {
		m.emit(Left{})
	}
	m.reply(b.requests, Stored)
	for _, e := range b.countedRuns {
		m.acknowledge(e)
	}
}

// abort undoes a batch that is not in the log: its requests fail, the rest is
// written again later.
func (m *Machine) abort(b *batch) {
	m.reply(b.requests, Unavailable)
	m.undo(b)
}

// undo schedules a batch to be written again, except for its requests.
func (m *Machine) undo(b *batch) {
	for _, j := range b.jobs {
		m.markDirty(j)
	}
	for _, e := range b.countedRuns {
		if j := m.jobs[e.Run.Run.Job]; j != nil {
			j.unrecorded = append(j.unrecorded, e)
		}
	}
	// They are appended again before later ones. A lease record is not.
	m.maintenance = append(b.maintenance, m.maintenance...)
}

// reply answers the callers of recorded or refused requests, and the callers that
// submitted the same job in the meantime.
func (m *Machine) reply(requests []callerRequest, result Result) {
	for _, r := range requests {
		token := r.token
		if id := r.job(); m.pending[id] == token {
			delete(m.pending, id)
		}
		m.emit(Reply{Token: token, Result: result})
		for _, duplicate := range m.duplicates[token] {
			m.emit(Reply{Token: duplicate, Result: result})
		}
		delete(m.duplicates, token)
	}
}
