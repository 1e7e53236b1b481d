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

// waitTimeout bounds every wait. It is long enough that only a failure reaches it.
const waitTimeout = 60 * time.Second

// pausableLog is a Log whose reads can be paused, to simulate a paused reader.
type pausableLog struct {
	platformlog.Log
	mu      sync.Mutex
	resumed chan struct{} // closed by resume; nil unless paused
}

func (p *pausableLog) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

func (p *pausableLog) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
	p.resumed = nil
}

func (p *pausableLog) Read(ctx context.Context, r platformlog.ReadRequest) (platformlog.Batch, error) {
	b, err := p.Log.Read(ctx, r)
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed == nil {
		return b, err
	}
	select {
	case <-resumed:
		return p.Log.Read(ctx, r)
	case <-ctx.Done():
		return platformlog.Batch{}, platformlog.Unavailable.WrapWithNoMessage(ctx.Err())
	}
}

// system is a log server with the entries that follow it.
type system struct {
	t               testing.TB
	server          *logserver.Server
	lastIncarnation wire.Incarnation
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

// entry starts an entry. If configure is not nil, it adjusts the options.
func (s *system) entry(configure func(*logstate.Options)) *logstate.State {
	s.t.Helper()
	s.lastIncarnation++
	opts := logstate.Options{
		Log: s.client(), Incarnation: s.lastIncarnation, PeerAddr: fmt.Sprintf("10.0.0.%d:7000", s.lastIncarnation),
		ClaimTimeout: waitTimeout, MaintenanceInterval: 10 * time.Millisecond, ClaimAppendRate: 10_000,
	}
	if configure != nil {
		configure(&opts)
	}
	e := logstate.Start(opts)
	s.t.Cleanup(e.Close)
	return e
}

// ready waits until an entry has read the log to its end.
func (s *system) ready(e *logstate.State) *logstate.State {
	s.t.Helper()
	s.until("the entry has read the log", func() bool {
		st := e.Status()
		return st.LogReachable && st.CaughtUp
	})
	return e
}

// until waits until a condition holds; what describes it.
func (s *system) until(what string, done func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(2*time.Millisecond))
}

// change appends a change to the config stream and returns its revision.
func (s *system) change(c config.Change) int64 {
	s.t.Helper()
	id := platformlog.NewRecordID()
	body, err := (&config.Record{ID: config.ID(id), Change: &c}).Encode()
	assert.NilError(s.t, err)
	pos, err := s.client().Append(context.Background(), logstate.StreamConfig, id, body)
	assert.NilError(s.t, err)
	return pos.Offset + 1
}

// class returns a change that sets the response target of a class, replacing the
// revision base.
func class(name string, base int64, within time.Duration) config.Change {
	return config.Change{
		Kind: config.KindClass, Name: name, Base: base,
		Value: config.Value{ResponseTargetMicros: within.Microseconds(), TargetShare: 0.9},
	}
}

// newSubmissionID returns a random ID.
func newSubmissionID() wire.SubmissionID {
	var id wire.SubmissionID
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return id
}

// request returns a claim request for a key that was created the given time ago.
func request(text string, age time.Duration) claimapi.ClaimRequest {
	created := time.Now().Add(-age).UnixMilli()
	return claimapi.ClaimRequest{Team: "t", Key: fmt.Sprintf("%d-%s", created, text), Submission: newSubmissionID()}
}

// resubmit returns another submission of the same key.
func resubmit(r claimapi.ClaimRequest) claimapi.ClaimRequest {
	r.Submission = newSubmissionID()
	return r
}

// startClaim starts a claim and returns the channel of its result. The channel
// has room for a second result, which would be an error.
func startClaim(e *logstate.State, r claimapi.ClaimRequest) <-chan claimapi.ClaimResult {
	out := make(chan claimapi.ClaimResult, 2)
	e.Claim(r, func(c claimapi.ClaimResult) { out <- c })
	return out
}

// claim claims a key and waits for the result.
func claim(e *logstate.State, r claimapi.ClaimRequest) claimapi.ClaimResult {
	return <-startClaim(e, r)
}
