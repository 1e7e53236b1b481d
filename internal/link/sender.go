package link

import "sync"

// Sender writes frames of one connection from a bounded ring.
type Sender[T any] struct {
	conn *Conn
	ring chan T
	last chan struct{} // closed by Finish
	done chan struct{} // closed by Close
	// finish and close guard the channels.
	finish sync.Once
	close  sync.Once
}

// NewSender starts the writing goroutine. Close ends it.
func NewSender[T any](conn *Conn) *Sender[T] {
	s := &Sender[T]{
		conn: conn,
		ring: make(chan T, RingFrames),
		last: make(chan struct{}),
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Send queues a frame. It reports false if the connection is closed or
// finished, or if the ring is full, which closes the connection.
func (s *Sender[T]) Send(frame T) bool {
	select {
	case <-s.done:
		return false
	case <-s.last:
		return false
	default:
	}
	select {
	case s.ring <- frame:
		return true
	default:
		s.Close()
		return false
	}
}

// Close closes the connection and drops frames that were not written.
func (s *Sender[T]) Close() {
	s.close.Do(func() {
		close(s.done)
		s.conn.Close()
	})
}

// Finish writes the queued frames and then closes the writing direction. The
// connection itself stays open, so that the peer reads everything; the caller
// closes it when the peer has closed its side. No Send may run concurrently.
func (s *Sender[T]) Finish() { s.finish.Do(func() { close(s.last) }) }

func (s *Sender[T]) run() {
	for {
		select {
		case <-s.done:
			return
		case <-s.last:
			s.writeLast()
			return
		case frame := <-s.ring:
			if s.write(frame) != nil {
				s.Close()
				return
			}
		}
	}
}

func (s *Sender[T]) writeLast() {
	select {
	case frame := <-s.ring:
		if s.write(frame) != nil {
			s.Close()
			return
		}
	default:
	}
	if s.conn.CloseWrite() != nil {
		s.Close()
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
