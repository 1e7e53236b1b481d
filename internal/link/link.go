// Package link carries typed frames between an agent and an entry over one
// TCP connection.
//
// A frame is a 4-byte big-endian length and that many bytes of CBOR. A peer
// that sends nothing for SilenceTimeout, or does not accept a frame within
// WriteTimeout, is given up: the cores send a frame at least every heartbeat
// interval, so silence means that the path or the peer is gone.
package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

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
	// RingFrames is the capacity of the outgoing ring; a full ring closes the
	// connection, since a peer that does not read is as good as silent.
	RingFrames  = 4096
	headerBytes = 4
	bufferBytes = 32 << 10
)

// Preface opens every agent connection, so that a stray client is refused at once.
const Preface = "LTPEER1\n"

// ErrFrameTooLarge reports a frame above wire.MaxFrameBytes.
var ErrFrameTooLarge = errors.New("link: frame exceeds the size limit")

var decoder = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 16384,
		MaxNestedLevels:  8,
		MaxMapPairs:      1024,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame body of v.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode parses one frame body into v. It rejects trailing bytes.
func Decode(body []byte, v any) error { return decoder.Unmarshal(body, v) }

// Conn is a framed connection. Read and Write may be used by one goroutine each.
type Conn struct {
	net net.Conn
	r   *bufio.Reader
	w   *bufio.Writer
	buf []byte
}

// NewConn wraps an established connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{
		net: c,
		r:   bufio.NewReaderSize(c, bufferBytes),
		w:   bufio.NewWriterSize(c, bufferBytes),
	}
}

// Close closes the connection; blocked calls return with an error.
func (c *Conn) Close() error { return c.net.Close() }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.net.RemoteAddr().String() }

// Read waits at most timeout for the next frame and decodes it into v.
func (c *Conn) Read(v any, timeout time.Duration) error {
	if err := c.net.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > wire.MaxFrameBytes {
		return ErrFrameTooLarge
	}
	if cap(c.buf) < size {
		c.buf = make([]byte, size)
	}
	body := c.buf[:size]
	if _, err := io.ReadFull(c.r, body); err != nil {
		return err
	}
	if err := Decode(body, v); err != nil {
		return fmt.Errorf("link: decode frame: %w", err)
	}
	return nil
}

// Write encodes v into the buffer; Flush sends it.
func (c *Conn) Write(v any) error {
	body, err := Encode(v)
	if err != nil {
		return err
	}
	if len(body) > wire.MaxFrameBytes {
		return ErrFrameTooLarge
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	if _, err := c.w.Write(header[:]); err != nil {
		return err
	}
	_, err = c.w.Write(body)
	return err
}

// Flush sends what Write has buffered.
func (c *Conn) Flush() error { return c.w.Flush() }

// WritePreface sends the preface.
func (c *Conn) WritePreface() error {
	_, err := c.w.WriteString(Preface)
	return err
}

// ReadPreface checks that the connection starts with the preface.
func (c *Conn) ReadPreface() error {
	if err := c.net.SetReadDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return err
	}
	got := make([]byte, len(Preface))
	if _, err := io.ReadFull(c.r, got); err != nil {
		return err
	}
	if string(got) != Preface {
		return errors.New("link: wrong preface")
	}
	return nil
}

// Sender writes frames of one connection from a bounded ring.
type Sender[T any] struct {
	conn *Conn
	ring chan T
	done chan struct{}
	once sync.Once
}

// NewSender starts the writing goroutine. Close ends it.
func NewSender[T any](conn *Conn) *Sender[T] {
	s := &Sender[T]{
		conn: conn,
		ring: make(chan T, RingFrames),
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Send queues a frame. It reports false, and closes the connection, if the
// ring is full or the connection is closed.
func (s *Sender[T]) Send(frame T) bool {
	select {
	case <-s.done:
		return false
	case s.ring <- frame:
		return true
	default:
		s.Close()
		return false
	}
}

// Close closes the connection and drops frames that were not written.
func (s *Sender[T]) Close() {
	s.once.Do(func() {
		close(s.done)
		s.conn.Close()
	})
}

func (s *Sender[T]) run() {
	defer s.Close()
	for {
		select {
		case <-s.done:
			return
		case frame := <-s.ring:
			if s.write(frame) != nil {
				return
			}
		}
	}
}

// write sends one frame and whatever else waits, with one flush.
func (s *Sender[T]) write(frame T) error {
	for {
		if err := s.conn.Write(frame); err != nil {
			return err
		}
		select {
		case frame = <-s.ring:
		default:
			return s.conn.Flush()
		}
	}
}
