// Package faultproxy is a TCP relay for tests that injects faults into chosen
// connections: it cuts, delays, holds or silences them while new ones work.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction of the bytes on a connection.
type Direction int

// Directions, seen from the side that dialled.
const (
	ToServer Direction = iota
	ToClient
	directions
)

const (
	chunkBytes  = 32 << 10
	chunksAhead = 64 // chunks read but not yet written, for delays
	pollPeriod  = 2 * time.Millisecond
)

// Proxy relays connections to one target.
type Proxy struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  []*Conn // every connection accepted so far
	refuse bool
	delay  [directions]time.Duration
	at     [directions]*trigger
	closed bool
}

// trigger is a fault at one position of a connection's stream.
type trigger struct {
	offset uint64
	fault  func(c *Conn)
	fired  chan struct{}
}

// Start listens on a free loopback port and relays to target.
func Start(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the listening address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close cuts every connection and ends the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Cut()
	p.wg.Wait()
}

// SetTarget directs later connections to another address.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Refuse makes the proxy close new connections at once, or accept them again.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// SetDelay delays every byte of existing and new connections in a direction.
func (p *Proxy) SetDelay(d Direction, by time.Duration) {
	p.mu.Lock()
	p.delay[d] = by
	p.mu.Unlock()
	for _, c := range p.Open() {
		c.SetDelay(d, by)
	}
}

// At injects a fault at one position: on the first connection that has passed
// on offset bytes in the direction and has more to pass on, fault is called
// before the next byte. It is called once. A later At for the same direction
// replaces an earlier one. The returned channel is closed after the call.
func (p *Proxy) At(d Direction, offset uint64, fault func(c *Conn)) <-chan struct{} {
	t := &trigger{offset: offset, fault: fault, fired: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[d] = t
	return t.fired
}

// Open returns the open connections, oldest first.
func (p *Proxy) Open() []*Conn {
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

// WaitAccepted returns when at least n connections were accepted.
func (p *Proxy) WaitAccepted(ctx context.Context, n int) error {
	for p.Accepted() < n {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
	return nil
}

// Cut closes every open connection.
func (p *Proxy) Cut() {
	for _, c := range p.Open() {
		c.Cut()
	}
}

// Silence discards everything on the open connections in one direction. New
// connections work.
func (p *Proxy) Silence(d Direction) {
	for _, c := range p.Open() {
		c.Silence(d)
	}
}

// Hold keeps back everything on the open connections in one direction.
func (p *Proxy) Hold(d Direction) {
	for _, c := range p.Open() {
		c.Hold(d)
	}
}

// Release passes on what Hold kept back.
func (p *Proxy) Release(d Direction) {
	for _, c := range p.Open() {
		c.Release(d)
	}
}

// Bytes returns the bytes passed on in a direction over all connections.
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
		if err != nil {
			return
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
	c := newConn(client, server, p.reach)
	if !p.register(c) {
		c.Cut()
		return
	}
	c.run()
}

// register adds the connection unless the proxy was closed in the meantime.
func (p *Proxy) register(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for d := range directions {
		c.SetDelay(d, p.delay[d])
	}
	p.conns = append(p.conns, c)
	return !p.closed
}

// reach calls the fault of a direction if the connection has reached its
// position, and returns how many of the next n bytes come before it.
func (p *Proxy) reach(c *Conn, d Direction, n int) int {
	p.mu.Lock()
	t := p.at[d]
	passed := c.Bytes(d)
	if t == nil || t.offset < passed || t.offset >= passed+uint64(n) {
		p.mu.Unlock()
		return n
	}
	if t.offset > passed {
		p.mu.Unlock()
		return int(t.offset - passed)
	}
	p.at[d] = nil
	p.mu.Unlock()
	t.fault(c)
	close(t.fired)
	return n
}
