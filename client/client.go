// Package client submits jobs to limpettrail and retries them when that is safe.
//
// A job is resubmitted with the same key in two cases: it was refused without
// having run and the refusal carries a Retry-After, or the connection broke
// before a reply arrived. An idempotent job may run twice; the entries recognise
// a duplicate of a non-idempotent job by its key. A job that failed or whose
// outcome is unknown is never resubmitted.
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

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// Entries are the base URLs of the entries or of their load balancer, for
	// example "http://10.0.0.1:7100". At least one is required.
	Entries []string
	// Team is sent with every job.
	Team string
	// HTTP sends the requests. Its Timeout should be 0, because the context of
	// Submit bounds a job.
	HTTP *http.Client
	// MaxAttempts is the maximum number of submissions of one job. Default 5.
	MaxAttempts int
	// BackoffMin and BackoffMax bound the backoff before a resubmission. It
	// doubles with each attempt and is added to the entry's Retry-After.
	// Defaults 50 ms and 2 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// RetryShare and RetryFloor define the retry budget, a token bucket: every
	// submitted job adds RetryShare tokens, every resubmission takes one, and
	// RetryFloor is the initial and maximum number of tokens. Defaults 0.1 and 10.
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
	answerGrace        = 3 * time.Second // an entry answers at most this long after the deadline
	avoidDuration      = 2 * time.Second // how long other entries are preferred after a failure
	reasonDraining     = "draining"      // the entry is shutting down
	keyRandomBytes     = 12
	maxDoublings       = 16 // more doublings could overflow the backoff if there are many attempts
)

// Needs are the declared resource needs of the largest task of a job. Zero means
// not declared.
type Needs struct {
	MilliCores   int64 `json:"millicores,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	RunMS        int64 `json:"run_ms,omitempty"`
}

// Job is a set of tasks that may run in parallel.
type Job struct {
	Class string
	// Key identifies the job; if empty, Submit generates one. To submit a
	// non-idempotent job again, use the same key.
	Key string
	// RunOnce marks a non-idempotent job, which runs at most once.
	RunOnce bool
	// Deadline is the time within which the answer is needed, including
	// resubmissions. Zero means the deadline of the context or, if it has none,
	// the entry's default.
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
	// Attempts is the number of attempts to submit the job.
	Attempts int
	// LongestRun is the longest run time of a task, TotalRun the sum of all.
	LongestRun time.Duration
	TotalRun   time.Duration
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	opts        Options
	mu          sync.Mutex
	retryTokens float64 // resubmissions that the retry budget allows now
	sleep       func(context.Context, time.Duration) bool
	// avoidUntil is, for each entry, the time until which other entries are
	// preferred.
	avoidUntil []time.Time
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
		opts: opts, retryTokens: opts.RetryFloor, sleep: sleep,
		avoidUntil: make([]time.Time, len(opts.Entries)),
	}, nil
}

// NewKey returns a job key of the form `<unix milliseconds>-<unique text>`.
func NewKey(now time.Time) string {
	var b [keyRandomBytes]byte
	rand.Read(b[:])
	return strconv.FormatInt(now.UnixMilli(), 10) + "-" + hex.EncodeToString(b[:])
}

// Submit sends the job and waits for its answer. Unless the job cannot be
// encoded, the error is an *Error, which says whether the job ran.
func (c *Client) Submit(ctx context.Context, job Job) (*Answer, error) {
	if job.Key == "" {
		job.Key = NewKey(time.Now())
	}
	if job.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, job.Deadline+answerGrace)
		defer cancel()
	}
	start := time.Now()
	c.creditRetryBudget()
	mayHaveRun := false // an earlier submission may have run
	failovers := 0      // switches to another entry because nothing was sent
	for attempt := 1; ; attempt++ {
		body, err := c.encode(ctx, &job, start)
		if err != nil {
			return nil, err
		}
		entry := c.pickEntry()
		base := c.opts.Entries[entry]
		answer, failure := c.post(ctx, base, body, len(job.Tasks))
		if failure == nil {
			answer.Key, answer.Attempts = job.Key, attempt
			return answer, nil
		}
		failure.Key, failure.Attempts = job.Key, attempt
		mayHaveRun = mayHaveRun || (failure.Outcome == Broken && !failure.unsent)
		if ctx.Err() != nil {
			c.cancelAbandoned(ctx, base, &job)
			return nil, failure.withOverallOutcome(mayHaveRun)
		}
		c.avoidEntry(entry, failure)
		if failure.unsent && failovers < len(c.opts.Entries)-1 {
			failovers++ // nothing was sent, so this takes no token of the retry budget
			continue
		}
		if !failure.retryable() || attempt >= c.opts.MaxAttempts || !c.waitBeforeRetry(ctx, attempt, failure, &job, start) {
			return nil, failure.withOverallOutcome(mayHaveRun)
		}
	}
}

// pickEntry returns the index of an entry that is not avoided, starting the
// search at a random one. If all are avoided, it returns a random entry.
func (c *Client) pickEntry() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, now := mathrand.IntN(len(c.avoidUntil)), time.Now()
	for i := range c.avoidUntil {
		if at := (first + i) % len(c.avoidUntil); now.After(c.avoidUntil[at]) {
			return at
		}
	}
	return first
}

// avoidEntry makes pickEntry skip an entry for avoidDuration after a broken
// connection or a refusal because the entry is draining. Otherwise jobs would
// keep trying a dead entry and use up the retry budget.
func (c *Client) avoidEntry(entry int, e *Error) {
	if e.Outcome != Broken && e.Reason != reasonDraining {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[entry] = time.Now().Add(avoidDuration)
}

// creditRetryBudget adds RetryShare tokens for one submitted job.
func (c *Client) creditRetryBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryTokens = min(c.retryTokens+c.opts.RetryShare, c.opts.RetryFloor)
}

// takeRetryToken takes one token of the retry budget. It reports false if there
// is none.
func (c *Client) takeRetryToken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}

// waitBeforeRetry waits before a resubmission. It reports false if the time left
// or the retry budget does not allow one.
func (c *Client) waitBeforeRetry(ctx context.Context, attempt int, e *Error, job *Job, start time.Time) bool {
	backoff := min(c.opts.BackoffMin<<min(attempt-1, maxDoublings), c.opts.BackoffMax)
	// Half of the backoff is random jitter, so that the callers of a failed entry
	// do not retry at the same time.
	wait := backoff/2 + time.Duration(mathrand.Int64N(max(1, int64(backoff/2))))
	wait += e.RetryAfter
	if left, bounded := timeLeft(ctx, job, start); bounded && wait >= left {
		return false
	}
	if !c.takeRetryToken() {
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

// timeLeft returns the time until the job's or ctx's deadline, whichever is
// earlier. bounded is false if there is neither.
func timeLeft(ctx context.Context, job *Job, start time.Time) (left time.Duration, bounded bool) {
	if job.Deadline > 0 {
		left, bounded = job.Deadline-time.Since(start), true
	}
	if at, ok := ctx.Deadline(); ok && (!bounded || time.Until(at) < left) {
		left, bounded = time.Until(at), true
	}
	return left, bounded
}

// cancelAbandoned cancels a job whose caller cancelled ctx, because a job with a
// key continues to run when its connection closes.
func (c *Client) cancelAbandoned(ctx context.Context, base string, job *Job) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		return // the deadline expired, which ends the job anyway
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	c.Cancel(ctx, base, job.Key)
}

// Cancel asks the entry with the base URL to cancel the job with the key. The
// job's answer still says whether it ran. The status of the reply is not
// checked.
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
