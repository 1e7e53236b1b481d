package durable_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
)

// Guards against a task that runs twice at the same time or again after its success when
// the store removes records of leases, takeovers, crashes or repetitions, also between an
// append and its answer.
func TestJobsRunOnceWhenKeysAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, durable.Options{}, rapid.IntRange(2, 3).Draw(t, "processes"))
		w.advance(100 * time.Millisecond)
		jobs := 0
		for range rapid.IntRange(5, 30).Draw(t, "events") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1:
				w.restart(i)
			case 2:
				w.pause(p, span)
			case 3:
				p.cutUntil = w.now + span
			case 4, 5:
				w.removeKeys(rapid.SampledFrom([]byte("ltxr")).Draw(t, "kind"))
			default:
				jobs++
				w.submit(p, fmt.Sprintf("j%d", jobs), rapid.IntRange(1, 4).Draw(t, "tasks"))
			}
			w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		w.endFaults()
		w.advance(recoveryTime)
		w.requireAllCompleted()
	})
}
