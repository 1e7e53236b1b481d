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
	loopbackAddr      = "127.0.0.1:0"
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatSteps divides the interval, so that the peers do not all send at
	// the same time.
	heartbeatSteps  = 50
	readBufferBytes = 512
	// sampleStamp is encoded in CBOR with as many bytes as any timestamp of the
	// hybrid clock.
	sampleStamp = 1 << 60
)

// stubPeers are simulated far ends of links. Each reads and counts what arrives and
// sends the same heartbeat frame at the heartbeat interval.
type stubPeers struct {
	heartbeat    []byte
	mu           sync.Mutex
	conns        []net.Conn
	bytesRead    atomic.Int64 // by all peers together
	bytesWritten atomic.Int64 // by all peers together
	done         chan struct{}
	wg           sync.WaitGroup
}

func newStubPeers(heartbeat []byte) *stubPeers {
	p := &stubPeers{heartbeat: heartbeat, done: make(chan struct{})}
	p.wg.Go(p.heartbeatLoop)
	return p
}

// encodeFrame returns the encoding of v, preceded by its length.
func encodeFrame(v any) []byte {
	body, err := link.Encode(v)
	if err != nil {
		panic("capacity: message cannot be encoded: " + err.Error()) // only for a type that CBOR cannot represent
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// agentHeartbeat returns the encoded heartbeat of an agent.
func agentHeartbeat() []byte {
	return encodeFrame(&wire.ToEntry{Load: wire.Load{
		Running: 5, Slots: 8, Limit: 8, Successes: 1 << 20, Failures: 100,
	}, Stamp: sampleStamp})
}

// entryHeartbeat returns the encoded heartbeat of an entry.
func entryHeartbeat() []byte {
	return encodeFrame(&wire.ToAgent{LowestOpenSeq: 1 << 40, Stamp: sampleStamp})
}

func (p *stubPeers) add(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	p.wg.Go(func() { p.read(c) })
}

func (p *stubPeers) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *stubPeers) read(c net.Conn) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.Read(buf)
		p.bytesRead.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (p *stubPeers) heartbeatLoop() {
	t := time.NewTicker(heartbeatInterval / heartbeatSteps)
	defer t.Stop()
	for step := 0; ; step = (step + 1) % heartbeatSteps {
		select {
		case <-p.done:
			return
		case <-t.C:
		}
		for _, c := range p.due(step) {
			if n, err := c.Write(p.heartbeat); err == nil {
				p.bytesWritten.Add(int64(n))
			}
		}
	}
}

// due returns the connections of the peers whose heartbeat is due in one step of the
// interval.
func (p *stubPeers) due(step int) []net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	from, to := step*len(p.conns)/heartbeatSteps, (step+1)*len(p.conns)/heartbeatSteps
	return slices.Clone(p.conns[from:to])
}

func (p *stubPeers) close() {
	close(p.done)
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// linkedStubPeers returns the peers at both ends of n links, 2n in all. Their cost
// is that of stub peers only.
func linkedStubPeers(n int, heartbeat []byte) (*stubPeers, error) {
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p := newStubPeers(heartbeat)
	for range n {
		nearEnd, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			p.close()
			return nil, err
		}
		farEnd, err := l.Accept()
		if err != nil {
			nearEnd.Close()
			p.close()
			return nil, err
		}
		p.add(nearEnd)
		p.add(farEnd)
	}
	return p, nil
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

var errTimeout = errors.New("timed out waiting for links to come up")

// await polls until ready returns true, for at most 20 s.
func await(ready func() bool) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if ready() {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errTimeout
}
