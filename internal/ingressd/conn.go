package ingressd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/limpettrail/limpettrail/core/ingress"
)

const (
	// progressGrace is the time after which a header or a body must have made progress.
	progressGrace = 3 * time.Second
	// minHeaderRate and minBodyRate are the bytes a second that are expected then. A header
	// of the largest size gets 5 s.
	minHeaderRate = 8 << 10
	minBodyRate   = 512
	// readAhead is how many bytes net/http reads beyond the end of a request at most.
	readAhead = 4 << 10
	// largeHeaderCost is above the cost of an ordinary header.
	largeHeaderCost = ingress.RequestCost + 16<<10
	// refusalTimeout bounds the answer to a header that is not granted.
	refusalTimeout = 100 * time.Millisecond
)

// maxCarried is the cost of readAhead bytes of the shortest lines.
var maxCarried = ingress.HeaderCost(readAhead, readAhead/3)

// errNotGranted ends the reading of a header. net/http answers nothing after such an error.
var errNotGranted = &net.OpError{Op: "read", Err: errors.New("ingress: the share of callers is used up")}

// refusal returns the answer to a header that is not granted. Nothing of its request ran.
func refusal(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Conn is a connection in the account of a guard. For the server of net/http it counts the
// bytes and lines of headers as they arrive.
type Conn struct {
	net.Conn
	guard  *Guard
	id     ingress.ID
	raw    net.Conn     // the connection below TLS
	socket syscall.Conn // nil if it is not known
	reads  atomic.Uint64
	// writeBounded is set while a write deadline other than that of Write is in effect.
	writeBounded atomic.Bool
	answered     atomic.Bool // something was written since the request began
	refused      bool        // part of a header was not granted; guarded by guard.mu
	bodyUsed     bool        // ReadBody was called for the request, by its goroutine

	// Guarded by guard.mu: the server reads on two goroutines.
	phase   ingress.Phase
	begun   time.Time // of the header
	header  ingress.HeaderScanner
	ended   bool  // the end of the header was read
	charged int64 // for the header
	// carried is the cost of what was read with the request before.
	carried int64
	// unknownAhead is set if that is not known, because the body before was chunked. While the
	// header arrives, the most that it can be is charged.
	unknownAhead bool
	// ahead and aheadLines are what was read after the end of the header, lastRead the size of
	// the last read, and bodyBytes the length of the body, -1 if it is not known.
	ahead      int64
	aheadLines int
	lastRead   int
	bodyBytes  int64
}

// Reads returns how often bytes were read.
func (c *Conn) Reads() uint64 { return c.reads.Load() }

// Socket returns the socket of the connection, nil if it is not known.
func (c *Conn) Socket() syscall.Conn { return c.socket }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.reads.Add(1)
	granted, answer := c.received(p[:n])
	if granted {
		return n, err
	}
	if answer {
		c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		if _, err := c.Write(c.guard.refusal); err == nil {
			c.CloseWrite()
		}
	}
	return 0, errNotGranted
}

