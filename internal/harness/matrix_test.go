package harness_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

// offsets are positions in a stream at which a fault is injected: in the
// preface, in the header and body of the hello, and in many frames after it.
var offsets = []uint64{0, 3, 8, 11, 12, 20, 40, 70, 100, 140, 200, 300, 450, 700, 1100, 1600}

// inject is one kind of fault.
type inject struct {
	name string
	do   func(c *faultproxy.Conn, d faultproxy.Direction)
}

var injections = []inject{
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

// eachFault runs f, in parallel, for every fault at every position.
func eachFault(t *testing.T, f func(t *testing.T, in inject, d faultproxy.Direction, at uint64)) {
	for _, in := range injections {
		for d, name := range directionNames {
			for _, at := range offsets {
				t.Run(fmt.Sprintf("%s %s at %d", in.name, name, at), func(t *testing.T) {
					t.Parallel()
					f(t, in, d, at)
				})
			}
		}
	}
}

// inProcess is a system in the test's process with one relay.
type inProcess struct {
	sys   *dev.System
	relay *faultproxy.Proxy
	watch *observer.Observer
	fired <-chan struct{}
}

// certainOffset is a position that each stream passes in every run, so that a
// fault at or before it must have happened.
const certainOffset = 200

// newRelay starts the relay and injects its fault.
func (p *inProcess) newRelay(target string, arm armFunc) (*faultproxy.Proxy, error) {
	relay, err := faultproxy.Start(target)
	if err == nil {
		p.relay = relay
		p.fired = arm(relay)
	}
	return relay, err
}

// armFunc injects a fault before anything connects.
type armFunc func(*faultproxy.Proxy) <-chan struct{}

// startWithLinkRelay starts a system whose agents reach the entry through the
// relay.
func startWithLinkRelay(t *testing.T, arm armFunc) *inProcess {
	t.Helper()
	p := &inProcess{}
	p.start(t, dev.Options{Relay: func(int) (dev.Relay, error) { return p.newRelay("", arm) }})
	return p
}

// startWithUpstreamRelay starts a system whose first agent reaches its upstream
// through the relay.
func startWithUpstreamRelay(t *testing.T, arm armFunc) *inProcess {
	t.Helper()
	p := &inProcess{}
	p.start(t, dev.Options{UpstreamRelay: func(target string) (string, error) {
		if p.relay != nil {
			return target, nil
		}
		relay, err := p.newRelay(target, arm)
		return relay.Addr(), err
	}})
	return p
}

// start starts one entry and two agents.
func (p *inProcess) start(t *testing.T, o dev.Options) {
	t.Helper()
	p.watch = observer.New()
	o.Entries, o.Agents, o.Slots = 1, 2, 8
	o.Upstream = func(i int) upstream.Options {
		name := fmt.Sprintf("upstream-%d", i)
		return upstream.Options{OnStart: func(s upstream.Started) { p.watch.Started(observer.StartOf(name, s)) }}
	}
	sys, err := dev.Start(o)
	assert.NilError(t, err)
	p.sys = sys
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		assert.NilError(t, sys.Stop(ctx))
		p.relay.Close()
	})
}

// run drives short jobs and fails the test for each broken promise.
func (p *inProcess) run(t *testing.T, deadline time.Duration) map[observer.Ending]int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, p.sys.WaitReady(ctx))
	var list []load.Job
	for i := range 30 {
		j := load.Job{At: time.Duration(i) * 10 * time.Millisecond, Class: "render", Deadline: deadline}
		for k := range 1 + i%4 {
			j.Runs = append(j.Runs, time.Duration(5+5*k)*time.Millisecond)
		}
		list = append(list, j)
	}
	target := load.Target{Entries: []string{"http://" + p.sys.Entries[0].Addr()}, Observer: p.watch}
	outcomes, err := load.Drive(ctx, target, "m", list)
	assert.NilError(t, err)
	for _, v := range p.watch.Judge() {
		t.Error(v)
	}
	ends := make(map[observer.Ending]int)
	for i, o := range outcomes {
		ends[o.Ending]++
		if o.Ending != observer.Complete {
			t.Logf("job %d of %d tasks: %s, reason %s, after %s", i, len(o.Job.Runs), o.Ending, o.Reason, o.Response)
		}
	}
	return ends
}

// checkFired fails a test whose fault should have happened and did not.
func (p *inProcess) checkFired(t *testing.T, at uint64) {
	t.Helper()
	select {
	case <-p.fired:
	default:
		t.Log("the stream ended before the fault's position")
		assert.Assert(t, at > certainOffset)
	}
}

// Guards against second starts, lost attempts and lost jobs when the link
// between agents and entry fails at any position of its stream, within a
// frame or between two.
func TestLinkFaultAtEachPosition(t *testing.T) {
	eachFault(t, func(t *testing.T, in inject, d faultproxy.Direction, at uint64) {
		p := startWithLinkRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
			return r.At(d, at, func(c *faultproxy.Conn) { in.do(c, d) })
		})
		ends := p.run(t, time.Minute)
		p.checkFired(t, at)
		assert.Equal(t, ends[observer.Complete], 30, "a link fault must cost no job: %v", ends)
	})
}

// Guards against second starts when the connection between agent and upstream
// fails at any position of a request or reply, and against jobs that outlive
// their deadline.
func TestUpstreamConnectionFaultAtEachPosition(t *testing.T) {
	eachFault(t, func(t *testing.T, in inject, d faultproxy.Direction, at uint64) {
		p := startWithUpstreamRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
			return r.At(d, at, func(c *faultproxy.Conn) { in.do(c, d) })
		})
		ends := p.run(t, 3*time.Second)
		p.checkFired(t, at)
		lost := 30 - ends[observer.Complete]
		assert.Assert(t, lost <= 1, "one broken connection carries one task: %v", ends)
	})
}

// replyBytes returns the size of one reply of the sample upstream.
func replyBytes(t *testing.T) uint64 {
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

// Guards against an HTTP client that sends a request again by itself when a
// connection that was used before is cut before the first byte of the reply.
func TestUpstreamConnectionCutBeforeTheFirstByteOfAReply(t *testing.T) {
	size := replyBytes(t)
	for replies := range uint64(5) {
		t.Run(fmt.Sprintf("after %d replies", replies), func(t *testing.T) {
			t.Parallel()
			p := startWithUpstreamRelay(t, func(r *faultproxy.Proxy) <-chan struct{} {
				return r.At(faultproxy.ToClient, replies*size, (*faultproxy.Conn).Cut)
			})
			ends := p.run(t, 10*time.Second)
			select {
			case <-p.fired:
			default:
				t.Error("no connection was cut")
			}
			assert.Equal(t, ends[observer.Unknown], 1, "the task had started and has no result: %v", ends)
		})
	}
}
