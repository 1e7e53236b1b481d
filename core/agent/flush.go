package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// maxFrameResults bounds the bytes of the results in one frame, see resultBytes, so
// that a frame with several large results stays below wire.MaxFrameBytes. A larger
// frame would break the link, and the next link too when its results are sent again.
const maxFrameResults = wire.MaxFrameBytes / 2

// resultBytes returns about how long the result is in a frame: its parts of variable
// length, and an allowance of neighbourBytes for the rest of each neighbour.
func resultBytes(r *wire.Result) int {
	const neighbourBytes = 9 // array header, length of the name, slots
	n := len(r.Body) + len(r.Checkpoint) + neighbourBytes*len(r.Neighbours)
	for i := range r.Neighbours {
		n += len(r.Neighbours[i].Class)
	}
	return n
}

// flush sends a frame to each entry for which results, a configuration,
// evacuations or a heartbeat are due.
func (m *Machine) flush(now time.Duration) {
	for _, rec := range m.entryList {
		if rec.up && (len(rec.results) > 0 || rec.heartbeatDue || rec.sendConfig || m.evacuations.Supersedes(&rec.evacuations)) {
			m.flushEntry(now, rec)
		}
	}
}

func (m *Machine) flushEntry(now time.Duration, rec *entryRecord) {
	f := rec.frame
	if f == nil {
		f = new(outFrame)
	}
	rest := rec.results
	rec.markSent(now, rest)
	for {
		n := frameResultCount(rest)
		f.frame = wire.ToEntry{Results: rest[:n:n], Load: m.Load(now), AgentClock: wire.MicrosOf(now)}
		f.frame.Load.Draining = m.draining || rec.retiring
		if rec.reportNeighbours {
			f.frame.Load.Classes = m.neighbours.report()
		}
		f.frame.FinishedRuns, rec.pendingFinishedRuns = rec.pendingFinishedRuns, nil
		f.frame.SettledStarts = rec.takeSettledStarts()
		f.frame.Evacuations = m.evacuationsFor(rec)
		if rec.sendConfig {
			f.frame.Config = m.config
			rec.configVersion = m.config.Version
			rec.sendConfig, rec.announceConfig = false, false
		}
		if rec.announceConfig {
			f.frame.Config = wire.AnnounceConfig(m.config.Version)
			rec.announceConfig = false
		}
		f.send = Send{Entry: rec.incarnation, Epoch: rec.epoch, Frame: &f.frame}
		m.emit(&f.send)
		if rest = rest[n:]; len(rest) == 0 {
			break
		}
		f = new(outFrame)
	}
	rec.discardOutput()
	rec.heartbeatDue = false
	rec.sentAt = now
}

func (rec *entryRecord) markSent(now time.Duration, results []wire.Result) {
	for i := range results {
		if a := rec.attempts[results[i].Seq]; a != nil {
			a.sentEpoch = rec.epoch
			a.sentAt = now
		}
	}
}

// frameResultCount returns how many of the results go into the next frame: at least
// one, or none if there are no results.
func frameResultCount(results []wire.Result) int {
	bytes := 0
	for i := range results {
		bytes += resultBytes(&results[i])
		if i > 0 && bytes > maxFrameResults {
			return i
		}
	}
	return len(results)
}
