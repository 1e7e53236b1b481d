package entryd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

const (
	callerDeadline = 300 * time.Millisecond
	// maxClockStep is above the resolution of the kernel's age of the last data.
	maxClockStep = 20 * time.Millisecond
)

// heldListener accepts connections once it is released. The kernel completes their
// handshakes, and takes what callers send, before that.
type heldListener struct {
	net.Listener
	released <-chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// lateEntry is an entry whose callers' connections and requests are held back.
type lateEntry struct {
	*entryd.Entry
	agent         *fakeAgent
	accept        func() // accepts connections from now on
	firstReceived chan struct{}
	endFirst      func()        // ends the requests of path /first
	jobReceived   chan struct{} // the header of a job was read
	answers       chan entry.JobAnswer
}

// startLateEntry starts an entry whose handler submits a job with the given deadline for
// each request, but for those of path /first.
func startLateEntry(t *testing.T, deadline time.Duration) *lateEntry {
	accepting, firstEnded := make(chan struct{}), make(chan struct{})
	l := &lateEntry{
		accept: sync.OnceFunc(func() { close(accepting) }), endFirst: sync.OnceFunc(func() { close(firstEnded) }),
		firstReceived: make(chan struct{}), jobReceived: make(chan struct{}, 1), answers: make(chan entry.JobAnswer, 1),
	}
	l.Entry = startEntry(t, entryd.Options{
		Core: entry.Options{ResendDelay: resendDelay},
		ListenFunc: func(role entryd.ListenerRole, addr string) (net.Listener, error) {
			inner, err := net.Listen("tcp", addr)
			if role == entryd.CallerListener {
				inner = heldListener{inner, accepting}
			}
			return inner, err
		},
		CallerHandler: func(s entryd.Submitter) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					close(l.firstReceived)
					<-firstEnded
					return
				}
				l.jobReceived <- struct{}{}
				if _, err := io.ReadAll(r.Body); err != nil {
					return
				}
				// As if the server did not notice the end of the connection.
				answer, _ := s.Submit(context.WithoutCancel(r.Context()), testJob(deadline))
				l.answers <- answer
			})
		},
	})
	t.Cleanup(l.accept)
	t.Cleanup(l.endFirst)
	l.agent = startAgent(t, l.Entry, 8, echo)
	return l
}

func (l *lateEntry) dial(t *testing.T) *net.TCPConn {
	c, err := net.Dial("tcp", l.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func write(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

const (
	firstRequest = "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	jobHeader    = "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
	jobBody      = "{}"
)

// Guards against two runs of a task at the same time: a request is read late, its caller
// leaves at its deadline, the end of the connection never arrives, and the run goes on until
// the deadline as counted from the reading.
func TestDeadlineCountsFromArrivalOfRequest(t *testing.T) {
	for name, send := range map[string]func(t *testing.T, l *lateEntry, c net.Conn){
		"connection accepted late": func(t *testing.T, l *lateEntry, c net.Conn) {
			write(t, c, jobHeader+jobBody)
			time.Sleep(callerDeadline + maxClockStep)
			l.accept()
		},
		"behind another request": func(t *testing.T, l *lateEntry, c net.Conn) {
			l.accept()
			write(t, c, firstRequest)
			<-l.firstReceived
			write(t, c, jobHeader+jobBody)
			time.Sleep(callerDeadline + maxClockStep)
			l.endFirst()
		},
		"late body": func(t *testing.T, l *lateEntry, c net.Conn) {
			l.accept()
			write(t, c, jobHeader)
			<-l.jobReceived
			time.Sleep(callerDeadline + maxClockStep)
			write(t, c, jobBody)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := startLateEntry(t, callerDeadline)
			send(t, l, l.dial(t))
			answer := <-l.answers
			assert.Equal(t, answer.Reason, entry.ReasonDeadline)
			assert.Equal(t, answer.Outcome, entry.Refused)
			assert.Equal(t, l.agent.starts(), 0)
		})
	}
}

// Guards against jobs that are refused, or end, before the deadline of their caller: the time
// before it sent its request does not count, although its connection was open, or in use for
// another request.
func TestArrivalOfRequestIsNotBeforeItWasSent(t *testing.T) {
	arrivals := make(chan time.Duration, 1)
	e := startEntry(t, entryd.Options{
		Core: entry.Options{ResendDelay: resendDelay},
		CallerHandler: func(entryd.Submitter) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				at, known := entryd.ArrivalOf(r.Context())
				assert.Check(t, known)
				arrivals <- at
			})
		},
	})
	c, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	answers := bufio.NewReader(c)
	for range 2 {
		time.Sleep(5 * maxClockStep)
		sent := e.Clock().Now()
		write(t, c, jobHeader+jobBody)
		assert.Assert(t, <-arrivals >= sent-maxClockStep)
		answer, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
	}
}

