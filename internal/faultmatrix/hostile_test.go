package faultmatrix

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
	"github.com/limpettrail/limpettrail/internal/observer"
)

const (
	// maxResidentMB bounds an entry's resident memory under hostile input. The
	// race detector multiplies memory by 5 to 10; without it the same input
	// stays far below.
	maxResidentMB = 1024
	manyConns     = 1000
	slowConns     = 200
	endlessBytes  = 64 << 20 // sent as one body; the bound of a body is 8 MiB
)

// residentMB returns the resident memory of a process.
func (p *program) residentMB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if f := strings.Fields(lines.Text()); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			assert.NilError(t, err)
			return kb / 1024
		}
	}
	t.Fatal("no VmRSS")
	return 0
}

// checkServes fails the test unless good callers are served, the process runs
// and its memory is bounded.
func (s *system) checkServes(name string) {
	s.t.Helper()
	for i, e := range s.entries {
		assert.Assert(s.t, e.running(), "entry %d ended", i)
		mb := e.residentMB(s.t)
		s.t.Logf("%s: entry %d uses %d MB", name, i, mb)
		assert.Assert(s.t, mb <= maxResidentMB)
	}
	for _, o := range s.drive(name, steadyJobs(10, 30*time.Second))() {
		assert.Equal(s.t, o.Ending, observer.Complete, o.Reason)
	}
	s.judge()
}

// dialMany opens connections that stay open until the test ends.
func (s *system) dialMany(addr string, n int, first string) []net.Conn {
	s.t.Helper()
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", addr)
		assert.NilError(s.t, err)
		s.t.Cleanup(func() { c.Close() })
		if first != "" {
			_, err = io.WriteString(c, first)
			assert.NilError(s.t, err)
		}
		conns = append(conns, c)
	}
	return conns
}

// dripping sends one byte at a time until the peer closes or the test ends.
func dripping(conns []net.Conn, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, c := range conns {
			c.Write([]byte("x"))
		}
	}
}

// TestSlowSendersDoNotStopOthers guards against callers that hold the entry's
// connections, or its memory, by sending a request slowly or never.
func TestSlowSendersDoNotStopOthers(t *testing.T) {
	s := startSystem(t, 1, 2)
	e := s.entries[0]
	head := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
	slow := s.dialMany(e.callers, slowConns, head+"X-Slow: ")
	slow = append(slow, s.dialMany(e.callers, slowConns, head+"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n{")...)
	slow = append(slow, s.dialMany(e.peers, slowConns, link.Preface[:4])...)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go dripping(slow, stop)
	// 32 bodies of the largest size are as much as an entry reserves in all.
	s.await(e, "the slow bodies", func(st state) bool { return st.Requests >= 32 })
	s.checkServes("slow-senders")
}

// TestIdleConnectionsDoNotStopOthers guards against connections that are opened
// and left: a thousand at each listening port.
func TestIdleConnectionsDoNotStopOthers(t *testing.T) {
	s := startSystem(t, 1, 2)
	e := s.entries[0]
	s.dialMany(e.callers, manyConns, "")
	s.dialMany(e.peers, manyConns, "")
	atOperators := s.dialMany(e.operators, manyConns, "")
	s.checkServes("idle-connections")
	for _, c := range atOperators {
		c.Close() // each connection beyond 64 is served only after others ended
	}
	s.await(e, "the operators' port to be served again", func(st state) bool { return st.Ready })
}

// statusOf sends a request head and body and returns the reply's status, 0 if
// the connection ended without one.
func statusOf(t *testing.T, addr, head string, body io.Reader) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := io.WriteString(c, head); err == nil {
			io.Copy(c, body)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	c.Close()
	<-sent
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// TestHugeRequestsAreRefused guards against headers and bodies that are read
// without a bound.
func TestHugeRequestsAreRefused(t *testing.T) {
	s := startSystem(t, 1, 2)
	e := s.entries[0]
	for name, addr := range map[string]string{"callers": e.callers, "operators": e.operators} {
		head := "GET /status HTTP/1.1\r\nHost: x\r\nX-Huge: " + strings.Repeat("h", 4<<20) + "\r\n\r\n"
		status := statusOf(t, addr, head, strings.NewReader(""))
		assert.Assert(t, status == 0 || status == http.StatusRequestHeaderFieldsTooLarge, "%s: %d", name, status)
	}
	post := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
	for name, head := range map[string]string{
		"stated":  post + fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(endlessBytes)),
		"chunked": post + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n",
	} {
		status := statusOf(t, e.callers, head, io.LimitReader(zeros{}, endlessBytes))
		assert.Assert(t, status == 0 || status >= 400 && status < 500, "%s body: %d", name, status)
	}
	s.checkServes("huge-requests")
}

