package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// Overhead compares single-task jobs that are sent through entries and agents
// with the same tasks posted directly to upstreams. Both distributions are of
// the response time minus the task's own run time, in microseconds.
type Overhead struct {
	PathUS   Distribution `json:"path_us"`
	DirectUS Distribution `json:"direct_us"`
}

const (
	overheadLoad   = 0.5
	overheadMinRun = 50 * time.Millisecond
	overheadMaxRun = 300 * time.Millisecond
)

// MeasureOverhead sends both kinds of requests concurrently at half load, so
// that other load on the machine affects both equally.
func MeasureOverhead(ctx context.Context, o Options) (r Overhead, err error) {
	o.Load = overheadLoad
	o.Classes = []ClassLoad{{
		Name: "quote", Share: 1, MaxTasks: 1,
		MinRun: overheadMinRun, MaxRun: overheadMaxRun, Deadline: time.Minute,
	}}
	o = o.WithDefaults()
	sys, err := startSystem(o, DefaultScheme(), &probes{obs: observer.New()})
	if err != nil {
		return r, err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err = errors.Join(err, sys.Stop(stopCtx))
	}()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := sys.WaitReady(readyCtx); err != nil {
		return r, err
	}
	return measurePathAndDirect(ctx, o, sys)
}

func measurePathAndDirect(ctx context.Context, o Options, sys *dev.System) (Overhead, error) {
	jobs := Generate(o.Shape)
	var path, direct []JobResult
	var pathErr, directErr error
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		path, pathErr = Drive(ctx, Target{Entries: entryURLs(sys), Progress: o.Progress}, "path", jobs)
	}()
	go func() {
		defer wg.Done()
		direct, directErr = driveDirect(ctx, upstreamURLs(sys), jobs)
	}()
	wg.Wait()
	return Overhead{PathUS: overheadOf(path), DirectUS: overheadOf(direct)}, errors.Join(pathErr, directErr)
}

func upstreamURLs(sys *dev.System) []string {
	var urls []string
	for _, u := range sys.Upstreams {
		urls = append(urls, "http://"+u.Addr()+"/")
	}
	return urls
}

// driveDirect posts the first task of each job at its send time to the
// upstreams in turn.
func driveDirect(ctx context.Context, urls []string, jobs []Job) ([]JobResult, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	outcomes := make([]JobResult, len(jobs))
	errs := make([]error, len(jobs))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range jobs {
		j := &jobs[i]
		if !sleepUntil(ctx, start.Add(j.SendAt)) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = JobResult{Job: j, Outcome: observer.Broken}
			if errs[i] = postDirect(ctx, client, urls[i%len(urls)], j); errs[i] == nil {
				outcomes[i].Outcome = observer.Complete
			}
			outcomes[i].ResponseTime = time.Since(start.Add(j.SendAt))
		}()
	}
	wg.Wait()
	return outcomes, errors.Join(errs...)
}

func postDirect(ctx context.Context, client *http.Client, url string, j *Job) error {
	payload := fmt.Sprintf(`{"sleep_us":%d}`, j.RunTimes[0].Microseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(payload)))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// overheadOf returns the distribution of response time minus run time over the
// complete jobs.
func overheadOf(outcomes []JobResult) Distribution {
	h := hdrhistogram.New(1, maxResponse, significantDigits)
	for _, o := range outcomes {
		if o.Outcome == observer.Complete {
			h.RecordValue(max((o.ResponseTime - o.Job.LongestRun()).Microseconds(), 1))
		}
	}
	return distribution(h, 1)
}

// Write prints both distributions and the difference of their percentiles.
func (r Overhead) Write(w io.Writer) {
	fmt.Fprintf(w, "through the path: p50 %.0f us, p99 %.0f us, mean %.0f us, n %d\n", r.PathUS.P50, r.PathUS.P99, r.PathUS.Mean, r.PathUS.Count)
	fmt.Fprintf(w, "direct:           p50 %.0f us, p99 %.0f us, mean %.0f us, n %d\n", r.DirectUS.P50, r.DirectUS.P99, r.DirectUS.Mean, r.DirectUS.Count)
	fmt.Fprintf(w, "the path adds:    p50 %.0f us, p99 %.0f us\n", r.PathUS.P50-r.DirectUS.P50, r.PathUS.P99-r.DirectUS.P99)
}
