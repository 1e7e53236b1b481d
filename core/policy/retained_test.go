package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against tasks of a stored job that run on the workers of another class, or on none,
// because the class that the job was accepted in is not published any more.
func TestTasksOfRetainedClassRunInItsPool(t *testing.T) {
	desk := Class{Name: "quotes", Address: "h/quotes/", Pool: "desk", ResponseTarget: time.Second}
	renamed := Class{Name: "offers", Address: "h/quotes/", Pool: "counter", ResponseTarget: time.Second}
	other := Class{Name: "other", Address: "h/other/", Pool: "counter", ResponseTarget: time.Second}
	for _, c := range []struct {
		name     string
		versions [][]Class
		retained Class
		want     string // pool
	}{
		{"never published here", [][]Class{{other}}, desk, "desk"},
		{"published again", [][]Class{{desk}}, Class{Name: "quotes", Pool: "counter"}, "desk"},
		{"removed", [][]Class{{desk}, {other}}, desk, "desk"},
		{"renamed", [][]Class{{desk}, {renamed}}, Class{}, "counter"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Options{})
			for id, pool := range []string{"desk", "counter"} {
				s.AgentUp(0, AgentInfo{Agent: wire.Incarnation(id + 1), Zone: "z", Pool: pool, Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
			}
			for _, classes := range c.versions {
				s.Configure(0, Settings{Classes: classes})
			}
			if c.retained.Name != "" {
				s.Retain(0, c.retained)
			}
			_, list := newTestJob("quotes", 0, 3)
			for _, task := range list {
				s.Enqueue(0, task)
			}
			placed := 0
			for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
				for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
					placed++
					assert.Equal(t, []string{"desk", "counter"}[p.Agent-1], c.want)
				}
			}
			assert.Assert(t, placed > 0)
		})
	}
}
