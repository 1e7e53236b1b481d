package entryd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/eventlog"

	"go.uber.org/zap"
)

const nonIdempotentJob = `{"class":"c","idempotent":false,"key":"1700000000000-a","deadline_ms":20000,"tasks":[1,{"b": 2}]}`

func newClaims() *memoryClaims { return &memoryClaims{owners: map[string]claimapi.ClaimOwner{}} }

// Guards against replies without a machine-readable outcome, and against
// status codes that hide whether the job ran.
func TestRepliesStateTheOutcome(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	startAgent(t, e, 8, echo)
	big := `{"class":"c","tasks":["` + strings.Repeat("x", entryd.MaxBodyBytes) + `"]}`
	cases := []struct {
		method, path, body string
		status             int
		outcome, reason    string
		retry              string
	}{
		{"POST", "", `{"class":"c","tasks":[1]}`, 200, "complete", "", ""},
		{"POST", "", `{`, 400, "refused", "bad_json", ""},
		{"POST", "", big, 413, "refused", "body_too_large", ""},
		{"POST", "", `{"class":"nope","tasks":[1]}`, 422, "refused", "unknown_class", ""},
		{"POST", "", nonIdempotentJob, 503, "refused", "log_unavailable", "1"},
		{"PUT", "", `{}`, 405, "refused", "method_not_allowed", ""},
		{"POST", "/x", `{}`, 405, "refused", "method_not_allowed", ""},
		{"GET", "/../v2", ``, 404, "refused", "not_found", ""},
		{"GET", "/nobody", ``, 404, "unknown", "no_such_job", ""},
		{"DELETE", "/nobody", ``, 404, "unknown", "no_such_job", ""},
	}
	for _, c := range cases {
		r := request(t, c.method, jobsURL(e)+c.path, c.body)
		assert.Equal(t, r.status, c.status, r.raw)
		assert.Equal(t, r.body.Outcome, c.outcome)
		assert.Equal(t, r.body.Reason, c.reason)
		assert.Equal(t, r.header.Get("Retry-After"), c.retry)
	}
}

// Guards against results that are reformatted, and against results that are lost
// because they are not JSON.
func TestResultsAreReturnedUnchanged(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	startAgent(t, e, 8, func(s wire.Start) wire.Result {
		bodies := []string{`{"a":  "<>"}`, "\xff\x00", ""}
		return wire.Result{Outcome: wire.Succeeded, Body: []byte(bodies[s.Index])}
	})
	r := request(t, "POST", jobsURL(e), `{"class":"c","tasks":[0,1,2]}`)
	assert.Assert(t, strings.HasSuffix(r.raw, `"results":[{"a":  "<>"},{"base64":"/wA="},{"base64":""}]}`), r.raw)
	assert.DeepEqual(t, r.body.Wrapped, []int{1, 2})
}

// Guards against a second run when a request is repeated, while its job runs or
// after the job ended, at the same entry or at another one (P5).
func TestRepeatedKeyRunsOnceAndGetsTheSameAnswer(t *testing.T) {
	claims := newClaims()
	owner, other := startWithClaims(t, claims, 101), startWithClaims(t, claims, 102)
	run, unblock := blockedRun()
	defer unblock()
	a := startAgent(t, owner, 8, run)
	b := startAgent(t, other, 8, echo)
	replies := make(chan reply, 3)
	post := func(e *entryd.Entry) {
		r, _ := tryRequest("POST", jobsURL(e), nonIdempotentJob)
		replies <- r
	}
	go post(owner)
	waitFor(t, "start", func() bool { return a.starts() == 2 })
	go post(owner)
	go post(other)
	pending := request(t, "GET", jobsURL(owner)+"/1700000000000-a", "")
	assert.Equal(t, pending.status, 202)
	assert.Equal(t, pending.body.Outcome, "pending")
	unblock()
	for range 3 {
		r := <-replies
		assert.Equal(t, r.status, 200, r.raw)
		assert.Assert(t, strings.HasSuffix(r.raw, `"results":[1,{"b": 2}]}`), r.raw)
	}
	assert.Equal(t, request(t, "POST", jobsURL(other), nonIdempotentJob).status, 200)
	assert.Equal(t, request(t, "GET", jobsURL(owner)+"/1700000000000-a", "").status, 200)
	changed := strings.Replace(nonIdempotentJob, "[1,", "[9,", 1)
	assert.Equal(t, request(t, "POST", jobsURL(owner), changed).body.Reason, "key_reused")
	assert.Equal(t, a.starts()+b.starts(), 2)

	other.SetEntries([]wire.EntryAddr{{Incarnation: 101, Peer: owner.PeerAddr()}})
	assert.Equal(t, request(t, "GET", jobsURL(other)+"/1700000000000-a", "").status, 200)

	owner.Kill()
	r := request(t, "POST", jobsURL(other), nonIdempotentJob)
	assert.Equal(t, r.status, 504, r.raw)
	assert.Equal(t, r.body.Reason, "owner_unreachable")
}

