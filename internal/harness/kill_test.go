package harness_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// restartedRole is a role of which one process is killed and started again.
type restartedRole struct {
	name    string
	kill    func(c *harness.Cluster)
	restart func(ctx context.Context, c *harness.Cluster) error
}

var restartedRoles = []restartedRole{
	{
		"entry",
		func(c *harness.Cluster) { c.Entries[0].Kill() },
		func(ctx context.Context, c *harness.Cluster) error { return c.StartEntry(ctx, 0) },
	},
	{
		"agent",
		func(c *harness.Cluster) { c.Agents[0].Kill() },
		func(_ context.Context, c *harness.Cluster) error { return c.StartAgent(0) },
	},
	{
		"upstream",
		func(c *harness.Cluster) { c.Upstreams[0].Kill() },
		func(ctx context.Context, c *harness.Cluster) error { return c.StartUpstream(ctx, 0) },
	},
}

// TestEachRoleKilledAtEachStep guards against a point of a run, from before the
// first start on, at which the kill and restart of a process violates a promise.
func TestEachRoleKilledAtEachStep(t *testing.T) {
	for _, role := range restartedRoles {
		for _, starts := range []int{0, 1, 5, 20, 60} {
			t.Run(fmt.Sprintf("%s after %d starts", role.name, starts), func(t *testing.T) {
				t.Parallel()
				ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 2, Slots: 8})
				awaitOutcomes := c.SubmitJobs(ctx, "k", jobs(80))
				// The starts of both upstreams count, because the share of each one
				// depends on its measured speed.
				assert.NilError(t, c.AwaitTotalStarts(ctx, 2*starts))
				role.kill(c)
				assert.NilError(t, role.restart(ctx, c))
				outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
				assert.Assert(t, outcomeCounts[observer.Complete] > 0)
				// An entry without an agent refuses jobs as not run.
				assert.NilError(t, c.AwaitLinks(ctx, 2))
				again, err := c.SubmitJobs(ctx, "again", jobs(10))()
				assert.NilError(t, err)
				for _, o := range again {
					assert.Equal(t, o.Outcome, observer.Complete, "the system must serve after the restart: %s", o.Reason)
				}
			})
		}
	}
}
