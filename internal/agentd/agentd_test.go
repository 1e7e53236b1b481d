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

// Guards against a link that goes silent in one direction while new ones work:
// the attempt must be asked after over a new link and not start twice.
func TestSilentLinkIsReplacedWithoutSecondStart(t *testing.T) {
	entry := newFakeEntry(t, 10)
	proxy := startProxy(t, entry.addr())
	up := startUpstream(t, upstream.Options{})
	startAgent(t, Options{
		Upstream: upstreamURL(up), Entries: []string{proxy.Addr()},
		SilenceTimeout: time.Second,
	})
	entry.awaitLink()
	entry.start(1, `{"sleep_us":1000}`)
	assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
	entry.start(2, `{"sleep_us":1000}`)
	entry.result(2)
	proxy.Open()[0].Silence(faultproxy.ToClient)
	entry.start(3, `{"sleep_us":1000}`) // lost on the silent link
	entry.await("a second link", func() bool { return len(entry.hellos) > 1 })
	entry.mu.Lock()
	entry.results = nil
	entry.mu.Unlock()
	entry.send(wire.ToAgent{Queries: []wire.Seq{2, 3}})
	assert.Equal(t, entry.result(2).Outcome, wire.Succeeded)
	assert.Equal(t, entry.result(3).Outcome, wire.NotRun)
	entry.start(3, `{"sleep_us":1000}`) // late copy of the lost start
	entry.start(4, `{"sleep_us":1000}`)
	assert.Equal(t, entry.result(4).Outcome, wire.Succeeded)
	assert.Equal(t, up.Starts(), int64(3))
}

// Guards against a result that is lost on a link whose other direction is
// silent: it must be answered over the new link, without a second start.
func TestResultLostOnSilentLinkIsDeliveredAgain(t *testing.T) {
	entry := newFakeEntry(t, 10)
	proxy := startProxy(t, entry.addr())
	up := startUpstream(t, upstream.Options{})
	startAgent(t, Options{Upstream: upstreamURL(up), Entries: []string{proxy.Addr()}})
	entry.awaitLink()
	proxy.Open()[0].Silence(faultproxy.ToServer)
	entry.start(1, `{}`)
	for up.Starts() == 0 {
		time.Sleep(time.Millisecond)
	}
	entry.mu.Lock()
	entry.conn.Close() // as an entry does that receives nothing
	entry.mu.Unlock()
	entry.await("a second link", func() bool { return len(entry.hellos) > 1 })
	entry.send(wire.ToAgent{Queries: []wire.Seq{1}})
	assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
	assert.Equal(t, up.Starts(), int64(1))
}

// Guards against an agent that finds one entry only behind a balancer, or that
// keeps replacing the link to an entry which it reaches by two addresses.
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
	a := startAgent(t, Options{Upstream: "http://127.0.0.1:1/", Entries: []string{balancer.Addr()}})
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
	assert.Equal(t, len(a.finder.entries()), 3)
}

// Guards against an agent that no entry can reach although entries which it
// knows are alive: all that it is linked to are lost at once.
func TestAgentLinksFurtherEntriesWhenItsOwnAreLost(t *testing.T) {
	entries, list := listedEntries(t, 2*linksInZone)
	chosen := chooseEntries("w", "z", list)
	assert.Equal(t, len(chosen), linksInZone)
	startAgent(t, Options{Name: "w", Zone: "z", Upstream: "http://127.0.0.1:1/", Entries: []string{chosen[0].Peer}})
	own := make(map[wire.Incarnation]bool)
	for _, c := range chosen {
		own[c.Incarnation] = true
		entries[c.Incarnation-10].awaitLink()
	}
	for id := range own {
		entries[id-10].close()
	}
	for _, e := range entries {
		if !own[e.id] {
			e.awaitLink()
		}
	}
}

// Guards against links that add up, and against a seed that is linked again
// after others were preferred.
func TestSuperfluousLinkIsGivenUp(t *testing.T) {
	entries, list := listedEntries(t, linksInZone+1)
	chosen := chooseEntries("w", "z", list)
	extra := entries[0]
	for _, e := range entries {
		if !contains(chosen, e.id) {
			extra = e
		}
	}
	startAgent(t, Options{
		Name: "w", Zone: "z", Upstream: "http://127.0.0.1:1/", Entries: []string{extra.addr()},
		ShedInterval: 20 * time.Millisecond, Core: agent.Options{DrainLinger: time.Millisecond},
	})
	extra.await("the end of its link", func() bool { return len(extra.hellos) > 0 && extra.links == 0 })
	assert.Assert(t, extra.load.Draining)
	for _, c := range chosen {
		entries[c.Incarnation-10].awaitLink()
	}
	assert.Equal(t, len(extra.hellos), 1)
}

// listedEntries starts entries of zone "z" that list each other.
func listedEntries(t *testing.T, n int) (entries []*fakeEntry, list []wire.EntryAddr) {
	for i := range n {
		e := newFakeEntry(t, wire.Incarnation(10+i))
		e.list = func() []wire.EntryAddr { return list }
		entries = append(entries, e)
		list = append(list, wire.EntryAddr{Incarnation: e.id, Peer: e.addr(), Zone: "z"})
	}
	return entries, list
}

