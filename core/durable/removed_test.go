package durable_test

import (
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
		w.playJobsBesideFaults(func(event, i int, span time.Duration) bool {
			switch event {
			case 0, 1:
				w.restart(i)
			case 2:
				w.pause(w.processes[i], span)
			case 3:
				w.cut(w.processes[i], span)
			case 4, 5:
				w.removeKeys(rapid.SampledFrom([]byte("ltxr")).Draw(t, "kind"))
			default:
				return false
			}
			return true
		})
		w.endFaults()
		w.advance(recoveryTime)
		w.requireAllCompleted()
	})
}
