package main

import (
	"io"
	"net"
	"sync"
)

// proxy relays the connections of one machine to the store. During a one-way cut the bytes
// from the machine still arrive on open connections, and nothing comes back: neither
// answers nor new connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool // those of the machine; true if an answer was lost on it
}

func startProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		lost := p.cut // a new connection during the cut gets no answer to its first packet
		p.conns[c] = lost
		p.mu.Unlock()
		if !lost {
			go p.relay(c)
		}
	}
}

func (p *proxy) relay(c net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		p.drop(c)
		return
	}
	go func() {
		io.Copy(server, c)
		server.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := server.Read(buf)
		if n > 0 && p.deliver(c) {
			c.Write(buf[:n])
		}
		if err != nil {
			if p.deliver(c) { // the end of a connection is not seen during the cut either
				p.drop(c)
			}
			return
		}
	}
}

// deliver reports whether bytes may go to the machine. A connection on which an answer was
// lost returns nothing further.
func (p *proxy) deliver(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		p.conns[c] = true
	}
	return !p.conns[c]
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// setCut begins or ends the cut. At its end the connections that lost something are reset.
func (p *proxy) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = on
	for c, lost := range p.conns {
		if lost && !on {
			delete(p.conns, c)
			c.Close()
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}
