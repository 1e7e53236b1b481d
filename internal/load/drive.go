package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/internal/observer"
)

const (
	maxIdleConns     = 1024
	roundTripProbes  = 40
	progressInterval = time.Second
	// callerGracePeriod is how long a caller waits for a reply after the job's
	// deadline.
	callerGracePeriod = 10 * time.Second
	// A caller whose connection breaks resubmits a keyed request after
	// resubmitDelay, up to maxAttempts attempts in all. Other requests are not
	// resubmitted.
	resubmitDelay = 200 * time.Millisecond
	maxAttempts   = 10
)

// Target is a running system that receives the load.
type Target struct {
	// Entries holds the base URLs, without a path, at which entries accept jobs
	// from callers.
	Entries []string
	// Observer, if set, records every request and its outcome.
	Observer *observer.Observer
	// Progress, if set, receives a progress line every second.
	Progress io.Writer
}

// JobResult is how one job ended.
type JobResult struct {
	Job     *Job
	Outcome observer.Outcome
	Reason  string
	// ResponseTime is the response time, measured from the intended send time.
	ResponseTime time.Duration
	// SendDelay is the time from the intended to the actual send.
	SendDelay time.Duration
	// Bytes is the total size of the job's task payloads and results.
	Bytes uint64
}

// driver sends the jobs of one run and collects their outcomes.
type driver struct {
	target   Target
	client   *http.Client
	start    time.Time
	sent     atomic.Int64
	finished atomic.Int64
	mu       sync.Mutex
	outcomes []JobResult
}

// Drive sends every job at its intended time, whether or not earlier jobs have
// ended, and returns when all jobs have ended, in the order in which they ended. run
// is the prefix of the request names in the observer's record and in the payloads.
func Drive(ctx context.Context, t Target, run string, jobs []Job) ([]JobResult, error) {
	requests := make([]preparedJob, len(jobs))
	for i := range jobs {
		p, err := prepareJob(&jobs[i], fmt.Sprintf("%s-%06d", run, i), i)
		if err != nil {
			return nil, err
		}
		requests[i] = p
	}
	d := &driver{target: t, client: newClient(), start: time.Now()}
	defer d.client.CloseIdleConnections()
	stopProgress := d.reportProgress(len(jobs))
	defer stopProgress()
	d.sendAll(ctx, requests)
	return d.outcomes, ctx.Err()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}
}

// sendAll starts each job at its send time and waits until all have ended. No
// further jobs are sent once ctx is done.
func (d *driver) sendAll(ctx context.Context, requests []preparedJob) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range requests {
		p := &requests[i]
		if !sleepUntil(ctx, d.start.Add(p.job.SendAt)) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.runJob(ctx, p)
		}()
	}
}

// sleepUntil returns true at the given time, or false if ctx is done before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runJob submits one job, again if its connection breaks, and records its outcome.
func (d *driver) runJob(ctx context.Context, p *preparedJob) {
	sendTime := d.start.Add(p.job.SendAt)
	sendDelay := time.Since(sendTime)
	d.sent.Add(1)
	var res attemptResult
	for attempt := range p.attempts() {
		res = d.attempt(ctx, p, attempt)
		if res.answer.Outcome != observer.Broken || ctx.Err() != nil {
			break
		}
		sleepUntil(ctx, time.Now().Add(resubmitDelay))
	}
	d.finished.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, JobResult{
		Job: p.job, Outcome: res.answer.Outcome, Reason: res.reason,
		ResponseTime: time.Since(sendTime), SendDelay: sendDelay, Bytes: p.payloadBytes + res.resultBytes,
	})
}

// attempt submits the job once and records the request and its outcome. Attempt
// n, counted from 0, goes to the nth entry after the job's first.
func (d *driver) attempt(ctx context.Context, p *preparedJob, n int) attemptResult {
	name := p.name
	if n > 0 {
		name = fmt.Sprintf("%s#%d", p.name, n)
	}
	if o := d.target.Observer; o != nil {
		o.RecordRequest(observer.Request{Name: name, Key: p.key, Digests: p.digests, Deadline: p.job.Deadline})
	}
	sentAt := time.Now()
	url := d.target.Entries[(p.firstEntry+n)%len(d.target.Entries)] + jobsPath
	res := d.submit(ctx, p, url)
	res.answer.Elapsed = time.Since(sentAt)
	if o := d.target.Observer; o != nil {
		o.RecordAnswer(name, res.answer)
	}
	return res
}

// submit sends the request once and classifies its outcome. A job with a cancel
// time is abandoned at that time.
func (d *driver) submit(ctx context.Context, p *preparedJob, url string) attemptResult {
	giveUpAt := time.Now().Add(p.job.Deadline + callerGracePeriod)
	cancelAt := time.Time{}
	if p.job.CancelAt > 0 {
		cancelAt = d.start.Add(p.job.CancelAt)
		giveUpAt = cancelAt
	}
	ctx, cancel := context.WithDeadline(ctx, giveUpAt)
	defer cancel()
	var reply jobReply
	err := d.post(ctx, p, url, &reply)
	switch {
	case err == nil:
		return classifyReply(&reply)
	case !cancelAt.IsZero() && ctx.Err() != nil:
		return attemptResult{answer: observer.Answer{Outcome: observer.Abandoned}}
	}
	return attemptResult{answer: observer.Answer{Outcome: observer.Broken}, reason: err.Error()}
}

// post sends the request and decodes the reply. An error means that there was no
// complete reply.
func (d *driver) post(ctx context.Context, p *preparedJob, url string, reply *jobReply) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body))
	if err != nil {
		return err
	}
	req.GetBody = nil // keeps the transport from submitting the job a second time
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body) // allows the connection to be reused
	return err
}

// reportProgress writes a progress line at every interval until the returned
// function is called.
func (d *driver) reportProgress(total int) func() {
	if d.target.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				sent, finished := d.sent.Load(), d.finished.Load()
				fmt.Fprintf(d.target.Progress, "%4.0fs  sent %d/%d  ended %d  in progress %d\n",
					time.Since(d.start).Seconds(), sent, total, finished, sent-finished)
			}
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}

// RoundTrip measures the caller's round-trip time to the entries: the median
// over requests with an empty body, which an entry answers at once.
func RoundTrip(ctx context.Context, entries []string) (time.Duration, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	var times []time.Duration
	for i := range roundTripProbes {
		sent := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, entries[i%len(entries)]+jobsPath, bytes.NewReader(nil))
		if err != nil {
			return 0, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		times = append(times, time.Since(sent))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}
