package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one relayed connection.
type Conn struct {
	peers [numDirections]net.Conn // peers[d] receives the bytes of direction d
	// beforeWrite is called before n bytes of direction d are written. It may
	// inject a fault and returns how many of them to write before the next call.
	beforeWrite func(c *Conn, d Direction, n int) int
	done        chan struct{}
	once        sync.Once
	streams     [numDirections]stream
}

// stream is the state of one direction.
type stream struct {
	bytes  atomic.Uint64 // forwarded so far
	delay  atomic.Int64  // in nanoseconds
	silent atomic.Bool   // bytes are discarded
	mu     sync.Mutex
	held   chan struct{} // closed by Release; nil if not held
}

// chunk holds bytes that were read but not yet forwarded.
type chunk struct {
	data   []byte
	readAt time.Time
}

func newConn(client, server net.Conn, beforeWrite func(*Conn, Direction, int) int) *Conn {
	c := &Conn{beforeWrite: beforeWrite, done: make(chan struct{})}
	c.peers[ToServer] = server
	c.peers[ToClient] = client
	return c
}

// Cut closes the connections to both peers.
func (c *Conn) Cut() {
	c.once.Do(func() {
		close(c.done)
		for _, p := range c.peers {
			p.Close()
		}
	})
}

// Silence discards everything that arrives in direction d from now on,
// including the end of the stream, while both peers see an open connection. It
// cannot be undone because bytes of the stream are lost.
func (c *Conn) Silence(d Direction) { c.streams[d].silent.Store(true) }

// SetDelay delays the bytes of direction d.
func (c *Conn) SetDelay(d Direction, by time.Duration) { c.streams[d].delay.Store(int64(by)) }

// Hold buffers the bytes of direction d until Release.
func (c *Conn) Hold(d Direction) {
	s := &c.streams[d]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(chan struct{})
	}
}

// Release forwards the bytes that Hold buffered.
func (c *Conn) Release(d Direction) {
	s := &c.streams[d]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		close(s.held)
		s.held = nil
	}
}

// Bytes returns the number of bytes forwarded in direction d.
func (c *Conn) Bytes(d Direction) uint64 { return c.streams[d].bytes.Load() }

func (c *Conn) isClosed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// run relays both directions until they end or the connection is cut.
func (c *Conn) run() {
	var wg sync.WaitGroup
	for d := range numDirections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.relay(d)
		}()
	}
	wg.Wait()
	c.Cut()
}

// relay forwards direction d. It reads ahead of the writer so that a delay does
// not limit the throughput.
func (c *Conn) relay(d Direction) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.write(d, queue)
	}()
	c.read(d, queue)
	close(queue)
	wg.Wait()
}

func (c *Conn) read(d Direction, queue chan<- chunk) {
	src := c.peers[numDirections-1-d] // the peer that sends in direction d
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{data: bytes.Clone(buf[:n]), readAt: time.Now()}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *Conn) write(d Direction, queue <-chan chunk) {
	s := &c.streams[d]
	for next := range queue {
		if !c.awaitDelay(s, next.readAt) || !c.forward(d, next.data) {
			return
		}
	}
	c.closeAtEndOfStream(s)
}

// forward writes data, in parts if a fault is due between them. It reports
// false if the connection ended.
func (c *Conn) forward(d Direction, data []byte) bool {
	s := &c.streams[d]
	for len(data) > 0 {
		n := c.beforeWrite(c, d, len(data))
		if s.silent.Load() {
			return true
		}
		if !c.awaitRelease(s) {
			return false
		}
		written, err := c.peers[d].Write(data[:n])
		s.bytes.Add(uint64(written))
		if err != nil {
			c.Cut()
			return false
		}
		data = data[n:]
	}
	return true
}

// closeAtEndOfStream closes the whole connection because neither of the two protocols
// relayed in tests uses half-closed connections. A silenced direction hides the
// end of its stream.
func (c *Conn) closeAtEndOfStream(s *stream) {
	if s.silent.Load() {
		return
	}
	if c.awaitRelease(s) {
		c.Cut()
	}
}

// awaitDelay waits until the delay of a chunk read at readAt is over. It reports
// false if the connection was cut.
func (c *Conn) awaitDelay(s *stream, readAt time.Time) bool {
	remaining := time.Until(readAt.Add(time.Duration(s.delay.Load())))
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

// awaitRelease waits until the stream is not held. It reports false if the
// connection was cut.
func (c *Conn) awaitRelease(s *stream) bool {
	for {
		s.mu.Lock()
		held := s.held
		s.mu.Unlock()
		if held == nil {
			return true
		}
		select {
		case <-held:
		case <-c.done:
			return false
		}
	}
}
