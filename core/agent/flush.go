package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// maxFrameBodies bounds the result bodies in one frame, so that a frame with
// several large results stays below wire.MaxFrameBytes. A frame above that
// would break the link, and its results would meet the same end on the next.
const maxFrameBodies = wire.MaxFrameBytes / 2

// flush sends to each entry that has results, a configuration or a heartbeat due.
func (m *Machine) flush(now time.Duration) {
	for _, p := range m.peerList {
		if p.up && (len(p.out) > 0 || p.greet || p.sendConfig) {
			m.flushPeer(now, p)
		}
	}
}

func (m *Machine) flushPeer(now time.Duration, p *peer) {
	f := p.frame
	if f == nil {
		f = new(outFrame)
	}
	rest := p.out
	p.markSent(now, rest)
	for {
		n := fitting(rest)
		f.frame = wire.ToEntry{Results: rest[:n:n], Load: m.Load(now), Clock: wire.MicrosOf(now)}
		f.frame.Load.Draining = m.draining || p.retiring
		f.frame.Ends, p.ends = p.ends, nil
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
	p.greet = false
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

// fitting returns how many of the results go into one frame, at least one.
func fitting(results []wire.Result) int {
	bytes := 0
	for i := range results {
		bytes += len(results[i].Body)
		if i > 0 && bytes > maxFrameBodies {
			return i
		}
	}
	return len(results)
}
