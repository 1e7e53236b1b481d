package timeline_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/timeline"
)

// Guards against a merged time line that shows an effect before its cause when
// the wall clocks of the processes differ by minutes or jump.
func TestMergeKeepsHappenedBeforeWithWrongClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		var clocks [processes]timeline.Clock
		var lists [processes][]timeline.Event
		var offsets [processes]int64
		inFlight := make(map[int]timeline.Stamp) // message number -> stamp
		sentAt := make(map[int]string)
		wall, messages := int64(1_000_000_000), 0
		for range 60 {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			wall += int64(rapid.IntRange(0, 50).Draw(t, "advance"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				offsets[p] = int64(rapid.IntRange(-300_000_000, 300_000_000).Draw(t, "offset"))
			case 1:
				stamp := clocks[p].Now(wall + offsets[p])
				name := fmt.Sprintf("send-%d", messages)
				lists[p] = append(lists[p], timeline.Event{Stamp: stamp, Process: fmt.Sprint(p), Name: name})
				inFlight[messages], sentAt[messages] = stamp, name
				messages++
			case 2:
				if len(inFlight) == 0 {
					continue
				}
				m := rapid.IntRange(0, messages-1).Draw(t, "message")
				clocks[p].Observe(inFlight[m])
				stamp := clocks[p].Now(wall + offsets[p])
				lists[p] = append(lists[p], timeline.Event{Stamp: stamp, Process: fmt.Sprint(p), Name: fmt.Sprintf("recv-%d", m)})
			}
		}
		checkOrder(t, timeline.Merge(lists[:]...), lists[:])
	})
}

func checkOrder(t *rapid.T, steps []timeline.Step, lists [][]timeline.Event) {
	sent := make(map[string]bool)
	next := make(map[string]int)
	for _, s := range steps {
		var kind string
		var message int
		fmt.Sscanf(s.Name, "%4s-%d", &kind, &message)
		if kind == "send" {
			sent[fmt.Sprint(message)] = true
		} else if !sent[fmt.Sprint(message)] {
			t.Fatalf("%s comes before its send", s.Name)
		}
		var p int
		fmt.Sscan(s.Process, &p)
		if lists[p][next[s.Process]].Stamp != s.Stamp {
			t.Fatalf("events of process %d are out of order", p)
		}
		next[s.Process]++
	}
}

// Guards against a ring that loses the newest events or their order.
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

// Guards against wall-clock time that does not fit the stamp: 48 bits of
// microseconds end in 1978.
func TestStampKeepsPresentDayMicroseconds(t *testing.T) {
	const may2045 = int64(2_377_000_000_000_000)
	var c timeline.Clock
	assert.Equal(t, c.Now(may2045).Micros(), may2045)
	assert.Equal(t, c.Now(may2045).Logical(), uint16(1))
}
