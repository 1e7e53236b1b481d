package harness_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

// faultOffsets are the byte offsets in a stream at which a fault is injected: in
// the preface, in the header and body of the hello, and in many frames after it.
var faultOffsets = []uint64{0, 3, 8, 11, 12, 20, 40, 70, 100, 140, 200, 300, 450, 700, 1100, 1600}

// faultKind is a kind of fault on one connection.
type faultKind struct {
	name  string
	apply func(c *faultproxy.Conn, d faultproxy.Direction)
}

var faultKinds = []faultKind{
	{"cut", func(c *faultproxy.Conn, _ faultproxy.Direction) { c.Cut() }},
	{"silent", func(c *faultproxy.Conn, d faultproxy.Direction) { c.Silence(d) }},
	{"silent both ways", func(c *faultproxy.Conn, _ faultproxy.Direction) {
		c.Silence(faultproxy.ToServer)
		c.Silence(faultproxy.ToClient)
	}},
}

var directionNames = map[faultproxy.Direction]string{
	faultproxy.ToServer: "to server", faultproxy.ToClient: "to client",
}

// forEachFault runs f as parallel subtests for every kind of fault in each
// direction at each offset.
func forEachFault(t *testing.T, f func(t *testing.T, kind faultKind, d faultproxy.Direction, at uint64)) {
	for _, kind := range faultKinds {
		for d, name := range directionNames {
			for _, at := range faultOffsets {
				t.Run(fmt.Sprintf("%s %s at %d", kind.name, name, at), func(t *testing.T) {
					t.Parallel()
					f(t, kind, d, at)
				})
			}
		}
	}
}

// inProcessSystem is a system in the test's own process with one relay.
type inProcessSystem struct {
	system   *dev.System
	relay    *faultproxy.Proxy
	observer *observer.Observer
	injected <-chan struct{}
}

// reachedOffset is an offset that each stream passes in every run, so that a
// fault at or before it must have been injected.
const reachedOffset = 200

// startRelay starts the relay and arms its fault.
func (p *inProcessSystem) startRelay(target string, inject injectFunc) (*faultproxy.Proxy, error) {
	relay, err := faultproxy.Start(target)
	if err == nil {
		p.relay = relay
		p.injected = inject(relay)
	}
	return relay, err
}

// injectFunc arms a fault on a relay before anything connects. The returned
// channel reports its injection.
type injectFunc func(*faultproxy.Proxy) <-chan struct{}

// startWithLinkRelay starts a system whose agents connect to the entry through
// the relay.
func startWithLinkRelay(t *testing.T, inject injectFunc) *inProcessSystem {
	t.Helper()
	p := &inProcessSystem{}
	p.startSystem(t, dev.Options{Relay: func(int) (dev.Relay, error) { return p.startRelay("", inject) }})
	return p
}

// startWithUpstreamRelay starts a system whose first agent connects to its
// upstream through the relay.
func startWithUpstreamRelay(t *testing.T, inject injectFunc) *inProcessSystem {
	t.Helper()
	p := &inProcessSystem{}
	p.startSystem(t, dev.Options{UpstreamRelay: func(target string) (string, error) {
		if p.relay != nil {
			return target, nil
		}
		relay, err := p.startRelay(target, inject)
		return relay.Addr(), err
	}})
	return p
}

// startSystem starts one entry and two agents.
func (p *inProcessSystem) startSystem(t *testing.T, o dev.Options) {
	t.Helper()
	p.observer = observer.New()
	o.Entries, o.Agents, o.Slots = 1, 2, 8
	o.Upstream = func(i int) upstream.Options {
		name := fmt.Sprintf("upstream-%d", i)
		return upstream.Options{OnStart: func(s upstream.TaskStart) { p.observer.RecordStart(observer.StartOf(name, s)) }}
	}
	system, err := dev.Start(o)
	assert.NilError(t, err)
	p.system = system
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		assert.NilError(t, system.Stop(ctx))
		p.relay.Close()
	})
}

// jobsPerRun is the number of jobs that runJobs submits.
const jobsPerRun = 30

// runJobs submits short jobs and fails the test for each violated promise. It
// returns the number of jobs by how they ended.
func (p *inProcessSystem) runJobs(t *testing.T, deadline time.Duration) map[observer.Outcome]int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, p.system.WaitReady(ctx))
	var list []load.Job
	for i := range jobsPerRun {
		j := load.Job{SendAt: time.Duration(i) * 10 * time.Millisecond, Class: "render", Deadline: deadline}
		for k := range 1 + i%4 {
			j.RunTimes = append(j.RunTimes, time.Duration(5+5*k)*time.Millisecond)
		}
		list = append(list, j)
	}
	target := load.Target{Entries: []string{"http://" + p.system.Entries[0].Addr()}, Observer: p.observer}
	outcomes, err := load.Drive(ctx, target, "m", list)
	assert.NilError(t, err)
	for _, v := range p.observer.Check() {
		t.Error(v)
	}
	outcomeCounts := make(map[observer.Outcome]int)
	for i, o := range outcomes {
		outcomeCounts[o.Outcome]++
		if o.Outcome != observer.Complete {
			t.Logf("job %d of %d tasks: %s, reason %s, after %s", i, len(o.Job.RunTimes), o.Outcome, o.Reason, o.ResponseTime)
		}
	}
	return outcomeCounts
}

