package durable_test

import (
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
		w.playJobsBesideFaults(func(event, i int, span time.Duration) bool {
			p := w.processes[i]
			switch event {
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
				w.cut(p, span)
			default:
				return false
			}
			return true
		})
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
