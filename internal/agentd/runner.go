package agentd

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	maxUpstreamConns = 64
	maxResultBytes   = 1 << 20
	upstreamDial     = time.Second
	headerSubmission = "Limpettrail-Submission"
	headerTask       = "Limpettrail-Task"
	headerClass      = "Limpettrail-Class"
)

// runner sends tasks to the upstream, one request for each Run action.
type runner struct {
	ctx    context.Context
	url    string
	client *http.Client
	post   func(any)
	mu     sync.Mutex
	stops  map[agent.AttemptID]context.CancelFunc
}

func newRunner(ctx context.Context, url string, slots int, post func(any)) *runner {
	dialer := &net.Dialer{Timeout: upstreamDial}
	return &runner{
		ctx: ctx,
		url: url,
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, addr)
					if err != nil {
						return nil, &dialError{err}
					}
					return c, nil
				},
				MaxConnsPerHost:     maxUpstreamConns,
				MaxIdleConnsPerHost: min(slots, maxUpstreamConns),
				DisableCompression:  true,
			},
		},
		post:  post,
		stops: make(map[agent.AttemptID]context.CancelFunc),
	}
}

// dialError marks failures before any byte of the request was sent.
type dialError struct{ error }

func (r *runner) run(x agent.Run) {
	ctx, cancel := context.WithTimeout(r.ctx, x.Timeout)
	r.mu.Lock()
	r.stops[x.Attempt] = cancel
	r.mu.Unlock()
	go func() {
		defer cancel()
		began := time.Now()
		done := r.call(ctx, x)
		done.Attempt = x.Attempt
		done.Run = time.Since(began)
		r.mu.Lock()
		delete(r.stops, x.Attempt)
		r.mu.Unlock()
		select {
		case <-r.ctx.Done():
		default:
			r.post(done)
		}
	}()
}

func (r *runner) stop(id agent.AttemptID) {
	r.mu.Lock()
	cancel := r.stops[id]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// call makes the one request of a run. GetBody is cleared and no idempotency
// header is set, so that the transport never sends the request again by itself.
func (r *runner) call(ctx context.Context, x agent.Run) agent.Finished {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(x.Start.Payload))
	if err != nil {
		return agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown}
	}
	req.GetBody = nil
	req.Header.Set(headerSubmission, x.Start.Submission.String())
	req.Header.Set(headerTask, strconv.Itoa(x.Start.Index))
	req.Header.Set(headerClass, x.Start.Class)
	resp, err := r.client.Do(req)
	if err != nil {
		return r.failure(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return r.failure(ctx, err)
	}
	if resp.StatusCode/100 != 2 || len(body) > maxResultBytes {
		return agent.Finished{
			Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: resp.StatusCode,
		}
	}
	return agent.Finished{Outcome: wire.Succeeded, Status: resp.StatusCode, Body: body}
}

// failure classifies an error. Only a failed dial proves that nothing was sent.
func (r *runner) failure(ctx context.Context, err error) agent.Finished {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return agent.Finished{Outcome: wire.Unknown, Reason: wire.ReasonRunLimit}
	case errors.Is(ctx.Err(), context.Canceled):
		return agent.Finished{Outcome: wire.Unknown, Reason: wire.ReasonStopped}
	}
	return agent.Finished{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost}
}
