package overload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// sendTimeout bounds how long a client of a crowd sends. A client that is not read
	// from, or that is closed, stays as it is until the end of the test.
	sendTimeout = 8 * time.Second
	// One of completeEvery clients sends its request to the end.
	completeEvery = 8
)

// group is a number of clients that send the same request but for its first bytes.
type group struct {
	clients int
	first   func() []byte // nil if there are none
	rest    []byte
	left    int           // bytes at the end that most clients do not send
	piece   int           // bytes that are written at once, 0 for all
	pause   time.Duration // between pieces
}

// target is a listener of the entry or of the agent.
type target struct {
	agent    bool
	addr     func(*system) string
	ordinary func(*system) error // the request that is answered in the end, besides a job
}

var (
	callers    = target{false, func(s *system) string { return s.Settings(0).CallerAddr }, (*system).job}
	readiness  = target{false, func(s *system) string { return s.Settings(0).ReadyAddr }, (*system).ready}
	peers      = target{false, func(s *system) string { return s.Settings(0).PeerAddr }, (*system).peerCall}
	heartbeats = target{true, func(s *system) string { return s.Settings(1).AnnounceAddr }, (*system).heartbeat}
)

// play loads a listener with a crowd and checks the process while the crowd is there.
func play(t *testing.T, to target, l limits, groups ...group) {
	entryLimits, agentLimits := l, smallAgent
	if to.agent {
		entryLimits, agentLimits = smallEntry, l
	}
	s := start(t, entryLimits, agentLimits)
	p, addr := s.entry, to.addr(s)
	if to.agent {
		p = s.agent
	}
	stop := watch(t, p, addr)
	c := gather(t, addr, groups)
	mustAnswer(t, "ordinary request", maxTries, func() error { return to.ordinary(s) })
	mustAnswer(t, "job", maxTries, s.job)
	u := stop()
	t.Logf("%d clients, %d sent as much as they wanted; VmHWM %.1f MB, with unread bytes %.1f MB, %d descriptors, alive %t",
		len(c.conns), c.finished, mb(u.residentKB), mb(u.withUnreadKB), u.fds, p.Running())
	assert.Check(t, p.Running(), "the process has exited: %s", p.Output())
	assert.Check(t, max(u.residentKB, u.withUnreadKB) <= l.memoryMB*1024, "memory: got %.1f MB, and %.1f MB with unread bytes, want at most %d",
		mb(u.residentKB), mb(u.withUnreadKB), l.memoryMB)
	assert.Check(t, u.fds <= l.maxFDs, "descriptors: got %d, want at most %d", u.fds, l.maxFDs)
}

func mb(kb int64) float64 { return float64(kb) / 1024 }

// crowd is the clients that load a listener. Their connections stay open until the end of
// the test.
type crowd struct {
	mu       sync.Mutex
	conns    []net.Conn
	finished int
}

// gather starts all clients at once and waits until they have sent as much as they want.
func gather(t *testing.T, addr string, groups []group) *crowd {
	c := new(crowd)
	t.Cleanup(func() {
		for _, conn := range c.conns {
			conn.Close()
		}
	})
	var wg sync.WaitGroup
	for _, g := range groups {
		for i := range g.clients {
			wg.Go(func() { c.send(addr, &g, i%completeEvery == 0) })
		}
	}
	wg.Wait()
	return c
}

// send is one client. It ignores errors: it may be refused.
func (c *crowd) send(addr string, g *group, complete bool) {
	conn, err := net.DialTimeout("tcp", addr, sendTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	conn.SetDeadline(time.Now().Add(sendTimeout))
	if g.first != nil {
		if _, err := conn.Write(g.first()); err != nil {
			return
		}
	}
	rest := g.rest
	if !complete {
		rest = rest[:len(rest)-g.left]
	}
	for len(rest) > 0 {
		n := len(rest)
		if g.piece > 0 {
			n = min(n, g.piece)
		}
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		time.Sleep(g.pause)
	}
	c.mu.Lock()
	c.finished++
	c.mu.Unlock()
	if complete {
		_, _ = io.ReadFull(conn, make([]byte, 1)) // the beginning of the answer, unless the client is closed
	}
}

// lines returns header lines of n bytes in all. The last one fills up what remains.
func lines(n int, line func(i int) string) []byte {
	var out []byte
	last := len("x:\r\n")
	for i := 0; ; i++ {
		l := line(i) + "\r\n"
		if len(out)+len(l)+last > n {
			return fmt.Appendf(out, "x:%s\r\n", bytes.Repeat([]byte("y"), n-len(out)-last))
		}
		out = append(out, l...)
	}
}

// tokenBytes are unusual in header names but allowed.
const tokenBytes = "!#$%&'*+-.^_`|~"

// shortLine is a header line with a short name that no other line has.
func shortLine(i int) string { return fmt.Sprintf("%x:", i) }

// unusualLine has a name of punctuation and mixed case and a value of bytes above 127.
func unusualLine(i int) string {
	a, b := tokenBytes[i%len(tokenBytes)], tokenBytes[i/len(tokenBytes)%len(tokenBytes)]
	return fmt.Sprintf("%c%c%x:\xff\t", a, b, i)
}

// chunked returns a body in chunks of n bytes with the last chunk.
func chunked(body []byte, n int) []byte {
	var out []byte
	for len(body) > 0 {
		n = min(n, len(body))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// padded returns JSON with spaces before its last byte, n bytes in all.
func padded(json string, n int) []byte {
	spaces := bytes.Repeat([]byte(" "), n-len(json))
	return append(append([]byte(json[:len(json)-1]), spaces...), json[len(json)-1])
}

// requestLine begins a job with an ID that no other request has.
func requestLine() []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: desk.example\r\n", newJobPath())
}

// heartbeatLine begins a heartbeat.
func heartbeatLine() []byte {
	return []byte("POST " + heartbeatPath + " HTTP/1.1\r\nHost: agent\r\n")
}
