package observer_test

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/observer"
)

// cleanRecord returns a record without violations: job "a" of two tasks, which
// the test still has to answer, an answered keyed job "k" and a refused job "r".
func cleanRecord() *observer.Observer {
	o := observer.New()
	o.RecordRequest(observer.Request{Name: "a", Digests: []string{"d0", "d1"}, Deadline: time.Second})
	o.RecordRequest(observer.Request{Name: "k", Key: "key", Digests: []string{"k0"}, Deadline: time.Second})
	o.RecordRequest(observer.Request{Name: "r", Digests: []string{"r0"}, Deadline: time.Second})
	o.RecordStart(observer.Start{Upstream: "u0", Submission: "sa", Task: 0, Digest: "d0"})
	o.RecordStart(observer.Start{Upstream: "u1", Submission: "sa", Task: 1, Digest: "d1"})
	o.RecordStart(observer.Start{Upstream: "u1", Submission: "sk", Task: 0, Digest: "k0", Key: "key"})
	o.RecordAnswer("k", observer.Answer{Submission: "sk", Outcome: observer.Complete, Results: []string{"k0"}})
	o.RecordAnswer("r", observer.Answer{Submission: "sr", Outcome: observer.NotRun})
	return o
}

// completeAnswer returns the answer that completes job "a".
func completeAnswer() observer.Answer {
	return observer.Answer{Submission: "sa", Outcome: observer.Complete, Results: []string{"d0", "d1"}, Elapsed: time.Second}
}

// TestEachViolationIsFound guards against a check that accepts a record with a
// violated promise, or rejects a clean one.
func TestEachViolationIsFound(t *testing.T) {
	cases := []struct {
		name   string
		mutate func(o *observer.Observer, a *observer.Answer)
		want   observer.Promise
	}{
		{"clean", func(*observer.Observer, *observer.Answer) {}, ""},
		{"task started twice", func(o *observer.Observer, _ *observer.Answer) {
			o.RecordStart(observer.Start{Upstream: "u2", Submission: "sa", Task: 1, Digest: "d1"})
		}, observer.StartedOnce},
		{"key run by two submissions", func(o *observer.Observer, _ *observer.Answer) {
			o.RecordStart(observer.Start{Upstream: "u2", Submission: "sk2", Task: 0, Digest: "k0", Key: "key"})
		}, observer.KeyRunsOnce},
		{"result missing", func(_ *observer.Observer, a *observer.Answer) { a.Results = a.Results[:1] }, observer.NeverPartial},
		{"failure with results", func(_ *observer.Observer, a *observer.Answer) { a.Outcome = observer.Failed }, observer.NeverPartial},
		{"results swapped", func(_ *observer.Observer, a *observer.Answer) { a.Results = []string{"d1", "d0"} }, observer.ResultsMatchTasks},
		{"result without a start", func(_ *observer.Observer, a *observer.Answer) { a.Submission = "sx" }, observer.AnswerFromRun},
		{"refused but started", func(o *observer.Observer, _ *observer.Answer) {
			o.RecordStart(observer.Start{Upstream: "u2", Submission: "sr", Task: 0, Digest: "r0"})
		}, observer.NotRunMeansNotStarted},
		{"answered too late", func(_ *observer.Observer, a *observer.Answer) {
			a.Elapsed = time.Second + observer.AnswerGrace + 1
		}, observer.AnswerInTime},
		{"second answer", func(o *observer.Observer, _ *observer.Answer) { o.RecordAnswer("a", completeAnswer()) }, observer.AnswerOnce},
		{"never answered", func(o *observer.Observer, _ *observer.Answer) {
			o.RecordRequest(observer.Request{Name: "lost", Digests: []string{"l0"}})
		}, observer.AnswerOnce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, a := cleanRecord(), completeAnswer()
			c.mutate(o, &a)
			o.RecordAnswer("a", a)
			violations := o.Check()
			if c.want == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Assert(t, len(violations) > 0)
			for _, v := range violations {
				assert.Equal(t, v.Promise, c.want, "%v", v)
			}
		})
	}
}

// TestRecordIsCompleteWithoutClose guards against starts that are lost when the
// process of the upstream is killed before it closes the file.
func TestRecordIsCompleteWithoutClose(t *testing.T) {
	path := filepath.Join(t.TempDir(), "starts.jsonl")
	f, err := observer.OpenStartFile(path)
	assert.NilError(t, err)
	defer f.Close()
	for i := range 3 {
		assert.NilError(t, f.Append(observer.Start{Upstream: "u", Submission: "s", Task: i, Digest: "d"}))
	}
	o := observer.New()
	assert.NilError(t, o.LoadStarts(path))
	assert.Equal(t, o.Starts(), 3)
	assert.Equal(t, len(o.Check()), 0)
}
