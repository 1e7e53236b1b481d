package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/limpettrail/limpettrail/core/ingress"
)

// process is a running entry or agent.
type process interface {
	// Stop drains the process. It returns when all work is done or ctx is done.
	Stop(ctx context.Context) error
	// Kill stops the process's work immediately.
	Kill()
}

// signalBuffer is how many signals may wait while a process starts.
const signalBuffer = 4

// notifySignals returns the channel of the signals that serve handles. Commands call it
// before they start anything: a signal that has no handler yet ends the process.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// serve handles signals and returns when p has stopped. The first SIGTERM or
// SIGINT begins the graceful shutdown, a second one kills p. SIGHUP reloads, but
// is ignored during the shutdown.
func serve(signals chan os.Signal, p process, drain time.Duration, reload func() error, stderr io.Writer) int {
	defer signal.Stop(signals)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		if err := reload(); err != nil {
			fmt.Fprintln(stderr, "reload failed, earlier files stay in use:", err)
			continue
		}
		fmt.Fprintln(stderr, "TLS files reloaded")
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- p.Stop(ctx) }()
	for {
		select {
		case err := <-stopped:
			if err != nil {
				fmt.Fprintln(stderr, "graceful shutdown incomplete:", err)
				return ExitFailed
			}
			return ExitOK
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.Kill()
				return ExitFailed
			}
		}
	}
}

// limitMemory makes the garbage collector keep to the memory of the machine, if it is stated.
// That bounds nothing: the shares do.
func limitMemory(s ingress.Shares) {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.MemoryLimit)
	}
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.OutputPaths = []string{"stderr"}
	c.EncoderConfig.TimeKey = "time"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build(zap.WithCaller(false))
}
