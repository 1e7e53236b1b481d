package durable_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
)

// Guards against a caller that is told "not run" although its job is recorded, or that its
// cancellation is not recorded although it is: the log carries an append out, the answer is
// held up, and another process takes over before the append is repeated. Callers repeat
// their requests at the same process and at others.
func TestRefusedRequestsAreNotRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, durable.Options{}, rapid.IntRange(2, 3).Draw(t, "processes"))
		w.playJobsBesideFaults(func(event, i int, span time.Duration) bool {
			p := w.processes[i]
			switch event {
			case 0, 1:
				p.cutUntil, p.cutOneWay = w.now+span, true
			case 2:
				w.pause(p, span)
			case 3:
				w.restart(i)
			case 4, 5:
				if len(w.tasks) == 0 {
					return false
				}
				earlier := fmt.Sprintf("j%d", rapid.IntRange(1, len(w.tasks)).Draw(t, "earlier job"))
				if event == 4 {
					w.cancel(p, earlier)
				} else {
					w.submit(p, earlier, w.tasks[earlier])
				}
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
