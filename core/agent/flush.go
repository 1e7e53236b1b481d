package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// maxFrameBodies bounds the result bodies in one frame, so that a frame with
// several large results stays below wire.MaxFrameBytes. A larger frame would
// break the link, and the next link too when its results are sent again.
const maxFrameBodies = wire.MaxFrameBytes / 2

// flush sends a frame to each entry for which results, a configuration or a
// heartbeat are due.
func (m *Machine) flush(now time.Duration) {
	for _, p := range m.peerList {
		if p.up && (len(p.results) > 0 || p.heartbeatDue || p.sendConfig) {
			m.flushPeer(now, p)
		}
	}
}

func (m *Machine) flushPeer(now time.Duration, p *peer) {
	f := p.frame
	if f == nil {
		f = new(outFrame)
	}
	rest := p.results
	p.markSent(now, rest)
	for {
		n := frameResultCount(rest)
		f.frame = wire.ToEntry{Results: rest[:n:n], Load: m.Load(now), AgentClock: wire.MicrosOf(now)}
		f.frame.Load.Draining = m.draining || p.retiring
		f.frame.FinishedRuns, p.pendingFinishedRuns = p.pendingFinishedRuns, nil
		if p.sendConfig {
			f.frame.Config = m.config
			p.configVersion = m.config.Version
			p.sendConfig = false
		}
		f.send = Send{Entry: p.entry, Epoch: p.epoch, Frame: &f.frame}
		m.emit(&f.send)
		if rest = rest[n:]; len(rest) == 0 {
			break
		}
		f = new(outFrame)
	}
	p.discardOutput()
	p.heartbeatDue = false
	p.sentAt = now
}

func (p *peer) markSent(now time.Duration, results []wire.Result) {
	for i := range results {
		if a := p.attempts[results[i].Seq]; a != nil {
			a.sentEpoch = p.epoch
			a.sentAt = now
		}
	}
}

// frameResultCount returns how many of the results go into the next frame: at least
// one, or none if there are no results.
func frameResultCount(results []wire.Result) int {
	bytes := 0
	for i := range results {
		bytes += len(results[i].Body)
		if i > 0 && bytes > maxFrameBodies {
			return i
		}
	}
	return len(results)
}
