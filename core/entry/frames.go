package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Bounds of one frame. The payloads stay well below wire.MaxFrameBytes, since a
// larger frame closes the link. A frame has at least one start even if the
// payload of that start alone exceeds maxFramePayload.
const (
	maxFramePayload = 1 << 20
	maxFrameItems   = 1024
)

// scheduleSend marks the link to send a frame at the end of the step, which is
// a heartbeat if there is no content.
func (m *Machine) scheduleSend(link *agentLink) {
	if !link.dirty {
		link.dirty = true
		m.dirtyLinks = append(m.dirtyLinks, link)
	}
}

// flush sends the frames of all links that were marked in this step.
func (m *Machine) flush(now time.Duration) {
	for i, link := range m.dirtyLinks {
		m.dirtyLinks[i] = nil
		link.dirty = false
		if link.up {
			m.flushLink(now, link)
		}
	}
	m.dirtyLinks = m.dirtyLinks[:0]
}

// flushLink sends the content of link.outgoing in as many frames as its size
// requires. Cancels and queries may precede later starts: they never name a
// start of the same step.
func (m *Machine) flushLink(now time.Duration, link *agentLink) {
	pending := link.outgoing
	link.outgoing = wire.ToAgent{}
	link.sentAt = now
	if isEmpty(&pending) {
		m.stats.Heartbeats++
	}
	for more := true; more; more = !isEmpty(&pending) {
		frame := &wire.ToAgent{
			LowestOpenSeq:    link.attempts.lowestOpen(m.nextSeq),
			ClockEcho:        m.clockEcho(link),
			Config:           pending.Config,
			Entries:          pending.Entries,
			AcknowledgedRuns: pending.AcknowledgedRuns,
			SupersededRuns:   pending.SupersededRuns,
			Evacuations:      pending.Evacuations,
			EvacuationsAge:   m.evacuationsAge(now),
		}
		pending.Config, pending.Entries, pending.AcknowledgedRuns, pending.SupersededRuns = nil, nil, nil, nil
		pending.Evacuations = nil
		frame.Starts, pending.Starts = splitStarts(pending.Starts)
		frame.DedupPayloads()
		frame.Cancels, pending.Cancels = splitSeqs(pending.Cancels)
		frame.Queries, pending.Queries = splitSeqs(pending.Queries)
		m.emit(Send{Agent: link.incarnation, Epoch: link.epoch, Frame: frame})
	}
}

func isEmpty(f *wire.ToAgent) bool {
	return len(f.Starts) == 0 && len(f.Cancels) == 0 && len(f.Queries) == 0 &&
		f.Config == nil && len(f.Entries) == 0 && len(f.AcknowledgedRuns) == 0 && len(f.SupersededRuns) == 0 &&
		f.Evacuations == nil
}

// splitStarts returns the starts that fit in one frame and the others.
func splitStarts(starts []wire.Start) (first, rest []wire.Start) {
	size := 0
	for i := range starts {
		size += len(starts[i].Payload)
		if i > 0 && (size > maxFramePayload || i >= maxFrameItems) {
			return starts[:i:i], starts[i:]
		}
	}
	return starts, nil
}

// splitSeqs returns the sequence numbers that fit in one frame and the others.
func splitSeqs(seqs []wire.Seq) (first, rest []wire.Seq) {
	if len(seqs) <= maxFrameItems {
		return seqs, nil
	}
	return seqs[:maxFrameItems:maxFrameItems], seqs[maxFrameItems:]
}
