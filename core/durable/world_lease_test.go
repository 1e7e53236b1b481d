package durable_test

import (
	"time"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/wire"
)

// leaseHolder is what the world knows of the lease of one incarnation of a process.
type leaseHolder struct {
	place      string        // where the process listens; its next process proves that it has ended
	until      time.Duration // when its lease ends as it counts itself
	recordedAt time.Duration // when the log carried out its newest append
	stopped    bool          // it has stopped all runs to hand its jobs over
	endedAt    time.Duration // when the incarnation ended, 0 if it has not
}

// end returns when the incarnation starts nothing any more.
func (h *leaseHolder) end() time.Duration {
	if h.endedAt > 0 {
		return min(h.until, h.endedAt)
	}
	return h.until
}

// holder returns the lease of the incarnation that a process has now.
func (w *world) holder(p *process) *leaseHolder {
	if w.holders[p.self] == nil {
		w.holders[p.self] = &leaseHolder{place: p.name}
	}
	return w.holders[p.self]
}

// noteRecorded notes that the log has carried out an append of a process.
func (w *world) noteRecorded(p *process) {
	h := w.holder(p)
	h.recordedAt = w.now
	h.stopped = h.stopped || p.leaving && len(p.drives) == 0
}

// requestLeave tells a process to hand its jobs over.
func (w *world) requestLeave(p *process) {
	p.leaving = true
	p.inbox = append(p.inbox, durable.Leave{})
}

// renewLease notes until when a process may drive its jobs.
func (w *world) renewLease(p *process, until time.Duration) {
	p.leaseUntil = until
	h := w.holder(p)
	h.until = max(h.until, until)
}

// requireLapsed fails the test if a process decides to take over from one that may still
// drive its jobs. A record that is newer than the view of the former is allowed: it is read
// before the takeover, and delays the first run.
func (w *world) requireLapsed(p *process, writer wire.Incarnation) {
	h := w.holders[writer]
	if h == nil || h.stopped || h.place == p.name {
		return
	}
	end, viewAt := p.machine.LeaseEnd(writer)
	if h.recordedAt < viewAt && h.until > end {
		w.t.Fatalf("%v %s (%x): takes over from %s (%x), whose lease ends at %v by its own count and at %v by this one",
			w.now, p.name, p.self, h.place, writer, h.until, end)
	}
}

// requireOwnersStopped fails the test if a job is driven while a run of a former owner may
// still be in progress.
func (w *world) requireOwnersStopped(p *process, job string) {
	for _, writer := range w.drivers[job] {
		h := w.holders[writer]
		if writer == p.self || h.stopped {
			continue
		}
		if end := h.end() + durable.DefaultOrphanRunTime; w.now < end {
			w.t.Fatalf("%v %s (%x): drives %s, whose runs under %s (%x) may go on until %v", w.now, p.name, p.self, job, h.place, writer, end)
		}
	}
	w.drivers[job] = append(w.drivers[job], p.self)
}
