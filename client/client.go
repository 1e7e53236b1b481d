// Package client submits jobs to limpettrail and resubmits them when that is
// safe.
//
// A job is sent again, with the same key, if it was refused as not run and the
// refusal names a time for a retry, or if the connection broke before a reply
// arrived: an idempotent job may run again, and one that is not idempotent is
// recognised by its key. A job that failed or whose outcome is unknown is never
// sent again.
package client

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Options configure a Client. Zero values take the defaults.
type Options struct {
	// Entries are the base URLs of the entries or of their balancer, for
	// instance "http://10.0.0.1:7100". At least one is needed.
	Entries []string
	// Team is sent with every job.
	Team string
	// HTTP makes the requests. Its Timeout should be 0, since ctx bounds a job.
	HTTP *http.Client
	// MaxAttempts bounds the submissions of one job. Default 5.
	MaxAttempts int
	// BackoffMin and BackoffMax bound the pause before a resubmission, which
	// doubles each time and is added to the entry's Retry-After. Defaults 50 ms
	// and 2 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// RetryShare bounds resubmissions to a share of the submitted jobs, beside
	// a floor of RetryFloor. Defaults 0.1 and 10.
	RetryShare float64
	RetryFloor float64
}

// Defaults of Options.
const (
	DefaultMaxAttempts = 5
	DefaultBackoffMin  = 50 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
	DefaultRetryShare  = 0.1
	DefaultRetryFloor  = 10
	cancelTimeout      = 500 * time.Millisecond
	settleGrace        = 3 * time.Second // an entry answers within this after the deadline
	avoidTime          = 2 * time.Second
	reasonDraining     = "draining" // of an entry that is about to end
	keyRandomBytes     = 12
	maxDoublings       = 16 // more would overflow the pause with many attempts
)

