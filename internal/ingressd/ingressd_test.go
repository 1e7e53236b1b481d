package ingressd_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/ingressd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const connectionCost = 16 << 10

var limits = ingress.Limits{Connections: 8, Bytes: 512 << 10, ConnectionCost: connectionCost, Ordinary: 64 << 10}

// server answers with the size of the body, and requests of path /wait once release is called.
type server struct {
	t       *testing.T
	guard   *ingressd.Guard
	addr    string
	log     *observer.ObservedLogs
	waiting chan struct{} // receives a value for each request that waits
	release func()
}

func start(t *testing.T, l ingress.Limits) *server { return startWith(t, l, nil, 0) }

// startWith starts a server with another handler if it is not nil.
func startWith(t *testing.T, l ingress.Limits, other http.Handler, writeTimeout time.Duration) *server {
	core, logged := observer.New(zap.InfoLevel)
	released := make(chan struct{})
	s := &server{t: t, log: logged, waiting: make(chan struct{}, 100), release: func() { close(released) }}
	s.guard = ingressd.New(ingressd.Options{
		Share: "test", Limits: l, Refusal: `{"error":"full"}`, Log: eventlog.New(zap.New(core), "p", 1), ReceiveBuffer: 16 << 10, WriteTimeout: writeTimeout,
	})
	var handler http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ingressd.ReadBody(w, r, ingressd.BodyOptions{MaxBytes: 256 << 10, Timeout: time.Minute})
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			<-released
		}
		fmt.Fprint(w, len(data))
	})
	if other != nil {
		handler = other
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = listener.Addr().String()
	h := &http.Server{
		Handler: s.guard.Handler(handler), ConnState: ingressd.ConnState, ConnContext: ingressd.WithConn,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Serve(s.guard.Listener(listener))
	}()
	t.Cleanup(func() {
		h.Close()
		<-done
		s.guard.Close()
	})
	return s
}

// send opens a connection and sends text.
func (s *server) send(text string) net.Conn {
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(c, text) // may fail if the connection is refused
	return c
}

// rest returns what the server sends until it closes the connection. It fails if the server
// does not.
func (s *server) rest(c net.Conn) string {
	data, err := io.ReadAll(c)
	nerr, isNet := err.(net.Error)
	assert.Assert(s.t, !isNet || !nerr.Timeout(), "the connection is open")
	return string(data)
}

func (s *server) await(what string, cond func(ingress.Stats) bool) {
	s.t.Helper()
	for end := time.Now().Add(time.Minute); !cond(s.guard.Stats()); time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(end), "%s: %+v", what, s.guard.Stats())
	}
}

func (s *server) ordinary() {
	s.t.Helper()
	c := s.send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc")
	assert.Assert(s.t, strings.HasPrefix(s.rest(c), "HTTP/1.1 200 "))
}

const manyLines = "GET / HTTP/1.1\r\nHost: h\r\n"

// Guards against headers of very many short lines that take memory without bound, and against
// ordinary callers that are refused because of them.
func TestHeadersBeyondTheShareAreRefused(t *testing.T) {
	s := start(t, limits)
	lines := manyLines + strings.Repeat("a:\r\n", 3000) // 326,000 bytes
	s.send(lines)
	s.await("first header", func(st ingress.Stats) bool { return st.Bytes > 300_000 })
	assert.Assert(t, strings.HasPrefix(s.rest(s.send(lines)), "HTTP/1.1 503 "))
	s.ordinary()
	s.await("refusal", func(st ingress.Stats) bool { return st.Counts[ingress.RefusedBytes] > 0 && st.Connections == 1 })
}

// Guards against connections that hang in the kernel's queue while all others are in use.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	l := limits
	l.Connections = 2
	s := start(t, l)
	served := []net.Conn{s.send("GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), s.send("GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")}
	<-s.waiting
	<-s.waiting
	s.guard.Advance(time.Minute) // connections whose requests are handed on stay
	assert.Equal(t, s.rest(s.send("")), "")
	s.release()
	for _, c := range served {
		assert.Assert(t, strings.HasPrefix(s.rest(c), "HTTP/1.1 200 "))
	}
	s.ordinary()
}

// Guards against callers that stop before the end of their bodies and keep others out.
func TestStalledBodiesAreEvicted(t *testing.T) {
	l := limits
	l.Connections = 1
	s := start(t, l)
	body := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("x", 3999)
	stalled := s.send(body)
	s.await("body", func(st ingress.Stats) bool {
		return st.Bytes == connectionCost+ingress.RequestCost+ingress.HeaderCost(len(body)-3999, 4)+4000
	})
	assert.Equal(t, s.rest(s.send("")), "") // the other one is in its first second
	s.guard.Advance(2 * time.Second)
	s.ordinary()
	assert.Equal(t, s.guard.Stats().Counts[ingress.EvictedStalled], uint64(1))
	assert.Equal(t, s.rest(stalled), "")
}

// Guards against a share that fills up with requests that were answered, and against bytes of
// a body that stay charged as a header because the server read them with it.
func TestChargesEndWithTheAnswer(t *testing.T) {
	s := start(t, limits)
	c := s.send("")
	r := bufio.NewReader(c)
	for _, request := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100_000),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("\n", 30),
	} {
		_, err := io.WriteString(c, request)
		assert.NilError(t, err)
		reply, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, reply.StatusCode, 200)
		io.Copy(io.Discard, reply.Body)
		s.await("answer", func(st ingress.Stats) bool { return st.Bytes == connectionCost })
	}
	c.Close()
	s.await("end", func(st ingress.Stats) bool { return st == ingress.Stats{} })
}