// Write implements net.Conn. Where the handler has set no write deadline, as for the server's
// own answers, each write must end within the guard's timeout: a caller that does not read its
// answers would hold its connection otherwise.
func (c *Conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	if !c.guard.opts.Frames && !c.writeBounded.Load() {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.guard.opts.WriteTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeBounded.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.writeBounded.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// received accounts for bytes that were read. If they are not granted, answer tells whether
// the caller may be told so.
func (c *Conn) received(p []byte) (granted, answer bool) {
	g := c.guard
	g.mu.Lock()
	var evicted []*Conn
	granted, answer, evicted = c.account(p)
	g.mu.Unlock()
	closeAll(evicted)
	return granted, answer
}

func (c *Conn) account(p []byte) (granted, answer bool, evicted []*Conn) {
	g := c.guard
	if g.opts.Frames {
		g.account.Progress(g.now(), c.id, len(p))
		return true, false, nil
	}
	c.lastRead = len(p)
	if c.phase == ingress.Idle {
		if !g.account.Phase(g.now(), c.id, ingress.Reading) {
			return false, false, nil // evicted
		}
		c.phase = ingress.Reading
		c.begun = time.Now()
		if c.unknownAhead {
			c.carried = maxCarried
		}
	}
	g.account.Progress(g.now(), c.id, len(p))
	if c.ended || c.phase == ingress.Serving {
		c.ahead += int64(len(p))
		c.aheadLines += bytes.Count(p, []byte("\n"))
		return true, false, nil
	}
	n, ended := c.header.Scan(p)
	c.ended = ended
	if ended {
		c.ahead = int64(len(p) - n)
		c.aheadLines = bytes.Count(p[n:], []byte("\n"))
	} else {
		allowed := progressGrace + time.Duration(c.header.Bytes)*time.Second/minHeaderRate
		c.SetReadDeadline(c.begun.Add(allowed))
	}
	granted, evicted = c.chargeHeader(c.carried + ingress.RequestCost + ingress.HeaderCost(c.header.Bytes, c.header.Lines))
	c.refused = c.refused || !granted
	// What was carried may be a whole request that the server has begun to handle.
	return granted, !granted && c.carried == 0, evicted
}

// chargeHeader raises what is charged for the header. The caller holds the lock.
func (c *Conn) chargeHeader(bytes int64) (granted bool, evicted []*Conn) {
	if bytes <= c.charged {
		return true, nil
	}
	granted, evicted = c.guard.chargeLocked(c, bytes-c.charged)
	if granted {
		c.charged = bytes
	}
	return granted, evicted
}

// Close implements net.Conn. It releases what the connection has charged.
func (c *Conn) Close() error {
	g := c.guard
	g.mu.Lock()
	g.account.Close(c.id)
	delete(g.conns, c.id)
	g.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, as the server does after it has refused a request
// that was not read to its end.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// WithConn is the ConnContext hook of a server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, nil if it is not known.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState is the ConnState hook of a server: between requests, a connection has charged
// nothing but its cost and what was read ahead.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.becomeIdle()
	}
}

// becomeIdle ends a request. Bytes of the next one may have been read with it.
func (c *Conn) becomeIdle() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	carried := c.ahead - c.bodyBytes
	c.unknownAhead = c.bodyBytes < 0
	switch {
	case c.unknownAhead:
		carried = 0
	case !c.ended:
		carried = int64(c.lastRead)
	}
	carried = max(0, min(carried, readAhead))
	lines := min(c.aheadLines, int(carried))
	c.phase, c.header, c.ended, c.charged = ingress.Idle, ingress.HeaderScanner{}, false, 0
	c.ahead, c.aheadLines, c.bodyBytes, c.lastRead = carried, lines, 0, int(carried)
	c.carried = ingress.HeaderCost(int(carried), lines)
	if !g.account.Phase(g.now(), c.id, ingress.Idle) || carried == 0 {
		return
	}
	granted, evicted := c.chargeHeader(c.carried)
	if !granted {
		evicted = append(evicted, c)
	}
	closeAll(evicted)
}

// Handler hands requests on whose connections were not evicted. next reads bodies with
// ReadBody, and only those of POST requests: others are read and dropped before it is called.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		expects := r.Header.Get("Expect") != ""
		if !c.begin(r) {
			panic(http.ErrAbortHandler) // the connection is closed; the request has no effect
		}
		switch {
		case r.ContentLength == 0:
			next.ServeHTTP(w, r)
		case r.Method != http.MethodPost:
			if err := c.discardBody(w, r); err != nil {
				refuseBody(w, err)
				return
			}
			next.ServeHTTP(w, r)
		default:
			// The server would wait for a body that next does not read, without a deadline.
			control := http.NewResponseController(w)
			control.SetReadDeadline(time.Now().Add(discardTimeout))
			next.ServeHTTP(w, r)
			switch {
			case c.bodyUsed:
			case c.answered.Load() || expects: // the server need not wait for the body any more
				control.SetReadDeadline(time.Now())
			default:
				_ = c.discardBody(w, r) // the server closes the connection after the answer
			}
		}
	})
}

