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
	// patience bounds each wait. It is far above what a loaded machine needs,
	// so that only a missing event fails a test.
	patience = 3 * time.Minute
	poll     = 10 * time.Millisecond
	classes  = "[[class]]\nname = \"render\"\nwithin_ms = %d\nsuccess = 0.9\n"
)

// programDir holds what buildProgram built, until TestMain removes it.
var programDir string

// buildProgram builds the program once in the test process, with the race detector.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "limpettrail-faultmatrix-")
	if err != nil {
		return "", err
	}
	programDir = dir
	path := filepath.Join(dir, "limpettrail")
	out, err := exec.Command("go", "build", "-race", "-o", path, "github.com/limpettrail/limpettrail/cmd/limpettrail").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

// listening is what an entry or an agent prints when it listens.
var listening = regexp.MustCompile(`(?:callers (\S+), peers (\S+)|upstream \S+), operators (\S+)`)

// program is one entry or agent process.
type program struct {
	cmd                       *exec.Cmd
	done                      chan struct{}
	callers, peers, operators string
}

// system is a set of entry and agent processes. The platform's log and the
// upstreams are stand-ins in the test's process, so that a test switches their
// faults and sees their records.
type system struct {
	t       *testing.T
	ctx     context.Context
	dir     string
	listen  string // where programs listen at first
	log     *logserver.Server
	ups     []*upstream.Server
	entries []*program
	agents  []*program
	watch   *observer.Observer
}

func startSystem(t *testing.T, entries, agents int) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	s := &system{t: t, ctx: ctx, dir: t.TempDir(), listen: loopback.Own(), watch: observer.New()}
	var err error
	s.log, err = logserver.Start(logserver.Options{Listen: loopback.Any})
	assert.NilError(t, err)
	t.Cleanup(func() { s.log.Close() })
	t.Cleanup(s.killAll)
	s.publish(5000)
	s.entries = make([]*program, entries)
	s.agents = make([]*program, agents)
	for i := range entries {
		s.startEntry(i)
	}
	for k := range agents {
		name := fmt.Sprint("upstream-", k)
		up, err := upstream.Start(loopback.Any, upstream.Options{OnStart: func(st upstream.Started) {
			s.watch.Started(observer.StartOf(name, st))
		}})
		assert.NilError(t, err)
		t.Cleanup(func() { up.Close() })
		s.ups = append(s.ups, up)
		s.startAgent(k)
	}
	s.awaitReady()
	return s
}

func (s *system) killAll() {
	for _, p := range append(append([]*program(nil), s.entries...), s.agents...) {
		if p != nil {
			p.kill()
		}
	}
}

func (p *program) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

func (p *program) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// client returns a client of the log.
func (s *system) client() *platformlog.Client {
	c := platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.log.URL()})
	s.t.Cleanup(c.Close)
	return c
}

// publish changes the class as an operator does.
func (s *system) publish(withinMS int) {
	s.t.Helper()
	var out bytes.Buffer
	c := operator.Client{Log: s.client(), Out: &out, Timeout: time.Minute}
	r := c.Apply(s.ctx, "classes", fmt.Appendf(nil, classes, withinMS), false)
	assert.Equal(s.t, r.ExitCode(), operator.ExitOK, out.String())
}

// startEntry starts entry i, again on the addresses that it had before.
func (s *system) startEntry(i int) {
	s.t.Helper()
	listen, peers, operators := s.listen, s.listen, s.listen
	if old := s.entries[i]; old != nil {
		listen, peers, operators = old.callers, old.peers, old.operators
	}
	s.entries[i] = s.start("entry", fmt.Sprintf(
		"name = \"entry-%d\"\nzone = \"z\"\nlog_level = \"error\"\nlisten = %q\npeer_listen = %q\noperator_listen = %q\nlog_url = %q\n",
		i, listen, peers, operators, s.log.URL()))
}

