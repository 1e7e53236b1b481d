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
	// sinkBytes bounds the lines that wait to be written. A reader of the log
	// that stalls costs lines beyond it, never a decision.
	sinkBytes = 512 << 10
	// Of one event, the first samplingFirst lines in a second are written and
	// then one in samplingThereafter. Each event has this budget for itself.
	samplingFirst      = 400
	samplingThereafter = 50
	samplingPeriod     = time.Second
)

// Sink writes log lines from a goroutine of its own, so that the callers never
// wait for the file. It implements zapcore.WriteSyncer.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	wake    chan struct{}
	idle    *sync.Cond // signalled when everything was written
	writing bool
}

// NewSink returns a sink that writes to out until the process ends.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	s.idle = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write implements io.Writer. A line that finds no room is counted and dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.waiting)+len(line) > sinkBytes {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until every line was written.
func (s *Sink) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting) > 0 || s.writing {
		s.idle.Wait()
	}
	return nil
}

// Dropped returns the number of lines that found no room or exceeded their
// event's budget.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	for range s.wake {
		s.mu.Lock()
		lines := s.waiting
		s.waiting = s.spare[:0]
		s.writing = true
		s.mu.Unlock()
		// A log that cannot be written has nowhere to report that.
		_, _ = s.out.Write(lines)
		s.mu.Lock()
		s.spare = lines
		s.writing = false
		s.idle.Broadcast()
		s.mu.Unlock()
	}
}

// Logger returns a zap logger with JSON lines and a budget for each event.
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
