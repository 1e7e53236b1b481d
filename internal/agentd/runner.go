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
	// maxHeaderBytes bounds the header of the upstream's response.
	maxHeaderBytes      = 64 << 10
	upstreamDialTimeout = time.Second
	headerSubmission    = "Limpettrail-Submission"
	headerTask          = "Limpettrail-Task"
	headerClass         = "Limpettrail-Class"
	// headerNotRun with the value "true" in a response with status 429 or 503
	// confirms that the upstream did not start the task. Without it the task
	// counts as failed, since such a status may also come from a gateway behind
	// which the task has run.
	headerNotRun = "Limpettrail-Not-Run"
)

// httpUpstream implements Upstream over HTTP, with one request for each agent.Run.
type httpUpstream struct {
	agent   *Agent
	url     string
	addr    string // host:port for probes
	pool    *connPool
	client  *http.Client
	mu      sync.Mutex
	cancels map[agent.AttemptID]context.CancelFunc // by attempt in progress
}

func newHTTPUpstream(a *Agent) *httpUpstream {
	u := &httpUpstream{
		agent:   a,
		url:     a.opts.UpstreamURL,
		addr:    hostPort(a.opts.UpstreamURL),
		pool:    newConnPool(a.opts.DialUpstream),
		cancels: make(map[agent.AttemptID]context.CancelFunc),
	}
	u.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            u.dial,
			MaxConnsPerHost:        MaxUpstreamConns,
			MaxIdleConnsPerHost:    a.opts.Slots,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
	return u
}

// hostPort returns the host:port of a URL, by default with the port of its scheme, or
// "" if the URL cannot be parsed.
func hostPort(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return ""
	}
	switch {
	case u.Port() != "":
		return u.Host
	case u.Scheme == "https":
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// dial opens a connection to the upstream. Its errors have type dialError, which
// marks failures before any byte of a request was sent.
func (u *httpUpstream) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
	defer cancel()
	c, err := u.pool.open(ctx, addr)
	if err != nil {
		return nil, &dialError{err}
	}
	return c, nil
}

type dialError struct{ error }

// Run implements Upstream.
func (u *httpUpstream) Run(x *agent.Run) {
	ctx, cancel := context.WithTimeout(u.agent.ctx, x.Timeout)
	u.mu.Lock()
	u.cancels[x.Attempt] = cancel
	u.mu.Unlock()
	u.agent.spawn(func() {
		defer cancel()
		start := time.Now()
		done := u.post(ctx, x)
		done.Attempt = x.Attempt
		done.RunTime = time.Since(start)
		u.mu.Lock()
		delete(u.cancels, x.Attempt)
		u.mu.Unlock()
		u.agent.send(done)
	})
}

// Stop implements Upstream.
func (u *httpUpstream) Stop(x agent.Stop) {
	u.mu.Lock()
	cancel := u.cancels[x.Attempt]
	u.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Permit implements Upstream. Runs at an HTTP upstream have no lease.
func (u *httpUpstream) Permit(agent.Permissions) {}

// Acknowledge implements Upstream. An HTTP upstream does not retain finished runs.
func (u *httpUpstream) Acknowledge(agent.AcknowledgeRun) {}

// Supersede implements Upstream. An HTTP upstream does not retain finished runs.
func (u *httpUpstream) Supersede(agent.SupersedeRun) {}

// Probe implements Upstream. It opens a connection and sends nothing.
func (u *httpUpstream) Probe() {
	u.agent.spawn(func() {
		c, err := u.dial(u.agent.ctx, "tcp", u.addr)
		if err == nil {
			c.Close()
		}
		u.agent.send(agent.Probed{Reachable: err == nil})
	})
}

// Close implements Upstream.
func (u *httpUpstream) Close() { u.client.CloseIdleConnections() }

// post sends the single request of a run. GetBody is cleared and no idempotency
// header is set, so that the transport never retries the request by itself.
func (u *httpUpstream) post(ctx context.Context, x *agent.Run) agent.Finished {
	var tracker requestTracker
	req, err := http.NewRequestWithContext(tracker.withTrace(ctx), http.MethodPost, u.url, bytes.NewReader(x.Start.Payload))
	if err != nil {
		return agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown}
	}
	req.GetBody = nil
	req.Header.Set(headerSubmission, x.Start.Submission.String())
	req.Header.Set(headerTask, strconv.Itoa(x.Start.Index))
	req.Header.Set(headerClass, x.Start.Class)
	resp, err := u.client.Do(req)
	if err != nil {
		return classifyError(ctx, err, tracker.end())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return classifyError(ctx, err, true)
	}
	return classifyResponse(resp, body)
}

// classifyResponse classifies a complete response. A body of more than
// maxResultBytes counts as a failure.
func classifyResponse(resp *http.Response, body []byte) agent.Finished {
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

// classifyError classifies a request without a complete response. The outcome is
// NotRun only if no byte of the request was or may have been sent.
func classifyError(ctx context.Context, err error, sent bool) agent.Finished {
	outcome := wire.Unknown
	if !sent {
		outcome = wire.NotRun
	}
	return agent.Finished{Outcome: outcome, Reason: errorReason(ctx, err, sent)}
}

func errorReason(ctx context.Context, err error, sent bool) wire.Reason {
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
	return wire.ReasonConnectionLost // with NotRun if it was a stale idle connection
}
