package entrynode_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/entrynode"
	"github.com/limpettrail/limpettrail/internal/loopback"
	"github.com/limpettrail/limpettrail/internal/operator"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
	"github.com/limpettrail/limpettrail/platformlog"
)

const (
	testTimeout = time.Minute // long, since it only ends a test that hangs
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startLog(t *testing.T) *logserver.Server {
	t.Helper()
	s, err := logserver.Start(logserver.Options{Listen: loopback.AnyPort})
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

func publish(t *testing.T, log *logserver.Server, toml string) {
	t.Helper()
	client := platformlog.NewClient(platformlog.ClientOptions{BaseURL: log.URL()})
	defer client.Close()
	var out strings.Builder
	result := (&operator.Client{Log: client, Out: &out}).Apply(context.Background(), "test", []byte(toml), false)
	assert.Equal(t, result.ExitCode(), operator.ExitOK, out.String())
}

func startNode(t *testing.T, log *logserver.Server, peer string) *entrynode.Node {
	t.Helper()
	client := platformlog.NewClient(platformlog.ClientOptions{BaseURL: log.URL()})
	n, err := entrynode.Start(entrynode.Options{
		Entry: entryd.Options{Name: "entry", Zone: "z", Listen: loopback.AnyPort, PeerListen: peer, OperatorListen: loopback.AnyPort, Scheduler: policy.New(policy.Options{Seed: 1, Zone: "z"})},
		Log:   client,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		n.Kill()
		client.Close()
	})
	return n
}

func startAgent(t *testing.T, entries ...string) *agentd.Agent {
	t.Helper()
	up, err := upstream.Start(loopback.AnyPort, upstream.Options{})
	assert.NilError(t, err)
	a := agentd.Start(agentd.Options{Name: "worker", Zone: "z", Rack: "r", Slots: 4, UpstreamURL: "http://" + up.Addr(), Entries: entries})
	t.Cleanup(func() {
		a.Kill()
		up.Close()
	})
	return a
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timed out waiting for: %s", what)
	}
}

// submit posts a job and returns the status and the body.
func submit(t *testing.T, n *entrynode.Node, body string) (int, string) {
	t.Helper()
	resp, err := http.Post("http://"+n.Addr()+"/v1/jobs", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer http.DefaultClient.CloseIdleConnections()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// metric returns the exported value of a metric without labels, or "" if it is not
// exported.
func metric(t *testing.T, n *entrynode.Node, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + n.OperatorAddr() + "/metrics")
	assert.NilError(t, err)
	defer http.DefaultClient.CloseIdleConnections()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func nonIdempotentJob(text string) string {
	return fmt.Sprintf(`{"class":"seal","idempotent":false,"key":"%d-%s","tasks":[{"sleep_us":1}]}`, time.Now().UnixMilli(), text)
}

const sealClass = "[[class]]\nname = \"seal\"\nwithin_ms = 500\nsuccess = 0.9\n"

// Guards against a replaced entry that cannot serve during an outage of the
// platform's log, and against one that accepts non-idempotent jobs meanwhile.
func TestEntryReplacedDuringLogOutageLearnsConfigurationFromAgents(t *testing.T) {
	log := startLog(t)
	publish(t, log, sealClass)
	old := startNode(t, log, loopback.UniqueAddr())
	peer := old.PeerAddr()
	a := startAgent(t, peer)
	waitFor(t, "agent has the configuration", func() bool {
		s, ok := a.Status()
		return ok && s.ConfigVersion > 0
	})

	waitFor(t, "log is reachable", func() bool { return metric(t, old, "limpettrail_log_reachable") == "1" })
	log.SetFaults(logserver.Faults{Outage: true})
	waitFor(t, "log is reported unreachable", func() bool { return metric(t, old, "limpettrail_log_reachable") == "0" })
	old.Kill()
	fresh := startNode(t, log, peer)
	waitFor(t, "fresh entry is ready", fresh.Ready)
	code, body := submit(t, fresh, `{"class":"seal","tasks":[{"sleep_us":1}]}`)
	assert.Equal(t, code, http.StatusOK, body)
	code, body = submit(t, fresh, nonIdempotentJob("during"))
	assert.Equal(t, code, http.StatusServiceUnavailable, body)
	assert.Assert(t, strings.Contains(body, `"outcome":"refused"`) && strings.Contains(body, "log_unavailable"), body)

	log.SetFaults(logserver.Faults{})
	waitFor(t, "non-idempotent work after the outage", func() bool {
		code, _ := submit(t, fresh, nonIdempotentJob("after"))
		return code == http.StatusOK
	})
}

// Guards against a return to an older configuration when an entry without the
// current log connects to an agent that has a newer one, or the reverse.
func TestNewerConfigurationWinsWhicheverSideHasIt(t *testing.T) {
	log := startLog(t)
	publish(t, log, sealClass)
	n := startNode(t, log, loopback.UniqueAddr())
	a := startAgent(t, n.PeerAddr())
	version := func() int64 {
		s, _ := a.Status()
		return s.ConfigVersion
	}
	waitFor(t, "first version", func() bool { return version() > 0 })
	first := version()
	publish(t, log, "[[class]]\nname = \"late\"\nwithin_ms = 500\nsuccess = 0.9\n")
	waitFor(t, "second version", func() bool { return version() > first })

	// Start an entry at the same address that reads a log with an older
	// configuration.
	stale := startLog(t)
	publish(t, stale, sealClass)
	peer := n.PeerAddr()
	n.Kill()
	second := startNode(t, stale, peer)
	waitFor(t, "the agent's newer configuration is in effect", func() bool {
		code, _ := submit(t, second, `{"class":"late","tasks":[{"sleep_us":1}]}`)
		return code == http.StatusOK
	})
	assert.Assert(t, version() > first)
}

// Guards against an entry that starts during a log outage and reports classes as
// unknown, which callers would treat as a permanent error.
func TestEntryWithoutConfigurationAsksCallersToRetry(t *testing.T) {
	log := startLog(t)
	log.SetFaults(logserver.Faults{Outage: true})
	n := startNode(t, log, loopback.UniqueAddr())
	code, body := submit(t, n, `{"class":"seal","tasks":[{"sleep_us":1}]}`)
	assert.Equal(t, code, http.StatusServiceUnavailable, body)
	assert.Assert(t, strings.Contains(body, "not_configured"), body)
	assert.Assert(t, !n.Ready())
}
