package agentd

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// MaxUpstreamConns is the largest number of connections to the upstream.
const MaxUpstreamConns = 64

var (
	errSealed       = errors.New("agentd: connection is given up")
	errNoConnection = errors.New("agentd: all upstream connections are in use")
)

// connPool hands out connections to the upstream, never more than
// MaxUpstreamConns at a time, probes included.
type connPool struct {
	dial   DialFunc
	tokens chan struct{}
}

func newConnPool(dial DialFunc) *connPool {
	return &connPool{dial: dial, tokens: make(chan struct{}, MaxUpstreamConns)}
}

// open waits for a free connection: the transport stops counting one shortly
// before it closes it.
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

// countedConn counts the bytes that were written, to tell a request of which
// nothing was sent from one that the upstream may have seen.
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

// seal forbids later writes and reports whether more than before bytes were or
// may have been written. Without the seal the transport could still write the
// request after it was reported as not run.
func (c *countedConn) seal(before int64) (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > before
}

// sentBytes follows one request over the connections that the transport uses
// for it. It may use a second one if it could write nothing on the first.
type sentBytes struct {
	mu    sync.Mutex
	ended bool
	uses  []connUse
}

type connUse struct {
	conn   *countedConn
	before int64 // bytes written before this request
}

// trace returns a context that reports the connections of a request.
func (s *sentBytes) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countedConn); ok {
				s.use(c)
			}
		},
	})
}

func (s *sentBytes) use(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		c.seal(0)
		return
	}
	s.uses = append(s.uses, connUse{conn: c, before: c.count()})
}

// end gives the request up and reports whether any byte of it was or may have
// been sent. No byte is sent afterwards.
func (s *sentBytes) end() (any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, u := range s.uses {
		any = u.conn.seal(u.before) || any
	}
	return any
}