// Needs are the declared needs of the largest task of a job. Zero means not stated.
type Needs struct {
	MilliCores   int64 `json:"millicores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	RunMS        int64 `json:"run_ms,omitempty"`
}

// Job is one parallel job.
type Job struct {
	Class string
	// Key names the job; empty draws a new one. A job that is not idempotent
	// and may have been submitted before must have the same key again.
	Key string
	// RunOnce marks a job that is not idempotent: it runs at most once.
	RunOnce bool
	// Deadline is the time for the answer, resubmissions included. Zero means
	// the deadline of the context, or else the entry's default.
	Deadline time.Duration
	Needs    Needs
	// Tasks holds the JSON payload of each task, 1 to 570.
	Tasks []json.RawMessage
}

// Answer is the complete answer to a job.
type Answer struct {
	Submission string
	Key        string
	// Results holds the result of each task, in order.
	Results [][]byte
	// Attempts counts the submissions.
	Attempts int
	// LongestRun and TotalRun are the observed run times of the tasks.
	LongestRun time.Duration
	TotalRun   time.Duration
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	opts   Options
	mu     sync.Mutex
	tokens float64 // resubmissions that may be made now
	sleep  func(context.Context, time.Duration) bool
	// avoided holds for each entry until when others are preferred.
	avoided []time.Time
}

// New returns a client.
func New(opts Options) (*Client, error) {
	if len(opts.Entries) == 0 {
		return nil, errors.New("client: no entry address")
	}
	for _, e := range opts.Entries {
		if u, err := url.Parse(e); err != nil || u.Scheme == "" || u.Host == "" {
			return nil, fmt.Errorf("client: entry %q: want a URL such as http://10.0.0.1:7100", e)
		}
	}
	if opts.HTTP == nil {
		opts.HTTP = http.DefaultClient
	}
	opts.MaxAttempts = cmp.Or(opts.MaxAttempts, DefaultMaxAttempts)
	opts.BackoffMin = cmp.Or(opts.BackoffMin, DefaultBackoffMin)
	opts.BackoffMax = cmp.Or(opts.BackoffMax, DefaultBackoffMax)
	opts.RetryShare = cmp.Or(opts.RetryShare, DefaultRetryShare)
	opts.RetryFloor = cmp.Or(opts.RetryFloor, DefaultRetryFloor)
	return &Client{
		opts: opts, tokens: opts.RetryFloor, sleep: sleep,
		avoided: make([]time.Time, len(opts.Entries)),
	}, nil
}

// NewKey returns a key of the form `<unix milliseconds>-<unique text>`.
func NewKey(now time.Time) string {
	var b [keyRandomBytes]byte
	rand.Read(b[:])
	return strconv.FormatInt(now.UnixMilli(), 10) + "-" + hex.EncodeToString(b[:])
}

// Submit sends the job and waits for its answer. An error that is not from the
// arguments is an *Error, which says whether the job ran.
func (c *Client) Submit(ctx context.Context, job Job) (*Answer, error) {
	if job.Key == "" {
		job.Key = NewKey(time.Now())
	}
	if job.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, job.Deadline+settleGrace)
		defer cancel()
	}
	began := time.Now()
	c.earn()
	doubt := false // an earlier submission may have run
	moves := 0     // changes to another entry since nothing was sent
	for attempt := 1; ; attempt++ {
		body, err := c.encode(ctx, &job, began)
		if err != nil {
			return nil, err
		}
		entry := c.pick()
		base := c.opts.Entries[entry]
		answer, failure := c.post(ctx, base, body, len(job.Tasks))
		if failure == nil {
			answer.Key, answer.Attempts = job.Key, attempt
			return answer, nil
		}
		failure.Key, failure.Attempts = job.Key, attempt
		doubt = doubt || (failure.Outcome == Broken && !failure.unsent)
		if ctx.Err() != nil {
			c.abandon(ctx, base, &job)
			return nil, failure.final(doubt)
		}
		c.avoid(entry, failure)
		if failure.unsent && moves < len(c.opts.Entries)-1 {
			moves++ // no message reached the system, so the budget is not charged
			continue
		}
		if !failure.retryable() || attempt >= c.opts.MaxAttempts || !c.pause(ctx, attempt, failure, &job, began) {
			return nil, failure.final(doubt)
		}
	}
}

// pick returns the index of an entry that is not avoided, at random; of any
// entry if all are.
func (c *Client) pick() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, now := mathrand.IntN(len(c.avoided)), time.Now()
	for i := range c.avoided {
		if at := (first + i) % len(c.avoided); now.After(c.avoided[at]) {
			return at
		}
	}
	return first
}

// avoid passes over an entry for a while that did not take the job: without
// this, every job would try a dead entry first and use up the retry budget.
func (c *Client) avoid(entry int, e *Error) {
	if e.Outcome != Broken && e.Reason != reasonDraining {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[entry] = time.Now().Add(avoidTime)
}

// earn credits the retry budget for one submitted job.
func (c *Client) earn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = min(c.tokens+c.opts.RetryShare, c.opts.RetryFloor)
}

func (c *Client) spend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// pause waits before a resubmission. It reports false if there is no time or
// no budget for one.
func (c *Client) pause(ctx context.Context, attempt int, e *Error, job *Job, began time.Time) bool {
	backoff := min(c.opts.BackoffMin<<min(attempt-1, maxDoublings), c.opts.BackoffMax)
	// Half of the pause is random, so that callers of a failed entry spread out.
	wait := backoff/2 + time.Duration(mathrand.Int64N(max(1, int64(backoff/2))))
	wait += e.RetryAfter
	if left, bounded := timeLeft(ctx, job, began); bounded && wait >= left {
		return false
	}
	if !c.spend() {
		return false
	}
	return c.sleep(ctx, wait)
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// timeLeft returns the time until the earlier of the job's and ctx's deadline.
func timeLeft(ctx context.Context, job *Job, began time.Time) (left time.Duration, bounded bool) {
	if job.Deadline > 0 {
		left, bounded = job.Deadline-time.Since(began), true
	}
	if at, ok := ctx.Deadline(); ok && (!bounded || time.Until(at) < left) {
		left, bounded = time.Until(at), true
	}
	return left, bounded
}

// abandon cancels a job whose caller gave up, since a job with a key runs on
// when its connection closes.
func (c *Client) abandon(ctx context.Context, base string, job *Job) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		return // the job's own deadline ends it
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	c.Cancel(ctx, base, job.Key)
}

// Cancel asks the entry at base to cancel the job with the key. The job's
// answer still says whether it ran.
func (c *Client) Cancel(ctx context.Context, base, key string) error {
	target := base + "/v1/jobs/" + url.PathEscape(key) + "?team=" + url.QueryEscape(c.opts.Team)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
