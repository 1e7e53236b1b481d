package agentd

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	maxResultBytes = 1 << 20
	// maxHeaderBytes bounds the header of the upstream's reply.
	maxHeaderBytes   = 64 << 10
	upstreamDial     = time.Second
	headerSubmission = "Limpettrail-Submission"
	headerTask       = "Limpettrail-Task"
	headerClass      = "Limpettrail-Class"
	// headerNotRun with the value "true" on a 429 or 503 says that the upstream
	// did not start the task. Without it the task counts as failed: such a
	// status may also come from a gateway behind which the task has run.
	headerNotRun = "Limpettrail-Not-Run"
)

// runner sends tasks to the upstream, one request for each Run action.
type runner struct {
	agent  *Agent
	url    string
	addr   string // host:port for probes
	pool   *connPool
	client *http.Client
	mu     sync.Mutex
	stops  map[agent.AttemptID]context.CancelFunc
}

func newRunner(a *Agent) *runner {
	r := &runner{
		agent: a,
		url:   a.opts.Upstream,
		addr:  hostPort(a.opts.Upstream),
		pool:  newConnPool(a.opts.DialUpstream),
		stops: make(map[agent.AttemptID]context.CancelFunc),
	}
	r.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            r.dial,
			MaxConnsPerHost:        MaxUpstreamConns,
			MaxIdleConnsPerHost:    a.opts.Slots,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
	return r
}

// hostPort returns the address behind a URL, or "" if it has none.
func hostPort(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return ""
	}
	if u.Port() == "" {
		return net.JoinHostPort(u.Hostname(), "80")
	}
	return u.Host
}

// dial opens a connection for the transport. Its error type marks failures
// before any byte of a request was sent.
func (r *runner) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, upstreamDial)
	defer cancel()
	c, err := r.pool.open(ctx, addr)
	if err != nil {
		return nil, &dialError{err}
	}
	return c, nil
}

type dialError struct{ error }

// Run implements Upstream.
func (r *runner) Run(x *agent.Run) {
	ctx, cancel := context.WithTimeout(r.agent.ctx, x.Timeout)
	r.mu.Lock()
	r.stops[x.Attempt] = cancel
	r.mu.Unlock()
	r.agent.goDuty(func() {
		defer cancel()
		began := time.Now()
		done := r.call(ctx, x)
		done.Attempt = x.Attempt
		done.Run = time.Since(began)
		r.mu.Lock()
		delete(r.stops, x.Attempt)
		r.mu.Unlock()
		r.agent.send(done)
	})
}

// Stop implements Upstream.
func (r *runner) Stop(x agent.Stop) {
	r.mu.Lock()
	cancel := r.stops[x.Attempt]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Settle implements Upstream. An HTTP upstream keeps no ends.
func (r *runner) Settle(agent.Settle) {}

// Probe implements Upstream: it connects and sends nothing.
func (r *runner) Probe() {
	r.agent.goDuty(func() {
		c, err := r.dial(r.agent.ctx, "tcp", r.addr)
		if err == nil {
			c.Close()
		}
		r.agent.send(agent.Probed{Reachable: err == nil})
	})
}

// Close implements Upstream.
func (r *runner) Close() { r.client.CloseIdleConnections() }

// call makes the one request of a run. GetBody is cleared and no idempotency
// header is set, so that the transport never sends the request again by itself.
func (r *runner) call(ctx context.Context, x *agent.Run) agent.Finished {
	var sent sentBytes
	req, err := http.NewRequestWithContext(sent.trace(ctx), http.MethodPost, r.url, bytes.NewReader(x.Start.Payload))
	if err != nil {
		return agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown}
	}
	req.GetBody = nil
	req.Header.Set(headerSubmission, x.Start.Submission.String())
	req.Header.Set(headerTask, strconv.Itoa(x.Start.Index))
	req.Header.Set(headerClass, x.Start.Class)
	resp, err := r.client.Do(req)
	if err != nil {
		return failure(ctx, err, sent.end())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return failure(ctx, err, true)
	}
	return answered(resp, body)
}

// answered classifies a whole reply. A result above the bound counts as failed.
func answered(resp *http.Response, body []byte) agent.Finished {
	status := resp.StatusCode
	if (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) &&
		resp.Header.Get(headerNotRun) == "true" {
		return agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: status}
	}
	if status/100 != 2 || len(body) > maxResultBytes {
		return agent.Finished{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: status}
	}
	return agent.Finished{Outcome: wire.Succeeded, Status: status, Body: body}
}

// failure classifies an error. The task is not run only if no byte of its
// request was written to any connection.
func failure(ctx context.Context, err error, sent bool) agent.Finished {
	outcome := wire.Unknown
	if !sent {
		outcome = wire.NotRun
	}
	return agent.Finished{Outcome: outcome, Reason: failureReason(ctx, err, sent)}
}

func failureReason(ctx context.Context, err error, sent bool) wire.Reason {
	var dial *dialError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && sent:
		return wire.ReasonRunLimit
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wire.ReasonExpired
	case errors.Is(ctx.Err(), context.Canceled) && sent:
		return wire.ReasonStopped
	case errors.Is(ctx.Err(), context.Canceled):
		return wire.ReasonCancelled
	case errors.As(err, &dial):
		return wire.ReasonUpstreamDown
	}
	return wire.ReasonConnectionLost // NotRun if it was a stale idle connection
}
