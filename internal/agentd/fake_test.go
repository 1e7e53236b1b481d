package agentd

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds how long tests wait for an expected event.
const testTimeout = 30 * time.Second

// fakeEntry implements the entry's side of the link protocol.
type fakeEntry struct {
	t        *testing.T
	listener net.Listener
	id       wire.Incarnation
	ask      bool // for neighbours, see wire.EntryHello
	list     func() []wire.EntryAddr
	wg       sync.WaitGroup

	mu      sync.Mutex
	cond    *sync.Cond
	sender  *link.Sender[*wire.ToAgent]
	conn    net.Conn
	hellos  []wire.AgentHello
	results []wire.Result
	load    wire.Load
	stamp   uint64
	links   int // open connections
	closed  bool
}

func newFakeEntry(t *testing.T, id wire.Incarnation) *fakeEntry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &fakeEntry{t: t, listener: l, id: id}
	e.cond = sync.NewCond(&e.mu)
	e.wg.Add(2)
	go e.acceptLoop()
	go e.heartbeats()
	t.Cleanup(e.close)
	return e
}

func (e *fakeEntry) addr() string { return e.listener.Addr().String() }

func (e *fakeEntry) close() {
	e.listener.Close()
	e.mu.Lock()
	e.closed = true
	if e.sender != nil {
		e.sender.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// acceptLoop serves connections until close.
func (e *fakeEntry) acceptLoop() {
	defer e.wg.Done()
	for {
		raw, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.wg.Add(1)
		go e.serve(raw)
	}
}

func (e *fakeEntry) heartbeats() {
	defer e.wg.Done()
	for {
		time.Sleep(50 * time.Millisecond)
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if closed {
			return
		}
		e.send(wire.ToAgent{})
	}
}

func (e *fakeEntry) serve(raw net.Conn) {
	defer e.wg.Done()
	conn := link.NewConn(raw)
	defer conn.Close()
	var hello wire.AgentHello
	if conn.ReadPreface() != nil || conn.Read(&hello, testTimeout) != nil {
		return
	}
	reply := wire.EntryHello{Protocol: wire.ProtocolVersion, Entry: e.id, Epoch: hello.Epoch, ReportNeighbours: e.ask}
	if e.list != nil {
		reply.Entries = e.list()
	}
	if conn.Write(reply) != nil || conn.Flush() != nil {
		return
	}
	sender := link.NewSender[*wire.ToAgent](conn)
	defer sender.Close()
	if !e.setLink(hello, sender, raw) {
		return
	}
	for {
		var f wire.ToEntry
		err := conn.Read(&f, testTimeout)
		e.mu.Lock()
		if err != nil {
			e.links--
			e.cond.Broadcast()
			e.mu.Unlock()
			return
		}
		e.results = append(e.results, f.Results...)
		e.load = f.Load
		e.stamp = f.Stamp
		e.cond.Broadcast()
		e.mu.Unlock()
	}
}

// setLink replaces the current link, as an entry does. It reports whether the new
// link has a higher epoch than all earlier ones and the entry is still open.
func (e *fakeEntry) setLink(hello wire.AgentHello, sender *link.Sender[*wire.ToAgent], raw net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.hellos); e.closed || (n > 0 && e.hellos[n-1].Epoch >= hello.Epoch) {
		return false
	}
	if e.sender != nil {
		e.sender.Close()
	}
	e.sender = sender
	e.conn = raw
	e.hellos = append(e.hellos, hello)
	e.links++
	e.cond.Broadcast()
	return true
}

func (e *fakeEntry) send(f wire.ToAgent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sender != nil {
		e.sender.Send(&f)
	}
}

func (e *fakeEntry) start(seq wire.Seq, payload string) {
	e.send(wire.ToAgent{Starts: []wire.Start{{
		Seq: seq, Submission: wire.SubmissionID{byte(seq)}, Class: "c",
		MaxWait: wire.MicrosOf(testTimeout), Deadline: wire.MicrosOf(testTimeout), Payload: []byte(payload),
	}}})
}

// await waits until ready, which is called with the lock held, returns true.
func (e *fakeEntry) await(what string, ready func() bool) {
	e.t.Helper()
	timer := time.AfterFunc(testTimeout, e.cond.Broadcast)
	defer timer.Stop()
	end := time.Now().Add(testTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	for !ready() {
		if time.Now().After(end) {
			e.t.Fatalf("entry %d timed out waiting for %s", e.id, what)
		}
		e.cond.Wait()
	}
}

func (e *fakeEntry) awaitLink() {
	e.t.Helper()
	e.await("a link", func() bool { return e.links > 0 })
}

func (e *fakeEntry) result(seq wire.Seq) wire.Result {
	e.t.Helper()
	var r wire.Result
	e.await("a result", func() bool {
		i := slices.IndexFunc(e.results, func(r wire.Result) bool { return r.Seq == seq })
		if i >= 0 {
			r = e.results[i]
		}
		return i >= 0
	})
	return r
}

// startAgent runs an agent that is killed at the end of the test.
func startAgent(t *testing.T, opts Options) *Agent {
	if opts.Slots == 0 {
		opts.Slots = 1
	}
	a := Start(opts)
	t.Cleanup(a.Kill)
	return a
}

// startProxy starts a proxy to an address that runs until the end of the test.
func startProxy(t *testing.T, target string) *faultproxy.Proxy {
	p, err := faultproxy.Start(target)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}
