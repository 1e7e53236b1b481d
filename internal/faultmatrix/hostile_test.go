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
	// race detector multiplies memory by 5 to 10; without it, memory stays far
	// below this bound for the same input.
	maxResidentMB  = 1024
	manyConns      = 1000
	slowConns      = 200
	oversizedBytes = 64 << 20 // sent as one body; the limit of a body is 8 MiB
)

// residentMB returns the resident memory of a process.
func (p *process) residentMB(t *testing.T) int {
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
	t.Fatal("/proc/PID/status has no VmRSS")
	return 0
}

// checkServes fails the test unless every entry runs within maxResidentMB, the jobs of
// well-behaved callers complete, and no promise is violated. name prefixes the names
// of these jobs.
func (s *system) checkServes(name string) {
	s.t.Helper()
	for i, e := range s.entries {
		assert.Assert(s.t, e.running(), "entry %d exited", i)
		mb := e.residentMB(s.t)
		s.t.Logf("%s: entry %d uses %d MB", name, i, mb)
		assert.Assert(s.t, mb <= maxResidentMB)
	}
	for _, o := range s.submitJobs(name, steadyJobs(10, 30*time.Second))() {
		assert.Equal(s.t, o.Outcome, observer.Complete, o.Reason)
	}
	s.checkPromises()
}

// dialMany opens n connections that stay open until the test ends, and sends initial
// on each of them.
func (s *system) dialMany(addr string, n int, initial string) []net.Conn {
	s.t.Helper()
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", addr)
		assert.NilError(s.t, err)
		s.t.Cleanup(func() { c.Close() })
		if initial != "" {
			_, err = io.WriteString(c, initial)
			assert.NilError(s.t, err)
		}
		conns = append(conns, c)
	}
	return conns
}

// sendSlowly sends one byte at a time on each connection until stop is closed. It
// ignores write errors.
func sendSlowly(conns []net.Conn, stop <-chan struct{}) {
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

// TestSlowSendersDoNotBlockOthers guards against callers that occupy the entry's
// connections or memory by sending a request slowly or not at all.
func TestSlowSendersDoNotBlockOthers(t *testing.T) {
	s := startSystem(t, 1, 2)
	e := s.entries[0]
	head := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
	slow := s.dialMany(e.callerAddr, slowConns, head+"X-Slow: ")
	slow = append(slow, s.dialMany(e.callerAddr, slowConns, head+"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n{")...)
	slow = append(slow, s.dialMany(e.peerAddr, slowConns, link.Preface[:4])...)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go sendSlowly(slow, stop)
	// An entry reserves memory for at most 32 bodies of the largest size in total.
	s.awaitStatus(e, "32 slow requests in progress", func(st processStatus) bool { return st.Requests >= 32 })
	s.checkServes("slow-senders")
}

// TestIdleConnectionsDoNotBlockOthers guards against connections that are opened
// and never used: 1000 at each listening port.
func TestIdleConnectionsDoNotBlockOthers(t *testing.T) {
	s := startSystem(t, 1, 2)
	e := s.entries[0]
	s.dialMany(e.callerAddr, manyConns, "")
	s.dialMany(e.peerAddr, manyConns, "")
	operatorConns := s.dialMany(e.operatorAddr, manyConns, "")
	s.checkServes("idle-connections")
	for _, c := range operatorConns {
		c.Close() // at most 64 connections are served at once; others wait until one closes
	}
	s.awaitStatus(e, "the operator port to be served again", func(st processStatus) bool { return st.Ready })
}

// statusOf sends a request head and body and returns the status of the reply, or
// 0 if the connection ended without a reply.
func statusOf(t *testing.T, addr, head string, body io.Reader) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
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

// endlessBody is a reader of spaces without end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// TestOversizedRequestsAreRefused guards against headers and bodies that are read
// without a size limit.
func TestOversizedRequestsAreRefused(t *testing.T) {
	s := startSystem(t, 1, 2)
	e := s.entries[0]
	for name, addr := range map[string]string{"callers": e.callerAddr, "operators": e.operatorAddr} {
		head := "GET /status HTTP/1.1\r\nHost: x\r\nX-Huge: " + strings.Repeat("h", 4<<20) + "\r\n\r\n"
		status := statusOf(t, addr, head, strings.NewReader(""))
		assert.Assert(t, status == 0 || status == http.StatusRequestHeaderFieldsTooLarge, "%s: %d", name, status)
	}
	post := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
	for name, head := range map[string]string{
		"stated":  post + fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(oversizedBytes)),
		"chunked": post + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n",
	} {
		status := statusOf(t, e.callerAddr, head, io.LimitReader(endlessBody{}, oversizedBytes))
		assert.Assert(t, status == 0 || status >= 400 && status < 500, "%s body: %d", name, status)
	}
	s.checkServes("huge-requests")
}

// peerFrame returns a frame of the peer protocol with the given size field, which
// may differ from the length of the body.
func peerFrame(size uint32, body string) string {
	return string(binary.BigEndian.AppendUint32(nil, size)) + body
}

// TestMalformedInputOnPeerPort guards against input of an unknown protocol, frames
// with a wrong size, and malformed calls.
func TestMalformedInputOnPeerPort(t *testing.T) {
	s := startSystem(t, 1, 2)
	inputs := []string{
		"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00", 1<<16), strings.Repeat("\xff", 1<<16),
		link.Preface, link.Preface + peerFrame(1<<31, "x"), link.Preface + peerFrame(wire.MaxFrameBytes, "x"),
		link.Preface + peerFrame(5, "\xff\xff\xff\xff\xff"), link.Preface + peerFrame(0, ""),
		link.Preface + peerFrame(9, "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
		"LTRPC01\n" + strings.Repeat("\xfe\x01\x02", 1000), "LTRPC01\n\xf8\x7f\xff\xff\xff\xff\xff\xff\xff",
	}
	for _, in := range inputs {
		s.dialMany(s.entries[0].peerAddr, 20, in)
	}
	s.checkServes("garbage")
}

// exchangeHellos connects as an agent does, sends h and reads the entry's hello.
func exchangeHellos(t *testing.T, addr string, h wire.AgentHello) (*link.Conn, wire.EntryHello, error) {
	t.Helper()
	raw, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { raw.Close() })
	c := link.NewConn(raw)
	assert.NilError(t, c.WritePreface())
	assert.NilError(t, c.Write(&h))
	assert.NilError(t, c.Flush())
	var reply wire.EntryHello
	err = c.Read(&reply, waitTimeout)
	return c, reply, err
}

// TestWrongPeerIncarnations guards against an agent that sends no incarnation or
// that of another agent, repeats epochs, and sends unsolicited results.
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
		c, _, err := exchangeHellos(t, s.entries[0].peerAddr, hello)
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
		_, _, err := exchangeHellos(t, s.entries[0].peerAddr, h)
		assert.Assert(t, err != nil, "hello with a wrong %s was accepted", name)
	}
	s.awaitReady()
	s.checkServes("wrong-incarnations")
}
