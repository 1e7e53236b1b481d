package entry

import (
	"sort"

	"github.com/limpettrail/limpettrail/core/wire"
)

// compactMin is the window length below which settled entries are not worth moving.
const compactMin = 64

// window holds the unsettled attempts of one agent in the order of their
// seqs. Seqs only grow, so the order is that of arrival: adding is O(1), a
// look-up is a binary search, and the floor is the first unsettled entry.
type window struct {
	slots []windowSlot
	head  int // entries before it are settled
	open  int // unsettled entries
}

type windowSlot struct {
	seq  wire.Seq
	task *task // nil once the attempt is settled
}

func (w *window) add(seq wire.Seq, t *task) {
	w.slots = append(w.slots, windowSlot{seq: seq, task: t})
	w.open++
}

// take removes the attempt and returns its task, nil if it is not open.
func (w *window) take(seq wire.Seq) *task {
	rest := w.slots[w.head:]
	i := sort.Search(len(rest), func(i int) bool { return rest[i].seq >= seq })
	if i == len(rest) || rest[i].seq != seq || rest[i].task == nil {
		return nil
	}
	t := rest[i].task
	rest[i].task = nil
	w.open--
	w.trim()
	return t
}

// trim drops the settled entries at the front at once, and those behind an
// unsettled one when they are the majority, so that one long task does not
// keep an ever longer list behind it.
func (w *window) trim() {
	for w.head < len(w.slots) && w.slots[w.head].task == nil {
		w.head++
	}
	if len(w.slots) < compactMin || w.open > len(w.slots)/2 {
		return
	}
	kept := w.slots[:0]
	for _, s := range w.slots[w.head:] {
		if s.task != nil {
			kept = append(kept, s)
		}
	}
	clear(w.slots[len(kept):])
	w.slots = kept
	w.head = 0
}

// floor returns the lowest open seq, or next if none is open.
func (w *window) floor(next wire.Seq) wire.Seq {
	if w.head == len(w.slots) {
		return next
	}
	return w.slots[w.head].seq
}

// each calls f for every open attempt, in the order of seqs. f must not change
// the window.
func (w *window) each(f func(wire.Seq, *task)) {
	for _, s := range w.slots[w.head:] {
		if s.task != nil {
			f(s.seq, s.task)
		}
	}
}