func (s *system) startAgent(k int) {
	s.t.Helper()
	var peers []string
	for _, e := range s.entries {
		peers = append(peers, fmt.Sprintf("%q", e.peers))
	}
	s.agents[k] = s.start("agent", fmt.Sprintf(
		"name = \"worker-%d\"\nzone = \"z\"\nrack = \"r%d\"\nlog_level = \"error\"\nentries = [%s]\nupstream = \"http://%s/\"\nslots = 4\noperator_listen = %q\n",
		k, k, strings.Join(peers, ", "), s.ups[k].Addr(), s.listen))
}

func (s *system) start(role, settings string) *program {
	s.t.Helper()
	path, err := buildProgram()
	assert.NilError(s.t, err)
	f, err := os.CreateTemp(s.dir, role+"-*.toml")
	assert.NilError(s.t, err)
	_, err = f.WriteString(settings)
	assert.NilError(s.t, errors.Join(err, f.Close()))
	p := &program{cmd: exec.Command(path, role, f.Name()), done: make(chan struct{})}
	var failure bytes.Buffer
	p.cmd.Stderr = &failure
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.cmd.Start())
	line, err := bufio.NewReader(stdout).ReadString('\n')
	go func() {
		io.Copy(io.Discard, stdout)
		p.cmd.Wait()
		close(p.done)
	}()
	m := listening.FindStringSubmatch(line)
	if err != nil || m == nil {
		p.kill()
		s.t.Fatalf("%s did not start: %q %s", role, line, failure.String())
	}
	p.callers, p.peers, p.operators = m[1], m[2], m[3]
	return p
}

// state is the part of GET /status that tests read.
type state struct {
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

func (p *program) status() (state, error) {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var st state
	resp, err := client.Get("http://" + p.operators + "/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// await polls the status of a process until ok holds.
func (s *system) await(p *program, what string, ok func(state) bool) {
	s.t.Helper()
	for {
		st, err := p.status()
		if err == nil && ok(st) {
			return
		}
		if s.ctx.Err() != nil || !p.running() {
			s.t.Fatalf("waiting for %s: status %+v, error %v, running %v", what, st, err, p.running())
		}
		time.Sleep(poll)
	}
}

// awaitReady returns when every entry serves with all agents and the log.
func (s *system) awaitReady() {
	s.t.Helper()
	for i, e := range s.entries {
		s.await(e, fmt.Sprintf("entry %d to be ready", i), func(st state) bool {
			return st.Ready && len(st.Agents) == len(s.agents) && st.Log.Reachable && st.Log.CaughtUp
		})
	}
}

// until polls until ok holds.
func (s *system) until(what string, ok func() bool) {
	s.t.Helper()
	for !ok() {
		if s.ctx.Err() != nil {
			s.t.Fatalf("waiting for %s: %v", what, s.ctx.Err())
		}
		time.Sleep(poll)
	}
}

func (s *system) urls() []string {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, "http://"+e.callers)
	}
	return urls
}

// drive sends jobs in the background and returns a function that waits for
// their ends, by number of job.
func (s *system) drive(name string, jobs []load.Job) func() []load.Outcome {
	var outcomes []load.Outcome
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		outcomes, err = load.Drive(s.ctx, load.Target{Entries: s.urls(), Observer: s.watch}, name, jobs)
	}()
	return func() []load.Outcome {
		s.t.Helper()
		<-done
		assert.NilError(s.t, err)
		return outcomes
	}
}

// judge fails the test for each broken promise.
func (s *system) judge() {
	s.t.Helper()
	for _, v := range s.watch.Judge() {
		s.t.Error(v)
	}
}

// jobReply is the part of a caller's reply that tests read.
type jobReply struct {
	Submission string            `json:"submission"`
	Outcome    string            `json:"outcome"`
	Reason     string            `json:"reason"`
	Results    []json.RawMessage `json:"results"`
}

// post submits one job and returns its reply.
func (s *system) post(i int, body string) (jobReply, error) {
	var r jobReply
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, s.urls()[i]+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		return r, err
	}
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r)
}
