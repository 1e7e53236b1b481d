package harness_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// TestAgentKilledWhileTasksRun guards against tasks that are placed again although
// the killed agent may have started them.
func TestAgentKilledWhileTasksRun(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 3, Slots: 8})
	awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
	assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
	c.Agents[0].Kill()
	assert.NilError(t, c.AwaitStarts(ctx, 1, 20))
	assert.NilError(t, c.StartAgent(0))
	outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
	assert.Assert(t, outcomeCounts[observer.Complete] > 0)
}

// TestAgentFrozenAndThawed guards against a second start of a task by an agent
// that was frozen until its entry closed the link.
func TestAgentFrozenAndThawed(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 1, Agents: 2, Slots: 8})
	awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
	assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
	from := c.Entries[0].EventCount()
	assert.NilError(t, c.Agents[0].Freeze())
	_, err := c.Entries[0].Await(ctx, from, agentLinksEqual(1))
	assert.NilError(t, err)
	from = c.Entries[0].EventCount()
	assert.NilError(t, c.Agents[0].Thaw())
	_, err = c.Entries[0].Await(ctx, from, agentLinksEqual(2))
	assert.NilError(t, err)
	outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
	assert.Assert(t, outcomeCounts[observer.Complete] > 0)
}

func agentLinksEqual(n int) func(harness.Event) bool {
	return func(e harness.Event) bool { return e.Kind == harness.Links && e.Count == n }
}

// TestLinkSilentInOneDirection guards against attempts that stay pending or start
// twice when a connection stops delivering in one direction while new connections
// work.
func TestLinkSilentInOneDirection(t *testing.T) {
	for name, d := range map[string]faultproxy.Direction{
		"to entry": faultproxy.ToServer, "to agent": faultproxy.ToClient,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, c := startCluster(t, harness.ClusterOptions{Entries: 1, Agents: 2, Slots: 8, Relay: true})
			awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
			assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
			relay := c.Relays[0]
			before := relay.Accepted()
			relay.OpenConns()[0].Silence(d)
			assert.NilError(t, relay.WaitAccepted(ctx, before+1))
			outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
			assert.Equal(t, outcomeCounts[observer.Complete], 100, "a silent link must not fail a job: %v", outcomeCounts)
		})
	}
}

// TestUpstreamKilledWhileTasksRun guards against tasks that run twice because the
// death of the upstream was mistaken for a refusal.
func TestUpstreamKilledWhileTasksRun(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 1, Agents: 2, Slots: 8})
	awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
	assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
	c.Upstreams[0].Kill()
	assert.NilError(t, c.AwaitStarts(ctx, 1, 30))
	assert.NilError(t, c.StartUpstream(ctx, 0))
	outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
	assert.Assert(t, outcomeCounts[observer.Complete] > 0)
}

// TestPlannedStopOfAnAgentUnderLoad guards against a planned stop of an agent that
// interrupts a task or loses its result.
func TestPlannedStopOfAnAgentUnderLoad(t *testing.T) {
	ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 3, Slots: 8})
	awaitOutcomes := c.SubmitJobs(ctx, t.Name(), jobs(100))
	assert.NilError(t, c.AwaitStarts(ctx, 0, 10))
	assert.NilError(t, c.Agents[0].Terminate())
	assert.NilError(t, c.Agents[0].Wait(ctx))
	outcomeCounts := checkOutcomes(t, c, awaitOutcomes)
	assert.Equal(t, outcomeCounts[observer.Complete], 100, "a planned stop must not fail a job: %v", outcomeCounts)
}