// checkInjected fails the test if its fault was not injected, unless the offset
// may lie beyond the end of the stream.
func (p *inProcessSystem) checkInjected(t *testing.T, at uint64) {
	t.Helper()
	select {
	case <-p.injected:
	default:
		t.Log("the stream ended before the offset of the fault")
		assert.Assert(t, at > reachedOffset)
	}
}

// TestLinkFaultAtEachPosition guards against second starts, lost attempts and lost
// jobs when the link between agents and entry fails at any offset of its stream,
// within a frame or between two frames.
func TestLinkFaultAtEachPosition(t *testing.T) {
	forEachFault(t, func(t *testing.T, kind faultKind, d faultproxy.Direction, at uint64) {
		p := startWithLinkRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
			return r.InjectAt(d, at, func(c *faultproxy.Conn) { kind.apply(c, d) })
		})
		outcomeCounts := p.runJobs(t, time.Minute)
		p.checkInjected(t, at)
		assert.Equal(t, outcomeCounts[observer.Complete], 30, "a link fault must not fail a job: %v", outcomeCounts)
	})
}

// TestUpstreamConnectionFaultAtEachPosition guards against second starts when the
// connection between agent and upstream fails at any offset of a request or reply, and
// against more than one job that is lost with it. The deadline of the jobs is far away:
// on a busy machine a short one ends jobs that the fault does not concern. A silent
// connection is cut once it is the only one that still holds up a job.
func TestUpstreamConnectionFaultAtEachPosition(t *testing.T) {
	forEachFault(t, func(t *testing.T, kind faultKind, d faultproxy.Direction, at uint64) {
		var faulty atomic.Pointer[faultproxy.Conn]
		p := startWithUpstreamRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
			return r.InjectAt(d, at, func(c *faultproxy.Conn) { faulty.Store(c); kind.apply(c, d) })
		})
		ended := make(chan struct{})
		var cutter sync.WaitGroup
		cutter.Go(func() { p.cutLastJob(&faulty, ended) })
		outcomeCounts := p.runJobs(t, time.Minute)
		close(ended)
		cutter.Wait()
		p.checkInjected(t, at)
		lost := jobsPerRun - outcomeCounts[observer.Complete]
		assert.Assert(t, lost <= 1, "a broken connection must fail at most one job: %v", outcomeCounts)
	})
}

// cutLastJob waits until all jobs but one are answered and then cuts the faulty
// connection, if there is one. It returns when ended is closed.
func (p *inProcessSystem) cutLastJob(faulty *atomic.Pointer[faultproxy.Conn], ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c := faulty.Load(); c != nil && p.observer.Answers() >= jobsPerRun-1 {
			c.Cut()
		}
	}
}

// TestJobOnSilentUpstreamConnectionEndsAtItsDeadline guards against second starts and
// against jobs that last beyond their deadline when the connection between agent and
// upstream becomes silent at any offset of a request or reply.
func TestJobOnSilentUpstreamConnectionEndsAtItsDeadline(t *testing.T) {
	forEachFault(t, func(t *testing.T, kind faultKind, d faultproxy.Direction, at uint64) {
		p := startWithUpstreamRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
			return r.InjectAt(d, at, func(c *faultproxy.Conn) { kind.apply(c, d) })
		})
		p.runJobs(t, 3*time.Second)
		p.checkInjected(t, at)
		assert.Equal(t, p.observer.Answers(), jobsPerRun)
	})
}

// replySize returns the size in bytes of one reply of the stand-in upstream.
func replySize(t *testing.T) uint64 {
	t.Helper()
	up, err := upstream.Start("127.0.0.1:0", upstream.Options{})
	assert.NilError(t, err)
	defer up.Close()
	relay, err := faultproxy.Start(up.Addr())
	assert.NilError(t, err)
	defer relay.Close()
	resp, err := http.Post("http://"+relay.Addr()+"/", "application/json", strings.NewReader(`{}`))
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return relay.Bytes(faultproxy.ToClient)
}

// TestUpstreamConnectionCutBeforeTheFirstByteOfAReply guards against an HTTP
// client that retries a request on its own when a reused connection is cut before
// the first byte of the reply.
func TestUpstreamConnectionCutBeforeTheFirstByteOfAReply(t *testing.T) {
	size := replySize(t)
	for replies := range uint64(5) {
		t.Run(fmt.Sprintf("after %d replies", replies), func(t *testing.T) {
			t.Parallel()
			p := startWithUpstreamRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
				return r.InjectAt(faultproxy.ToClient, replies*size, (*faultproxy.Conn).Cut)
			})
			outcomeCounts := p.runJobs(t, 10*time.Second)
			select {
			case <-p.injected:
			default:
				t.Error("no connection was cut")
			}
			assert.Equal(t, outcomeCounts[observer.Unknown], 1, "the task started and its result is lost, so one job must be unknown: %v", outcomeCounts)
		})
	}
}
