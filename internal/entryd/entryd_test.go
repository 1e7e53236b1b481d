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

const once = `{"class":"c","idempotent":false,"key":"1700000000000-a","deadline_ms":20000,"tasks":[1,{"b": 2}]}`

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
		{"POST", "", once, 503, "refused", "log_unavailable", "1"},
		{"PUT", "", `{}`, 405, "refused", "method_not_allowed", ""},
		{"POST", "/x", `{}`, 405, "refused", "method_not_allowed", ""},
		{"GET", "/../v2", ``, 404, "refused", "not_found", ""},
		{"GET", "/nobody", ``, 404, "unknown", "no_such_job", ""},
		{"DELETE", "/nobody", ``, 404, "unknown", "no_such_job", ""},
	}
	for _, c := range cases {
		r := do(t, c.method, jobs(e)+c.path, c.body)
		assert.Equal(t, r.status, c.status, r.raw)
		assert.Equal(t, r.body.Outcome, c.outcome)
		assert.Equal(t, r.body.Reason, c.reason)
		assert.Equal(t, r.header.Get("Retry-After"), c.retry)
	}
}

// Guards against results that are changed or lost because they are not JSON.
func TestResultsSurviveByteForByte(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	startAgent(t, e, 8, func(s wire.Start) wire.Result {
		bodies := []string{`{"a":  "<>"}`, "\xff\x00", ""}
		return wire.Result{Outcome: wire.Succeeded, Body: []byte(bodies[s.Index])}
	})
	r := do(t, "POST", jobs(e), `{"class":"c","tasks":[0,1,2]}`)
	assert.Assert(t, strings.HasSuffix(r.raw, `"results":[{"a":  "<>"},{"base64":"/wA="},{"base64":""}]}`), r.raw)
	assert.DeepEqual(t, r.body.Wrapped, []int{1, 2})
}

// Guards against a second run when a request is repeated while its job runs,
// after it ended, at the same entry and at another one (P5).
func TestRepeatedKeyRunsOnceAndGetsTheSameAnswer(t *testing.T) {
	claims := newClaims()
	owner, other := startClaiming(t, claims, 101), startClaiming(t, claims, 102)
	run, open := gate()
	defer open()
	a := startAgent(t, owner, 8, run)
	b := startAgent(t, other, 8, echo)
	replies := make(chan reply, 3)
	post := func(e *entryd.Entry) {
		r, _ := try("POST", jobs(e), once)
		replies <- r
	}
	go post(owner)
	waitFor(t, "start", func() bool { return a.starts() == 2 })
	go post(owner)
	go post(other)
	pending := do(t, "GET", jobs(owner)+"/1700000000000-a", "")
	assert.Equal(t, pending.status, 202)
	assert.Equal(t, pending.body.Outcome, "pending")
	open()
	for range 3 {
		r := <-replies
		assert.Equal(t, r.status, 200, r.raw)
		assert.Assert(t, strings.HasSuffix(r.raw, `"results":[1,{"b": 2}]}`), r.raw)
	}
	assert.Equal(t, do(t, "POST", jobs(other), once).status, 200)
	assert.Equal(t, do(t, "GET", jobs(owner)+"/1700000000000-a", "").status, 200)
	changed := strings.Replace(once, "[1,", "[9,", 1)
	assert.Equal(t, do(t, "POST", jobs(owner), changed).body.Reason, "key_reused")
	assert.Equal(t, a.starts()+b.starts(), 2)

	other.SetEntries([]wire.EntryAddr{{Incarnation: 101, Peer: owner.PeerAddr()}})
	assert.Equal(t, do(t, "GET", jobs(other)+"/1700000000000-a", "").status, 200)

	owner.Kill()
	r := do(t, "POST", jobs(other), once)
	assert.Equal(t, r.status, 504, r.raw)
	assert.Equal(t, r.body.Reason, "owner_unreachable")
}

