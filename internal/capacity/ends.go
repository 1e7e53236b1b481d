package capacity

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	loopback          = "127.0.0.1:0"
	heartbeatInterval = 500 * time.Millisecond
	// beatSteps divides the interval, so that ends do not send all at once.
	beatSteps = 50
	readBytes = 512
	// stampSample has as many bytes in CBOR as any stamp of the hybrid clock.
	stampSample = 1 << 60
)

// ends are the far ends of links: each reads and counts what arrives and sends
// the same heartbeat frame at the heartbeat interval.
type ends struct {
	beat  []byte
	mu    sync.Mutex
	conns []net.Conn
	in    atomic.Int64 // bytes read
	out   atomic.Int64 // bytes written
	done  chan struct{}
	wg    sync.WaitGroup
}

func newEnds(beat []byte) *ends {
	e := &ends{beat: beat, done: make(chan struct{})}
	e.wg.Go(e.beatLoop)
	return e
}

// frame returns the encoding of v with its length.
func frame(v any) []byte {
	body, err := link.Encode(v)
	if err != nil {
		panic("capacity: message cannot be encoded: " + err.Error()) // only on a type that CBOR cannot express
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func agentBeat() []byte {
	return frame(&wire.ToEntry{Load: wire.Load{
		Running: 5, Slots: 8, Limit: 8, Successes: 1 << 20, Failures: 100,
	}, Stamp: stampSample})
}

func entryBeat() []byte {
	return frame(&wire.ToAgent{LowestOpenSeq: 1 << 40, Stamp: stampSample})
}

func (e *ends) add(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, c)
	e.wg.Go(func() { e.read(c) })
}

func (e *ends) len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func (e *ends) read(c net.Conn) {
	buf := make([]byte, readBytes)
	for {
		n, err := c.Read(buf)
		e.in.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (e *ends) beatLoop() {
	t := time.NewTicker(heartbeatInterval / beatSteps)
	defer t.Stop()
	for step := 0; ; step = (step + 1) % beatSteps {
		select {
		case <-e.done:
			return
		case <-t.C:
		}
		for _, c := range e.share(step) {
			if n, err := c.Write(e.beat); err == nil {
				e.out.Add(int64(n))
			}
		}
	}
}

// share returns the ends that are due in one step of the interval.
func (e *ends) share(step int) []net.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	from, to := step*len(e.conns)/beatSteps, (step+1)*len(e.conns)/beatSteps
	return slices.Clone(e.conns[from:to])
}

func (e *ends) close() {
	close(e.done)
	e.mu.Lock()
	for _, c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// linkedEnds returns ends of n links to each other, 2n ends in all, whose cost
// is that of the ends alone.
func linkedEnds(n int, beat []byte) (*ends, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	e := newEnds(beat)
	for range n {
		near, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			e.close()
			return nil, err
		}
		far, err := l.Accept()
		if err != nil {
			near.Close()
			e.close()
			return nil, err
		}
		e.add(near)
		e.add(far)
	}
	return e, nil
}

// readFrame reads one frame and decodes it.
func readFrame(r io.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > wire.MaxFrameBytes {
		return link.ErrFrameTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return link.Decode(body, v)
}

var errTimeout = errors.New("links did not come up in time")

// await polls until ready reports true.
func await(ready func() bool) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if ready() {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errTimeout
}