// Guards against requests that are refused because the kernel does not tell when they arrived,
// as on a socket that is not TCP: their deadline counts from the reading.
func TestJobRunsIfArrivalOfRequestIsNotKnown(t *testing.T) {
	answers := make(chan entry.JobAnswer, 1)
	e := startEntry(t, entryd.Options{
		Core: entry.Options{ResendDelay: resendDelay},
		ListenFunc: func(role entryd.ListenerRole, addr string) (net.Listener, error) {
			if role == entryd.CallerListener {
				return net.Listen("unix", filepath.Join(t.TempDir(), "callers"))
			}
			return net.Listen("tcp", addr)
		},
		CallerHandler: func(s entryd.Submitter) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, known := entryd.ArrivalOf(r.Context())
				assert.Check(t, !known)
				answer, _ := s.Submit(r.Context(), testJob(time.Minute))
				answers <- answer
			})
		},
	})
	startAgent(t, e, 8, echo)
	c, err := net.Dial("unix", e.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	write(t, c, firstRequest)
	assert.Equal(t, (<-answers).Outcome, entry.Complete)
}

// Guards against a start for a caller that left before its request was read: its connection
// waited to be accepted, or bytes of it were unread when it ended.
func TestCallerThatLeftBeforeItsRequestWasReadStartsNothing(t *testing.T) {
	for name, send := range map[string]func(t *testing.T, l *lateEntry, c *net.TCPConn){
		"before it was accepted": func(t *testing.T, l *lateEntry, c *net.TCPConn) {
			write(t, c, jobHeader+jobBody)
			assert.NilError(t, c.Close())
			l.accept()
		},
		"behind another request": func(t *testing.T, l *lateEntry, c *net.TCPConn) {
			l.accept()
			write(t, c, firstRequest)
			<-l.firstReceived
			write(t, c, jobHeader+jobBody)
			assert.NilError(t, c.Close())
			l.endFirst()
		},
		"with another request behind": func(t *testing.T, l *lateEntry, c *net.TCPConn) {
			write(t, c, jobHeader+jobBody+firstRequest)
			assert.NilError(t, c.Close())
			l.accept()
		},
		"half-closed": func(t *testing.T, l *lateEntry, c *net.TCPConn) {
			write(t, c, jobHeader+jobBody+firstRequest)
			assert.NilError(t, c.CloseWrite())
			l.accept()
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := startLateEntry(t, time.Minute)
			send(t, l, l.dial(t))
			answer := <-l.answers
			assert.Equal(t, answer.Reason, entry.ReasonCancelled)
			assert.Equal(t, answer.Outcome, entry.Refused)
			assert.Equal(t, l.agent.starts(), 0)
		})
	}
}

// Guards against two runs of a task at the same time: a request that arrived before a pause is
// read after it, and its job is started, although its caller may have sent it again.
func TestRequestThatArrivedBeforePauseStartsNothingAfterIt(t *testing.T) {
	l := startLateEntry(t, time.Minute)
	write(t, l.dial(t), jobHeader+jobBody)
	l.StallCore(resendDelay)
	l.accept()
	answer := <-l.answers
	assert.Equal(t, answer.Reason, entry.ReasonEntryPaused)
	assert.Equal(t, answer.Outcome, entry.Refused)
	assert.Equal(t, l.agent.starts(), 0)
}

// Guards against jobs that are refused as too late: a connection of several paths (MPTCP)
// takes data on any of them, but the kernel tells the age of the data on the first one.
func TestArrivalOnConnectionOfSeveralPathsIsNotKnown(t *testing.T) {
	known := make(chan bool, 1)
	e := startEntry(t, entryd.Options{
		Core: entry.Options{ResendDelay: resendDelay},
		CallerHandler: func(entryd.Submitter) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, ok := entryd.ArrivalOf(r.Context())
				known <- ok
			})
		},
	})
	var dialer net.Dialer
	dialer.SetMultipathTCP(true)
	c, err := dialer.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	if multipath, err := c.(*net.TCPConn).MultipathTCP(); err != nil || !multipath {
		t.Skip("the kernel does not support MPTCP")
	}
	write(t, c, firstRequest)
	assert.Assert(t, !<-known)
}
