package cli

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stoppableProcess records whether it was stopped gracefully.
type stoppableProcess struct{ stopped bool }

func (p *stoppableProcess) Stop(context.Context) error { p.stopped = true; return nil }
func (p *stoppableProcess) Kill()                      {}

// Guards against a process that ends because its settings change, or without a graceful
// shutdown, when a signal arrives while it starts.
func TestSignalsDuringStartAreHandledAfterIt(t *testing.T) {
	signals := notifySignals()
	for i, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, syscall.Kill(syscall.Getpid(), s))
		for len(signals) <= i {
			time.Sleep(time.Millisecond)
		}
	}
	p, reloads := new(stoppableProcess), 0
	code := serve(signals, p, time.Minute, func() error { reloads++; return nil }, io.Discard)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, reloads, 1)
	assert.Assert(t, p.stopped)
}
