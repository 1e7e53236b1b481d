package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxPendingBytes bounds the lines that are buffered until they are written. If
	// the reader of the log stalls, lines beyond this limit are dropped, but callers
	// are never blocked.
	maxPendingBytes = 512 << 10
	// For each event, the first samplingFirst lines in a second are written and
	// after them one in samplingThereafter.
	samplingFirst      = 400
	samplingThereafter = 50
	samplingPeriod     = time.Second
)

// Sink writes log lines in a separate goroutine, so that callers never wait for
// the output. It implements zapcore.WriteSyncer.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte // lines to be written
	spare   []byte // buffer of the previous write, for reuse
	wake    chan struct{}
	idle    *sync.Cond // signalled when a write ends
	writing bool
}

// NewSink returns a sink that writes to out. Its goroutine runs until the process
// exits.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	s.idle = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write implements io.Writer. A line that does not fit into the buffer is dropped
// and counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.pending)+len(line) > maxPendingBytes {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until all lines are written.
func (s *Sink) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 || s.writing {
		s.idle.Wait()
	}
	return nil
}

// Dropped returns the number of lines that were dropped because the buffer was
// full or by sampling.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	for range s.wake {
		s.mu.Lock()
		lines := s.pending
		s.pending = s.spare[:0]
		s.writing = true
		s.mu.Unlock()
		// A write error is ignored because there is nowhere to report it.
		_, _ = s.out.Write(lines)
		s.mu.Lock()
		s.spare = lines
		s.writing = false
		s.idle.Broadcast()
		s.mu.Unlock()
	}
}

// Logger returns a zap logger that writes JSON lines to the sink and samples each
// event separately.
func (s *Sink) Logger(level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), s, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, samplingPeriod, samplingFirst, samplingThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				s.dropped.Add(1)
			}
		})))
}
