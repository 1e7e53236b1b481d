package durable

import "time"

// unresolvedRequest is an UnresolvedRequest that waits for a view that is newer than it.
type unresolvedRequest struct {
	UnresolvedRequest
	at time.Duration // when it was delivered
}

// UnresolvedRequests returns the requests whose outcome this machine did not learn. They
// must be delivered to the machine that replaces it.
func (m *Machine) UnresolvedRequests() []UnresolvedRequest {
	out := make([]UnresolvedRequest, len(m.unresolved))
	for i, r := range m.unresolved {
		out[i] = r.UnresolvedRequest
	}
	return out
}

// keepUnresolved keeps the requests of a batch that may be in the log, and the repeated
// submissions of their jobs.
func (m *Machine) keepUnresolved(now time.Duration, b *batch) {
	for _, r := range b.requests {
		m.addUnresolved(now, r.request, b.sentAt)
		s, isSubmit := r.request.(Submit)
		if !isSubmit {
			continue
		}
		delete(m.pending, s.Spec.ID)
		for _, token := range m.duplicates[r.token] {
			m.addUnresolved(now, Submit{Token: token, Spec: s.Spec}, b.sentAt)
		}
		delete(m.duplicates, r.token)
	}
}

func (m *Machine) addUnresolved(now time.Duration, request Event, sentAt time.Duration) {
	m.unresolved = append(m.unresolved, unresolvedRequest{UnresolvedRequest{Request: request, SentAt: sentAt}, now})
}

// resolveRequests handles unresolved requests once the view is newer than they are. A
// request whose record is not in the view by then is not in the log, and is recorded anew.
func (m *Machine) resolveRequests(now time.Duration) {
	waiting := m.unresolved
	m.unresolved = nil
	for _, r := range waiting {
		if !m.loaded || m.viewAt <= r.at {
			m.unresolved = append(m.unresolved, r)
			continue
		}
		switch x := r.Request.(type) {
		case Submit:
			m.resolveSubmit(now, x, r.SentAt)
		case Cancel:
			m.pendingCancels = append(m.pendingCancels, pendingCancel{x, r.at})
		}
	}
}

// resolveSubmit answers or records a submission. A job that the view lacks may have been
// recorded, ended and removed again if that long has passed since it was sent; then
// nothing can be said of it.
func (m *Machine) resolveSubmit(now time.Duration, x Submit, sentAt time.Duration) {
	if m.jobs[x.Spec.ID] == nil && now-sentAt >= m.opts.Retention/2 {
		m.emit(Reply{Token: x.Token})
		return
	}
	m.submit(now, x)
}

// isUnresolved reports whether a submission of the job is unresolved, and when its record
// was first sent.
func (m *Machine) isUnresolved(job string) (sentAt time.Duration, ok bool) {
	for _, r := range m.unresolved {
		if s, isSubmit := r.Request.(Submit); isSubmit && s.Spec.ID == job {
			return r.SentAt, true
		}
	}
	return 0, false
}