// Guards against more connections than the upstream admits.
func TestUpstreamConnectionsAreBounded(t *testing.T) {
	entry := newFakeEntry(t, 10)
	up := startUpstream(t, upstream.Options{})
	var open, most atomic.Int64
	startAgent(t, Options{
		Slots: 2 * MaxUpstreamConns, Upstream: upstreamURL(up), Entries: []string{entry.addr()},
		DialUpstream: func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dialTCP(ctx, addr)
			if n := open.Add(1); n > most.Load() {
				most.Store(n)
			}
			return &closeCounter{Conn: c, open: &open}, err
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
	assert.Assert(t, most.Load() <= MaxUpstreamConns)
}

type closeCounter struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *closeCounter) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// failingConn fails writes once broken, after accepting some bytes.
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

// Guards against a request on a stale connection that is reported as unknown
// although nothing was sent, and against the reverse, which would let a task
// that may have started be placed again.
func TestSentBytesDecideWhetherTaskMayHaveRun(t *testing.T) {
	for accepted, want := range map[int]wire.Outcome{0: wire.NotRun, 1: wire.Unknown} {
		t.Run(fmt.Sprintf("%d bytes", accepted), func(t *testing.T) {
			entry := newFakeEntry(t, 10)
			up := startUpstream(t, upstream.Options{})
			var broken atomic.Bool
			startAgent(t, Options{
				Upstream: upstreamURL(up), Entries: []string{entry.addr()},
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
			assert.Equal(t, up.Starts(), int64(1))
		})
	}
}

// Guards against refusals by the upstream that are taken for failures, plain
// overload answers that are taken for proof of "not run", and results without
// a size bound.
func TestAnswersOfUpstreamAreClassified(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   wire.Result
	}{
		{"503 with proof", refuse(503, "true"), wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 503}},
		{"429 with proof", refuse(429, "true"), wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 429}},
		{"503 without", refuse(503, ""), wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 503}},
		{"500 with header", refuse(500, "true"), wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500}},
		{"too large", func(w http.ResponseWriter) { w.Write(make([]byte, maxResultBytes+1)) },
			wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 200}},
		{"cut off", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "9"); w.Write([]byte("x")) },
			wire.Result{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost}},
		{"redirect", func(w http.ResponseWriter) { w.Header().Set("Location", "/"); w.WriteHeader(307) },
			wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 307}},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := newFakeEntry(t, 10)
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
			t.Cleanup(up.Close)
			startAgent(t, Options{Upstream: up.URL, Entries: []string{entry.addr()}})
			entry.awaitLink()
			entry.start(1, `{}`)
			r := entry.result(1)
			assert.Equal(t, r.Outcome, c.want.Outcome)
			assert.Equal(t, r.Reason, c.want.Reason)
			assert.Equal(t, r.Status, c.want.Status)
		})
	}
}

func refuse(status int, notRun string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set(headerNotRun, notRun)
		w.WriteHeader(status)
	}
}

// Guards against an agent that loses tasks to an unreachable upstream or does
// not notice that it is back.
func TestUnreachableUpstreamIsNotRunAndFoundAgain(t *testing.T) {
	entry := newFakeEntry(t, 10)
	up := startUpstream(t, upstream.Options{})
	var down atomic.Bool
	down.Store(true)
	startAgent(t, Options{
		Upstream: upstreamURL(up), Entries: []string{entry.addr()},
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
	entry.await("the report", func() bool { return entry.load.Down })
	down.Store(false)
	entry.await("the recovery", func() bool { return !entry.load.Down })
	entry.start(2, `{}`)
	assert.Equal(t, entry.result(2).Outcome, wire.Succeeded)
}

// Guards against a run that outlives its deadline or a cancel.
func TestRunEndsAtDeadlineAndOnCancel(t *testing.T) {
	entry := newFakeEntry(t, 10)
	var started sync.WaitGroup
	started.Add(2)
	up := startUpstream(t, upstream.Options{OnStart: func(upstream.Started) { started.Done() }})
	startAgent(t, Options{Upstream: upstreamURL(up), Entries: []string{entry.addr()}, Slots: 2})
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

// Guards against a planned stop that interrupts a run, keeps a queued task or
// leaves before its result was settled.
func TestStopHandsBackQueueAndDeliversResults(t *testing.T) {
	entry := newFakeEntry(t, 10)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	up := startUpstream(t, upstream.Options{OnStart: func(upstream.Started) { started <- struct{}{}; <-release }})
	a := startAgent(t, Options{
		Upstream: upstreamURL(up), Entries: []string{entry.addr()},
		Core: agent.Options{DrainLinger: time.Millisecond},
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
	entry.send(wire.ToAgent{Floor: 3})
	assert.NilError(t, <-stopped)
}

// Guards against a time line with gaps for a task, and against stamps that do
// not follow those of received frames.
func TestEventsOfTaskAreOnTheTimeline(t *testing.T) {
	entry := newFakeEntry(t, 10)
	up := startUpstream(t, upstream.Options{})
	log := eventlog.New(zap.NewNop(), "agent", 1)
	startAgent(t, Options{Upstream: upstreamURL(up), Entries: []string{entry.addr()}, Log: log, Incarnation: 1})
	entry.awaitLink()
	future := uint64(time.Now().Add(time.Hour).UnixMicro()) << 16
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
