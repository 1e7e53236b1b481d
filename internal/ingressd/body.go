package ingressd

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/ingress"
)

// ErrNotGranted is returned for a request whose body is not granted. It has not run, and may
// be sent again.
var ErrNotGranted = errors.New("ingress: the bodies of all requests in progress take too much memory")

// errEvicted is returned for a body whose connection is closed. A panic would skip what
// callers of ReadBody release after it.
var errEvicted = errors.New("ingress: the connection was evicted")

const (
	firstBodyBytes = 4 << 10
	// deadlineStep is by how much the deadline must have moved to be set again.
	deadlineStep = 250 * time.Millisecond
	// maxDiscardBytes and discardTimeout bound a body that no handler reads. The server of
	// net/http reads as many bytes of one before it answers.
	maxDiscardBytes = 256 << 10
	discardTimeout  = 10 * time.Second
)

// BodyOptions are the bounds of a body.
type BodyOptions struct {
	MaxBytes int64
	Timeout  time.Duration
	// Count is called with the number of bytes that were read. The body is not granted if
	// it returns false. It may be nil.
	Count func(n int) bool
}

// ReadBody reads the body of a request. The capacity of its buffer is charged to the
// connection of the request before it grows. The body must arrive within the timeout and at
// a minimum rate; the error is a timeout otherwise. If it is larger than MaxBytes, the error
// is an http.MaxBytesError. If ReadBody returns an error, the request must not be handed on,
// and its connection is closed after the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) ([]byte, error) {
	b := &bodyReader{conn: ConnOf(r.Context()), control: http.NewResponseController(w), opts: o, began: time.Now()}
	if b.conn != nil {
		b.conn.bodyUsed = true
	}
	data, err := b.read(w, r)
	// The answer to a body that failed is not cut off either.
	if b.conn != nil && !b.conn.setPhase(ingress.Serving) && err == nil {
		data, err = nil, errEvicted
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		// The server would read the rest of the body before it closes the connection.
		b.control.SetReadDeadline(b.began)
	} else {
		b.control.SetReadDeadline(time.Time{})
	}
	return data, err
}

// discardBody reads a body that no handler uses, so that its connection is not taken to serve
// a request that is incomplete. After an error the connection must not be used again.
func (c *Conn) discardBody(w http.ResponseWriter, r *http.Request) error {
	b := &bodyReader{
		conn: c, control: http.NewResponseController(w), opts: BodyOptions{MaxBytes: maxDiscardBytes, Timeout: discardTimeout}, began: time.Now(),
	}
	if !c.setPhase(ingress.Reading) {
		panic(http.ErrAbortHandler) // the connection was evicted
	}
	src := http.MaxBytesReader(w, r.Body, maxDiscardBytes)
	received, buf := 0, make([]byte, firstBodyBytes/2)
	var err error
	for err == nil {
		b.setDeadline(received)
		var n int
		n, err = src.Read(buf)
		received += n
	}
	if !c.setPhase(ingress.Serving) {
		panic(http.ErrAbortHandler)
	}
	if err != io.EOF {
		b.control.SetReadDeadline(b.began) // as in ReadBody
		return err
	}
	b.control.SetReadDeadline(time.Time{})
	return nil
}

type bodyReader struct {
	conn     *Conn // nil if it is not known
	control  *http.ResponseController
	opts     BodyOptions
	began    time.Time
	deadline time.Time
}

func (b *bodyReader) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > b.opts.MaxBytes {
		return nil, &http.MaxBytesError{Limit: b.opts.MaxBytes}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if b.conn != nil && !b.conn.setPhase(ingress.Reading) {
		return nil, errEvicted
	}
	src := http.MaxBytesReader(w, r.Body, b.opts.MaxBytes)
	most := b.opts.MaxBytes + 1 // room to find that the body is too large
	if r.ContentLength > 0 {
		most = r.ContentLength
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data, most)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		b.setDeadline(len(data))
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if b.opts.Count != nil && !b.opts.Count(n) {
			return nil, ErrNotGranted
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of data with more capacity, at most the given one and a byte.
func (b *bodyReader) grow(data []byte, most int64) ([]byte, error) {
	size := max(firstBodyBytes, 2*int64(cap(data)))
	if size > most {
		size = max(most, int64(cap(data))+1)
	}
	if !b.conn.Charge(size) {
		return nil, ErrNotGranted
	}
	grown := append(make([]byte, 0, size), data...)
	b.conn.Charge(-int64(cap(data)))
	return grown, nil
}

// setDeadline sets the time until which more bytes must arrive.
func (b *bodyReader) setDeadline(received int) {
	allowed := min(b.opts.Timeout, progressGrace+time.Duration(received)*time.Second/minBodyRate)
	if next := b.began.Add(allowed); next.Sub(b.deadline) >= deadlineStep || allowed == b.opts.Timeout && next.After(b.deadline) {
		b.deadline = next
		b.control.SetReadDeadline(next)
	}
}
