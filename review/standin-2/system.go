package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	serviceName = "commission-desk"
	routeHost   = "desk.example"
	routePrefix = "/quotes/"
	// binary is the program that the deploy file builds, in the root of the repository.
	binary = "target/limpettrail"

	frontendPort = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	storePort    = 8169
	firstPort    = 7720
	lastPort     = 7735

	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// runEvent is what an executor has seen of a run.
type runEvent struct {
	at      time.Time
	worker  string
	task    string
	attempt int
	what    string // start, or how the run ended
}

// system is a small deployment: entries and agents as processes of their own, the store, the
// executors and the clients.
type system struct {
	rec     *record
	trouble bool
	dir     string
	ipBase  string // first three octets of the machines' addresses
	store   *emulator.Store
	nodes   []*node
	workers []*worker

	mu   sync.Mutex
	runs []runEvent
}

// node is a machine with one process of the system.
type node struct {
	name  string
	role  string // entry or agent
	ip    string
	proxy *proxy // between the machine and the store
	file  string
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has ended
}

func newSystem(rec *record, trouble bool) (*system, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, trouble: trouble, dir: dir, store: emulator.NewStore()}
	if s.ipBase, err = freeAddresses(); err != nil {
		return nil, err
	}
	rec.printf("disruption: %v", trouble)
	return s, nil
}

// freeAddresses returns three octets of loopback addresses that nobody uses.
func freeAddresses() (string, error) {
	pid := os.Getpid()
	for i := range 100 {
		base := fmt.Sprintf("127.%d.%d", 100+(pid/200+i)%100, 1+pid%200)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", base, storePort))
		if err == nil {
			l.Close()
			return base, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// start starts the given numbers of entries and of executors with their agents, and waits
// until a small job has been served by each entry.
func (s *system) start(entries, workers int, cpu int64) error {
	s.publishConfig(1)
	for i := range entries {
		if _, err := s.addNode("entry", i, i); err != nil {
			return err
		}
	}
	for i := range workers {
		n, err := s.addNode("agent", i, entries+i)
		if err != nil {
			return err
		}
		w, err := s.startWorker(workerOptions{
			id: fmt.Sprintf("i-%d", i), addr: addr(n.ip, appPort), agentAddr: addr(n.ip, controlPort),
			zone: zoneOf(i), kind: kindOf(i, workers), rack: fmt.Sprintf("r%d", i), cpu: cpu, memMb: 1 << 17,
		})
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for _, n := range s.nodes {
		if err := s.startProcess(n); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// kindOf returns the kind of the i-th of n executors, b for the last one.
func kindOf(i, n int) string {
	if i == n-1 {
		return "b"
	}
	return "a"
}

func zoneOf(i int) string { return []string{"colombo-fort", "negombo", "kalutara"}[i%3] }

// awaitReady waits until every entry is ready and serves a best-effort job whose tasks are
// as many as the executors.
func (s *system) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for i, n := range s.nodes {
		for ; n.role == "entry"; time.Sleep(pollInterval) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			if status, _ := get("http://" + addr(n.ip, readyPort) + "/limpettrail/ready"); status != http.StatusOK {
				continue
			}
			id := fmt.Sprintf("%016x", 0xa000+time.Now().UnixNano()%0xfff0000+int64(i))
			body := job{Spec: "cpu=100 run=20", BestEffort: true, Phases: []phase{{Count: len(s.workers), CPU: 100, MemMb: 16, EstimatedMs: 20, AntiAffinity: 1}}}
			if r := s.call(n, http.MethodPost, id, body, 1500*time.Millisecond); r.status == http.StatusOK && strings.Contains(r.body, "completed") {
				break
			}
		}
	}
	s.rec.printf("all entries are ready and have served a job")
	return nil
}

// publishConfig writes a configuration as the operator does.
func (s *system) publishConfig(version int) {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-quotes", "host": routeHost, "pathPrefix": routePrefix, "type": "unsafe", "timeoutMs": 10000,
			"targetLatencyMs": 60, "priority": 0, "service": serviceName, "maxAttempts": 4, "slackFactor": 1.6,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "preconditions": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err == nil {
		s.store.Put("keyed.op", "config", body)
	}
}

// addNode adds a machine with its path to the store and its settings file.
func (s *system) addNode(role string, number, index int) (*node, error) {
	n := &node{name: fmt.Sprintf("%s-%d", role, number), role: role, ip: fmt.Sprintf("%s.%d", s.ipBase, index+1)}
	target, err := s.store.Listen()
	if err != nil {
		return nil, err
	}
	if n.proxy, err = startProxy(addr(n.ip, storePort), target); err != nil {
		return nil, err
	}
	n.file = filepath.Join(s.dir, n.name+".yaml")
	s.nodes = append(s.nodes, n)
	return n, os.WriteFile(n.file, s.settings(n, number), 0o600)
}

// settings returns the settings file of a machine.
func (s *system) settings(n *node, number int) []byte {
	var b strings.Builder
	class := "frontend"
	if n.role == "agent" {
		class = "side"
	}
	fmt.Fprintf(&b, "nodeName: %q\nrole: %q\nmachineClass: %q\n", n.name, n.role, class)
	fmt.Fprintf(&b, "ip: %q\nzone: %q\nregion: \"western-province\"\n", n.ip, zoneOf(number))
	b.WriteString("listenAddrs:\n")
	if n.role == "entry" {
		fmt.Fprintf(&b, "  frontend: %q\n  ready: %q\n", addr(n.ip, frontendPort), addr(n.ip, readyPort))
	}
	fmt.Fprintf(&b, "  controlPlane: %q\n", addr(n.ip, controlPort))
	fmt.Fprintf(&b, "internalPorts:\n  - %d\n  - %d\nseeds:\n", firstPort, lastPort)
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(&b, "  - %q\n", addr(fmt.Sprintf("%s.%d", s.ipBase, i), controlPort))
	}
	b.WriteString("limits:\n  cpuShare: 0.4\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n")
	b.WriteString("heartbeatMs: 1500\ncommands: \"call\"\nbounds:\n  graceS: 6\n  holdMaxMs: 1000\n")
	fmt.Fprintf(&b, "app: %q\nservice: %q\n", addr(n.ip, appPort), serviceName)
	fmt.Fprintf(&b, "platform:\n  address: %q\n  form: \"log\"\n", addr(n.ip, storePort))
	return []byte(b.String())
}

// startProcess starts the process of a machine with the command of the deploy file.
func (s *system) startProcess(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary, "node", n.role)
	cmd.Env = []string{"LIMPETTRAIL_NODE_FILE=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		cmd.Wait()
		close(done)
	}()
	return nil
}

// restart stops a process with SIGTERM, waits for its end and starts it again.
func (s *system) restart(n *node) error {
	s.rec.printf("%s: SIGTERM", n.name)
	if err := s.terminate(n); err != nil {
		return err
	}
	if err := s.startProcess(n); err != nil {
		return err
	}
	s.rec.printf("%s: started again", n.name)
	return nil
}

// graceS of the settings.
const stopGrace = 6 * time.Second

// terminate sends SIGTERM to a process, and SIGKILL if it has not ended after the grace.
func (s *system) terminate(n *node) error {
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.done:
	case <-time.After(stopGrace):
		n.cmd.Process.Kill()
		<-n.done
	}
	s.rec.printf("%s: ended", n.name)
	return nil
}

// close ends everything that the case has started.
func (s *system) close() {
	for _, n := range s.nodes {
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.done
		}
		n.proxy.close()
	}
	for _, w := range s.workers {
		w.close()
	}
	s.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	}
}