// refuseBody answers a request whose body did not arrive and that was not handed on.
func refuseBody(w http.ResponseWriter, err error) {
	status, reason := http.StatusRequestTimeout, "body_not_received"
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status, reason = http.StatusRequestEntityTooLarge, "body_too_large"
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"outcome":"refused","reason":%q,"error":%q}`, reason, reason)
}

// begin notes that the header of a request was read.
func (c *Conn) begin(r *http.Request) bool {
	c.bodyUsed = false
	c.answered.Store(false)
	g := c.guard
	g.mu.Lock()
	granted, evicted := true, []*Conn(nil)
	switch {
	case c.unknownAhead:
		c.unknownAhead, c.carried = false, 0
		cost := headerCost(r)
		if granted, evicted = g.chargeLocked(c, cost-c.charged); granted {
			c.charged = cost
		}
	case !c.ended: // it was read with the request before, in part at least
		granted, evicted = c.chargeHeader(c.carried + headerCost(r))
	}
	if granted && c.charged > largeHeaderCost {
		evicted = append(evicted, c.prune(r)...)
	}
	granted = granted && !c.refused && g.account.Phase(g.now(), c.id, ingress.Serving)
	c.phase, c.bodyBytes = ingress.Serving, r.ContentLength
	g.mu.Unlock()
	closeAll(evicted)
	return granted
}

// headerCost returns what a request with its header takes.
func headerCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 2
			lines++
		}
	}
	return ingress.RequestCost + ingress.HeaderCost(size, lines)
}

// prune drops the header lines that no handler reads, so that a request that waits for its
// job does not hold them. The server does not read the header of a request once its handler
// has begun. The caller holds the lock.
func (c *Conn) prune(r *http.Request) (evicted []*Conn) {
	kept := make(http.Header, len(c.guard.opts.KeepHeaders))
	bytes, lines := 0, 0
	for _, name := range c.guard.opts.KeepHeaders {
		if v := r.Header.Get(name); v != "" {
			kept.Set(name, strings.Clone(v))
			bytes += len(name) + len(v)
			lines++
		}
	}
	r.Header = kept
	bytes += len(r.RequestURI)
	cost := c.carried + ingress.RequestCost + ingress.HeaderCost(bytes, lines)
	if cost < c.charged {
		_, evicted = c.guard.chargeLocked(c, cost-c.charged)
		c.charged = cost
	}
	return evicted
}

// setPhase changes the phase of the connection. It reports false if it was evicted.
func (c *Conn) setPhase(p ingress.Phase) bool {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Phase(g.now(), c.id, p)
}

// BeginReading tells that the connection reads its first frame. It reports false if the
// connection was evicted.
func (c *Conn) BeginReading() bool { return c == nil || c.setPhase(ingress.Reading) }

// BeginServing tells that what the connection sent was handed on, so that it is not evicted
// any more. It reports false if it was evicted before.
func (c *Conn) BeginServing() bool { return c == nil || c.setPhase(ingress.Serving) }

// Charge adds bytes to what the request has charged, or releases them if they are negative.
// It reports whether that is granted.
func (c *Conn) Charge(bytes int64) bool { return c == nil || c.guard.charge(c, bytes) }

// below returns the connection below TLS.
func below(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return below(t.NetConn())
	}
	return c
}

// Socket returns the socket of a connection or listener, nil if it is not known.
func Socket(c any) syscall.Conn {
	switch x := c.(type) {
	case *Conn:
		return x.socket
	case listener:
		return Socket(x.Listener)
	case syscall.Conn:
		return x
	case interface{ NetConn() net.Conn }: // a connection with TLS
		return Socket(x.NetConn())
	}
	return nil
}

// InputWaits reports whether the process has not read everything that has arrived at a
// socket: bytes, the end of the connection, or connections at that of a listener.
func InputWaits(socket syscall.Conn) bool {
	waits := false
	control(socket, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = err == nil && n > 0
	})
	return waits
}

// control calls f with the file descriptor of a socket, unless it is closed or not known.
func control(socket syscall.Conn, f func(fd int)) {
	if socket == nil {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		// An error means that the socket is closed.
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// limitReceiveBuffer bounds what waits unread in a socket. The sockets of connections take
// it over from the listener's.
func (g *Guard) limitReceiveBuffer(socket syscall.Conn) {
	if g.opts.ReceiveBuffer > 0 {
		control(socket, func(fd int) {
			// The kernel's own bound stays in effect if this fails.
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, g.opts.ReceiveBuffer)
		})
	}
}
