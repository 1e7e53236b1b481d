package durable_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
)

// Guards against a task that runs twice at the same time while the process before goes on
// beside the one that replaced it under the name of its VM at another address, also paused
// or cut off from the log. At the same address the process before has ended: its listener
// would keep the next one from starting.
func TestJobsRunOnceWhileReplacedProcessGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, durable.Options{}, rapid.IntRange(1, 3).Draw(t, "processes"))
		w.advance(100 * time.Millisecond)
		jobs := 0
		for range rapid.IntRange(5, 30).Draw(t, "events") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				if len(w.processes) < 6 {
					w.addresses++
					w.processes = append(w.processes, w.newProcessAt(p.vm, w.addresses))
				}
			case 1:
				w.restart(i)
			case 2:
				w.pause(p, span)
			case 3:
				p.cutUntil = w.now + span
			default:
				jobs++
				w.submit(p, fmt.Sprintf("j%d", jobs), rapid.IntRange(1, 4).Draw(t, "tasks"))
			}
			w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		w.endReplaced()
		w.endFaults()
		w.advance(recoveryTime)
		w.requireAllCompleted()
	})
}

// endReplaced ends the processes that were replaced.
func (w *world) endReplaced() {
	newest := make(map[string]*process)
	for _, p := range w.processes {
		newest[p.vm] = p
	}
	w.processes = slices.DeleteFunc(w.processes, func(p *process) bool {
		if newest[p.vm] == p {
			return false
		}
		w.loseLinks(p)
		p.pausedUntil = 1 << 62
		return true
	})
}
