package observer_test

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/observer"
)

// record returns a clean record: one complete job "a" of two tasks, one keyed
// job "k" and one refused job "r".
func record() *observer.Observer {
	o := observer.New()
	o.Sent(observer.Request{Name: "a", Digests: []string{"d0", "d1"}, Deadline: time.Second})
	o.Sent(observer.Request{Name: "k", Key: "key", Digests: []string{"k0"}, Deadline: time.Second})
	o.Sent(observer.Request{Name: "r", Digests: []string{"r0"}, Deadline: time.Second})
	o.Started(observer.Start{Upstream: "u0", Submission: "sa", Task: 0, Digest: "d0"})
	o.Started(observer.Start{Upstream: "u1", Submission: "sa", Task: 1, Digest: "d1"})
	o.Started(observer.Start{Upstream: "u1", Submission: "sk", Task: 0, Digest: "k0", Key: "key"})
	o.Answered("k", observer.Answer{Submission: "sk", Ending: observer.Complete, Results: []string{"k0"}})
	o.Answered("r", observer.Answer{Submission: "sr", Ending: observer.NotRun})
	return o
}

func whole() observer.Answer {
	return observer.Answer{Submission: "sa", Ending: observer.Complete, Results: []string{"d0", "d1"}, Took: time.Second}
}

// Guards against a checker that passes a record with a broken promise, or
// fails a clean one.
func TestEachViolationIsFound(t *testing.T) {
	cases := []struct {
		name   string
		spoil  func(o *observer.Observer, a *observer.Answer)
		expect observer.Promise
	}{
		{"clean", func(*observer.Observer, *observer.Answer) {}, ""},
		{"task started twice", func(o *observer.Observer, _ *observer.Answer) {
			o.Started(observer.Start{Upstream: "u2", Submission: "sa", Task: 1, Digest: "d1"})
		}, observer.StartedOnce},
		{"key run by two submissions", func(o *observer.Observer, _ *observer.Answer) {
			o.Started(observer.Start{Upstream: "u2", Submission: "sk2", Task: 0, Digest: "k0", Key: "key"})
		}, observer.KeyRunsOnce},
		{"result missing", func(_ *observer.Observer, a *observer.Answer) { a.Results = a.Results[:1] }, observer.NeverPartial},
		{"failure with results", func(_ *observer.Observer, a *observer.Answer) { a.Ending = observer.Failed }, observer.NeverPartial},
		{"results swapped", func(_ *observer.Observer, a *observer.Answer) { a.Results = []string{"d1", "d0"} }, observer.OwnAnswer},
		{"result without a start", func(_ *observer.Observer, a *observer.Answer) { a.Submission = "sx" }, observer.AnswerFromRun},
		{"refused but started", func(o *observer.Observer, _ *observer.Answer) {
			o.Started(observer.Start{Upstream: "u2", Submission: "sr", Task: 0, Digest: "r0"})
		}, observer.NotRunIsTrue},
		{"answered too late", func(_ *observer.Observer, a *observer.Answer) {
			a.Took = time.Second + observer.AnswerBound + 1
		}, observer.AnswerInTime},
		{"second answer", func(o *observer.Observer, _ *observer.Answer) { o.Answered("a", whole()) }, observer.AnswerOnce},
		{"never answered", func(o *observer.Observer, _ *observer.Answer) {
			o.Sent(observer.Request{Name: "lost", Digests: []string{"l0"}})
		}, observer.AnswerOnce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, a := record(), whole()
			c.spoil(o, &a)
			o.Answered("a", a)
			found := o.Judge()
			if c.expect == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Assert(t, len(found) > 0)
			for _, v := range found {
				assert.Equal(t, v.Promise, c.expect, "%v", v)
			}
		})
	}
}

// Guards against starts that are lost when the upstream's process is killed:
// the record is complete without a Close.
func TestRecordOutlivesItsWriter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "starts.jsonl")
	f, err := observer.OpenFile(path)
	assert.NilError(t, err)
	defer f.Close()
	for i := range 3 {
		assert.NilError(t, f.Append(observer.Start{Upstream: "u", Submission: "s", Task: i, Digest: "d"}))
	}
	o := observer.New()
	assert.NilError(t, o.Load(path))
	assert.Equal(t, o.Starts(), 3)
	assert.Equal(t, len(o.Judge()), 0)
}
