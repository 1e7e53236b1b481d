package agentd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

func startUpstream(t *testing.T, opts upstream.Options) *upstream.Server {
	s, err := upstream.Start("127.0.0.1:0", opts)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

func upstreamURL(s *upstream.Server) string { return "http://" + s.Addr() + "/" }

// Guards against a second start when a link goes silent in one direction while
// new connections work: the entry must learn the outcome of the attempt by a
// query over a new link.
func TestSilentLinkIsReplacedWithoutSecondStart(t *testing.T) {
	entry := newFakeEntry(t, 10)
	proxy := startProxy(t, entry.addr())
	server := startUpstream(t, upstream.Options{})
	startAgent(t, Options{
		UpstreamURL: upstreamURL(server), Entries: []string{proxy.Addr()},
		SilenceTimeout: time.Second,
	})
	entry.awaitLink()
	entry.start(1, `{"sleep_us":1000}`)
	assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
	entry.start(2, `{"sleep_us":1000}`)
	entry.result(2)
	proxy.OpenConns()[0].Silence(faultproxy.ToClient)
	entry.start(3, `{"sleep_us":1000}`) // lost on the silent link
	entry.await("a second link", func() bool { return len(entry.hellos) > 1 })
	entry.mu.Lock()
	entry.results = nil
	entry.mu.Unlock()
	entry.send(wire.ToAgent{Queries: []wire.Seq{2, 3}})
	assert.Equal(t, entry.result(2).Outcome, wire.Succeeded)
	assert.Equal(t, entry.result(3).Outcome, wire.NotRun)
	entry.start(3, `{"sleep_us":1000}`) // delayed copy of the lost start
	entry.start(4, `{"sleep_us":1000}`)
	assert.Equal(t, entry.result(4).Outcome, wire.Succeeded)
	assert.Equal(t, server.Starts(), int64(3))
}

// Guards against a result that is lost because the link is silent towards the
// entry: it must be returned on a query over a new link, without a second start.
func TestResultLostOnSilentLinkIsReturnedOnQuery(t *testing.T) {
	entry := newFakeEntry(t, 10)
	proxy := startProxy(t, entry.addr())
	server := startUpstream(t, upstream.Options{})
	startAgent(t, Options{UpstreamURL: upstreamURL(server), Entries: []string{proxy.Addr()}})
	entry.awaitLink()
	proxy.OpenConns()[0].Silence(faultproxy.ToServer)
	entry.start(1, `{}`)
	for server.Starts() == 0 {
		time.Sleep(time.Millisecond)
	}
	entry.mu.Lock()
	entry.conn.Close() // as an entry does when it receives nothing
	entry.mu.Unlock()
	entry.await("a second link", func() bool { return len(entry.hellos) > 1 })
	entry.send(wire.ToAgent{Queries: []wire.Seq{1}})
	assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
	assert.Equal(t, server.Starts(), int64(1))
}

// Guards against an agent that finds only one of the entries behind a load
// balancer, or that keeps replacing the link to an entry with two addresses.
func TestEntriesBehindBalancerGetOneLinkEach(t *testing.T) {
	var entries []*fakeEntry
	var list []wire.EntryAddr
	for i := range 3 {
		e := newFakeEntry(t, wire.Incarnation(10+i))
		e.list = func() []wire.EntryAddr { return list }
		entries = append(entries, e)
		list = append(list, wire.EntryAddr{Incarnation: e.id, Peer: e.addr(), Zone: fmt.Sprint(i)})
	}
	balancer := startProxy(t, entries[2].addr())
	a := startAgent(t, Options{UpstreamURL: "http://127.0.0.1:1/", Entries: []string{balancer.Addr()}})
	for _, e := range entries {
		e.awaitLink()
	}
	entries[0].conn.Close()
	entries[0].await("a redial", func() bool { return len(entries[0].hellos) > 1 })
	epochs := make(map[wire.Epoch]bool)
	for _, e := range entries {
		e.mu.Lock()
		for i, h := range e.hellos {
			assert.Assert(t, !epochs[h.Epoch], "epoch %d was used twice", h.Epoch)
			assert.Assert(t, i == 0 || h.Epoch > e.hellos[i-1].Epoch)
			epochs[h.Epoch] = true
		}
		e.mu.Unlock()
	}
	assert.Equal(t, len(a.dialer.entries()), 3)
}

// Guards against an agent without links although it knows live entries, after all
// entries that it was linked to are lost at once.
func TestAgentLinksToOtherEntriesWhenItsEntriesAreLost(t *testing.T) {
	entries, list := startEntries(t, 2*linksInZone)
	chosen := chooseEntries("w", "z", list)
	assert.Equal(t, len(chosen), linksInZone)
	startAgent(t, Options{Name: "w", Zone: "z", UpstreamURL: "http://127.0.0.1:1/", Entries: []string{chosen[0].Peer}})
	linked := make(map[wire.Incarnation]bool)
	for _, c := range chosen {
		linked[c.Incarnation] = true
		entries[c.Incarnation-10].awaitLink()
	}
	for id := range linked {
		entries[id-10].close()
	}
	for _, e := range entries {
		if !linked[e.id] {
			e.awaitLink()
		}
	}
}

// Guards against links that accumulate, and against a seed that is dialled again
// after its link was retired.
func TestExcessLinkIsRetired(t *testing.T) {
	entries, list := startEntries(t, linksInZone+1)
	chosen := chooseEntries("w", "z", list)
	excess := entries[0]
	for _, e := range entries {
		if !contains(chosen, e.id) {
			excess = e
		}
	}
	startAgent(t, Options{
		Name: "w", Zone: "z", UpstreamURL: "http://127.0.0.1:1/", Entries: []string{excess.addr()},
		PruneInterval: 20 * time.Millisecond, Machine: agent.Options{DrainLinger: time.Millisecond},
	})
	excess.await("the close of its link", func() bool { return len(excess.hellos) > 0 && excess.links == 0 })
	assert.Assert(t, excess.load.Draining)
	for _, c := range chosen {
		entries[c.Incarnation-10].awaitLink()
	}
	assert.Equal(t, len(excess.hellos), 1)
}

// startEntries starts n entries in zone "z" that list each other.
func startEntries(t *testing.T, n int) (entries []*fakeEntry, list []wire.EntryAddr) {
	for i := range n {
		e := newFakeEntry(t, wire.Incarnation(10+i))
		e.list = func() []wire.EntryAddr { return list }
		entries = append(entries, e)
		list = append(list, wire.EntryAddr{Incarnation: e.id, Peer: e.addr(), Zone: "z"})
	}
	return entries, list
}

// Guards against more than MaxUpstreamConns connections to the upstream.
func TestUpstreamConnectionsAreBounded(t *testing.T) {
	entry := newFakeEntry(t, 10)
	server := startUpstream(t, upstream.Options{})
	var open, maxOpen atomic.Int64
	startAgent(t, Options{
		Slots: 2 * MaxUpstreamConns, UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()},
		DialUpstream: func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dialTCP(ctx, addr)
			if n := open.Add(1); n > maxOpen.Load() {
				maxOpen.Store(n)
			}
			return &countingConn{Conn: c, open: &open}, err
		},
	})
	entry.awaitLink()
	assert.Equal(t, entry.hellos[0].Slots, MaxUpstreamConns)
	for seq := range 3 * MaxUpstreamConns {
		entry.start(wire.Seq(seq+1), `{"sleep_us":20000}`)
	}
	for seq := range 3 * MaxUpstreamConns {
		assert.Equal(t, entry.result(wire.Seq(seq+1)).Outcome, wire.Succeeded)
	}
	assert.Assert(t, maxOpen.Load() <= MaxUpstreamConns)
}

type countingConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// failingConn fails writes once broken is set, after accepting some bytes of each.
type failingConn struct {
	net.Conn
	broken  *atomic.Bool
	accepts int
}

func (c *failingConn) Write(p []byte) (int, error) {
	if !c.broken.Load() {
		return c.Conn.Write(p)
	}
	return c.accepts, &net.OpError{Op: "write", Err: fmt.Errorf("broken pipe")}
}

// Guards against a request on a stale connection that is reported as Unknown
// although nothing was sent. Guards also against the reverse, NotRun although
// bytes were sent: a task that may have started would be placed again.
func TestOutcomeDependsOnWhetherBytesWereSent(t *testing.T) {
	for accepted, want := range map[int]wire.Outcome{0: wire.NotRun, 1: wire.Unknown} {
		t.Run(fmt.Sprintf("%d bytes", accepted), func(t *testing.T) {
			entry := newFakeEntry(t, 10)
			server := startUpstream(t, upstream.Options{})
			var broken atomic.Bool
			startAgent(t, Options{
				UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()},
				DialUpstream: func(ctx context.Context, addr string) (net.Conn, error) {
					c, err := dialTCP(ctx, addr)
					return &failingConn{Conn: c, broken: &broken, accepts: accepted}, err
				},
			})
			entry.awaitLink()
			entry.start(1, `{}`)
			assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
			broken.Store(true)
			entry.start(2, `{}`)
			r := entry.result(2)
			assert.Equal(t, r.Outcome, want)
			assert.Equal(t, r.Reason, wire.ReasonConnectionLost)
			assert.Equal(t, server.Starts(), int64(1))
		})
	}
}

