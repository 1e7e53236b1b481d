package agent

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// deliveredAfter is the time after a send at which a result counts as
	// delivered if the link is still up. A link delivers frames in order. An entry
	// that receives nothing for 2 s closes the link, and an agent that then
	// receives nothing for 2 s closes it too.
	deliveredAfter = 5 * time.Second
	// maxReleasedRanges bounds the ranges of seqs kept for records that were released
	// early. Of those beyond it the oldest joinedRanges are joined.
	maxReleasedRanges = 1 << 13
	joinedRanges      = maxReleasedRanges / 4
	// releaseInterval is the minimum interval between two searches of one entry's
	// records for delivered results.
	releaseInterval = 100 * time.Millisecond
)

// releaseDelivered releases the records of results that were delivered but not
// settled. LowestOpenSeq stays at the lowest open attempt, so without this one task
// of many seconds would let short tasks that have ended fill the window. The seqs
// of the released records are kept: a query about one is answered Unknown, never
// NotRun. Beside a task that lasts these grow without end, so the oldest ranges are joined:
// a query about a seq between them is answered Unknown as well, although this agent may not
// have received it.
func (m *Machine) releaseDelivered(now time.Duration, rec *entryRecord) {
	if now < rec.nextReleaseAt {
		return
	}
	rec.nextReleaseAt = now + releaseInterval
	rec.byArrival = slices.DeleteFunc(rec.byArrival, func(a *attempt) bool {
		if !a.wasDelivered(now) {
			return false
		}
		rec.releasedEarly.add(a.start.Seq)
		m.releaseRecord(rec, a)
		return true
	})
	if len(rec.releasedEarly) > maxReleasedRanges {
		rec.releasedEarly.joinOldest(joinedRanges)
	}
}

// wasDelivered reports whether the result counts as delivered (see deliveredAfter).
func (a *attempt) wasDelivered(now time.Duration) bool {
	return a.state == stateDone && a.entry.up && a.sentEpoch == a.entry.epoch && now-a.sentAt >= deliveredAfter
}

// boundRetained limits the memory of unsettled results: it discards the results
// of entries whose links are down, starting with the link that has been down for
// the longest time.
func (m *Machine) boundRetained() {
	for m.retainedBytes > m.opts.MaxRetainedBytes {
		rec := m.longestDown()
		if rec == nil {
			return // new starts are refused until entries settle more attempts
		}
		for _, a := range rec.byArrival {
			m.discardResult(a)
		}
	}
}

// discardResult drops the body of a result, whose outcome becomes Unknown.
func (m *Machine) discardResult(a *attempt) {
	if a.state != stateDone || len(a.result.Body) == 0 {
		return
	}
	m.retainedBytes -= len(a.result.Body)
	a.result.Body = nil
	a.result.Outcome = wire.Unknown
	a.result.Reason = wire.ReasonResultLost
}

// longestDown returns the entry whose link went down first among those that have
// result bodies and no link, or nil.
func (m *Machine) longestDown() *entryRecord {
	var oldest *entryRecord
	for _, rec := range m.entryList {
		if rec.up || !rec.hasResultBody() {
			continue
		}
		if oldest == nil || rec.downAt < oldest.downAt {
			oldest = rec
		}
	}
	return oldest
}

func (rec *entryRecord) hasResultBody() bool {
	for _, a := range rec.byArrival {
		if a.state == stateDone && len(a.result.Body) > 0 {
			return true
		}
	}
	return false
}
