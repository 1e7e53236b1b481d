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
	// callerPatience is how long after its deadline a caller still waits.
	callerPatience = 10 * time.Second
	// resubmitDelay and maxAttempts are how a caller resubmits a keyed request
	// whose connection broke. Other requests are not resubmitted.
	resubmitDelay = 200 * time.Millisecond
	maxAttempts   = 10
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
		p, err := prepare(&jobs[i], fmt.Sprintf("%s-%06d", run, i), i)
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
	d.sent.Add(1)
	var end ended
	for attempt := range p.attempts() {
		end = d.attempt(ctx, p, attempt)
		if end.answer.Ending != observer.Broken || ctx.Err() != nil {
			break
		}
		sleepUntil(ctx, time.Now().Add(resubmitDelay))
	}
	d.ended.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, Outcome{
		Job: p.job, Ending: end.answer.Ending, Reason: end.reason,
		Response: time.Since(intended), Late: late, Bytes: p.bytes + end.bytes,
	})
}

// attempt submits the job to the next entry and records how it ended.
func (d *driver) attempt(ctx context.Context, p *prepared, number int) ended {
	name := p.name
	if number > 0 {
		name = fmt.Sprintf("%s#%d", p.name, number)
	}
	if o := d.target.Observer; o != nil {
		o.Sent(observer.Request{Name: name, Key: p.key, Digests: p.digests, Deadline: p.job.Deadline})
	}
	began := time.Now()
	url := d.target.Entries[(p.entry+number)%len(d.target.Entries)] + jobsPath
	end := d.exchange(ctx, p, url)
	end.answer.Took = time.Since(began)
	if o := d.target.Observer; o != nil {
		o.Answered(name, end.answer)
	}
	return end
}

// exchange sends the request once and classifies how it ended.
func (d *driver) exchange(ctx context.Context, p *prepared, url string) ended {
	limit := time.Now().Add(p.job.Deadline + callerPatience)
	gaveUp := time.Time{}
	if p.job.CancelAt > 0 {
		gaveUp = d.start.Add(p.job.CancelAt)
		limit = gaveUp
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	var reply jobReply
	err := d.post(ctx, p, url, &reply)
	switch {
	case err == nil:
		return classify(&reply)
	case !gaveUp.IsZero() && ctx.Err() != nil:
		return ended{answer: observer.Answer{Ending: observer.Abandoned}}
	}
	return ended{answer: observer.Answer{Ending: observer.Broken}, reason: err.Error()}
}

func (d *driver) post(ctx context.Context, p *prepared, url string, reply *jobReply) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body))
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
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}
