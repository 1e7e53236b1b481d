package eventlog_test

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// Guards against events that are missing from the operators' page, and against
// rows for events that no longer exist or have another level.
func TestEventsPageMatchesCatalog(t *testing.T) {
	f, err := os.Open("../../docs/events.md")
	assert.NilError(t, err)
	defer f.Close()
	page := make(map[int][]string)
	for scan := bufio.NewScanner(f); scan.Scan(); {
		cells := strings.Split(scan.Text(), "|")
		if len(cells) < 7 {
			continue
		}
		number, err := strconv.Atoi(strings.TrimSpace(cells[1]))
		if err != nil {
			continue
		}
		assert.Assert(t, page[number] == nil, "event %d has two rows", number)
		page[number] = cells
	}
	for _, d := range eventlog.Catalog() {
		row := page[int(d.Code)]
		assert.Assert(t, row != nil, "event %d %s has no row", d.Code, d.Name)
		destination := "log"
		if d.PerTask {
			destination = "timeline"
		}
		assert.Equal(t, strings.TrimSpace(row[2]), d.Name)
		assert.Equal(t, strings.TrimSpace(row[3]), d.Level.String(), d.Name)
		assert.Equal(t, strings.TrimSpace(row[4]), destination, d.Name)
		assert.Assert(t, strings.TrimSpace(row[5]) != "", d.Name)
		delete(page, int(d.Code))
	}
	assert.Equal(t, len(page), 0, "rows without an event: %v", page)
}

// Guards against per-task events in the log, and against events that are missing
// from the timeline.
func TestPerTaskEventsAreOnlyInTheTimeline(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	l := eventlog.New(zap.New(core), "entry-1", 7)
	l.Emit(eventlog.TaskPlaced, eventlog.Fields{Submission: "s", Task: 3, Peer: "worker"})
	l.Emit(eventlog.AgentLinkDown, eventlog.Fields{Peer: "worker"})
	assert.Equal(t, logged.Len(), 1)
	assert.Equal(t, logged.All()[0].Message, "agent_link_down")
	all := l.Timeline(func(*timeline.Event) bool { return true })
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].Task, 2)
	assert.Equal(t, all[1].Task, -1)
	assert.Assert(t, all[0].Stamp < all[1].Stamp)
}
