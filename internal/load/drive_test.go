package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// TestSlowRepliesDoNotDelayLaterJobs guards against a load that is not open-loop:
// a server that has not replied to any job must not delay the sending of later
// jobs.
func TestSlowRepliesDoNotDelayLaterJobs(t *testing.T) {
	const jobs = 20
	var arrived atomic.Int64
	allArrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == jobs {
			close(allArrived)
		}
		<-allArrived
		w.Write([]byte(`{"outcome":"refused","reason":"test"}`))
	}))
	defer server.Close()
	jobList := make([]load.Job, jobs)
	for i := range jobList {
		jobList[i] = load.Job{
			SendAt: time.Duration(i) * time.Millisecond, Class: "quote",
			RunTimes: []time.Duration{time.Millisecond}, Deadline: time.Minute,
		}
	}
	outcomes, err := load.Drive(context.Background(), load.Target{Entries: []string{server.URL}}, "t", jobList)
	assert.NilError(t, err)
	assert.Equal(t, len(outcomes), jobs)
	for _, o := range outcomes {
		assert.Equal(t, o.Outcome, observer.NotRun)
		assert.Assert(t, o.ResponseTime >= o.SendDelay, "response time must be measured from the intended send time")
	}
}

// TestEverySchemeCompletesAWorkloadWithoutViolations guards against a run that
// reports figures without having checked the promises, and against schemes that
// cannot complete a workload.
func TestEverySchemeCompletesAWorkloadWithoutViolations(t *testing.T) {
	o := load.Options{Shape: load.MixedShape(3, 15, 88, 0.6)}
	rep, err := load.Compare(o)
	assert.NilError(t, err)
	assert.Equal(t, len(rep.Results), len(load.Schemes()))
	for _, r := range rep.Results {
		assert.Equal(t, r.All.Complete, 15, "%s: %+v", r.Name, r.All)
		assert.Equal(t, len(r.Violations), 0, "%s: %v", r.Name, r.Violations)
		assert.Assert(t, r.Wasted != nil && r.TasksOfCompleteJobs > 0)
	}
	assert.NilError(t, rep.WriteJSON(t.TempDir()+"/report.json"))
	assert.NilError(t, rep.WritePlot(t.TempDir()+"/plot.svg"))
	assert.NilError(t, rep.WritePlot(t.TempDir()+"/plot.png"))
}

// TestNoViolationsWithFaultyUpstreamsAndCancellations guards against promises that
// are broken when cancellations and failing jobs occur together with failing, slow
// and killed upstreams.
func TestNoViolationsWithFaultyUpstreamsAndCancellations(t *testing.T) {
	s := shape(5)
	s.Duration = 3 * time.Second
	o := load.Options{Shape: s, Faults: load.Faults{Slow: 1, Bad: 1, Kill: 1}}
	r, err := load.Run(context.Background(), o, load.DefaultScheme())
	assert.NilError(t, err)
	for _, v := range r.Violations {
		t.Error(v)
	}
	assert.Assert(t, r.All.Complete > 0 && r.All.Abandoned > 0, "%+v", r.All)
}

// TestExternalEntriesAreDrivenByURL guards against a run on external entries that
// reports message counters, which it cannot read.
func TestExternalEntriesAreDrivenByURL(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte(`{"outcome":"refused","reason":"test"}`))
	}))
	defer server.Close()
	o := load.Options{Shape: load.MixedShape(1, 5, 88, 0.9)}
	rep, err := load.DriveExternal(context.Background(), o, []string{server.URL})
	assert.NilError(t, err)
	assert.Equal(t, rep.Results[0].All.Refused, 5)
	assert.Assert(t, rep.Results[0].Wasted == nil)
	assert.Equal(t, rep.Violations(), 0)
}