// Guards against headers that are not charged because their bytes were read with the request
// before.
func TestPipelinedHeadersAreCharged(t *testing.T) {
	s := start(t, limits)
	s.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + manyLines + strings.Repeat("a:\r\n", 900))
	s.await("pipelined lines", func(st ingress.Stats) bool { return st.Bytes >= connectionCost+90_000 })
}

// Guards against a log that callers flood, and against an alarm that does not end.
func TestShortagesAreReportedOnceASecond(t *testing.T) {
	l := limits
	l.Connections = 1
	s := start(t, l)
	began := time.Now()
	s.send("")
	s.await("first", func(st ingress.Stats) bool { return st.Connections == 1 })
	for range 100 {
		s.rest(s.send(""))
	}
	count := func(event string) int { return s.log.FilterMessage(event).Len() }
	s.await("end of the shortage", func(ingress.Stats) bool {
		return count("ingress_share_free") > 0 && count("ingress_share_free") == count("ingress_share_used_up")
	})
	assert.Assert(t, s.log.Len() <= 1+int(time.Since(began)/time.Second), "%d events", s.log.Len())
}

// Guards against a caller that sends requests, does not read the server's own answers, and so
// holds its connection for ever.
func TestUnreadAnswersEndTheirConnection(t *testing.T) {
	s := startWith(t, limits, http.NotFoundHandler(), 100*time.Millisecond)
	c := s.send("")
	requests := strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 500)
	var err error
	for err == nil {
		_, err = io.WriteString(c, requests)
	}
	nerr, isNet := err.(net.Error)
	assert.Assert(t, !isNet || !nerr.Timeout(), "the connection is open")
}

// Guards against a caller that declares a body which no handler reads, sends none and so holds
// its connection for ever, and against a request that is handed on before it is complete.
func TestBodiesThatNobodyReadsAreEvicted(t *testing.T) {
	for _, method := range []string{"GET", "DELETE", "POST"} {
		t.Run(method, func(t *testing.T) {
			l := limits
			l.Connections = 2
			var calls atomic.Int32
			s := startWith(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				http.NotFound(w, r)
			}), 0)
			request := method + " /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
			for range 2 {
				s.send(request)
			}
			// A connection whose header is not accounted for is evicted as an idle one.
			s.await("headers", func(st ingress.Stats) bool {
				return st.Bytes == 2*(connectionCost+ingress.RequestCost+ingress.HeaderCost(len(request), 4))
			})
			s.await("answer", func(ingress.Stats) bool {
				s.guard.Advance(time.Minute)
				answer, _ := io.ReadAll(s.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
				return strings.HasPrefix(string(answer), "HTTP/1.1 404 ")
			})
			counts := s.guard.Stats().Counts
			assert.Assert(t, counts[ingress.EvictedStalled] > 0, "%v", counts)
			assert.Equal(t, counts[ingress.EvictedIdle], uint64(0))
			if method != http.MethodPost {
				assert.Equal(t, calls.Load(), int32(1))
			}
		})
	}
}

// Guards against refusing an ordinary request because it has a body that no handler reads.
func TestBodiesThatNobodyReadsAreAnswered(t *testing.T) {
	s := startWith(t, limits, http.NotFoundHandler(), 0)
	c := s.send("")
	r := bufio.NewReader(c)
	for _, method := range []string{"GET", "POST"} {
		for _, body := range []string{"Content-Length: 10\r\n\r\n0123456789", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"} {
			fmt.Fprintf(c, "%s /x HTTP/1.1\r\nHost: h\r\n%s", method, body)
			reply, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.Equal(t, reply.StatusCode, 404)
			io.Copy(io.Discard, reply.Body)
		}
	}
}

// Guards against counts of a handler that stay raised because ReadBody does not return for a
// connection that was evicted, and against an answer to a body that failed that is cut off.
func TestReadBodyReturnsAfterAnEviction(t *testing.T) {
	l := limits
	l.Connections = 1
	errs := make(chan error, 1)
	var s *server
	s = startWith(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		evict := r.URL.Path == "/evicted"
		_, err := ingressd.ReadBody(w, r, ingressd.BodyOptions{MaxBytes: 2, Timeout: time.Minute, Count: func(int) bool {
			if evict {
				s.guard.Advance(time.Minute)
				x := s.send("")
				s.await("eviction", func(st ingress.Stats) bool { return st.Counts[ingress.EvictedStalled] == 1 })
				x.Close()
			}
			return true
		}})
		if !evict {
			s.guard.Advance(time.Minute)
			s.rest(s.send("")) // is refused
		}
		errs <- err
	}), 0)
	s.send("POST /large HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	assert.ErrorContains(t, <-errs, "too large")
	assert.Equal(t, s.guard.Stats().Counts[ingress.EvictedStalled], uint64(0))
	ended := func(st ingress.Stats) bool { return st.Connections == 0 && st.Closing == 0 }
	s.await("end", ended)
	s.send("POST /evicted HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	assert.ErrorContains(t, <-errs, "evicted")
	s.await("end", ended)
}

// Guards against the lines of a chunked body that are charged as those of the next header: an
// idle connection held 0.2 MB, and was closed right after its answer when that was refused.
func TestChunkedBodyIsNotChargedAfterItsAnswer(t *testing.T) {
	s := start(t, limits)
	c := s.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	answers := bufio.NewReader(c)
	for range 3 {
		_, err := io.WriteString(c, strings.Repeat("1\r\n\n\r\n", 600)+"0\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		s.await("idle connection", func(st ingress.Stats) bool { return st.Bytes == connectionCost })
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		assert.NilError(t, err)
		s.await("request without a surcharge", func(st ingress.Stats) bool {
			return st.Bytes > connectionCost && st.Bytes < connectionCost+ingress.RequestCost+8<<10
		})
	}
}
