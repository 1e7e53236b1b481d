package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against starts in an evacuated zone, against jobs that are admitted although the other
// zones cannot serve them in time, and against a zone whose workers stay unused after its
// return. The load takes 85% of all slots, and more than there is while a third of them is
// evacuated.
func TestEvacuationUnderLoadRefusesEarlyInsteadOfAnsweringLate(t *testing.T) {
	const (
		evacuated = 5 * time.Second
		returned  = 10 * time.Second
		end       = 20 * time.Second
		target    = 500 * time.Millisecond
	)
	for seed := range uint64(3) {
		settings := policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: target, TargetShare: 0.9}}}
		d := newDriver(seed, 3, 12, settings, func(i int) policy.Scheduler {
			return policy.New(policy.Options{Seed: seed*10 + uint64(i), Zone: "zone-0"})
		})
		set := func(asOf int64, zones ...string) func() {
			return func() {
				for i := range d.entries {
					d.stepEntry(i, entry.EvacuationsRead{Evacuations: &wire.Evacuations{AsOf: asOf, Zones: zones}})
				}
			}
		}
		d.after(evacuated, set(1, "zone-1"))
		d.after(returned, set(2))
		// 96 slots, tasks of 100 ms: 816 tasks a second are 85%.
		d.every(time.Second/816*3, func() {
			run := time.Duration(50+d.rng.IntN(101)) * time.Millisecond
			d.submit(d.rng.IntN(3), "c", "", 3*time.Second, []time.Duration{run, run, run}, false)
		})
		inZone := 0
		d.every(10*time.Millisecond, func() {
			if d.now < evacuated+time.Second || d.now > returned {
				return
			}
			for _, k := range d.runningAt {
				if k%3 == 1 {
					inZone++
				}
			}
		})
		d.run(end)
		late, admitted, refused, after := 0, 0, 0, 0
		for _, s := range d.done {
			switch {
			case s.at < evacuated:
			case s.at > returned+5*time.Second:
				if s.answer.Outcome != entry.Complete {
					after++
				}
			case s.at > returned:
			case s.answer.Outcome == entry.Refused && s.end == s.at:
				refused++
				assert.Assert(t, s.answer.RetryAfter > 0)
			default:
				admitted++
				if s.answer.Outcome != entry.Complete || s.end-s.at > target {
					late++
				}
			}
		}
		t.Logf("seed %d: %d admitted, %d of them late, %d refused at once; %d not complete after the return", seed, admitted, late, refused, after)
		assert.Equal(t, inZone, 0)
		assert.Assert(t, refused > 0)
		assert.Assert(t, late*10 < admitted, "%d of %d late", late, admitted)
		assert.Assert(t, after == 0)
	}
}
