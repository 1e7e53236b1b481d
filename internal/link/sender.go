package link

import "sync"

// maxRetainedQueue is the largest capacity at which a queue is reused. A larger
// one, left by a burst, is released, since an idle link must use little memory: an
// entry at the target scale has more than a thousand links.
const maxRetainedQueue = 64

// Sender queues frames for one connection and writes them on its own goroutine.
type Sender[T any] struct {
	conn     *Conn
	wake     chan struct{} // signals that frames were queued
	finished chan struct{} // closed by Finish
	closed   chan struct{} // closed by Close
	// finishOnce and closeOnce ensure that each channel is closed only once.
	finishOnce sync.Once
	closeOnce  sync.Once

	mu      sync.Mutex
	queue   []T // at most MaxQueuedFrames
	spare   []T // empty, its memory is swapped with that of queue
	writing int // frames taken from the queue and not yet written
}

// NewSender returns a Sender and starts its writing goroutine. Close or Finish ends
// it.
func NewSender[T any](conn *Conn) *Sender[T] {
	s := &Sender[T]{
		conn:     conn,
		wake:     make(chan struct{}, 1),
		finished: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	go s.writeLoop()
	return s
}

// Send queues a frame. It reports false if Close or Finish was called or the
// queue is full. A full queue closes the connection.
func (s *Sender[T]) Send(frame T) bool {
	select {
	case <-s.closed:
		return false
	case <-s.finished:
		return false
	default:
	}
	if !s.enqueue(frame) {
		s.Close()
		return false
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// enqueue appends a frame to the queue. It reports false if the queue is full.
func (s *Sender[T]) enqueue(frame T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+s.writing >= MaxQueuedFrames {
		return false
	}
	s.queue = append(s.queue, frame)
	return true
}

// takeQueued removes and returns the queued frames. They count against
// MaxQueuedFrames until they are written.
func (s *Sender[T]) takeQueued() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.queue
	s.queue, s.spare = s.spare, nil
	s.writing = len(frames)
	return frames
}

// frameWritten records that one of the removed frames was written.
func (s *Sender[T]) frameWritten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing--
}

// recycle retains the memory of written frames for the queue.
func (s *Sender[T]) recycle(frames []T) {
	if cap(frames) > maxRetainedQueue {
		return
	}
	clear(frames)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spare = frames[:0]
}

// Close closes the connection and discards frames that were not written.
func (s *Sender[T]) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.conn.Close()
	})
}

// Finish makes the Sender write the queued frames and then close the sending
// direction. It does not wait. The connection stays open so that the peer can read
// all frames, and the user must close it once the peer has closed its side. Finish
// must not be called concurrently with Send.
func (s *Sender[T]) Finish() { s.finishOnce.Do(func() { close(s.finished) }) }

func (s *Sender[T]) writeLoop() {
	for {
		select {
		case <-s.closed:
			return
		case <-s.finished:
			s.writeAndCloseSend()
			return
		case <-s.wake:
			if s.writeQueued() != nil {
				s.Close()
				return
			}
		}
	}
}

func (s *Sender[T]) writeAndCloseSend() {
	if s.writeQueued() != nil || s.conn.CloseWrite() != nil {
		s.Close()
	}
}

// writeQueued writes the queued frames, including those queued meanwhile, and
// flushes once at the end.
func (s *Sender[T]) writeQueued() error {
	for frames := s.takeQueued(); len(frames) > 0; frames = s.takeQueued() {
		for i := range frames {
			if err := s.conn.Write(frames[i]); err != nil {
				return err
			}
			s.frameWritten()
		}
		s.recycle(frames)
	}
	return s.conn.Flush()
}
