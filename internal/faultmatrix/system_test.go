package faultmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/loopback"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/operator"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
	"github.com/limpettrail/limpettrail/platformlog"
)

const (
	// waitTimeout bounds all waits of a test. It is far longer than a loaded
	// machine needs, so that a test fails only if an event is missing.
	waitTimeout   = 3 * time.Minute
	pollInterval  = 10 * time.Millisecond
	classSettings = "[[class]]\nname = \"render\"\nwithin_ms = %d\nsuccess = 0.9\n"
)

// binaryDir is the directory of the binary, which TestMain removes.
var binaryDir string

// buildBinary builds the limpettrail binary with the race detector, once per test
// process.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "limpettrail-faultmatrix-")
	if err != nil {
		return "", err
	}
	binaryDir = dir
	path := filepath.Join(dir, "limpettrail")
	out, err := exec.Command("go", "build", "-race", "-o", path, "github.com/limpettrail/limpettrail/cmd/limpettrail").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build limpettrail: %w\n%s", err, out)
	}
	return path, nil
})

// listeningLine matches the line that an entry or agent prints once it listens.
var listeningLine = regexp.MustCompile(`(?:callers (\S+), peers (\S+)|upstream \S+), operators (\S+)`)

// process is one entry or agent process.
type process struct {
	cmd                                *exec.Cmd
	done                               chan struct{}
	callerAddr, peerAddr, operatorAddr string
}

// system is a set of entry and agent processes. The platform log and the upstreams
// are stand-ins in the test's own process, so that a test can set their faults and
// read their records.
type system struct {
	t         *testing.T
	ctx       context.Context
	dir       string
	listen    string // address that processes listen on when first started
	log       *logserver.Server
	upstreams []*upstream.Server
	entries   []*process
	agents    []*process
	observer  *observer.Observer
}

func startSystem(t *testing.T, entries, agents int) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	s := &system{t: t, ctx: ctx, dir: t.TempDir(), listen: loopback.UniqueAddr(), observer: observer.New()}
	var err error
	s.log, err = logserver.Start(logserver.Options{Listen: loopback.AnyPort})
	assert.NilError(t, err)
	t.Cleanup(func() { s.log.Close() })
	t.Cleanup(s.killAll)
	s.publishClass(5000)
	s.entries = make([]*process, entries)
	s.agents = make([]*process, agents)
	for i := range entries {
		s.startEntry(i)
	}
	for k := range agents {
		name := fmt.Sprint("upstream-", k)
		up, err := upstream.Start(loopback.AnyPort, upstream.Options{OnStart: func(st upstream.TaskStart) {
			s.observer.RecordStart(observer.StartOf(name, st))
		}})
		assert.NilError(t, err)
		t.Cleanup(func() { up.Close() })
		s.upstreams = append(s.upstreams, up)
		s.startAgent(k)
	}
	s.awaitReady()
	return s
}

func (s *system) killAll() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if p != nil {
			p.kill()
		}
	}
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// logClient returns a client of the log, closed at the end of the test.
func (s *system) logClient() *platformlog.Client {
	c := platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.log.URL()})
	s.t.Cleanup(c.Close)
	return c
}

// publishClass publishes the class as an operator does.
func (s *system) publishClass(withinMS int) {
	s.t.Helper()
	var out bytes.Buffer
	c := operator.Client{Log: s.logClient(), Out: &out, Timeout: time.Minute}
	r := c.Apply(s.ctx, "classes", fmt.Appendf(nil, classSettings, withinMS), false)
	assert.Equal(s.t, r.ExitCode(), operator.ExitOK, out.String())
}

// startEntry starts entry i. A restarted entry listens on its previous addresses.
func (s *system) startEntry(i int) {
	s.t.Helper()
	listen, peers, operators := s.listen, s.listen, s.listen
	if old := s.entries[i]; old != nil {
		listen, peers, operators = old.callerAddr, old.peerAddr, old.operatorAddr
	}
	s.entries[i] = s.start("entry", fmt.Sprintf(
		"name = \"entry-%d\"\nzone = \"z\"\nlog_level = \"error\"\nlisten = %q\npeer_listen = %q\noperator_listen = %q\nlog_url = %q\n",
		i, listen, peers, operators, s.log.URL()))
}

func (s *system) startAgent(k int) {
	s.t.Helper()
	var peers []string
	for _, e := range s.entries {
		peers = append(peers, fmt.Sprintf("%q", e.peerAddr))
	}
	s.agents[k] = s.start("agent", fmt.Sprintf(
		"name = \"worker-%d\"\nzone = \"z\"\nrack = \"r%d\"\nlog_level = \"error\"\nentries = [%s]\nupstream = \"http://%s/\"\nslots = 4\noperator_listen = %q\n",
		k, k, strings.Join(peers, ", "), s.upstreams[k].Addr(), s.listen))
}

