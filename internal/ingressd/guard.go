// Package ingressd is the process around core/ingress: it counts what arrives on the
// connections of a group of listeners, and closes those that the account evicts.
package ingressd

import (
	"cmp"
	"net"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

const (
	// reportInterval is the least time between two events about a share.
	reportInterval = time.Second
	// maxEvictions bounds how often a charge is tried again after evictions.
	maxEvictions = 4
	// DefaultWriteTimeout is the default of Options.WriteTimeout. It allows for several
	// repeated packets.
	DefaultWriteTimeout = 10 * time.Second
)

// Options configure a Guard.
type Options struct {
	// Share is the name of the share in metrics and events.
	Share  string
	Limits ingress.Limits
	// Log receives the events. It may be nil.
	Log *eventlog.Log
	// Refusal is the JSON body of the answer to a header that is not granted.
	Refusal string
	// Frames is set if the connections do not carry HTTP. Then nothing is charged for what
	// they read but by Charge.
	Frames bool
	// KeepHeaders are the headers that handlers read. The others are dropped from large
	// headers when the handler begins.
	KeepHeaders []string
	// ReceiveBuffer is the size of the receive buffers of sockets.
	ReceiveBuffer int
	// WriteTimeout bounds each write of an answer whose handler sets no deadline. The default
	// is DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// Guard keeps the account of a group of listeners.
type Guard struct {
	opts    Options
	refusal []byte
	began   time.Time

	mu      sync.Mutex
	account *ingress.Account
	conns   map[ingress.ID]*Conn
	lastID  ingress.ID
	closed  bool
	report  *time.Timer // nil if no event is due
	usedUp  bool        // event 1130 was the last one
}

// New returns a guard without connections.
func New(opts Options) *Guard {
	opts.WriteTimeout = cmp.Or(opts.WriteTimeout, DefaultWriteTimeout)
	return &Guard{
		opts: opts, refusal: refusal(opts.Refusal), began: time.Now(),
		account: ingress.New(opts.Limits), conns: make(map[ingress.ID]*Conn),
	}
}

// Close ends the reports of the guard. Connections are closed by their servers.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.report != nil {
		g.report.Stop()
	}
}

func (g *Guard) now() time.Duration { return time.Since(g.began) }

// listener accepts connections at once. It closes those that are not granted.
type listener struct {
	net.Listener
	guard *Guard
}

// Listener wraps a listener whose connections the guard keeps account of.
func (g *Guard) Listener(l net.Listener) net.Listener {
	g.limitReceiveBuffer(Socket(l))
	return listener{l, g}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.Admit(c); conn != nil {
			return conn, nil
		}
	}
}

// Admit opens a connection in the account. It closes it and returns nil if that is not
// granted.
func (g *Guard) Admit(c net.Conn) *Conn {
	conn := &Conn{Conn: c, guard: g, raw: below(c), socket: Socket(c)}
	g.mu.Lock()
	g.lastID++
	conn.id = g.lastID
	granted, evicted := g.try(func(now time.Duration) (bool, []ingress.ID) { return g.account.Open(now, conn.id) })
	if granted {
		g.conns[conn.id] = conn
	}
	g.mu.Unlock()
	closeAll(evicted)
	if !granted {
		conn.raw.Close()
		return nil
	}
	// The listener's size does not apply to connections that arrived before it was set, and
	// is not set with TLS.
	g.limitReceiveBuffer(conn.socket)
	return conn
}

// try asks for something until it is granted or nothing more can be evicted, and returns the
// connections to close. The caller holds the lock.
func (g *Guard) try(ask func(time.Duration) (bool, []ingress.ID)) (granted bool, evicted []*Conn) {
	for range maxEvictions {
		now := g.now()
		var ids []ingress.ID
		granted, ids = ask(now)
		if granted && len(ids) == 0 {
			break
		}
		g.noteShortage()
		for _, id := range ids {
			c := g.conns[id]
			if InputWaits(c.socket) { // the process is late, not the caller
				g.account.Spare(now, id)
				continue
			}
			evicted = append(evicted, c)
		}
		if granted || len(ids) == 0 {
			break
		}
	}
	return granted, evicted
}

// closeAll closes evicted connections. Their goroutines then end and release what they have
// charged.
func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.raw.Close()
	}
}

// charge adds bytes to what a connection has charged.
func (g *Guard) charge(c *Conn, bytes int64) bool {
	g.mu.Lock()
	granted, evicted := g.chargeLocked(c, bytes)
	g.mu.Unlock()
	closeAll(evicted)
	return granted
}

func (g *Guard) chargeLocked(c *Conn, bytes int64) (granted bool, evicted []*Conn) {
	return g.try(func(now time.Duration) (bool, []ingress.ID) { return g.account.Charge(now, c.id, bytes) })
}

// noteShortage has events written. The caller holds the lock.
func (g *Guard) noteShortage() {
	if g.report == nil && !g.closed {
		g.report = time.AfterFunc(0, g.writeReport)
	}
}

// writeReport writes that the share is used up, and once nothing was evicted or refused for
// reportInterval that it is free.
func (g *Guard) writeReport() {
	g.mu.Lock()
	stats := g.account.Stats()
	code, write := eventlog.IngressShareUsedUp, !g.usedUp
	switch {
	case g.closed:
		write = false
	case !g.usedUp:
		g.usedUp = true
		g.report = time.AfterFunc(reportInterval, g.writeReport)
	case g.account.SinceShortage(g.now()) >= reportInterval:
		code, write = eventlog.IngressShareFree, true
		g.usedUp, g.report = false, nil
		// No event follows within reportInterval.
		g.report = time.AfterFunc(reportInterval, g.endReport)
	default:
		g.report.Reset(reportInterval)
	}
	g.mu.Unlock()
	if write {
		g.opts.Log.Emit(code, eventlog.Fields{Detail: g.opts.Share, Count: stats.Bytes})
	}
}

// endReport lets the next shortage be written.
func (g *Guard) endReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report = nil
}

// Share returns the name of the share.
func (g *Guard) Share() string { return g.opts.Share }

// Stats returns the figures of the account.
func (g *Guard) Stats() ingress.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Stats()
}

// Limits returns the limits of the account.
func (g *Guard) Limits() ingress.Limits { return g.opts.Limits }
