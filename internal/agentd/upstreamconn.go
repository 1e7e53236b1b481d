package agentd

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// MaxUpstreamConns bounds the number of open connections to the upstream.
const MaxUpstreamConns = 64

var (
	errSealed       = errors.New("agentd: write to a connection whose request has ended")
	errNoConnection = errors.New("agentd: all upstream connections are in use")
)

// connPool opens connections to the upstream, including those of probes. At most
// MaxUpstreamConns are open at a time.
type connPool struct {
	dial   DialFunc
	tokens chan struct{}
}

func newConnPool(dial DialFunc) *connPool {
	return &connPool{dial: dial, tokens: make(chan struct{}, MaxUpstreamConns)}
}

// open opens a connection and waits until the limit allows it. The wait is needed
// because the transport may open a new connection shortly before it closes one
// that it no longer counts.
func (p *connPool) open(ctx context.Context, addr string) (*countedConn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, errNoConnection
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		<-p.tokens
		return nil, err
	}
	return &countedConn{Conn: c, release: func() { <-p.tokens }}, nil
}

// countedConn counts the bytes written, to distinguish a request of which nothing
// was sent from one that the upstream may have received.
type countedConn struct {
	net.Conn
	release func()
	once    sync.Once
	mu      sync.Mutex
	written int64
	writing bool // a write is in progress: its bytes may have been sent
	sealed  bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.written += int64(n)
	c.writing = false
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes later writes fail and reports whether more than before bytes were or
// may have been written. Without the seal the transport could still write the
// request after it was reported as not run.
func (c *countedConn) seal(before int64) (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > before
}

// requestTracker tracks whether any byte of one request was sent. It records all
// connections that the transport uses for the request: the transport may use
// another one if it could not write anything on the first.
type requestTracker struct {
	mu      sync.Mutex
	ended   bool
	uses    []connUse
	unknown bool // a connection was used whose bytes are not counted
}

type connUse struct {
	conn   *countedConn
	before int64 // bytes written before this request
}

// withTrace returns a context for the request that records its connections.
func (t *requestTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.addConn(countedConnOf(info.Conn)) },
	})
}

// countedConnOf returns the connection that counts the bytes of c, which may be a
// TLS connection over it. It returns nil if there is none.
func countedConnOf(c net.Conn) *countedConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	counted, _ := c.(*countedConn)
	return counted
}

// addConn records a connection that the transport is about to use. A TLS handshake
// ends before that, so its bytes do not count as bytes of the request. c is nil for a
// connection whose bytes are not counted.
func (t *requestTracker) addConn(c *countedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c == nil {
		t.unknown = true
		return
	}
	if t.ended {
		c.seal(0)
		return
	}
	t.uses = append(t.uses, connUse{conn: c, before: c.count()})
}

// end ends the request and reports whether any byte of it was or may have been
// sent. No byte is sent afterwards.
func (t *requestTracker) end() (sent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	sent = t.unknown
	for _, u := range t.uses {
		sent = u.conn.seal(u.before) || sent
	}
	return sent
}