func (s *system) start(role, settings string) *process {
	s.t.Helper()
	path, err := buildBinary()
	assert.NilError(s.t, err)
	f, err := os.CreateTemp(s.dir, role+"-*.toml")
	assert.NilError(s.t, err)
	_, err = f.WriteString(settings)
	assert.NilError(s.t, errors.Join(err, f.Close()))
	p := &process{cmd: exec.Command(path, role, f.Name()), done: make(chan struct{})}
	var stderr bytes.Buffer
	p.cmd.Stderr = &stderr
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.cmd.Start())
	line, err := bufio.NewReader(stdout).ReadString('\n')
	go func() {
		io.Copy(io.Discard, stdout)
		p.cmd.Wait()
		close(p.done)
	}()
	m := listeningLine.FindStringSubmatch(line)
	if err != nil || m == nil {
		p.kill()
		s.t.Fatalf("%s did not start: %q %s", role, line, stderr.String())
	}
	p.callerAddr, p.peerAddr, p.operatorAddr = m[1], m[2], m[3]
	return p
}

// processStatus is the part of the GET /status reply that tests read.
type processStatus struct {
	Incarnation   string   `json:"incarnation"`
	Ready         bool     `json:"ready"`
	ConfigVersion int64    `json:"config_version"`
	Requests      int      `json:"requests"`
	Agents        []string `json:"agents"`
	Log           struct {
		Reachable bool `json:"log_reachable"`
		CaughtUp  bool `json:"caught_up"`
	} `json:"log"`
}

func (p *process) status() (processStatus, error) {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var st processStatus
	resp, err := client.Get("http://" + p.operatorAddr + "/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// awaitStatus polls the status of a process until ok returns true. what names the
// awaited condition. The test fails if the process exits or the context of the system
// is done before.
func (s *system) awaitStatus(p *process, what string, ok func(processStatus) bool) {
	s.t.Helper()
	for {
		st, err := p.status()
		if err == nil && ok(st) {
			return
		}
		if s.ctx.Err() != nil || !p.running() {
			s.t.Fatalf("waiting for %s: status %+v, error %v, running %v", what, st, err, p.running())
		}
		time.Sleep(pollInterval)
	}
}

// awaitReady waits until every entry is ready, is linked to all agents, and has
// caught up with the log.
func (s *system) awaitReady() {
	s.t.Helper()
	for i, e := range s.entries {
		s.awaitStatus(e, fmt.Sprintf("entry %d to be ready", i), func(st processStatus) bool {
			return st.Ready && len(st.Agents) == len(s.agents) && st.Log.Reachable && st.Log.CaughtUp
		})
	}
}

// waitUntil polls until ok returns true. what names the awaited condition.
func (s *system) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	for !ok() {
		if s.ctx.Err() != nil {
			s.t.Fatalf("waiting for %s: %v", what, s.ctx.Err())
		}
		time.Sleep(pollInterval)
	}
}

// urls returns the base URLs at which the entries accept jobs.
func (s *system) urls() []string {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, "http://"+e.callerAddr)
	}
	return urls
}

// submitJobs submits jobs in the background. It returns a function that waits until
// all have ended and returns their outcomes in the order in which the jobs ended.
func (s *system) submitJobs(name string, jobs []load.Job) func() []load.JobResult {
	var outcomes []load.JobResult
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		outcomes, err = load.Drive(s.ctx, load.Target{Entries: s.urls(), Observer: s.observer}, name, jobs)
	}()
	return func() []load.JobResult {
		s.t.Helper()
		<-done
		assert.NilError(s.t, err)
		return outcomes
	}
}

// checkPromises fails the test for each violation of a promise.
func (s *system) checkPromises() {
	s.t.Helper()
	for _, v := range s.observer.Check() {
		s.t.Error(v)
	}
}

// jobReply is the part of the reply to a submission that tests read.
type jobReply struct {
	Submission string            `json:"submission"`
	Outcome    string            `json:"outcome"`
	Reason     string            `json:"reason"`
	Results    []json.RawMessage `json:"results"`
}

// post submits a job to entry i and returns the reply.
func (s *system) post(i int, body string) (jobReply, error) {
	var r jobReply
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, s.urls()[i]+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		return r, err
	}
	req.GetBody = nil // keeps the transport from submitting the job a second time
	resp, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r)
}
