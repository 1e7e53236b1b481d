package entry

import (
	"sort"

	"github.com/limpettrail/limpettrail/core/wire"
)

// minCompactLen is the window length below which compaction is not worth its
// cost.
const minCompactLen = 64

// attemptWindow holds the unsettled attempts of one agent in the order of their
// Seq. New attempts always have the highest Seq, so adding is O(1), a lookup is
// a binary search, and the lowest open Seq is that of the first unsettled
// attempt.
type attemptWindow struct {
	attempts []attemptSlot
	head     int // attempts before this index are settled
	open     int // number of unsettled attempts
}

type attemptSlot struct {
	seq  wire.Seq
	task *task // nil once the attempt is settled
}

func (w *attemptWindow) add(seq wire.Seq, t *task) {
	w.attempts = append(w.attempts, attemptSlot{seq: seq, task: t})
	w.open++
}

// find returns the slot of an open attempt, or nil if the attempt is not open.
func (w *attemptWindow) find(seq wire.Seq) *attemptSlot {
	rest := w.attempts[w.head:]
	i := sort.Search(len(rest), func(i int) bool { return rest[i].seq >= seq })
	if i == len(rest) || rest[i].seq != seq || rest[i].task == nil {
		return nil
	}
	return &rest[i]
}

// remove settles the attempt and returns its task, or nil if the attempt is not
// open.
func (w *attemptWindow) remove(seq wire.Seq) *task {
	slot := w.find(seq)
	if slot == nil {
		return nil
	}
	t := slot.task
	slot.task = nil
	w.open--
	w.compact()
	return t
}

// compact skips the settled attempts at the front. It also removes those behind
// an unsettled one when they are the majority, so that one long task does not
// make the window grow without bound.
func (w *attemptWindow) compact() {
	for w.head < len(w.attempts) && w.attempts[w.head].task == nil {
		w.head++
	}
	if len(w.attempts) < minCompactLen || w.open > len(w.attempts)/2 {
		return
	}
	kept := w.attempts[:0]
	for _, s := range w.attempts[w.head:] {
		if s.task != nil {
			kept = append(kept, s)
		}
	}
	clear(w.attempts[len(kept):])
	w.attempts = kept
	w.head = 0
}

// lowestOpen returns the lowest open Seq, or next if no attempt is open.
func (w *attemptWindow) lowestOpen(next wire.Seq) wire.Seq {
	if w.head == len(w.attempts) {
		return next
	}
	return w.attempts[w.head].seq
}

// forEach calls f for every open attempt, in the order of Seq. f must not
// change the window.
func (w *attemptWindow) forEach(f func(wire.Seq, *task)) {
	for _, s := range w.attempts[w.head:] {
		if s.task != nil {
			f(s.seq, s.task)
		}
	}
}