// Guards against confirmed refusals by the upstream that are classified as
// failures, against overload responses without confirmation that are classified
// as NotRun, and against results of unbounded size.
func TestUpstreamResponsesAreClassified(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   wire.Result
	}{
		{"503 with header", refuseTask(503, "true"), wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 503}},
		{"429 with header", refuseTask(429, "true"), wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 429}},
		{"503 without header", refuseTask(503, ""), wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 503}},
		{"500 with header", refuseTask(500, "true"), wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500}},
		{"too large", func(w http.ResponseWriter) { w.Write(make([]byte, maxResultBytes+1)) },
			wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 200}},
		{"cut off", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "9"); w.Write([]byte("x")) },
			wire.Result{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost}},
		{"redirect", func(w http.ResponseWriter) { w.Header().Set("Location", "/"); w.WriteHeader(307) },
			wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 307}},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := newFakeEntry(t, 10)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
			t.Cleanup(server.Close)
			startAgent(t, Options{UpstreamURL: server.URL, Entries: []string{entry.addr()}})
			entry.awaitLink()
			entry.start(1, `{}`)
			r := entry.result(1)
			assert.Equal(t, r.Outcome, c.want.Outcome)
			assert.Equal(t, r.Reason, c.want.Reason)
			assert.Equal(t, r.Status, c.want.Status)
		})
	}
}

func refuseTask(status int, notRun string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set(headerNotRun, notRun)
		w.WriteHeader(status)
	}
}

// Guards against an agent that fails tasks because its upstream is unreachable,
// or that does not detect that the upstream is reachable again.
func TestUnreachableUpstreamIsNotRunAndRecovers(t *testing.T) {
	entry := newFakeEntry(t, 10)
	server := startUpstream(t, upstream.Options{})
	var down atomic.Bool
	down.Store(true)
	startAgent(t, Options{
		UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()},
		DialUpstream: func(ctx context.Context, addr string) (net.Conn, error) {
			if down.Load() {
				return nil, fmt.Errorf("refused")
			}
			return dialTCP(ctx, addr)
		},
	})
	entry.awaitLink()
	entry.start(1, `{}`)
	r := entry.result(1)
	assert.Equal(t, r.Outcome, wire.NotRun)
	assert.Equal(t, r.Reason, wire.ReasonUpstreamDown)
	entry.await("the report that the upstream is down", func() bool { return entry.load.Down })
	down.Store(false)
	entry.await("the report that the upstream is up", func() bool { return !entry.load.Down })
	entry.start(2, `{}`)
	assert.Equal(t, entry.result(2).Outcome, wire.Succeeded)
}

