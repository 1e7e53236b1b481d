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

// Guards against a closed loop: a server that answers nothing must not keep
// later jobs from being sent.
func TestSlowAnswersDoNotHoldBackLaterJobs(t *testing.T) {
	const jobs = 20
	var arrived atomic.Int64
	all := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == jobs {
			close(all)
		}
		<-all
		w.Write([]byte(`{"outcome":"refused","reason":"test"}`))
	}))
	defer server.Close()
	work := make([]load.Job, jobs)
	for i := range work {
		work[i] = load.Job{
			At: time.Duration(i) * time.Millisecond, Class: "quote",
			Runs: []time.Duration{time.Millisecond}, Deadline: time.Minute,
		}
	}
	outcomes, err := load.Drive(context.Background(), load.Target{Entries: []string{server.URL}}, "t", work)
	assert.NilError(t, err)
	assert.Equal(t, len(outcomes), jobs)
	for _, o := range outcomes {
		assert.Equal(t, o.Ending, observer.NotRun)
		assert.Assert(t, o.Response >= o.Late, "response must count from the intended send time")
	}
}

// Guards against a run that reports clean figures without having judged the
// promises, and against schemes that cannot finish a workload.
func TestEverySchemeFinishesAWorkloadWithItsPromisesKept(t *testing.T) {
	o := load.Options{Shape: load.MixedJobs(3, 15, 88, 0.6)}
	rep, err := load.Compare(o)
	assert.NilError(t, err)
	assert.Equal(t, len(rep.Results), len(load.Schemes()))
	for _, r := range rep.Results {
		assert.Equal(t, r.All.Complete, 15, "%s: %+v", r.Name, r.All)
		assert.Equal(t, len(r.Violations), 0, "%s: %v", r.Name, r.Violations)
		assert.Assert(t, r.Wasted != nil && r.TasksOK > 0)
	}
	assert.NilError(t, rep.WriteJSON(t.TempDir()+"/report.json"))
	assert.NilError(t, rep.WritePlot(t.TempDir()+"/plot.svg"))
	assert.NilError(t, rep.WritePlot(t.TempDir()+"/plot.png"))
}

// Guards against promises broken by cancellations, failing jobs and failing,
// slow and dying upstreams together.
func TestPromisesHoldWithFaultyUpstreamsAndCancellations(t *testing.T) {
	s := shape(5)
	s.Duration = 3 * time.Second
	o := load.Options{Shape: s, Faults: load.Faults{Slow: 1, Bad: 1, Kill: 1}}
	r, err := load.Run(context.Background(), o, load.Chosen())
	assert.NilError(t, err)
	for _, v := range r.Violations {
		t.Error(v)
	}
	assert.Assert(t, r.All.Complete > 0 && r.All.Abandoned > 0, "%+v", r.All)
}

// Guards against a run on entries elsewhere that reports counters it cannot read.
func TestRunningEntriesAreDrivenByAddress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte(`{"outcome":"refused","reason":"test"}`))
	}))
	defer server.Close()
	o := load.Options{Shape: load.MixedJobs(1, 5, 88, 0.9)}
	rep, err := load.DriveRunning(context.Background(), o, []string{server.URL})
	assert.NilError(t, err)
	assert.Equal(t, rep.Results[0].All.Refused, 5)
	assert.Assert(t, rep.Results[0].Wasted == nil)
	assert.Equal(t, rep.Violations(), 0)
}
