// Package faultproxy is a TCP relay for tests that injects faults into selected
// connections: it cuts, delays or holds them, or silently discards their bytes in one
// direction, while new connections work normally.
package faultproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Direction is the direction of the bytes on a connection.
type Direction int

// Directions, as seen from the side that dialled.
const (
	ToServer Direction = iota
	ToClient
	numDirections
)

const (
	chunkBytes      = 32 << 10
	maxQueuedChunks = 64 // chunks read but not yet written, per direction
	pollInterval    = 2 * time.Millisecond
)

// Proxy relays connections to one target.
type Proxy struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  []*Conn // every relayed connection so far, including closed ones
	refuse bool
	delay  [numDirections]time.Duration
	faults [numDirections]*positionedFault
	closed bool
}

// positionedFault is a fault to inject at one offset of a connection's stream.
type positionedFault struct {
	offset uint64
	fault  func(c *Conn)
	called chan struct{} // closed after fault was called
}

// Start listens on a free loopback port and relays to target.
func Start(target string) (*Proxy, error) { return StartAt("127.0.0.1:0", target) }

// StartAt listens on an address and relays to target.
func StartAt(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	return StartOn(l, target), nil
}

// StartOn relays the connections of a listener, which the proxy closes, to target.
func StartOn(l net.Listener, target string) *Proxy {
	p := &Proxy{target: target, listener: l}
	p.wg.Add(1)
	go p.accept()
	return p
}

// Addr returns the listening address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close cuts every connection and stops the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Cut()
	p.wg.Wait()
}

// SetTarget sets the address that later connections are relayed to.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Refuse sets whether the proxy closes new connections at once.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// SetDelay delays every byte in direction d on open and new connections.
func (p *Proxy) SetDelay(d Direction, by time.Duration) {
	p.mu.Lock()
	p.delay[d] = by
	p.mu.Unlock()
	for _, c := range p.OpenConns() {
		c.SetDelay(d, by)
	}
}

// InjectAt injects a fault at one offset: on the first connection that has forwarded
// offset bytes in direction d and has more to forward, fault is called once,
// before the next byte. A later InjectAt for the same direction replaces an earlier
// one. The returned channel is closed after the call.
func (p *Proxy) InjectAt(d Direction, offset uint64, fault func(c *Conn)) <-chan struct{} {
	pending := &positionedFault{offset: offset, fault: fault, called: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = pending
	return pending.called
}

// OpenConns returns the open connections, oldest first.
func (p *Proxy) OpenConns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*Conn
	for _, c := range p.conns {
		if !c.isClosed() {
			open = append(open, c)
		}
	}
	return open
}

// Accepted returns the number of connections accepted since the start.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// WaitAccepted waits until at least n connections have been accepted.
func (p *Proxy) WaitAccepted(ctx context.Context, n int) error {
	for p.Accepted() < n {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Cut closes every open connection.
func (p *Proxy) Cut() {
	for _, c := range p.OpenConns() {
		c.Cut()
	}
}

// Silence discards everything in direction d on the open connections. New
// connections are not affected.
func (p *Proxy) Silence(d Direction) {
	for _, c := range p.OpenConns() {
		c.Silence(d)
	}
}

// Hold buffers everything in direction d on the open connections until Release.
func (p *Proxy) Hold(d Direction) {
	for _, c := range p.OpenConns() {
		c.Hold(d)
	}
}

// Release forwards the bytes that Hold buffered.
func (p *Proxy) Release(d Direction) {
	for _, c := range p.OpenConns() {
		c.Release(d)
	}
}

// Bytes returns the number of bytes forwarded in direction d over all
// connections.
func (p *Proxy) Bytes(d Direction) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum uint64
	for _, c := range p.conns {
		sum += c.Bytes(d)
	}
	return sum
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for instance too many open files, which a later call may survive
			time.Sleep(pollInterval)
			continue
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.serve(client)
		}()
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	target, refuse := p.target, p.refuse || p.closed
	p.mu.Unlock()
	if refuse {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	c := newConn(client, server, p.injectDue)
	if !p.register(c) {
		c.Cut()
		return
	}
	c.run()
}

// register adds the connection and reports false if the proxy was closed in the
// meantime.
func (p *Proxy) register(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for d := range numDirections {
		c.SetDelay(d, p.delay[d])
	}
	p.conns = append(p.conns, c)
	return !p.closed
}

// injectDue calls the fault of direction d if the connection has reached its
// offset, and returns how many of the next n bytes may be written before the
// next check.
func (p *Proxy) injectDue(c *Conn, d Direction, n int) int {
	p.mu.Lock()
	pending := p.faults[d]
	forwarded := c.Bytes(d)
	if pending == nil || pending.offset < forwarded || pending.offset >= forwarded+uint64(n) {
		p.mu.Unlock()
		return n
	}
	if pending.offset > forwarded {
		p.mu.Unlock()
		return int(pending.offset - forwarded)
	}
	p.faults[d] = nil
	p.mu.Unlock()
	pending.fault(c)
	close(pending.called)
	return n
}
