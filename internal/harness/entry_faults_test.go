package harness_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// TestEntryKilledWhileTasksRun guards against callers that wait forever after
// their entry was killed, and against tasks of this entry that start a second time
// through another entry.
func TestEntryKilledWhileTasksRun(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 2, Slots: 8})
	awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
	assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
	c.Entries[0].Kill()
	assert.NilError(t, c.StartEntry(ctx, 0))
	assert.NilError(t, c.AwaitLinks(ctx, 2))
	outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
	assert.Assert(t, outcomeCounts[observer.Broken] > 0, "no caller saw its connection break: %v", outcomeCounts)
	assert.Assert(t, outcomeCounts[observer.Complete] >= 50, "the other entry must continue to serve: %v", outcomeCounts)

	awaitAgain := c.SubmitJobs(ctx, t.Name()+"-again", jobs(10))
	outcomes, err := awaitAgain()
	assert.NilError(t, err)
	for _, o := range outcomes {
		assert.Equal(t, o.Outcome, observer.Complete, "the restarted entry must serve: %s", o.Reason)
	}
}

// TestPlannedStopOfAnEntryUnderLoad guards against a planned stop of an entry that
// interrupts a job in progress.
func TestPlannedStopOfAnEntryUnderLoad(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 2, Slots: 8})
	awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
	assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
	assert.NilError(t, c.Entries[0].Terminate())
	assert.NilError(t, c.Entries[0].Wait(ctx))
	outcomes, err := awaitOutcomes()
	assert.NilError(t, err)
	for _, o := range outcomes {
		assert.Assert(t, o.Outcome == observer.Complete || o.Outcome == observer.NotRun || connectionRefused(o.Reason),
			"a planned stop ended a job as %s: %s", o.Outcome, o.Reason)
	}
	checkOutcomes(t, c, awaitOutcomes)
}

// TestKeyedRequestsResubmittedAfterAnEntryIsKilled guards against a non-idempotent
// request that runs a second time when its caller resubmits it to another entry
// after the first entry was killed.
func TestKeyedRequestsResubmittedAfterAnEntryIsKilled(t *testing.T) {
	for _, starts := range []int{0, 1, 10, 40} {
		t.Run(fmt.Sprintf("after %d starts", starts), func(t *testing.T) {
			t.Parallel()
			ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 2, Slots: 8})
			list := jobs(100)
			for i := range list {
				list[i].Keyed = true
			}
			awaitOutcomes := c.SubmitJobs(ctx, "keyed", list)
			assert.NilError(t, c.AwaitStarts(ctx, 0, starts))
			c.Entries[0].Kill()
			assert.NilError(t, c.StartEntry(ctx, 0))
			outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
			assert.Assert(t, outcomeCounts[observer.Complete] >= 50, "the other entry must continue to serve: %v", outcomeCounts)
		})
	}
}
