package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

const (
	maxIdleConns     = 1024
	roundTripProbes  = 40
	progressInterval = time.Second
	// callerPatience is how long after its deadline a caller still waits.
	callerPatience = 10 * time.Second
)

// Target is a running system.
type Target struct {
	// Entries are the callers' addresses, as URLs without a path.
	Entries []string
	// Observer, if set, records requests and their ends.
	Observer *observer.Observer
	// Progress, if set, gets a line every second.
	Progress io.Writer
}

// Outcome is how one job ended.
type Outcome struct {
	Job    *Job
	Ending observer.Ending
	Reason string
	// Response counts from the intended send time.
	Response time.Duration
	// Late is how long after its intended time the request was sent.
	Late time.Duration
	// Bytes is the size of the job's task payloads and of its results.
	Bytes uint64
}

// prepared is a job with its request encoded.
type prepared struct {
	job     *Job
	name    string
	url     string
	body    []byte
	digests []string
	bytes   uint64 // of the payloads
}

type driver struct {
	target   Target
	client   *http.Client
	start    time.Time
	sent     atomic.Int64
	ended    atomic.Int64
	mu       sync.Mutex
	outcomes []Outcome
}

// Drive sends every job at its intended time, whether or not earlier ones have
// ended, and returns when all have ended. run names the run in the record.
func Drive(ctx context.Context, t Target, run string, jobs []Job) ([]Outcome, error) {
	ready := make([]prepared, len(jobs))
	for i := range jobs {
		p, err := prepare(&jobs[i], fmt.Sprintf("%s-%06d", run, i), t.Entries[i%len(t.Entries)])
		if err != nil {
			return nil, err
		}
		ready[i] = p
	}
	d := &driver{target: t, client: newClient(), start: time.Now()}
	defer d.client.CloseIdleConnections()
	stopProgress := d.progress(len(jobs))
	defer stopProgress()
	d.sendAll(ctx, ready)
	return d.outcomes, ctx.Err()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}
}

// prepare encodes the request. Each payload carries the request's name and the
// task's index, so that no two payloads have the same digest.
func prepare(j *Job, name, url string) (prepared, error) {
	p := prepared{job: j, name: name, url: url + "/v1/jobs"}
	req := entryd.JobRequest{Class: j.Class, DeadlineMS: j.Deadline.Milliseconds()}
	for i, run := range j.Runs {
		payload, err := json.Marshal(upstream.Task{
			SleepMicros: run.Microseconds(), Fail: j.Fails, Text: fmt.Sprintf("%s.%d", name, i),
		})
		if err != nil {
			return p, err
		}
		sum := sha256.Sum256(payload)
		p.digests = append(p.digests, hex.EncodeToString(sum[:]))
		req.Tasks = append(req.Tasks, payload)
		p.bytes += uint64(len(payload))
	}
	body, err := json.Marshal(req)
	p.body = body
	return p, err
}

func (d *driver) sendAll(ctx context.Context, ready []prepared) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range ready {
		p := &ready[i]
		if !sleepUntil(ctx, d.start.Add(p.job.At)) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.call(ctx, p)
		}()
	}
}

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

func (d *driver) call(ctx context.Context, p *prepared) {
	intended := d.start.Add(p.job.At)
	late := time.Since(intended)
	if o := d.target.Observer; o != nil {
		o.Sent(observer.Request{Name: p.name, Digests: p.digests, Deadline: p.job.Deadline})
	}
	d.sent.Add(1)
	began := time.Now()
	answer, reason, received := d.exchange(ctx, p)
	answer.Took = time.Since(began)
	if o := d.target.Observer; o != nil {
		o.Answered(p.name, answer)
	}
	d.ended.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, Outcome{
		Job: p.job, Ending: answer.Ending, Reason: reason,
		Response: time.Since(intended), Late: late, Bytes: p.bytes + received,
	})
}

// exchange sends the request once and classifies how it ended.
// It returns the answer, the reason and the size of the results.
func (d *driver) exchange(ctx context.Context, p *prepared) (observer.Answer, string, uint64) {
	limit := time.Now().Add(p.job.Deadline + callerPatience)
	gaveUp := time.Time{}
	if p.job.CancelAt > 0 {
		gaveUp = d.start.Add(p.job.CancelAt)
		limit = gaveUp
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	var reply entryd.JobReply
	err := d.post(ctx, p, &reply)
	switch {
	case err == nil:
		return classify(&reply)
	case !gaveUp.IsZero() && ctx.Err() != nil:
		return observer.Answer{Ending: observer.Abandoned}, "", 0
	}
	return observer.Answer{Ending: observer.Broken}, err.Error(), 0
}

func (d *driver) post(ctx context.Context, p *prepared, reply *entryd.JobReply) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, bytes.NewReader(p.body))
	if err != nil {
		return err
	}
	req.GetBody = nil // the transport must not submit the job a second time
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body) // lets the connection be used again
	return err
}

func classify(r *entryd.JobReply) (observer.Answer, string, uint64) {
	a := observer.Answer{Submission: r.Submission}
	var received uint64
	for _, raw := range r.Results {
		received += uint64(len(raw))
		var result upstream.Reply
		if json.Unmarshal(raw, &result) != nil {
			result.Digest = "unreadable"
		}
		a.Results = append(a.Results, result.Digest)
	}
	switch r.Outcome {
	case "complete":
		a.Ending = observer.Complete
	case "failed":
		a.Ending = observer.Failed
	case "refused":
		a.Ending = observer.NotRun
	default:
		a.Ending = observer.Unknown
	}
	return a, r.Reason, received
}

// progress writes a line at every interval until the returned function is called.
func (d *driver) progress(total int) func() {
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
				sent, ended := d.sent.Load(), d.ended.Load()
				fmt.Fprintf(d.target.Progress, "%4.0fs  sent %d/%d  ended %d  in progress %d\n",
					time.Since(d.start).Seconds(), sent, total, ended, sent-ended)
			}
		}
	}()
	return func() {
		close(done)
		wg.Wait()
	}
}

// RoundTrip measures the caller's round trip to the entries: the median time
// of requests that the entry answers at once.
func RoundTrip(ctx context.Context, entries []string) (time.Duration, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	var times []time.Duration
	for i := range roundTripProbes {
		began := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, entries[i%len(entries)]+"/v1/jobs", bytes.NewReader(nil))
		if err != nil {
			return 0, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}
