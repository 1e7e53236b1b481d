package entryd_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		http.DefaultClient.CloseIdleConnections()
		os.Exit(code)
	}))
}

const loopback = "127.0.0.1:0"

// startEntry starts an entry with the class "c" on loopback listeners. Other
// options are taken from opts.
func startEntry(t testing.TB, opts entryd.Options) *entryd.Entry {
	opts.Listen, opts.PeerListen, opts.OperatorListen = loopback, loopback, loopback
	opts.Scheduler = policy.NewLeastBusy()
	opts.Settings = policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Second}}}
	if opts.Log == nil {
		opts.Log = eventlog.New(zap.NewNop(), "entry", 1)
	}
	e, err := entryd.Start(opts)
	assert.NilError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		e.Kill()
	})
	return e
}

// fakeAgent is an agent with one link that calls run for each start.
type fakeAgent struct {
	conn       *link.Conn
	slots      int
	run        func(wire.Start) wire.Result
	cancel     func(wire.Seq) // called for each cancel, may be nil
	mu         sync.Mutex
	startCount int // starts received
	wg         sync.WaitGroup
	ready      chan struct{} // closed when the entry's first frame has arrived
}

func startAgent(t testing.TB, e *entryd.Entry, slots int, run func(wire.Start) wire.Result) *fakeAgent {
	raw, err := net.Dial("tcp", e.PeerAddr())
	assert.NilError(t, err)
	a := &fakeAgent{conn: link.NewConn(raw), slots: slots, run: run, ready: make(chan struct{})}
	hello := wire.AgentHello{Protocol: wire.ProtocolVersion, Agent: 77, Epoch: 1, Name: "fake", Slots: slots}
	var reply wire.EntryHello
	assert.NilError(t, errors.Join(a.conn.WritePreface(), a.conn.Write(hello), a.conn.Flush(),
		a.conn.Read(&reply, time.Second)))
	a.wg.Go(a.serve)
	t.Cleanup(func() {
		a.conn.Close()
		a.wg.Wait()
	})
	<-a.ready
	return a
}

func (a *fakeAgent) serve() {
	first := true
	for {
		var f wire.ToAgent
		if a.conn.Read(&f, time.Minute) != nil {
			return
		}
		if first {
			close(a.ready)
			first = false
		}
		a.send(nil)
		a.mu.Lock()
		a.startCount += len(f.Starts)
		a.mu.Unlock()
		for _, seq := range f.Cancels {
			if a.cancel != nil {
				a.cancel(seq)
			}
		}
		for _, s := range f.Starts {
			a.wg.Go(func() {
				r := a.run(s)
				r.Seq = s.Seq
				a.send([]wire.Result{r})
			})
		}
	}
}

func (a *fakeAgent) send(results []wire.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := wire.ToEntry{Results: results, Load: wire.Load{Slots: a.slots, Limit: a.slots}}
	if a.conn.Write(&f) == nil {
		a.conn.Flush()
	}
}

func (a *fakeAgent) starts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startCount
}

// echo returns the payload as the result.
func echo(s wire.Start) wire.Result { return wire.Result{Outcome: wire.Succeeded, Body: s.Payload} }

// blockedRun returns a run function that blocks every task until unblock is called.
func blockedRun() (run func(wire.Start) wire.Result, unblock func()) {
	c := make(chan struct{})
	return func(s wire.Start) wire.Result {
		<-c
		return echo(s)
	}, sync.OnceFunc(func() { close(c) })
}

// memoryClaims is an in-memory claim table shared by the entries of a test.
type memoryClaims struct {
	mu     sync.Mutex
	owners map[string]claimapi.ClaimOwner
}

// forEntry returns a claimapi.Claims that claims for one entry.
func (m *memoryClaims) forEntry(e wire.Incarnation, peer func() string) claimapi.Claims {
	return &entryClaims{m: m, entry: e, peer: peer}
}

type entryClaims struct {
	m     *memoryClaims
	entry wire.Incarnation
	peer  func() string
}

// Claim implements claimapi.Claims.
func (c *entryClaims) Claim(req claimapi.ClaimRequest, done func(claimapi.ClaimResult)) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	if owner, ok := c.m.owners[req.Team+" "+req.Key]; ok {
		done(claimapi.ClaimResult{Owner: owner, Reason: "claimed", MayHaveRun: true})
		return
	}
	c.m.owners[req.Team+" "+req.Key] = claimapi.ClaimOwner{Entry: c.entry, Peer: c.peer(), Submission: req.Submission}
	done(claimapi.ClaimResult{Won: true})
}

// Release implements claimapi.Claims.
func (c *entryClaims) Release(req claimapi.ClaimRequest) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	delete(c.m.owners, req.Team+" "+req.Key)
}

func startWithClaims(t testing.TB, m *memoryClaims, incarnation wire.Incarnation) *entryd.Entry {
	var e *entryd.Entry
	e = startEntry(t, entryd.Options{
		Incarnation: incarnation, Claims: m.forEntry(incarnation, func() string { return e.PeerAddr() }),
	})
	return e
}

type reply struct {
	status int
	header http.Header
	body   entryd.JobReply
	raw    string
}

func request(t testing.TB, method, url, body string) reply {
	r, err := tryRequest(method, url, body)
	assert.NilError(t, err)
	return r
}

func tryRequest(method, url, body string) (reply, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, header: resp.Header, raw: string(raw)}
	return out, errors.Join(err, json.Unmarshal(raw, &out.body))
}

func jobsURL(e *entryd.Entry) string { return "http://" + e.Addr() + "/v1/jobs" }

func waitFor(t testing.TB, what string, ok func() bool) {
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out: %s", what)
}
