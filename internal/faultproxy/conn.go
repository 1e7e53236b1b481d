package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is one relayed connection.
type Conn struct {
	ends  [directions]net.Conn // ends[d] is where bytes of direction d go
	reach func(c *Conn, d Direction, n int) int
	done  chan struct{}
	once  sync.Once
	lanes [directions]lane
}

// lane is the state of one direction.
type lane struct {
	bytes  atomic.Uint64
	delay  atomic.Int64
	silent atomic.Bool
	mu     sync.Mutex
	held   chan struct{} // closed by Release; nil if not held
}

type chunk struct {
	data []byte
	read time.Time
}

func newConn(client, server net.Conn, reach func(*Conn, Direction, int) int) *Conn {
	c := &Conn{reach: reach, done: make(chan struct{})}
	c.ends[ToServer] = server
	c.ends[ToClient] = client
	return c
}

// Cut closes both ends.
func (c *Conn) Cut() {
	c.once.Do(func() {
		close(c.done)
		for _, e := range c.ends {
			e.Close()
		}
	})
}

// Silence discards everything that arrives in this direction from now on, the
// end of the stream included. The peers see an open connection. It cannot be
// undone, since bytes of the stream are lost.
func (c *Conn) Silence(d Direction) { c.lanes[d].silent.Store(true) }

// SetDelay delays the bytes of one direction.
func (c *Conn) SetDelay(d Direction, by time.Duration) { c.lanes[d].delay.Store(int64(by)) }

// Hold keeps bytes of one direction back until Release.
func (c *Conn) Hold(d Direction) {
	l := &c.lanes[d]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = make(chan struct{})
	}
}

// Release passes on what Hold kept back.
func (c *Conn) Release(d Direction) {
	l := &c.lanes[d]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		close(l.held)
		l.held = nil
	}
}

// Bytes returns the bytes passed on in a direction.
func (c *Conn) Bytes(d Direction) uint64 { return c.lanes[d].bytes.Load() }

func (c *Conn) isClosed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// run relays until the connection ends in both directions or is cut.
func (c *Conn) run() {
	var wg sync.WaitGroup
	for d := range directions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.relay(d)
		}()
	}
	wg.Wait()
	c.Cut()
}

// relay reads ahead of the writer, so that a delay does not limit the rate.
func (c *Conn) relay(d Direction) {
	ahead := make(chan chunk, chunksAhead)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.write(d, ahead)
	}()
	c.read(d, ahead)
	close(ahead)
	wg.Wait()
}

func (c *Conn) read(d Direction, ahead chan<- chunk) {
	from := c.ends[directions-1-d]
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case ahead <- chunk{data: buf[:n], read: time.Now()}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *Conn) write(d Direction, ahead <-chan chunk) {
	l := &c.lanes[d]
	for ch := range ahead {
		if !c.wait(l, ch.read) || !c.pass(d, ch.data) {
			return
		}
	}
	c.endOfStream(l)
}

// pass writes the bytes, in parts if a fault is due between them. It reports
// false if the connection ended.
func (c *Conn) pass(d Direction, data []byte) bool {
	l := &c.lanes[d]
	for len(data) > 0 {
		n := c.reach(c, d, len(data))
		if l.silent.Load() {
			return true
		}
		if !c.passHold(l) {
			return false
		}
		written, err := c.ends[d].Write(data[:n])
		l.bytes.Add(uint64(written))
		if err != nil {
			c.Cut()
			return false
		}
		data = data[n:]
	}
	return true
}

// endOfStream ends the whole connection, as both protocols that are relayed in
// tests do not use half-closed connections. A silent direction hides the end.
func (c *Conn) endOfStream(l *lane) {
	if l.silent.Load() {
		return
	}
	if c.passHold(l) {
		c.Cut()
	}
}

// wait returns when the chunk's delay is over, or false if the connection was cut.
func (c *Conn) wait(l *lane, read time.Time) bool {
	left := time.Until(read.Add(time.Duration(l.delay.Load())))
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

// passHold returns when the direction is not held, or false if it was cut.
func (c *Conn) passHold(l *lane) bool {
	for {
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
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
