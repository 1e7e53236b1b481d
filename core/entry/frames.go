package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Bounds of one frame. The payloads stay well below wire.MaxFrameBytes, since
// a frame above that closes the link. A frame has at least one start even if
// its payload alone exceeds maxFramePayload.
const (
	maxFramePayload = 1 << 20
	maxFrameItems   = 1024
)

// touch notes that the link is due to send a frame at the end of the step.
func (m *Machine) touch(link *agentLink) {
	if !link.dirty {
		link.dirty = true
		m.dirty = append(m.dirty, link)
	}
}

// flush sends the frames of every link that was touched in this step.
func (m *Machine) flush(now time.Duration) {
	for i, link := range m.dirty {
		m.dirty[i] = nil
		link.dirty = false
		if link.up {
			m.flushLink(now, link)
		}
	}
	m.dirty = m.dirty[:0]
}

// flushLink sends the content of out in as many frames as its size requires.
// Cancels and queries go before later starts; they never name a start of the
// same step.
func (m *Machine) flushLink(now time.Duration, link *agentLink) {
	rest := link.out
	link.out = wire.ToAgent{}
	link.sentAt = now
	if isEmpty(&rest) {
		m.stats.Heartbeats++
	}
	for more := true; more; more = !isEmpty(&rest) {
		frame := &wire.ToAgent{
			Floor:   link.attempts.floor(m.nextSeq),
			Echo:    link.clock,
			Config:  rest.Config,
			Entries: rest.Entries,
			Settled: rest.Settled,
			Voided:  rest.Voided,
		}
		rest.Config, rest.Entries, rest.Settled, rest.Voided = nil, nil, nil, nil
		frame.Starts, rest.Starts = splitStarts(rest.Starts)
		frame.SharePayloads()
		frame.Cancels, rest.Cancels = splitSeqs(rest.Cancels)
		frame.Queries, rest.Queries = splitSeqs(rest.Queries)
		m.emit(Send{Agent: link.agent, Epoch: link.epoch, Frame: frame})
	}
}

func isEmpty(f *wire.ToAgent) bool {
	return len(f.Starts) == 0 && len(f.Cancels) == 0 && len(f.Queries) == 0 &&
		f.Config == nil && len(f.Entries) == 0 && len(f.Settled) == 0 && len(f.Voided) == 0
}

func splitStarts(s []wire.Start) (now, later []wire.Start) {
	size := 0
	for i := range s {
		size += len(s[i].Payload)
		if i > 0 && (size > maxFramePayload || i >= maxFrameItems) {
			return s[:i:i], s[i:]
		}
	}
	return s, nil
}

func splitSeqs(s []wire.Seq) (now, later []wire.Seq) {
	if len(s) <= maxFrameItems {
		return s, nil
	}
	return s[:maxFrameItems:maxFrameItems], s[maxFrameItems:]
}
