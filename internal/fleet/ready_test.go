package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/keeper"
)

// fakeJobLog is an empty log of stored jobs whose first read waits until release is
// closed, or fails.
type fakeJobLog struct {
	release chan struct{}
	failing atomic.Bool
}

var errLogDown = errors.New("log is down")

func (l *fakeJobLog) Newest(ctx context.Context) ([]durable.Record, int64, error) {
	if l.failing.Load() {
		return nil, 0, errLogDown
	}
	select {
	case <-l.release:
		return nil, 0, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (l *fakeJobLog) Read(ctx context.Context, from int64, _ time.Duration) (keeper.ReadResult, error) {
	return keeper.ReadResult{Next: from}, ctx.Err()
}

func (l *fakeJobLog) Append(context.Context, wire.Incarnation, int64, []durable.Record) (keeper.AppendResult, error) {
	return keeper.Appended, nil
}

func (l *fakeJobLog) Fence(context.Context, wire.Incarnation) error { return nil }

// fakeConfigs publishes one configuration.
type fakeConfigs struct{ published bool }

func (c *fakeConfigs) Next(ctx context.Context, wait time.Duration) (ConfigUpdate, error) {
	if c.published {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return ConfigUpdate{}, nil
	}
	c.published = true
	return ConfigUpdate{Config: &Config{
		Version: 1, State: []byte("v1"), Activate: func() {},
		Settings: policy.Settings{Classes: []policy.Class{{Name: "seal", ResponseTarget: time.Second, TargetShare: 1}}},
	}}, nil
}

func (c *fakeConfigs) Decode([]byte) (*Config, error) { return nil, errors.New("not used") }

type fakeDirectory struct{}

func (fakeDirectory) Publish(context.Context, string, EntryAddr) error { return nil }
func (fakeDirectory) List(context.Context) ([]EntryAddr, error)        { return nil, nil }

// startLinkedEntry starts an entry with a configuration and one agent.
func startLinkedEntry(t *testing.T, jobLog keeper.Log) *EntryNode {
	n, err := StartEntry(EntryOptions{
		Name: "e", Zone: "z", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		CallerHandler: func(entryd.Submitter, StoredJobs) http.Handler { return http.NotFoundHandler() },
		JobLog:        jobLog, Configs: &fakeConfigs{}, Directory: fakeDirectory{},
		Incarnation: 1, Log: nil,
	})
	assert.NilError(t, err)
	t.Cleanup(n.Kill)
	a := agentd.Start(agentd.Options{Name: "a", Slots: 1, UpstreamURL: "http://127.0.0.1:9/", Entries: []string{n.entry.PeerAddr()}})
	t.Cleanup(a.Kill)
	await(t, n.entry.Ready)
	return n
}

func await(t *testing.T, ready func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ready(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timed out")
	}
}

// recordingDirectory passes on the address that an entry publishes.
type recordingDirectory struct {
	fakeDirectory
	published chan EntryAddr
}

func (d recordingDirectory) Publish(_ context.Context, _ string, e EntryAddr) error {
	d.published <- e
	return nil
}

// Guards against an entry behind a proxy that agents reach at its own address.
func TestEntryIsListedUnderItsAdvertisedAddress(t *testing.T) {
	const advertised = "127.0.0.1:18190"
	d := recordingDirectory{published: make(chan EntryAddr, 1)}
	n, err := StartEntry(EntryOptions{
		Name: "e", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", PeerAdvertise: advertised,
		CallerHandler: func(entryd.Submitter, StoredJobs) http.Handler { return http.NotFoundHandler() },
		JobLog:        &fakeJobLog{}, Configs: &fakeConfigs{}, Directory: d, Incarnation: 1,
	})
	assert.NilError(t, err)
	t.Cleanup(n.Kill)
	assert.Equal(t, (<-d.published).Peer, advertised)
}

// Guards against an entry that reports itself ready before it has read the log of
// stored jobs: it refuses the jobs that the load balancer then sends to it.
func TestEntryIsNotReadyBeforeItAcceptsStoredJobs(t *testing.T) {
	jobLog := &fakeJobLog{release: make(chan struct{})}
	n := startLinkedEntry(t, jobLog)
	n.started = time.Now().Add(time.Hour) // the start hold does not end within the test
	assert.Assert(t, !n.Ready())
	close(jobLog.release)
	await(t, n.Ready)
	result := storedJobs{n}.Submit(t.Context(), durable.Spec{ID: "0123456789abcdef", Class: "seal"})
	assert.Equal(t, result, durable.Stored)
}

// Guards against an outage of the store that keeps an entry out of service, although
// it can run jobs that are not stored.
func TestEntryIsReadyWhileTheJobLogIsDown(t *testing.T) {
	jobLog := &fakeJobLog{release: make(chan struct{})}
	jobLog.failing.Store(true)
	n := startLinkedEntry(t, jobLog)
	await(t, n.Ready)
}

// Guards against an empty reply with status 200, which reports a job as accepted or completed,
// to a caller that half-closes its connection while the process starts.
func TestRequestIsNotAnsweredBeforeProcessServes(t *testing.T) {
	n := &EntryNode{serving: make(chan struct{})}
	received, handled := make(chan struct{}), false
	held := n.holdWhileStarting(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		held.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, "POST /a/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	<-received
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	reply, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(reply), "")
	assert.Assert(t, !handled)
}

func TestJobLogSettles(t *testing.T) {
	for _, c := range []struct {
		loaded, failed bool
		age            time.Duration
		want           bool
	}{
		{false, false, 0, false},
		{false, false, startHoldTimeout - 1, false},
		{false, false, startHoldTimeout, true}, // the log is slow
		{false, true, 0, true},
		{true, false, 0, true},
	} {
		assert.Equal(t, jobLogSettled(c.loaded, c.failed, c.age), c.want, "%+v", c)
	}
}

// Guards against a series of large configurations that fills the link of a weak VM.
func TestLargeConfigurationsTakeAShareOfTheLink(t *testing.T) {
	const weakLink = 25e6 / 8
	assert.Equal(t, configReadPause(5_000, weakLink), 12800*time.Microsecond)
	assert.Equal(t, configReadPause(250_000, weakLink), 640*time.Millisecond)
	assert.Equal(t, configReadPause(1_000_000, weakLink), maxConfigReadPause)
	assert.Equal(t, configReadPause(250_000, 0), time.Duration(0))
}