// frame returns a frame as the peer protocol has it.
func frame(size uint32, body string) string {
	return string(binary.BigEndian.AppendUint32(nil, size)) + body
}

// TestGarbageOnThePeerPort guards against bytes that are no protocol, frames
// with false sizes and calls that are none.
func TestGarbageOnThePeerPort(t *testing.T) {
	s := startSystem(t, 1, 2)
	inputs := []string{
		"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00", 1<<16), strings.Repeat("\xff", 1<<16),
		link.Preface, link.Preface + frame(1<<31, "x"), link.Preface + frame(wire.MaxFrameBytes, "x"),
		link.Preface + frame(5, "\xff\xff\xff\xff\xff"), link.Preface + frame(0, ""),
		link.Preface + frame(9, "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
		"LTRPC01\n" + strings.Repeat("\xfe\x01\x02", 1000), "LTRPC01\n\xf8\x7f\xff\xff\xff\xff\xff\xff\xff",
	}
	for _, in := range inputs {
		s.dialMany(s.entries[0].peers, 20, in)
	}
	s.checkServes("garbage")
}

// helloFrom connects as an agent would and returns the entry's hello.
func helloFrom(t *testing.T, addr string, h wire.AgentHello) (*link.Conn, wire.EntryHello, error) {
	t.Helper()
	raw, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { raw.Close() })
	c := link.NewConn(raw)
	assert.NilError(t, c.WritePreface())
	assert.NilError(t, c.Write(&h))
	assert.NilError(t, c.Flush())
	var reply wire.EntryHello
	err = c.Read(&reply, patience)
	return c, reply, err
}

// TestWrongPeerIncarnations guards against an agent that states no incarnation
// or another one's, repeats epochs, and sends results nobody asked for.
func TestWrongPeerIncarnations(t *testing.T) {
	s := startSystem(t, 1, 2)
	st, err := s.agents[0].status()
	assert.NilError(t, err)
	inc, err := strconv.ParseUint(st.Incarnation, 16, 64)
	assert.NilError(t, err)
	hello := wire.AgentHello{Protocol: wire.ProtocolVersion, Name: "worker-x", Zone: "z", Rack: "x", Slots: 4, Epoch: 1}
	results := &wire.ToEntry{Load: wire.Load{Slots: 4, Limit: 4}}
	for seq := wire.Seq(1); seq < 100; seq++ {
		results.Results = append(results.Results, wire.Result{Seq: seq, Outcome: wire.Succeeded, Body: []byte(`"forged"`)})
	}
	for _, agent := range []wire.Incarnation{0, wire.Incarnation(inc), 77, 77} {
		hello.Agent = agent
		c, _, err := helloFrom(t, s.entries[0].peers, hello)
		if err == nil {
			c.Write(results)
			c.Flush()
		}
		c.Close()
	}
	for name, h := range map[string]wire.AgentHello{
		"protocol": {Protocol: 99, Agent: 5, Slots: 4},
		"slots":    {Protocol: wire.ProtocolVersion, Agent: 5, Slots: -1},
		"name":     {Protocol: wire.ProtocolVersion, Agent: 5, Slots: 4, Name: strings.Repeat("n", 100_000)},
	} {
		_, _, err := helloFrom(t, s.entries[0].peers, h)
		assert.Assert(t, err != nil, "hello with a wrong %s was accepted", name)
	}
	s.awaitReady()
	s.checkServes("wrong-incarnations")
}
