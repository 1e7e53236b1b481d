package entryd_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
