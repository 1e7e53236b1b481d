package agent

import (
	"slices"

	"github.com/limpettrail/limpettrail/core/wire"
)

// seqRange is the seqs from first to last, both included.
type seqRange struct{ first, last wire.Seq }

// seqSet is a set of seqs: ranges in ascending order that neither overlap nor touch.
type seqSet []seqRange

// search returns the index of the first range that ends at seq or later.
func (s seqSet) search(seq wire.Seq) int {
	i, _ := slices.BinarySearchFunc(s, seq, func(r seqRange, seq wire.Seq) int {
		if r.last < seq {
			return -1
		}
		return 1
	})
	return i
}

func (s seqSet) contains(seq wire.Seq) bool {
	i := s.search(seq)
	return i < len(s) && s[i].first <= seq
}

func (s *seqSet) add(seq wire.Seq) {
	i := s.search(seq)
	r := *s
	if i < len(r) && r[i].first <= seq {
		return
	}
	touchesBefore := i > 0 && r[i-1].last+1 == seq
	touchesNext := i < len(r) && seq+1 == r[i].first
	switch {
	case touchesBefore && touchesNext:
		r[i-1].last = r[i].last
		*s = slices.Delete(r, i, i+1)
	case touchesBefore:
		r[i-1].last = seq
	case touchesNext:
		r[i].first = seq
	default:
		*s = slices.Insert(r, i, seqRange{seq, seq})
	}
}

// removeBelow removes all seqs below seq.
func (s *seqSet) removeBelow(seq wire.Seq) {
	*s = slices.Delete(*s, 0, s.search(seq))
	if r := *s; len(r) > 0 {
		r[0].first = max(r[0].first, seq)
	}
}

// joinOldest joins the n lowest ranges to one, with the seqs between them.
func (s *seqSet) joinOldest(n int) {
	(*s)[0].last = (*s)[n-1].last
	*s = slices.Delete(*s, 1, n)
}
