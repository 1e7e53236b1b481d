package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
)

// resubmissionSurge replays the first seconds after the loss of all entries and workers: new
// jobs take 65% of the slots, and for a second as many others arrive that callers send again,
// with the time they still wait. It returns the shares of the new and the resubmitted jobs of
// the surge that were complete within the target and within their deadline.
func resubmissionSurge(seed uint64, disable policy.Parts) (inTime, served float64) {
	const (
		surge  = time.Second
		target = 250 * time.Millisecond
		stated = 3 * time.Second
	)
	settings := policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: target, TargetShare: 0.9, CallerTimeout: stated}}}
	d := newDriver(seed, 4, 12, settings, func(i int) policy.Scheduler {
		return policy.New(policy.Options{Seed: seed*10 + uint64(i), Zone: "zone-0", Disable: disable})
	})
	offer := func(team string, until, left time.Duration) {
		// 96 slots, two tasks of 100 ms: 312 jobs a second are 65%.
		d.every(time.Second/312, func() {
			if d.now < until {
				run := time.Duration(50+d.rng.IntN(101)) * time.Millisecond
				d.submit(d.rng.IntN(4), "c", team, left+time.Duration(d.rng.IntN(200))*time.Millisecond, []time.Duration{run, run}, false)
			}
		})
	}
	offer("new", 4*time.Second, stated)
	offer("resubmitted", surge, stated-1500*time.Millisecond)
	d.run(8 * time.Second)
	var fresh, freshInTime, again, againServed float64
	for _, s := range d.done {
		if s.at > 2*surge {
			continue
		}
		complete := s.answer.Outcome == entry.Complete
		if s.team == "resubmitted" {
			again++
			if complete {
				againServed++
			}
			continue
		}
		fresh++
		if complete && s.end-s.at <= target {
			freshInTime++
		}
	}
	return freshInTime / fresh, againServed / again
}

// Guards against callers who could still be answered in time, but wait behind those who
// cannot, after a failure that breaks the connections of all callers.
func TestNewJobsMeetTheirTargetBesideASurgeOfResubmittedOnes(t *testing.T) {
	for seed := range uint64(3) {
		inTime, served := resubmissionSurge(seed, 0)
		inTimeOff, servedOff := resubmissionSurge(seed, policy.PartResubmitted)
		t.Logf("seed %d: new jobs in time %.3f (%.3f without), resubmitted ones served %.3f (%.3f)", seed, inTime, inTimeOff, served, servedOff)
		assert.Assert(t, inTime > 0.95)
		assert.Assert(t, served > 0.5)
		assert.Assert(t, inTimeOff < inTime)
	}
}
