package entry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against an attempt that is lost or found twice when the window is
// compacted, and against a lowest open Seq above an open attempt.
func TestAttemptWindowMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w attemptWindow
		open := map[wire.Seq]*task{}
		next := wire.Seq(1)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			seq := wire.Seq(rapid.IntRange(int(w.lowestOpen(next)), int(next)+1).Draw(t, "seq"))
			if rapid.IntRange(0, 9).Draw(t, "kind") < 4 {
				next += 1 + seq%2
				open[next] = new(task)
				w.add(next, open[next])
				continue
			}
			if rapid.IntRange(0, 19).Draw(t, "old") == 0 {
				seq = next / 2
			}
			if got := w.remove(seq); got != open[seq] {
				t.Fatalf("remove(%d) = %p, want %p", seq, got, open[seq])
			}
			delete(open, seq)
			low := next + 1
			for s := range open {
				low = min(low, s)
			}
			count := 0
			w.forEach(func(s wire.Seq, task *task) {
				if open[s] == task {
					count++
				}
			})
			if w.lowestOpen(next+1) != low || w.open != len(open) || count != len(open) {
				t.Fatalf("lowest open %d, %d open, %d visited; want %d, %d", w.lowestOpen(next+1), w.open, count, low, len(open))
			}
		}
	})
}
