package main

import (
	"io"
	"net"
	"sync"
)

// proxy relays the connections of one machine to the store. During a one-way cut the bytes
// from the machine still arrive on open connections, and nothing comes back: neither
// answers nor new connections. What the cut holds up arrives after it, unless the machine
// has closed the connection by then.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // closed when the cut ends, nil without a cut
	conns  map[net.Conn]bool
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
		p.conns[c] = true
		p.mu.Unlock()
		go p.relay(c)
	}
}

func (p *proxy) relay(c net.Conn) {
	defer p.drop(c)
	p.awaitPath() // the answer to the first packet is held up too
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	go func() {
		io.Copy(server, c)
		server.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := server.Read(buf)
		p.awaitPath()
		if n > 0 {
			c.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// awaitPath waits until there is no cut.
func (p *proxy) awaitPath() {
	for {
		p.mu.Lock()
		healed := p.healed
		p.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.Close()
}

// setCut begins or ends the cut.
func (p *proxy) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.healed == nil:
		p.healed = make(chan struct{})
	case !on && p.healed != nil:
		close(p.healed)
		p.healed = nil
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