// Guards against a run that continues after its deadline or its cancellation.
func TestRunEndsAtDeadlineAndOnCancel(t *testing.T) {
	entry := newFakeEntry(t, 10)
	var started sync.WaitGroup
	started.Add(2)
	server := startUpstream(t, upstream.Options{OnStart: func(upstream.TaskStart) { started.Done() }})
	startAgent(t, Options{UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()}, Slots: 2})
	entry.awaitLink()
	long := []byte(`{"sleep_us":3600000000}`)
	entry.send(wire.ToAgent{Starts: []wire.Start{
		{Seq: 1, Deadline: 500_000, Payload: long},
		{Seq: 2, Deadline: wire.MicrosOf(time.Hour), Payload: long},
	}})
	started.Wait()
	entry.send(wire.ToAgent{Cancels: []wire.Seq{2}})
	assert.Equal(t, entry.result(1).Reason, wire.ReasonRunLimit)
	assert.Equal(t, entry.result(2).Reason, wire.ReasonStopped)
}

// Guards against a graceful stop that interrupts a run, keeps a queued task, or
// ends before the results were settled.
func TestStopReturnsQueuedTasksAndDeliversResults(t *testing.T) {
	entry := newFakeEntry(t, 10)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	server := startUpstream(t, upstream.Options{OnStart: func(upstream.TaskStart) { started <- struct{}{}; <-release }})
	a := startAgent(t, Options{
		UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()},
		Machine: agent.Options{DrainLinger: time.Millisecond},
	})
	entry.awaitLink()
	entry.start(1, `{}`)
	<-started
	entry.start(2, `{}`)
	entry.await("the queued task", func() bool { return entry.load.Queued == 1 || len(entry.results) > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- a.Stop(context.Background()) }()
	assert.Equal(t, entry.result(2).Reason, wire.ReasonDraining)
	close(release)
	assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
	entry.send(wire.ToAgent{LowestOpenSeq: 3})
	assert.NilError(t, <-stopped)
}

// Guards against missing events of a task in the timeline, and against stamps
// that are not greater than those of received frames.
func TestTaskEventsAppearInTimeline(t *testing.T) {
	entry := newFakeEntry(t, 10)
	server := startUpstream(t, upstream.Options{})
	log := eventlog.New(zap.NewNop(), "agent", 1)
	startAgent(t, Options{UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()}, Log: log, Incarnation: 1})
	entry.awaitLink()
	future := uint64(new(timeline.Clock).Now(time.Now().Add(time.Hour).UnixMicro()))
	start := wire.Start{Seq: 1, Submission: wire.SubmissionID{7}, Deadline: 1e7, Payload: []byte("{}")}
	entry.send(wire.ToAgent{Starts: []wire.Start{start}, Stamp: future})
	entry.result(1)
	events := log.Timeline(func(e *timeline.Event) bool { return e.Submission == start.Submission.String() })
	var codes []int
	for _, e := range events {
		codes = append(codes, e.Code)
		assert.Assert(t, uint64(e.Stamp) > future)
	}
	want := []int{
		int(eventlog.StartReceived), int(eventlog.TaskStarted),
		int(eventlog.TaskFinished), int(eventlog.ResultReported),
	}
	assert.DeepEqual(t, codes, want)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	assert.Assert(t, entry.stamp > future)
}

// Guards against an upstream that measures permissions of runs with another clock than
// the state machine that grants them.
func TestUpstreamGetsTheClockOfTheStateMachine(t *testing.T) {
	var got bootclock.Clock
	a := startAgent(t, Options{NewUpstream: func(clock bootclock.Clock, _ func(agent.Event)) Upstream {
		got = clock
		return idleUpstream{}
	}})
	assert.Equal(t, got, a.clock)
}

// idleUpstream never gets a run.
type idleUpstream struct{}

func (idleUpstream) Run(*agent.Run)                   {}
func (idleUpstream) Stop(agent.Stop)                  {}
func (idleUpstream) Permit(agent.Permissions)         {}
func (idleUpstream) Acknowledge(agent.AcknowledgeRun) {}
func (idleUpstream) Supersede(agent.SupersedeRun)     {}
func (idleUpstream) Probe()                           {}
func (idleUpstream) Close()                           {}
