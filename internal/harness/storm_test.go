package harness_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// A longer soak outside CI:
//
//	go test ./internal/harness -run Storm -storm.first 100 -storm.seeds 20 -storm.jobs 1500 -v
var (
	stormFirst = flag.Uint64("storm.first", 0, "first seed of the fault storms")
	stormSeeds = flag.Uint64("storm.seeds", 3, "number of fault storms, one seed each")
	stormJobs  = flag.Int("storm.jobs", 300, "jobs of one fault storm")
)

const (
	// startsPerFault is the number of starts between two faults.
	startsPerFault = 25
	// maxFreezeMillis is above the 2 s after which a silent link is closed.
	maxFreezeMillis = 3000
)

// storm injects a sequence of random faults, each after a given total number of
// starts. The seed fixes the sequence of faults, but not the timing of the
// processes.
type storm struct {
	t       *testing.T
	ctx     context.Context
	cluster *harness.Cluster
	rng     *rand.Rand
}

// TestStormOfFaults guards against promises that hold for a single fault but not
// when faults are combined and repeated.
func TestStormOfFaults(t *testing.T) {
	for seed := *stormFirst; seed < *stormFirst+*stormSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			ctx, c := startCluster(t, harness.ClusterOptions{Entries: 2, Agents: 3, Slots: 8, Relay: true})
			s := &storm{t: t, ctx: ctx, cluster: c, rng: rand.New(rand.NewPCG(seed, seed))}
			done := make(chan struct{})
			var outcomes []load.JobResult
			var err error
			go func() {
				defer close(done)
				outcomes, err = c.SubmitJobs(ctx, fmt.Sprintf("storm-%d", seed), newStormJobs())()
			}()
			s.injectFaults(done)
			<-done
			outcomeCounts := checkOutcomes(t, c, func() ([]load.JobResult, error) { return outcomes, err })
			assert.Assert(t, outcomeCounts[observer.Complete] > 0)
		})
	}
}

func newStormJobs() []load.Job {
	list := jobs(*stormJobs)
	for i := range list {
		list[i].Deadline = 20 * time.Second
		list[i].Keyed = i%2 == 0
	}
	return list
}

// injectFaults injects faults until all callers have finished.
func (s *storm) injectFaults(done <-chan struct{}) {
	for next := startsPerFault; ; next += startsPerFault {
		if !s.awaitStarts(next, done) {
			return
		}
		s.injectFault()
	}
}

// awaitStarts returns true once the upstreams have recorded n starts in total,
// and false if the callers finish before that.
func (s *storm) awaitStarts(n int, done <-chan struct{}) bool {
	for {
		total := 0
		for i := range s.cluster.Upstreams {
			starts, err := s.cluster.StartCount(i)
			assert.NilError(s.t, err)
			total += starts
		}
		if total >= n {
			return true
		}
		select {
		case <-done:
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *storm) injectFault() {
	agent, entry := s.rng.IntN(len(s.cluster.Agents)), s.rng.IntN(len(s.cluster.Entries))
	relay := s.cluster.Relays[entry]
	direction := faultproxy.Direction(s.rng.IntN(2))
	switch kind := s.rng.IntN(8); kind {
	case 0:
		s.t.Log("kill agent", agent)
		s.cluster.Agents[agent].Kill()
		assert.NilError(s.t, s.cluster.StartAgent(agent))
	case 1:
		s.t.Log("kill entry", entry)
		s.cluster.Entries[entry].Kill()
		assert.NilError(s.t, s.cluster.StartEntry(s.ctx, entry))
	case 2:
		s.t.Log("kill upstream", agent)
		s.cluster.Upstreams[agent].Kill()
		assert.NilError(s.t, s.cluster.StartUpstream(s.ctx, agent))
	case 3:
		s.t.Log("freeze agent", agent)
		s.freeze(s.cluster.Agents[agent])
	case 4:
		s.t.Log("freeze entry", entry)
		s.freeze(s.cluster.Entries[entry])
	case 5:
		s.t.Log("cut a link of entry", entry)
		s.injectLinkFault(relay, (*faultproxy.Conn).Cut)
	case 6:
		s.t.Log("silence a link of entry", entry, "direction", direction)
		s.injectLinkFault(relay, func(c *faultproxy.Conn) { c.Silence(direction) })
	case 7:
		s.t.Log("freeze the log")
		s.freeze(s.cluster.Log)
	}
}

// injectLinkFault injects a fault into a random open connection of the entry, if
// there is one.
func (s *storm) injectLinkFault(relay *faultproxy.Proxy, fault func(*faultproxy.Conn)) {
	if open := relay.OpenConns(); len(open) > 0 {
		fault(open[s.rng.IntN(len(open))])
	}
}

// freeze freezes the process for a random time of less than maxFreezeMillis,
// which may exceed the silence timeout of links.
func (s *storm) freeze(p *harness.Process) {
	assert.NilError(s.t, p.Freeze())
	time.Sleep(time.Duration(s.rng.IntN(maxFreezeMillis)) * time.Millisecond)
	assert.NilError(s.t, p.Thaw())
}
