// Package link carries typed frames between an agent and an entry over one
// TCP connection.
//
// A frame is a 4-byte big-endian length followed by that many bytes of CBOR. A
// connection is closed if the peer sends nothing for SilenceTimeout or does not
// accept a frame within WriteTimeout. Both sides send a frame at least once per
// heartbeat interval, so silence means that the network path or the peer has
// failed.
//
// Received data is untrusted. Lengths, nesting, array sizes and field limits are
// enforced, and memory is allocated only in proportion to the bytes received.
package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Limits of a connection.
const (
	// SilenceTimeout is how long nothing may arrive before a connection is closed.
	SilenceTimeout = 2 * time.Second
	// WriteTimeout is how long a write may block before a connection is closed.
	WriteTimeout = 2 * time.Second
	// HandshakeTimeout limits the exchange of the preface and the hellos.
	HandshakeTimeout = 2 * time.Second
	// MaxQueuedFrames is the capacity of the send queue. If it is full, the
	// connection is closed: a peer that does not read is treated like one that does
	// not send.
	MaxQueuedFrames = 4096
	headerBytes     = 4
	// bufferBytes is the size of the read buffer and of the write buffer. They are
	// small because an entry has both for each of its agents. Larger frames bypass
	// them.
	bufferBytes = 4 << 10
	// readChunkBytes is the size of the chunks in which a frame is read. The buffer
	// is extended by at most one chunk beyond the bytes that have arrived, and each
	// chunk must arrive within the timeout.
	readChunkBytes = 64 << 10
	// maxRetainedBuffer is the largest buffer that a connection retains between
	// frames. 240 links that retain the buffers of large frames would otherwise use up
	// the memory of the smallest machine.
	maxRetainedBuffer = 4 << 10
)

// Preface is the first data on every agent connection, so that a client of another
// protocol is rejected at once.
const Preface = "LTPEER1\n"

// ErrFrameTooLarge is returned for a frame larger than wire.MaxFrameBytes.
var ErrFrameTooLarge = errors.New("link: frame exceeds the size limit")

// Conn is a framed connection. One goroutine may read while another one writes.
type Conn struct {
	net          net.Conn
	r            *bufio.Reader
	w            *bufio.Writer
	readBuf      []byte
	maxFrame     int
	reserve      func(size int) error
	writeBuf     bytes.Buffer
	writeTimeout time.Duration
}

// NewConn wraps an established connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		net:          c,
		r:            bufio.NewReaderSize(c, bufferBytes),
		w:            bufio.NewWriterSize(c, bufferBytes),
		writeTimeout: WriteTimeout,
		maxFrame:     wire.MaxFrameBytes,
		reserve:      func(int) error { return nil },
	}
}

// SetReserve has reserve called with the size of each frame before its body is read. It may
// wait, which does not count towards the timeout of Read. Read returns its error.
func (c *Conn) SetReserve(reserve func(size int) error) { c.reserve = reserve }

// SetMaxFrame replaces wire.MaxFrameBytes as the largest frame to read.
func (c *Conn) SetMaxFrame(bytes int) { c.maxFrame = bytes }

// SetWriteTimeout replaces WriteTimeout. It must be called before the first Write.
func (c *Conn) SetWriteTimeout(d time.Duration) { c.writeTimeout = d }

// Close closes the connection. Blocked calls return an error.
func (c *Conn) Close() error { return c.net.Close() }

// CloseWrite closes the sending direction, which tells the peer that no frame
// follows. Flushed frames still arrive, whereas Close may discard them if there
// are received frames that were not read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.net.Close()
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.net.RemoteAddr().String() }

// Read waits for the next frame and decodes it into v. The header and each chunk
// of readChunkBytes bytes must arrive within timeout.
func (c *Conn) Read(v any, timeout time.Duration) error {
	var header [headerBytes]byte
	if err := c.readFull(header[:], timeout); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(c.maxFrame) {
		return ErrFrameTooLarge
	}
	if err := c.reserve(int(size)); err != nil {
		return err
	}
	if err := c.readBody(int(size), timeout); err != nil {
		return err
	}
	err := Decode(c.readBuf, v)
	if cap(c.readBuf) > maxRetainedBuffer {
		c.readBuf = nil
	}
	if err != nil {
		return fmt.Errorf("link: decode frame: %w", err)
	}
	return nil
}

// readBody reads size bytes into c.readBuf. The buffer grows as bytes arrive, since
// the size was declared by the peer and is not trusted.
func (c *Conn) readBody(size int, timeout time.Duration) error {
	c.readBuf = c.readBuf[:0]
	for len(c.readBuf) < size {
		have := len(c.readBuf)
		chunk := min(readChunkBytes, size-have)
		c.growTo(have+chunk, size)
		if err := c.readFull(c.readBuf[have:], timeout); err != nil {
			return err
		}
	}
	return nil
}

// growTo extends c.readBuf to the given length, for a frame of the given size. Its capacity
// is at most four times what has arrived, and a chunk.
func (c *Conn) growTo(length, size int) {
	old := cap(c.readBuf)
	if length > old {
		grown := max(length, 2*old)
		if grown > readChunkBytes {
			grown = max(length, min(size, 4*old))
		}
		c.readBuf = append(make([]byte, 0, grown), c.readBuf...)
	}
	c.readBuf = c.readBuf[:length]
}

func (c *Conn) readFull(p []byte, timeout time.Duration) error {
	if err := c.net.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(c.r, p)
	return err
}

// Write encodes v as a frame and buffers it. Flush sends it.
func (c *Conn) Write(v any) error {
	defer c.recycleWriteBuf()
	var header [headerBytes]byte
	c.writeBuf.Write(header[:])
	if err := encoder.MarshalToBuffer(v, &c.writeBuf); err != nil {
		return err
	}
	size := c.writeBuf.Len() - headerBytes
	if size > wire.MaxFrameBytes {
		return ErrFrameTooLarge
	}
	if err := c.setWriteDeadline(); err != nil {
		return err
	}
	binary.BigEndian.PutUint32(c.writeBuf.Bytes(), uint32(size))
	_, err := c.w.Write(c.writeBuf.Bytes())
	return err
}

// recycleWriteBuf empties the buffer for frames that are written.
func (c *Conn) recycleWriteBuf() {
	c.writeBuf.Reset()
	if c.writeBuf.Cap() > maxRetainedBuffer {
		c.writeBuf = bytes.Buffer{}
	}
}

// Flush sends the buffered frames.
func (c *Conn) Flush() error {
	if err := c.setWriteDeadline(); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *Conn) setWriteDeadline() error {
	return c.net.SetWriteDeadline(time.Now().Add(c.writeTimeout))
}

// WritePreface buffers the preface. Flush sends it.
func (c *Conn) WritePreface() error {
	_, err := c.w.WriteString(Preface)
	return err
}

// ReadPreface reads the preface and returns an error if it is a different one.
func (c *Conn) ReadPreface() error {
	got := make([]byte, len(Preface))
	if err := c.readFull(got, HandshakeTimeout); err != nil {
		return err
	}
	if string(got) != Preface {
		return errors.New("link: unknown connection preface")
	}
	return nil
}
