package entryd_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// Guards against a run that goes on, or begins, after its caller left, because the HTTP
// server has not noticed it when the leases of runs are renewed.
func TestCallerThatLeftIsNoticedBeforeLeasesAreRenewed(t *testing.T) {
	for _, beforeStart := range []bool{true, false} {
		received, proceed, answers := make(chan struct{}), make(chan struct{}), make(chan entry.JobAnswer, 1)
		e := startEntry(t, entryd.Options{
			Core: entry.Options{ResendDelay: resendDelay},
			CallerHandler: func(s entryd.Submitter) http.Handler {
				return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					close(received)
					<-proceed
					// As if the server did not notice the end of the connection.
					answer, _ := s.Submit(context.WithoutCancel(r.Context()), testJob(time.Minute))
					answers <- answer
				})
			},
		})
		run, unblock := blockedRun()
		a := startAgent(t, e, 8, run)
		t.Cleanup(unblock)
		caller, err := net.Dial("tcp", e.Addr())
		assert.NilError(t, err)
		_, err = caller.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
		assert.NilError(t, err)
		<-received
		if beforeStart {
			assert.NilError(t, caller.Close())
			close(proceed)
		} else {
			close(proceed)
			waitFor(t, "start", func() bool { return a.starts() == 1 })
			assert.NilError(t, caller.Close())
			waitFor(t, "cancel", func() bool { return e.Cancels() == 1 })
			unblock()
		}
		answer := <-answers
		assert.Equal(t, answer.Reason, entry.ReasonCancelled)
		assert.Equal(t, a.starts() == 0, beforeStart)
	}
}

// Guards against a job that is cancelled although one of its callers is still there, and
// against callers that count twice when they leave.
func TestJobOfTwoCallersGoesOnUntilBothHaveLeft(t *testing.T) {
	e, a := startEntryWithResends(t)
	run, unblock := blockedRun()
	a.run = run
	defer unblock()
	ctx, leave := context.WithCancel(t.Context())
	other, leaveToo := context.WithCancel(t.Context())
	ended := make(chan bool, 2)
	submit := func(ctx context.Context) {
		_, ok := e.Submit(ctx, testJob(time.Minute))
		ended <- ok
	}
	go submit(ctx)
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	go submit(other)
	waitFor(t, "second request", func() bool { return e.Waiters() == 2 })
	leave()
	assert.Assert(t, !<-ended)
	e.AwaitCallersChecked()
	assert.Equal(t, e.Cancels(), 0)
	leaveToo()
	assert.Assert(t, !<-ended)
	waitFor(t, "cancel", func() bool { return e.Cancels() == 1 })
}
