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
	// stormStep is the number of starts between two faults.
	stormStep = 25
	// maxFreezeMS is above the 2 s after which a silent link is given up.
	maxFreezeMS = 3000
)

// storm injects one random fault after another, each at a point given by the
// number of starts so far. The seed fixes the sequence of faults, not the
// timing of the processes.
type storm struct {
	t   *testing.T
	ctx context.Context
	c   *harness.Cluster
	rng *rand.Rand
}

// Guards against promises that hold for one fault at a time but not when
// faults are combined and repeated.
func TestStormOfFaults(t *testing.T) {
	for seed := *stormFirst; seed < *stormFirst+*stormSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			ctx, c := start(t, harness.ClusterOptions{Entries: 2, Agents: 3, Slots: 8, Relay: true})
			s := &storm{t: t, ctx: ctx, c: c, rng: rand.New(rand.NewPCG(seed, seed))}
			done := make(chan struct{})
			var outcomes []load.Outcome
			var err error
			go func() {
				defer close(done)
				outcomes, err = c.Drive(ctx, fmt.Sprintf("storm-%d", seed), stormWork())()
			}()
			s.run(done)
			<-done
			ends := verdict(t, c, func() ([]load.Outcome, error) { return outcomes, err })
			assert.Assert(t, ends[observer.Complete] > 0)
		})
	}
}

func stormWork() []load.Job {
	list := jobs(*stormJobs)
	for i := range list {
		list[i].Deadline = 20 * time.Second
		list[i].Keyed = i%2 == 0
	}
	return list
}

// run injects faults until all callers have ended or nothing starts any more.
func (s *storm) run(done <-chan struct{}) {
	for next := stormStep; ; next += stormStep {
		if !s.awaitStarts(next, done) {
			return
		}
		s.fault()
	}
}

// awaitStarts returns true when the upstreams have n starts on record, false
// when the callers have ended.
func (s *storm) awaitStarts(n int, done <-chan struct{}) bool {
	for {
		sum := 0
		for i := range s.c.Upstreams {
			got, err := s.c.Starts(i)
			assert.NilError(s.t, err)
			sum += got
		}
		if sum >= n {
			return true
		}
		select {
		case <-done:
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *storm) fault() {
	agent, entry := s.rng.IntN(len(s.c.Agents)), s.rng.IntN(len(s.c.Entries))
	relay := s.c.Relays[entry]
	direction := faultproxy.Direction(s.rng.IntN(2))
	switch kind := s.rng.IntN(8); kind {
	case 0:
		s.t.Log("kill agent", agent)
		s.c.Agents[agent].Kill()
		assert.NilError(s.t, s.c.StartAgent(agent))
	case 1:
		s.t.Log("kill entry", entry)
		s.c.Entries[entry].Kill()
		assert.NilError(s.t, s.c.StartEntry(s.ctx, entry))
	case 2:
		s.t.Log("kill upstream", agent)
		s.c.Upstreams[agent].Kill()
		assert.NilError(s.t, s.c.StartUpstream(s.ctx, agent))
	case 3:
		s.t.Log("freeze agent", agent)
		s.freeze(s.c.Agents[agent])
	case 4:
		s.t.Log("freeze entry", entry)
		s.freeze(s.c.Entries[entry])
	case 5:
		s.t.Log("cut a link of entry", entry)
		s.onLink(relay, (*faultproxy.Conn).Cut)
	case 6:
		s.t.Log("silence a link of entry", entry, "direction", direction)
		s.onLink(relay, func(c *faultproxy.Conn) { c.Silence(direction) })
	case 7:
		s.t.Log("freeze the log")
		s.freeze(s.c.Log)
	}
}

// onLink injects a fault into one of the entry's connections, if it has any.
func (s *storm) onLink(relay *faultproxy.Proxy, fault func(*faultproxy.Conn)) {
	if open := relay.Open(); len(open) > 0 {
		fault(open[s.rng.IntN(len(open))])
	}
}

// freeze stops the process for a random time, up to more than the silence
// timeout of links.
func (s *storm) freeze(p *harness.Process) {
	assert.NilError(s.t, p.Freeze())
	time.Sleep(time.Duration(s.rng.IntN(maxFreezeMS)) * time.Millisecond)
	assert.NilError(s.t, p.Thaw())
}