// Guards against an empty reply with a success status when the process ends while
// a caller waits.
func TestKilledEntryBreaksTheConnection(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	run, unblock := blockedRun()
	defer unblock()
	a := startAgent(t, e, 8, run)
	status := make(chan int, 1)
	go func() {
		r, _ := tryRequest("POST", jobsURL(e), `{"class":"c","tasks":[1]}`)
		status <- r.status
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	e.Kill()
	assert.Equal(t, <-status, 0, "want no reply")
}

// Guards against a planned stop that interrupts a job or accepts a new one (P7).
func TestStopFinishesJobsAndRefusesNewOnes(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	run, unblock := blockedRun()
	defer unblock()
	a := startAgent(t, e, 8, run)
	running := make(chan reply, 1)
	go func() {
		r, _ := tryRequest("POST", jobsURL(e), `{"class":"c","tasks":[1]}`)
		running <- r
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	waitFor(t, "drain", func() bool { return request(t, "GET", "http://"+e.OperatorAddr()+"/readyz", "").status == 503 })
	r := request(t, "POST", jobsURL(e), `{"class":"c","tasks":[1]}`)
	assert.Equal(t, r.body.Reason, "draining")
	assert.Equal(t, r.status, 503)
	unblock()
	assert.Equal(t, (<-running).status, 200)
	assert.NilError(t, <-stopped)
	assert.Equal(t, a.starts(), 1)
}

// Guards against a cancelled job whose queued tasks start.
func TestDeleteCancelsQueuedTasks(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	run, unblock := blockedRun()
	defer unblock()
	a := startAgent(t, e, 1, run)
	done := make(chan reply, 1)
	go func() {
		r, _ := tryRequest("POST", jobsURL(e), `{"class":"c","key":"k","tasks":[1,2,3]}`)
		done <- r
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	assert.Equal(t, request(t, "DELETE", jobsURL(e)+"/k", "").body.Reason, "cancelling")
	unblock()
	r := <-done
	assert.Equal(t, r.body.Outcome, "failed", r.raw)
	assert.Equal(t, r.body.Reason, "cancelled")
	assert.Equal(t, a.starts(), 1)
}

// Guards against an entry that is ready without agents, and against events that
// are missing from the timeline of a job.
func TestOperatorEndpoints(t *testing.T) {
	log := eventlog.New(zap.NewNop(), "entry", 9)
	e := startEntry(t, entryd.Options{Log: log})
	url := "http://" + e.OperatorAddr()
	assert.Equal(t, request(t, "GET", url+"/readyz", "").status, 503)
	assert.Equal(t, request(t, "GET", url+"/healthz", "").status, 200)
	startAgent(t, e, 8, echo)
	waitFor(t, "ready", func() bool { return request(t, "GET", url+"/readyz", "").status == 200 })
	id := request(t, "POST", jobsURL(e), `{"class":"c","tasks":[1]}`).body.Submission
	assert.Assert(t, strings.Contains(request(t, "GET", url+"/status", "").raw, `"Starts":1`))
	var names []string
	for _, ev := range log.Timeline(func(ev *timeline.Event) bool { return ev.Submission == id }) {
		names = append(names, ev.Name)
	}
	assert.DeepEqual(t, names, []string{"job_accepted", "task_placed", "task_result", "job_answered"})
	assert.Equal(t, request(t, "GET", jobsURL(e)+"/../../debug/pprof/", "").status, 404)
}

// Guards against requests beyond MaxRequests that wait instead of being refused.
func TestRequestsBeyondTheBoundAreRefused(t *testing.T) {
	e := startEntry(t, entryd.Options{MaxRequests: 1})
	run, unblock := blockedRun()
	defer unblock()
	a := startAgent(t, e, 8, run)
	done := make(chan reply, 1)
	go func() {
		r, _ := tryRequest("POST", jobsURL(e), `{"class":"c","tasks":[1]}`)
		done <- r
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	assert.Equal(t, request(t, "POST", jobsURL(e), `{"class":"c","tasks":[1]}`).body.Reason, "too_many_requests")
	unblock()
	assert.Equal(t, (<-done).status, 200)
}

// Guards against request bodies that exceed MaxPendingBytes, and against bytes that
// stay counted after the request has ended.
func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	e := startEntry(t, entryd.Options{MaxPendingBytes: 2000})
	startAgent(t, e, 8, echo)
	large := `{"class":"c","tasks":["` + strings.Repeat("x", 3000) + `"]}`
	for range 3 {
		assert.Equal(t, request(t, "POST", jobsURL(e), large).body.Reason, "too_many_requests")
	}
	assert.Equal(t, request(t, "POST", jobsURL(e), `{"class":"c","tasks":[1]}`).status, 200)
}

// Guards against clients of other protocols that keep a connection to the peer
// port open.
func TestUnknownPrefaceClosesTheConnection(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	c, err := net.Dial("tcp", e.PeerAddr())
	assert.NilError(t, err)
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	c.SetReadDeadline(time.Now().Add(time.Minute))
	_, err = io.ReadAll(c)
	nerr, isNet := err.(net.Error)
	assert.Assert(t, !isNet || !nerr.Timeout())
}

// Guards against entries that cannot obtain the configuration during an outage of
// the log.
func TestConfigurationIsReadFromAPeer(t *testing.T) {
	a, b := startEntry(t, entryd.Options{}), startEntry(t, entryd.Options{})
	a.Configure(policy.Settings{}, 7, []byte("seven"))
	a.Configure(policy.Settings{}, 6, []byte("six"))
	got, err := b.PeerConfig(context.Background(), a.PeerAddr())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, entryd.ConfigReply{Version: 7, State: []byte("seven")})
}

// Guards against slow senders that occupy a request, and against a body timeout
// that cancels a job which runs longer than the timeout.
func TestBodyTimeoutDoesNotLimitTheJob(t *testing.T) {
	e := startEntry(t, entryd.Options{BodyTimeout: 50 * time.Millisecond})
	startAgent(t, e, 8, func(s wire.Start) wire.Result {
		time.Sleep(200 * time.Millisecond)
		return echo(s)
	})
	assert.Equal(t, request(t, "POST", jobsURL(e), `{"class":"c","tasks":[1]}`).status, 200)

	c, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	defer c.Close()
	io.WriteString(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	c.SetReadDeadline(time.Now().Add(time.Minute))
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 408 "), string(got))
}

// Guards against unbounded memory for kept answers.
func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	e := startEntry(t, entryd.Options{MaxAnswerBytes: 1200}) // space for two answers
	startAgent(t, e, 8, echo)
	for _, key := range []string{"k1", "k2", "k3"} {
		assert.Equal(t, request(t, "POST", jobsURL(e), `{"class":"c","key":"`+key+`","tasks":[1]}`).status, 200)
	}
	assert.Equal(t, request(t, "GET", jobsURL(e)+"/k1", "").status, 404)
	assert.Equal(t, request(t, "GET", jobsURL(e)+"/k3", "").status, 200)
}

// Guards against a job that keeps running when nobody can get its answer, and
// against a cancellation that does not reach the entry which has the job.
func TestAbandonedJobIsCancelledAndCancelReachesTheOwner(t *testing.T) {
	e, other := startEntry(t, entryd.Options{}), startEntry(t, entryd.Options{})
	other.SetEntries([]wire.EntryAddr{{Incarnation: e.Incarnation(), Peer: e.PeerAddr()}})
	running := func() bool {
		return !strings.Contains(request(t, "GET", "http://"+e.OperatorAddr()+"/status", "").raw, `"jobs":0`)
	}
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", jobsURL(e), strings.NewReader(`{"class":"c","tasks":[1]}`))
	assert.NilError(t, err)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	waitFor(t, "accepted", running) // there is no agent, so its task waits
	cancel()
	waitFor(t, "cancelled", func() bool { return !running() })

	done := make(chan reply, 1)
	go func() {
		r, _ := tryRequest("POST", jobsURL(e), `{"class":"c","key":"k","tasks":[1]}`)
		done <- r
	}()
	waitFor(t, "accepted", running)
	assert.Equal(t, request(t, "DELETE", jobsURL(other)+"/k", "").status, 202)
	r := <-done
	assert.Equal(t, r.body.Reason, "cancelled")
	assert.Equal(t, r.status, 409)
	assert.Equal(t, r.header.Get("Retry-After"), "", "a retry by the client would undo the cancellation")
}
