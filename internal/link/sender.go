package link

import "sync"

// keptQueue is the largest queue of frames that is reused. A longer one, left
// by a burst, is given back, since an idle link must stay small: an entry at
// the target scale has more than a thousand.
const keptQueue = 64

// Sender writes frames of one connection from a bounded queue.
type Sender[T any] struct {
	conn *Conn
	wake chan struct{} // the queue is not empty
	last chan struct{} // closed by Finish
	done chan struct{} // closed by Close
	// finish and close guard the channels.
	finish sync.Once
	close  sync.Once

	mu      sync.Mutex
	queue   []T // at most RingFrames
	spare   []T // empty, the queue's memory in turn
	writing int // frames taken from the queue and not yet written
}

// NewSender starts the writing goroutine. Close ends it.
func NewSender[T any](conn *Conn) *Sender[T] {
	s := &Sender[T]{
		conn: conn,
		wake: make(chan struct{}, 1),
		last: make(chan struct{}),
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Send queues a frame. It reports false if the connection is closed or
// finished, or if the queue is full, which closes the connection.
func (s *Sender[T]) Send(frame T) bool {
	select {
	case <-s.done:
		return false
	case <-s.last:
		return false
	default:
	}
	if !s.push(frame) {
		s.Close()
		return false
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func (s *Sender[T]) push(frame T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+s.writing >= RingFrames {
		return false
	}
	s.queue = append(s.queue, frame)
	return true
}

// take returns the queued frames and notes that they are being written.
func (s *Sender[T]) take() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.queue
	s.queue, s.spare = s.spare, nil
	s.writing = len(frames)
	return frames
}

// wrote notes that one of the taken frames was written.
func (s *Sender[T]) wrote() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing--
}

// reuse keeps the memory of written frames for the queue.
func (s *Sender[T]) reuse(frames []T) {
	if cap(frames) > keptQueue {
		return
	}
	clear(frames)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spare = frames[:0]
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
		case <-s.wake:
			if s.write() != nil {
				s.Close()
				return
			}
		}
	}
}

func (s *Sender[T]) writeLast() {
	if s.write() != nil || s.conn.CloseWrite() != nil {
		s.Close()
	}
}

// write sends what is queued, and what is queued meanwhile, with one flush.
func (s *Sender[T]) write() error {
	for frames := s.take(); len(frames) > 0; frames = s.take() {
		for i := range frames {
			if err := s.conn.Write(frames[i]); err != nil {
				return err
			}
			s.wrote()
		}
		s.reuse(frames)
	}
	return s.conn.Flush()
}
