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
		w.advance(100 * time.Millisecond)
		jobs := 0
		for range rapid.IntRange(5, 30).Draw(t, "events") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
			earlier := fmt.Sprintf("j%d", rapid.IntRange(1, max(1, jobs)).Draw(t, "earlier job"))
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event <= 1:
				p.cutUntil, p.cutOneWay = w.now+span, true
			case event == 2:
				w.pause(p, span)
			case event == 3:
				w.restart(i)
			case event == 4 && jobs > 0:
				w.submit(p, earlier, w.tasks[earlier])
			case event == 5 && jobs > 0:
				w.cancel(p, earlier)
			default:
				jobs++
				w.submit(p, fmt.Sprintf("j%d", jobs), rapid.IntRange(1, 3).Draw(t, "tasks"))
			}
			w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		w.endFaults()
		w.advance(recoveryTime)
		w.requireAllCompleted()
	})
}
