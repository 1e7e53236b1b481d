package agentd

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// tlsUpstream is an HTTP upstream over TLS whose connections can be made to fail.
type tlsUpstream struct {
	client *httpUpstream
	server *httptest.Server
	starts atomic.Int64 // requests that the handler received
	broken atomic.Bool  // see failingConn
}

// startTLSUpstream starts a TLS server that closes the connection of every request
// whose number, counted from 1, is not 1, after answer has written to it.
// Connections accept the given number of bytes of a write once broken is set.
func startTLSUpstream(t *testing.T, accepts int, answer func(http.ResponseWriter)) *tlsUpstream {
	s := new(tlsUpstream)
	s.server = httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.starts.Add(1) == 1 {
			return
		}
		answer(w)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.server.Close)
	opts := Options{UpstreamURL: s.server.URL, Slots: 1, DialUpstream: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dialTCP(ctx, addr)
		return &failingConn{Conn: c, broken: &s.broken, accepts: accepts}, err
	}}
	s.client = newHTTPUpstream(&Agent{opts: opts.withDefaults(), ctx: t.Context()})
	s.client.client.Transport.(*http.Transport).TLSClientConfig = &tls.Config{InsecureSkipVerify: true}
	t.Cleanup(s.client.Close)
	return s
}

func (s *tlsUpstream) post(t *testing.T) agent.Finished {
	return s.client.post(t.Context(), &agent.Run{Start: &wire.Start{Payload: []byte("{}")}})
}

// Guards against a task that is reported as not run although the upstream received
// it over TLS: it would be placed again and run twice.
func TestTaskReceivedOverTLSIsNotReportedAsNotRun(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter){
		"connection lost after the request": func(http.ResponseWriter) {},
		"connection lost within the response": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("half"))
			w.(http.Flusher).Flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTLSUpstream(t, 0, answer)
			assert.Equal(t, s.post(t).Outcome, wire.Succeeded)
			done := s.post(t)
			assert.Equal(t, s.starts.Load(), int64(2))
			assert.Equal(t, done.Outcome, wire.Unknown)
		})
	}
}

// Guards against a stale TLS connection that makes a task of which nothing was sent
// count as possibly run, and against the reverse for a part of a request.
func TestBytesSentOverTLSDecideTheOutcome(t *testing.T) {
	for accepts, want := range map[int]wire.Outcome{0: wire.NotRun, 1: wire.Unknown} {
		s := startTLSUpstream(t, accepts, func(http.ResponseWriter) {})
		assert.Equal(t, s.post(t).Outcome, wire.Succeeded)
		s.broken.Store(true)
		assert.Equal(t, s.post(t).Outcome, want, "%d bytes of the request sent", accepts)
		assert.Equal(t, s.starts.Load(), int64(1))
	}
}

// Guards against a handshake that counts as part of a request: a task whose
// connection fails before or right after the handshake did not run.
func TestFailedTLSHandshakeIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			c.Close()
		}
	}()
	u := newHTTPUpstream(&Agent{opts: Options{UpstreamURL: "https://" + l.Addr().String(), Slots: 1}.withDefaults(), ctx: t.Context()})
	defer u.Close()
	done := u.post(t.Context(), &agent.Run{Start: &wire.Start{Payload: []byte("{}")}})
	assert.Equal(t, done.Outcome, wire.NotRun)
}

// Guards against probes of an https upstream that go to the port of http.
func TestProbeAddressHasThePortOfTheScheme(t *testing.T) {
	for url, want := range map[string]string{
		"http://10.0.0.1/x": "10.0.0.1:80", "https://10.0.0.1/x": "10.0.0.1:443", "https://[::1]/": "[::1]:443",
		"https://10.0.0.1:8443/x": "10.0.0.1:8443", "http://10.0.0.1:81": "10.0.0.1:81",
	} {
		assert.Equal(t, hostPort(url), want)
	}
}
