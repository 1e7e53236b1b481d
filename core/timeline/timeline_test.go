package timeline_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/timeline"
)

// Guards against a merged timeline that shows an effect before its cause when the
// wall clocks of the processes differ by minutes or jump.
func TestMergeKeepsCausalOrderDespiteClockSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		var clocks [processes]timeline.Clock
		var lists [processes][]timeline.Event
		var clockOffsets [processes]int64
		inFlight := make(map[int]timeline.Stamp) // message number -> stamp
		sendNames := make(map[int]string)
		wall, messages := int64(1_000_000_000), 0
		for range 60 {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			wall += int64(rapid.IntRange(0, 50).Draw(t, "advance"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				clockOffsets[p] = int64(rapid.IntRange(-300_000_000, 300_000_000).Draw(t, "offset"))
			case 1:
				stamp := clocks[p].Now(wall + clockOffsets[p])
				name := fmt.Sprintf("send-%d", messages)
				lists[p] = append(lists[p], timeline.Event{Stamp: stamp, Process: fmt.Sprint(p), Name: name})
				inFlight[messages], sendNames[messages] = stamp, name
				messages++
			case 2:
				if len(inFlight) == 0 {
					continue
				}
				m := rapid.IntRange(0, messages-1).Draw(t, "message")
				clocks[p].Observe(wall+clockOffsets[p], inFlight[m])
				stamp := clocks[p].Now(wall + clockOffsets[p])
				lists[p] = append(lists[p], timeline.Event{Stamp: stamp, Process: fmt.Sprint(p), Name: fmt.Sprintf("recv-%d", m)})
			}
		}
		checkOrder(t, timeline.Merge(lists[:]...), lists[:])
	})
}

// Guards against one frame with an impossible stamp after which the stamps of the process
// fall back to 0, and those of every process that it sends frames to.
func TestImpossibleStampIsIgnored(t *testing.T) {
	const wall = 1_800_000_000_000_000
	for _, s := range []timeline.Stamp{math.MaxUint64, math.MaxUint64 - 1, 1 << 63} {
		var c timeline.Clock
		first := c.Now(wall)
		c.Observe(wall, s)
		second := c.Now(wall)
		assert.Assert(t, second > first && second.Micros() == first.Micros(), "%d after %d", second, first)
	}
}

func checkOrder(t *rapid.T, events []timeline.MergedEvent, lists [][]timeline.Event) {
	sent := make(map[string]bool)
	next := make(map[string]int)
	for _, e := range events {
		var kind string
		var message int
		fmt.Sscanf(e.Name, "%4s-%d", &kind, &message)
		if kind == "send" {
			sent[fmt.Sprint(message)] = true
		} else if !sent[fmt.Sprint(message)] {
			t.Fatalf("%s comes before the matching send", e.Name)
		}
		var p int
		fmt.Sscan(e.Process, &p)
		if lists[p][next[e.Process]].Stamp != e.Stamp {
			t.Fatalf("events of process %d are out of order", p)
		}
		next[e.Process]++
	}
}

// Guards against a ring that loses the newest events or returns them out of order.
func TestFullRingKeepsTheLatestEventsInOrder(t *testing.T) {
	r := timeline.NewRing(3)
	for i := range 5 {
		r.Add(timeline.Event{Code: i})
	}
	got := r.Events(func(e *timeline.Event) bool { return true })
	assert.Equal(t, len(got), 3)
	for i, e := range got {
		assert.Equal(t, e.Code, i+2)
	}
}

// Guards against too few bits for the wall clock: 48 bits of microseconds end in
// 1978.
func TestStampKeepsPresentDayMicroseconds(t *testing.T) {
	const micros2045 = int64(2_377_000_000_000_000)
	var c timeline.Clock
	assert.Equal(t, c.Now(micros2045).Micros(), micros2045)
	assert.Equal(t, c.Now(micros2045).Logical(), uint16(1))
}
