package faultproxy_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/faultproxy"
)

const patience = 10 * time.Second

// echo starts a server that returns what it gets, and a proxy before it.
func echo(t *testing.T) *faultproxy.Proxy {
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	before := p.Accepted()
	c, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, p.WaitAccepted(ctx, before+1))
	return c
}

func say(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

func hear(t *testing.T, c net.Conn, text string) {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(patience)))
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

// hearNothing cannot prove silence for ever; it looks for a short time.
func hearNothing(t *testing.T, c net.Conn) {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	assert.Assert(t, ok && timeout.Timeout(), "%v", err)
}

// Guards against a silence that also hits new connections or that the peers
// can notice as a closed connection.
func TestSilenceHitsOnlyTheOpenConnections(t *testing.T) {
	for _, d := range []faultproxy.Direction{faultproxy.ToServer, faultproxy.ToClient} {
		p := echo(t)
		old := dial(t, p)
		say(t, old, "one")
		hear(t, old, "one")
		p.Silence(d)
		say(t, old, "two")
		hearNothing(t, old)
		fresh := dial(t, p)
		say(t, fresh, "three")
		hear(t, fresh, "three")
	}
}

// Guards against held bytes that are lost or pass early.
func TestHeldBytesArriveAfterRelease(t *testing.T) {
	p := echo(t)
	c := dial(t, p)
	p.Hold(faultproxy.ToClient)
	say(t, c, "kept")
	hearNothing(t, c)
	p.Release(faultproxy.ToClient)
	hear(t, c, "kept")
	assert.Equal(t, p.Bytes(faultproxy.ToServer), uint64(4))
}

// Guards against a cut that leaves one end open.
func TestCutClosesTheClientsEnd(t *testing.T) {
	p := echo(t)
	c := dial(t, p)
	p.Cut()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	timeout, ok := err.(net.Error)
	assert.Assert(t, !ok || !timeout.Timeout(), "%v", err)
}

// Guards against delays that reorder bytes or end too early.
func TestDelayKeepsOrder(t *testing.T) {
	const delay = 20 * time.Millisecond
	p := echo(t)
	c := dial(t, p)
	p.SetDelay(faultproxy.ToServer, delay)
	began := time.Now()
	say(t, c, "first ")
	say(t, c, "second")
	hear(t, c, "first second")
	assert.Assert(t, time.Since(began) >= delay)
}

// Guards against a fault that comes a byte too early or too late.
func TestFaultComesAtItsPosition(t *testing.T) {
	p := echo(t)
	fired := p.At(faultproxy.ToServer, 6, func(c *faultproxy.Conn) { c.Silence(faultproxy.ToServer) })
	c := dial(t, p)
	say(t, c, "passedlost")
	hear(t, c, "passed")
	<-fired
	say(t, c, "lost too")
	hearNothing(t, c)
	assert.Equal(t, p.Bytes(faultproxy.ToServer), uint64(len("passed")))
	fresh := dial(t, p)
	say(t, fresh, "passedagain")
	hear(t, fresh, "passedagain")
}
