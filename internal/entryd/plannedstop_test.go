package entryd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// Guards against a planned stop that closes the open connection of a caller as its
// request arrives: the caller cannot know whether that request ran.
func TestPlannedStopAnswersRequestsOnOpenConnections(t *testing.T) {
	const rounds, callers = 20, 16
	for range rounds {
		e := startEntry(t, entryd.Options{})
		startAgent(t, e, 8, func(s wire.Start) wire.Result {
			return wire.Result{Seq: s.Seq, Outcome: wire.Succeeded, Body: s.Payload}
		})
		var stopping atomic.Bool
		transport := &http.Transport{MaxIdleConnsPerHost: callers, DialContext: dialUnless(&stopping)}
		client := &http.Client{Transport: transport}
		var wg sync.WaitGroup
		errs := make(chan error, callers)
		for range callers {
			wg.Go(func() { errs <- postUntilRefused(client, "http://"+e.Addr()+"/v1/jobs") })
		}
		time.Sleep(20 * time.Millisecond)
		stopping.Store(true)
		assert.NilError(t, e.Stop(context.Background()))
		wg.Wait()
		close(errs)
		for err := range errs {
			assert.NilError(t, err, "a planned stop ended a request without an answer")
		}
		transport.CloseIdleConnections()
	}
}

var errStopping = errors.New("no new connection to an entry that stops")

// dialUnless returns a dial function that fails once stopping is set.
func dialUnless(stopping *atomic.Bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if stopping.Load() {
			return nil, errStopping
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
}

// postUntilRefused posts jobs one after the other until the entry refuses one, or there
// is no open connection any more. It returns the error of a request that ended without
// an answer.
func postUntilRefused(client *http.Client, url string) error {
	for {
		resp, err := client.Post(url, "application/json", strings.NewReader(`{"class":"c","tasks":[1]}`))
		if err != nil {
			if errors.Is(err, errStopping) {
				return nil
			}
			return err
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a planned stop that waits for callers that send nothing.
func TestPlannedStopClosesIdleConnections(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	silent, err := net.Dial("tcp", e.Addr()) // sends no request
	assert.NilError(t, err)
	defer silent.Close()
	used, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	defer used.Close()
	_, err = io.WriteString(used, "GET /v1/jobs/0 HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	answer := make([]byte, 1)
	_, err = io.ReadFull(used, answer)
	assert.NilError(t, err)
	assert.NilError(t, e.Stop(context.Background()))
	for _, c := range []net.Conn{silent, used} {
		_, err := io.Copy(io.Discard, c)
		assert.NilError(t, err, "the connection was reset")
	}
}

// Guards against a planned stop that closes a connection as idle although a request has
// arrived on it, which the process has not got to read.
func TestPlannedStopAnswersRequestsThatWaitToBeRead(t *testing.T) {
	gate, e := startGatedEntry(t)
	conn, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	answers := bufio.NewReader(conn)
	assert.NilError(t, exchange(conn, answers))
	time.Sleep(300 * time.Millisecond) // the connection counts as idle
	gate.Store(true)
	_, err = io.WriteString(conn, getRequest)
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	gate.Store(false)
	assert.NilError(t, readAnswer(answers))
	assert.NilError(t, <-stopped)
}

// Guards against a planned stop that resets connections that the process has not got to
// accept, although callers have sent requests on them.
func TestPlannedStopAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	gate, e := startGatedEntry(t)
	gate.Store(true)
	conn, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, getRequest)
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(300 * time.Millisecond)
	gate.Store(false)
	assert.NilError(t, readAnswer(bufio.NewReader(conn)))
	assert.NilError(t, <-stopped)
}

// Guards against a planned stop that closes connections as idle whose callers have been kept
// from sending, here by other goroutines that take turns on the only processor.
func TestPlannedStopWaitsForCallersKeptFromSending(t *testing.T) {
	const callers, others = 8, 10 // others run for 10 ms each: a turn takes 0.1 s
	e := startEntry(t, entryd.Options{})
	errs := make(chan error, callers)
	for range callers {
		conn, err := net.Dial("tcp", e.Addr())
		assert.NilError(t, err)
		defer conn.Close()
		go func() { errs <- exchangeUntilClosed(conn) }()
	}
	time.Sleep(100 * time.Millisecond)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var busy atomic.Bool
	busy.Store(true)
	defer busy.Store(false)
	for range others {
		go func() {
			for busy.Load() {
			}
		}()
	}
	time.Sleep(time.Second)
	assert.NilError(t, e.Stop(context.Background()))
	for range callers {
		assert.NilError(t, <-errs, "a planned stop ended a request without an answer")
	}
}

// exchangeUntilClosed sends requests one after the other until an answer ends the connection.
func exchangeUntilClosed(conn net.Conn) error {
	answers := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, getRequest); err != nil {
			return err
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return err
		}
	}
}

const getRequest = "GET /v1/jobs/0 HTTP/1.1\r\nHost: h\r\n\r\n"

// exchange sends a request and reads its answer.
func exchange(conn net.Conn, answers *bufio.Reader) error {
	if _, err := io.WriteString(conn, getRequest); err != nil {
		return err
	}
	return readAnswer(answers)
}

func readAnswer(answers *bufio.Reader) error {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// startGatedEntry starts an entry that neither accepts callers' connections nor reads from
// them while the gate is set, as on a machine that gives it no processor time.
func startGatedEntry(t *testing.T) (gate *atomic.Bool, e *entryd.Entry) {
	gate = new(atomic.Bool)
	return gate, startEntry(t, entryd.Options{ListenFunc: func(role entryd.ListenerRole, addr string) (net.Listener, error) {
		l, err := net.Listen("tcp", addr)
		if err != nil || role != entryd.CallerListener {
			return l, err
		}
		return gatedListener{l.(*net.TCPListener), gate}, nil
	}})
}

type gatedListener struct {
	*net.TCPListener
	gate *atomic.Bool
}

func (l gatedListener) Accept() (net.Conn, error) {
	awaitInput(l.TCPListener, l.gate, func() bool { return false })
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c, gate: l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate     *atomic.Bool
	deadline atomic.Pointer[time.Time]
}

func (c *gatedConn) Read(p []byte) (int, error) {
	awaitInput(c.TCPConn, c.gate, func() bool {
		d := c.deadline.Load()
		return d != nil && !d.IsZero() && time.Now().After(*d)
	})
	return c.TCPConn.Read(p)
}

func (c *gatedConn) SetReadDeadline(d time.Time) error {
	c.deadline.Store(&d)
	return c.TCPConn.SetReadDeadline(d)
}

// awaitInput returns once the gate is open and something has arrived at the socket, or the
// socket is closed or the deadline has passed.
func awaitInput(socket syscall.Conn, gate *atomic.Bool, expired func() bool) {
	raw, err := socket.SyscallConn()
	for err == nil && !expired() {
		ready := 0
		err = raw.Control(func(fd uintptr) {
			ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		})
		if ready > 0 && !gate.Load() {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
