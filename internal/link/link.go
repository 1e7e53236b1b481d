// Package link carries typed frames between an agent and an entry over one
// TCP connection.
//
// A frame is a 4-byte big-endian length and that many bytes of CBOR. A peer
// that sends nothing for SilenceTimeout, or does not accept a frame within
// WriteTimeout, is given up: the cores send a frame at least every heartbeat
// interval, so silence means that the path or the peer is gone.
//
// Everything received is hostile until checked: lengths, nesting, array sizes
// and field limits are enforced, and memory grows only with bytes that arrived.
package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Bounds of a connection.
const (
	// SilenceTimeout closes a connection on which nothing arrives.
	SilenceTimeout = 2 * time.Second
	// WriteTimeout closes a connection whose peer does not read.
	WriteTimeout = 2 * time.Second
	// HandshakeTimeout bounds the exchange of preface and hellos.
	HandshakeTimeout = 2 * time.Second
	// RingFrames is the capacity of the outgoing queue; a full queue closes the
	// connection, since a peer that does not read is as good as silent.
	RingFrames  = 4096
	headerBytes = 4
	// bufferBytes is the size of the read and of the write buffer. Larger frames
	// pass them by, and an entry has both for each of its agents.
	bufferBytes = 4 << 10
	// readStep is how much of a frame is awaited, and at most how much memory is
	// taken beyond the bytes that arrived, at a time.
	readStep = 64 << 10
	// keptBuffer is the largest buffer that a connection keeps between frames.
	keptBuffer = 256 << 10
)

// Preface opens every agent connection, so that a stray client is refused at once.
const Preface = "LTPEER1\n"

// ErrFrameTooLarge reports a frame above wire.MaxFrameBytes.
var ErrFrameTooLarge = errors.New("link: frame exceeds the size limit")

// Conn is a framed connection. Read and Write may be used by one goroutine each.
type Conn struct {
	net          net.Conn
	r            *bufio.Reader
	w            *bufio.Writer
	in           []byte
	out          bytes.Buffer
	writeTimeout time.Duration
}

// NewConn wraps an established connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		net:          c,
		r:            bufio.NewReaderSize(c, bufferBytes),
		w:            bufio.NewWriterSize(c, bufferBytes),
		writeTimeout: WriteTimeout,
	}
}

// SetWriteTimeout replaces WriteTimeout. Call it before the first Write.
func (c *Conn) SetWriteTimeout(d time.Duration) { c.writeTimeout = d }

// Close closes the connection; blocked calls return with an error.
func (c *Conn) Close() error { return c.net.Close() }

// CloseWrite tells the peer that no frame follows. What was flushed still
// arrives, whereas Close may discard it if unread frames are waiting here.
func (c *Conn) CloseWrite() error {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.net.Close()
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.net.RemoteAddr().String() }

// Read waits for the next frame and decodes it into v. It fails if nothing, or
// less than readStep of a frame, arrives within timeout.
func (c *Conn) Read(v any, timeout time.Duration) error {
	var header [headerBytes]byte
	if err := c.readFull(header[:], timeout); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > wire.MaxFrameBytes {
		return ErrFrameTooLarge
	}
	if err := c.readBody(int(size), timeout); err != nil {
		return err
	}
	err := Decode(c.in, v)
	if cap(c.in) > keptBuffer {
		c.in = nil
	}
	if err != nil {
		return fmt.Errorf("link: decode frame: %w", err)
	}
	return nil
}

// readBody reads size bytes into c.in. The buffer grows as bytes arrive, since
// the size is only a claim of the peer.
func (c *Conn) readBody(size int, timeout time.Duration) error {
	c.in = c.in[:0]
	for len(c.in) < size {
		have := len(c.in)
		step := min(readStep, size-have)
		c.in = slices.Grow(c.in, step)[:have+step]
		if err := c.readFull(c.in[have:], timeout); err != nil {
			return err
		}
	}
	return nil
}

func (c *Conn) readFull(p []byte, timeout time.Duration) error {
	if err := c.net.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(c.r, p)
	return err
}

// Write encodes v into the buffer; Flush sends it.
func (c *Conn) Write(v any) error {
	c.out.Reset()
	if c.out.Cap() > keptBuffer {
		c.out = bytes.Buffer{}
	}
	var header [headerBytes]byte
	c.out.Write(header[:])
	if err := encoder.MarshalToBuffer(v, &c.out); err != nil {
		return err
	}
	size := c.out.Len() - headerBytes
	if size > wire.MaxFrameBytes {
		return ErrFrameTooLarge
	}
	if err := c.extendWrite(); err != nil {
		return err
	}
	binary.BigEndian.PutUint32(c.out.Bytes(), uint32(size))
	_, err := c.w.Write(c.out.Bytes())
	return err
}

// Flush sends what Write has buffered.
func (c *Conn) Flush() error {
	if err := c.extendWrite(); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *Conn) extendWrite() error {
	return c.net.SetWriteDeadline(time.Now().Add(c.writeTimeout))
}

// WritePreface sends the preface.
func (c *Conn) WritePreface() error {
	_, err := c.w.WriteString(Preface)
	return err
}

// ReadPreface checks that the connection starts with the preface.
func (c *Conn) ReadPreface() error {
	got := make([]byte, len(Preface))
	if err := c.readFull(got, HandshakeTimeout); err != nil {
		return err
	}
	if string(got) != Preface {
		return errors.New("link: wrong preface")
	}
	return nil
}