// Guards against an empty success when the process ends while a caller waits.
func TestKilledEntryBreaksTheConnection(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	run, open := gate()
	defer open()
	a := startAgent(t, e, 8, run)
	status := make(chan int, 1)
	go func() {
		r, _ := try("POST", jobs(e), `{"class":"c","tasks":[1]}`)
		status <- r.status
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	e.Kill()
	assert.Equal(t, <-status, 0, "no reply at all")
}

// Guards against a planned stop that interrupts a job or runs a new one (P7).
func TestStopFinishesJobsAndRefusesNewOnes(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	run, open := gate()
	defer open()
	a := startAgent(t, e, 8, run)
	running := make(chan reply, 1)
	go func() {
		r, _ := try("POST", jobs(e), `{"class":"c","tasks":[1]}`)
		running <- r
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	waitFor(t, "drain", func() bool { return do(t, "GET", "http://"+e.OperatorAddr()+"/readyz", "").status == 503 })
	r := do(t, "POST", jobs(e), `{"class":"c","tasks":[1]}`)
	assert.Equal(t, r.body.Reason, "draining")
	assert.Equal(t, r.status, 503)
	open()
	assert.Equal(t, (<-running).status, 200)
	assert.NilError(t, <-stopped)
	assert.Equal(t, a.starts(), 1)
}

// Guards against a cancelled job whose queued tasks start.
func TestDeleteCancelsQueuedTasks(t *testing.T) {
	e := startEntry(t, entryd.Options{})
	run, open := gate()
	defer open()
	a := startAgent(t, e, 1, run)
	done := make(chan reply, 1)
	go func() {
		r, _ := try("POST", jobs(e), `{"class":"c","key":"k","tasks":[1,2,3]}`)
		done <- r
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	assert.Equal(t, do(t, "DELETE", jobs(e)+"/k", "").body.Reason, "cancelling")
	open()
	r := <-done
	assert.Equal(t, r.body.Outcome, "failed", r.raw)
	assert.Equal(t, r.body.Reason, "cancelled")
	assert.Equal(t, a.starts(), 1)
}

// Guards against an entry that reports ready without agents, and against
// events that are missing from the time line.
func TestOperatorEndpoints(t *testing.T) {
	log := eventlog.New(zap.NewNop(), "entry", 9)
	e := startEntry(t, entryd.Options{Log: log})
	url := "http://" + e.OperatorAddr()
	assert.Equal(t, do(t, "GET", url+"/readyz", "").status, 503)
	assert.Equal(t, do(t, "GET", url+"/healthz", "").status, 200)
	startAgent(t, e, 8, echo)
	waitFor(t, "ready", func() bool { return do(t, "GET", url+"/readyz", "").status == 200 })
	id := do(t, "POST", jobs(e), `{"class":"c","tasks":[1]}`).body.Submission
	assert.Assert(t, strings.Contains(do(t, "GET", url+"/status", "").raw, `"Starts":1`))
	var names []string
	for _, ev := range log.Timeline(func(ev *timeline.Event) bool { return ev.Submission == id }) {
		names = append(names, ev.Name)
	}
	assert.DeepEqual(t, names, []string{"job_accepted", "task_placed", "task_result", "job_answered"})
	assert.Equal(t, do(t, "GET", jobs(e)+"/../../debug/pprof/", "").status, 404)
}

// Guards against requests beyond the bound that wait instead of being refused.
func TestRequestsBeyondTheBoundAreRefused(t *testing.T) {
	e := startEntry(t, entryd.Options{MaxRequests: 1})
	run, open := gate()
	defer open()
	a := startAgent(t, e, 8, run)
	done := make(chan reply, 1)
	go func() {
		r, _ := try("POST", jobs(e), `{"class":"c","tasks":[1]}`)
		done <- r
	}()
	waitFor(t, "start", func() bool { return a.starts() == 1 })
	assert.Equal(t, do(t, "POST", jobs(e), `{"class":"c","tasks":[1]}`).body.Reason, "too_many_requests")
	open()
	assert.Equal(t, (<-done).status, 200)
}

// Guards against bodies that take more memory than the budget for all, and
// against a budget that is not given back.
func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	e := startEntry(t, entryd.Options{MaxPendingBytes: 2000})
	startAgent(t, e, 8, echo)
	large := `{"class":"c","tasks":["` + strings.Repeat("x", 3000) + `"]}`
	for range 3 {
		assert.Equal(t, do(t, "POST", jobs(e), large).body.Reason, "too_many_requests")
	}
	assert.Equal(t, do(t, "POST", jobs(e), `{"class":"c","tasks":[1]}`).status, 200)
}

// Guards against strangers on the peer port that hold a connection.
func TestWrongPrefaceClosesTheConnection(t *testing.T) {
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

// Guards against entries that cannot learn the configuration during an outage
// of the log.
func TestConfigurationIsReadFromAPeer(t *testing.T) {
	a, b := startEntry(t, entryd.Options{}), startEntry(t, entryd.Options{})
	a.Configure(policy.Settings{}, 7, []byte("seven"))
	a.Configure(policy.Settings{}, 6, []byte("six"))
	got, err := b.PeerConfig(context.Background(), a.PeerAddr())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, entryd.ConfigReply{Version: 7, State: []byte("seven")})
}

// Guards against slow senders that hold a request, and against a body timeout
// that cancels a job which runs longer.
func TestBodyTimeoutEndsTheBodyOnly(t *testing.T) {
	e := startEntry(t, entryd.Options{BodyTimeout: 50 * time.Millisecond})
	startAgent(t, e, 8, func(s wire.Start) wire.Result {
		time.Sleep(200 * time.Millisecond)
		return echo(s)
	})
	assert.Equal(t, do(t, "POST", jobs(e), `{"class":"c","tasks":[1]}`).status, 200)

	c, err := net.Dial("tcp", e.Addr())
	assert.NilError(t, err)
	defer c.Close()
	io.WriteString(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	c.SetReadDeadline(time.Now().Add(time.Minute))
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 408 "), string(got))
}

// Guards against kept answers of unbounded size.
func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	e := startEntry(t, entryd.Options{MaxAnswerBytes: 1200}) // two records
	startAgent(t, e, 8, echo)
	for _, key := range []string{"k1", "k2", "k3"} {
		assert.Equal(t, do(t, "POST", jobs(e), `{"class":"c","key":"`+key+`","tasks":[1]}`).status, 200)
	}
	assert.Equal(t, do(t, "GET", jobs(e)+"/k1", "").status, 404)
	assert.Equal(t, do(t, "GET", jobs(e)+"/k3", "").status, 200)
}

// Guards against a job that runs on when nobody can ask for its answer, and
// against a cancel that does not reach the entry which has the job.
func TestAbandonedAndForwardedCancels(t *testing.T) {
	e, other := startEntry(t, entryd.Options{}), startEntry(t, entryd.Options{})
	other.SetEntries([]wire.EntryAddr{{Incarnation: e.Incarnation(), Peer: e.PeerAddr()}})
	running := func() bool {
		return !strings.Contains(do(t, "GET", "http://"+e.OperatorAddr()+"/status", "").raw, `"jobs":0`)
	}
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", jobs(e), strings.NewReader(`{"class":"c","tasks":[1]}`))
	assert.NilError(t, err)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	waitFor(t, "accepted", running) // no agent: its task waits
	cancel()
	waitFor(t, "cancelled", func() bool { return !running() })

	done := make(chan reply, 1)
	go func() {
		r, _ := try("POST", jobs(e), `{"class":"c","key":"k","tasks":[1]}`)
		done <- r
	}()
	waitFor(t, "accepted", running)
	assert.Equal(t, do(t, "DELETE", jobs(other)+"/k", "").status, 202)
	r := <-done
	assert.Equal(t, r.body.Reason, "cancelled")
	assert.Equal(t, r.status, 409)
	assert.Equal(t, r.header.Get("Retry-After"), "", "a client would undo the cancel")
}
