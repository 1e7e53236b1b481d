package faultproxy_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/faultproxy"
)

const waitTimeout = 10 * time.Second

// startEcho starts an echo server and a proxy in front of it.
func startEcho(t *testing.T) *faultproxy.Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	p, err := faultproxy.Start(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Close()
		l.Close()
	})
	return p
}

func dial(t *testing.T, p *faultproxy.Proxy) net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	before := p.Accepted()
	c, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, p.WaitAccepted(ctx, before+1))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

func expectText(t *testing.T, c net.Conn, text string) {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

// expectNoData checks that nothing arrives within a short time. Data that comes
// later is not detected.
func expectNoData(t *testing.T, c net.Conn) {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	assert.Assert(t, ok && netErr.Timeout(), "%v", err)
}

// TestSilenceAffectsOnlyOpenConnections guards against a silenced direction that
// also affects new connections or that the peers see as a closed connection.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	for _, d := range []faultproxy.Direction{faultproxy.ToServer, faultproxy.ToClient} {
		p := startEcho(t)
		oldConn := dial(t, p)
		send(t, oldConn, "one")
		expectText(t, oldConn, "one")
		p.Silence(d)
		send(t, oldConn, "two")
		expectNoData(t, oldConn)
		newConn := dial(t, p)
		send(t, newConn, "three")
		expectText(t, newConn, "three")
	}
}

// TestHeldBytesArriveAfterRelease guards against held bytes that are lost or
// forwarded before Release.
func TestHeldBytesArriveAfterRelease(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	p.Hold(faultproxy.ToClient)
	send(t, c, "kept")
	expectNoData(t, c)
	p.Release(faultproxy.ToClient)
	expectText(t, c, "kept")
	assert.Equal(t, p.Bytes(faultproxy.ToServer), uint64(4))
}

// TestCutClosesClientConnection guards against a cut that leaves one end open.
func TestCutClosesClientConnection(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	p.Cut()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	netErr, ok := err.(net.Error)
	assert.Assert(t, !ok || !netErr.Timeout(), "%v", err)
}

// TestDelayKeepsOrder guards against delays that reorder bytes or end too early.
func TestDelayKeepsOrder(t *testing.T) {
	const delay = 20 * time.Millisecond
	p := startEcho(t)
	c := dial(t, p)
	p.SetDelay(faultproxy.ToServer, delay)
	start := time.Now()
	send(t, c, "first ")
	send(t, c, "second")
	expectText(t, c, "first second")
	assert.Assert(t, time.Since(start) >= delay)
}

// TestFaultIsInjectedAtItsOffset guards against a fault that is injected a byte
// too early or too late.
func TestFaultIsInjectedAtItsOffset(t *testing.T) {
	p := startEcho(t)
	fired := p.InjectAt(faultproxy.ToServer, 6, func(c *faultproxy.Conn) { c.Silence(faultproxy.ToServer) })
	c := dial(t, p)
	send(t, c, "passedlost")
	expectText(t, c, "passed")
	<-fired
	send(t, c, "lost too")
	expectNoData(t, c)
	assert.Equal(t, p.Bytes(faultproxy.ToServer), uint64(len("passed")))
	newConn := dial(t, p)
	send(t, newConn, "passedagain")
	expectText(t, newConn, "passedagain")
}

// failingListener fails to accept before it accepts a connection.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, unix.EMFILE
	}
	return l.Listener.Accept()
}

// TestProxyAcceptsAfterFailure guards against a proxy that stops accepting for good when the
// process has too many open files for a moment.
func TestProxyAcceptsAfterFailure(t *testing.T) {
	target := startEcho(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := faultproxy.StartOn(&failingListener{Listener: l, failures: 2}, target.Addr())
	t.Cleanup(p.Close)
	c := dial(t, p)
	send(t, c, "passed on")
	expectText(t, c, "passed on")
}
