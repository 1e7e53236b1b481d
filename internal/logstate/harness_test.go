package logstate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds every wait; only a broken mechanism reaches it.
const patience = 60 * time.Second

// gate is a Log whose reads can be held back, as if the reader were paused.
type gate struct {
	platformlog.Log
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	b, err := g.Log.Read(ctx, r)
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed == nil {
		return b, err
	}
	select {
	case <-closed:
		return g.Log.Read(ctx, r)
	case <-ctx.Done():
		return platformlog.Batch{}, platformlog.Unavailable.WrapWithNoMessage(ctx.Err())
	}
}

// system is a log and entries on it.
type system struct {
	t      testing.TB
	server *logserver.Server
	next   wire.Incarnation
}

func newSystem(t testing.TB, opts logserver.Options) *system {
	t.Helper()
	opts.Listen = "127.0.0.1:0"
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = -1
	}
	s, err := logserver.Start(opts)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return &system{t: t, server: s}
}

func (s *system) client() *platformlog.Client {
	c := platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.server.URL()})
	s.t.Cleanup(c.Close)
	return c
}

// entry starts an entry and waits until it has read the log.
func (s *system) entry(change func(*logstate.Options)) *logstate.State {
	s.t.Helper()
	s.next++
	opts := logstate.Options{
		Log: s.client(), Incarnation: s.next, PeerAddr: fmt.Sprintf("10.0.0.%d:7000", s.next),
		ClaimTimeout: patience, Maintenance: 10 * time.Millisecond, AppendBudget: 10_000,
	}
	if change != nil {
		change(&opts)
	}
	e := logstate.Start(opts)
	s.t.Cleanup(e.Close)
	return e
}

func (s *system) ready(e *logstate.State) *logstate.State {
	s.t.Helper()
	s.until("the entry has read the log", func() bool {
		st := e.Status()
		return st.LogReachable && st.CaughtUp
	})
	return e
}

func (s *system) until(what string, done func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(2*time.Millisecond))
}

// append adds a change to the config stream.
func (s *system) change(c config.Change) int64 {
	s.t.Helper()
	id := platformlog.NewRecordID()
	body, err := (&config.Record{ID: config.ID(id), Change: &c}).Encode()
	assert.NilError(s.t, err)
	pos, err := s.client().Append(context.Background(), logstate.StreamConfig, id, body)
	assert.NilError(s.t, err)
	return pos.Offset + 1
}

func class(name string, base int64, within time.Duration) config.Change {
	return config.Change{
		Kind: config.KindClass, Name: name, Base: base,
		Value: config.Value{ResponseTargetMicros: within.Microseconds(), TargetShare: 0.9},
	}
}

func submission() wire.SubmissionID {
	var id wire.SubmissionID
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return id
}

// request returns a request for a key that is created now, plus age.
func request(text string, age time.Duration) claimapi.ClaimRequest {
	created := time.Now().Add(-age).UnixMilli()
	return claimapi.ClaimRequest{Team: "t", Key: fmt.Sprintf("%d-%s", created, text), Submission: submission()}
}

// again is another submission of the same key.
func again(r claimapi.ClaimRequest) claimapi.ClaimRequest {
	r.Submission = submission()
	return r
}

func begin(e *logstate.State, r claimapi.ClaimRequest) <-chan claimapi.ClaimResult {
	out := make(chan claimapi.ClaimResult, 2)
	e.Claim(r, func(c claimapi.ClaimResult) { out <- c })
	return out
}

func claim(e *logstate.State, r claimapi.ClaimRequest) claimapi.ClaimResult { return <-begin(e, r) }