func (s *system) noteRun(e runEvent) {
	if strings.HasPrefix(e.task, loadPrefix) {
		return // recorded as a sum, see load
	}
	s.mu.Lock()
	s.runs = append(s.runs, e)
	s.mu.Unlock()
	s.rec.printf("executor %s: %s of %s attempt %d", e.worker, e.what, e.task, e.attempt)
}

// runsOf returns what the executors have seen of the runs of a job.
func (s *system) runsOf(id string) []runEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []runEvent
	for _, e := range s.runs {
		if strings.HasPrefix(e.task, id+".") {
			out = append(out, e)
		}
	}
	return out
}

// job is the body of a job.
type job struct {
	Spec        string  `json:"spec"`
	BestEffort  bool    `json:"bestEffort,omitempty"`
	LongRunning bool    `json:"longRunning,omitempty"`
	Phases      []phase `json:"phases"`
}

// phase is a step of a job.
type phase struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	MemMb          int64  `json:"memMb"`
	EstimatedMs    int64  `json:"estimatedMs,omitempty"`
	AntiAffinity   int    `json:"antiAffinity,omitempty"`
	DataRack       string `json:"dataRack,omitempty"`
	Requirements   string `json:"requirements,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
}

// reply is the answer to a request of a client. Its status is 0 if there was none.
type reply struct {
	status int
	body   string
}

// loadPrefix begins the IDs of the jobs of load.
const loadPrefix = "5c0e7a22"

// call sends a request about a job to an entry, waits for the answer for as long as
// X-Deadline-Ms states, and records both.
func (s *system) call(n *node, method, id string, body any, wait time.Duration) reply {
	data, err := json.Marshal(body)
	if err != nil {
		return reply{body: err.Error()}
	}
	s.rec.printf("client: %s %s to %s, waits %v: %s", method, id, n.name, wait, data)
	r := s.callQuietly(n, method, id, body, wait)
	if r.status == 0 {
		s.rec.printf("client: %s %s to %s: no complete answer: %s", method, id, n.name, r.body)
		return r
	}
	s.rec.printf("client: %s %s to %s: %d %s", method, id, n.name, r.status, r.body)
	return r
}

// callQuietly is call without a record.
func (s *system) callQuietly(n *node, method, id string, body any, wait time.Duration) reply {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return reply{body: err.Error()}
		}
		content = bytes.NewReader(data)
	}
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr(n.ip, frontendPort)+routePrefix+id, content)
	if err != nil {
		return reply{body: err.Error()}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{resp.StatusCode, strings.TrimSpace(string(answer))}
}

// get returns the status of a GET request, 0 if there is no answer.
func get(url string) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}
