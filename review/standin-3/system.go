package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine, as on the deploy page.
const (
	frontendPort = 8161
	readyPort    = 8167
	controlPort  = 8166
	workerPort   = 8168
	storePort    = 8169
)

const (
	host        = "nony24.example"
	serviceName = "huvo11a"
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	memoryCheck  = 50 * time.Millisecond
	callTimeout  = 4 * time.Second
)

// machine is one machine with its process.
type machine struct {
	name, zone, class, role string
	ip                      string
	memoryMB                int
	maxFds                  int
	storeAddr               string
	path                    *storePath

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // the process is not started again
	ends    int  // how often the process has ended although nobody stopped it
	peakMB  int
}

// options are the size of a deployment.
type options struct {
	entries, workers int
	spare            int // of the entries, those that are added later
	zones            []string
}

// system is a deployment: the platform's store, the machines and the workers.
type system struct {
	dir     string
	prefix  string // first three parts of the addresses
	store   *store
	entries []*machine
	agents  []*machine
	workers []*worker
	rec     *recorder
	servers []*http.Server
	wg      sync.WaitGroup
	closed  chan struct{}
	opts    options
	client  *http.Client
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// startSystem starts the store, the workers and the programs, and waits until all entries are
// ready.
func startSystem(rec *recorder, opts options, config func(version int) map[string]any) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, store: newStore(), rec: rec, closed: make(chan struct{}), opts: opts,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if err := s.choosePrefix(); err != nil {
		return nil, err
	}
	s.publish(config(3))
	s.addMachines()
	if err := s.serveStore(); err != nil {
		return s, err
	}
	for _, m := range slices.Concat(s.started(), s.agents) {
		if err := s.start(m); err != nil {
			return s, err
		}
	}
	for i, m := range s.agents {
		w, err := startWorker(s, i, m)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, w)
	}
	s.wg.Add(1)
	go s.watchMemory()
	return s, s.awaitReady(s.started()...)
}

// choosePrefix chooses loopback addresses that are free.
func (s *system) choosePrefix() error {
	var err error
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), rand.IntN(250))
		var l net.Listener
		if l, err = net.Listen("tcp", s.addr(1, frontendPort)); err == nil {
			return l.Close()
		}
	}
	return err
}

// serveStore serves the store at an address for each machine, so that each can be cut off.
func (s *system) serveStore() error {
	for i, m := range s.machines() {
		m.path = &storePath{store: s.store, name: m.name, rec: s.rec}
		m.storeAddr = s.addr(100+i, storePort)
		l, err := net.Listen("tcp", m.storeAddr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: m.path.handler()}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(l) }() // returns after Close
	}
	return nil
}

// started returns the entries that are not added later.
func (s *system) started() []*machine { return s.entries[:len(s.entries)-s.opts.spare] }

// add starts an entry that is added later, and waits until it is ready.
func (s *system) add(m *machine) error {
	if err := s.start(m); err != nil {
		return err
	}
	return s.awaitReady(m)
}

func (s *system) machines() []*machine { return slices.Concat(s.entries, s.agents) }

func (s *system) addr(i, port int) string { return fmt.Sprintf("%s.%d:%d", s.prefix, i, port) }

func (s *system) addMachines() {
	for i := range s.opts.entries {
		zone := s.opts.zones[i%len(s.opts.zones)]
		s.entries = append(s.entries, &machine{name: fmt.Sprintf("frontend-%s-%d", zone, i), zone: zone, class: "frontend", role: "entry",
			ip: fmt.Sprintf("%s.%d", s.prefix, 1+i), memoryMB: 284, maxFds: 4100})
	}
	for i := range s.opts.workers {
		zone := s.opts.zones[i%len(s.opts.zones)]
		s.agents = append(s.agents, &machine{name: fmt.Sprintf("side-%s-%d", zone, i), zone: zone, class: "side", role: "agent",
			ip: fmt.Sprintf("%s.%d", s.prefix, 20+i), memoryMB: 152, maxFds: 4096})
	}
}

// publish writes a configuration as the operator does.
func (s *system) publish(config map[string]any) {
	data, err := json.Marshal(config)
	if err != nil {
		panic(fmt.Sprintf("standin: %v", err)) // cannot fail: all values can be encoded
	}
	s.store.put("keyed.op", "config", data)
	s.rec.printf("operator: version %v is acknowledged", config["version"])
}

// settings returns the settings file of a machine.
func (s *system) settings(m *machine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName: %q\nrole: %q\nmachineClass: %q\nip: %q\nzone: %q\nregion: \"western-province\"\n", m.name, m.role, m.class, m.ip, m.zone)
	fmt.Fprintf(&b, "zones:\n")
	for _, z := range s.opts.zones {
		fmt.Fprintf(&b, "  %s: \"western-province\"\n", z)
	}
	fmt.Fprintf(&b, "listenAddrs:\n")
	if m.role == "entry" {
		fmt.Fprintf(&b, "  frontend: \"%s:%d\"\n  ready: \"%s:%d\"\n", m.ip, frontendPort, m.ip, readyPort)
	}
	fmt.Fprintf(&b, "  controlPlane: \"%s:%d\"\n", m.ip, controlPort)
	fmt.Fprintf(&b, "internalPorts:\n  - 7720\n  - 7735\nseeds:\n")
	for _, e := range s.entries[:min(3, len(s.entries))] {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", e.ip, controlPort)
	}
	fmt.Fprintf(&b, "bootstrap: true\nlimits:\n  cpuShare: 0.4\n  cores: 1\n  memoryMb: %d\n  maxFds: %d\n  linkMbps: 1000.0\n  diskMb: 0\n", m.memoryMB, m.maxFds)
	fmt.Fprintf(&b, "discovery: \"local\"\nentry: \"vip\"\nheartbeatMs: 1500\n")
	if m.role == "agent" {
		fmt.Fprintf(&b, "app: \"%s:%d\"\nservice: %q\n", m.ip, workerPort, serviceName)
	}
	fmt.Fprintf(&b, "bounds:\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 2000\n  holdMaxMs: 1000\n  stopTimeoutMs: 50\n  cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n  status_s: 120\n  leaseMs: 3000\n  resendMs: 1300\n")
	fmt.Fprintf(&b, "commands: \"call\"\nplatform:\n  address: %q\n  form: \"log\"\n  writesPerS: 800\n  readsPerS: 2000\n  recordBytes: %d\n  requestBytes: %d\n  keep_s: 300\n", m.storeAddr, recordBytes, requestBytes)
	return b.String()
}

// start starts the process of a machine with the command of the deploy file.
func (s *system) start(m *machine) error {
	file := filepath.Join(s.dir, m.name+".yaml")
	if err := os.WriteFile(file, []byte(s.settings(m)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/limpettrail", "node", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LIMPETTRAIL_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	s.rec.printf("platform: process of %s started", m.name)
	s.wg.Add(1)
	go s.await(m, cmd, logFile)
	return nil
}

// await starts the process of a machine again after its end.
func (s *system) await(m *machine, cmd *exec.Cmd, logFile io.Closer) {
	defer s.wg.Done()
	err := cmd.Wait()
	logFile.Close()
	m.mu.Lock()
	stopped := m.stopped
	if !stopped {
		m.ends++
	}
	m.mu.Unlock()
	if stopped {
		return
	}
	s.rec.printf("platform: process of %s has ended: %v", m.name, err)
	select {
	case <-s.closed:
	case <-time.After(restartDelay):
		if err := s.start(m); err != nil {
			s.rec.printf("platform: %s: %v", m.name, err)
		}
	}
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(sig) // an error means that the process has ended
	}
}

// watchMemory kills processes that exceed the memory of their machine.
func (s *system) watchMemory() {
	defer s.wg.Done()
	t := time.NewTicker(memoryCheck)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-t.C:
		}
		for _, m := range s.machines() {
			m.mu.Lock()
			cmd := m.cmd
			m.mu.Unlock()
			if cmd == nil {
				continue
			}
			used := residentMB(cmd.Process.Pid)
			m.mu.Lock()
			m.peakMB = max(m.peakMB, used)
			m.mu.Unlock()
			if used > m.memoryMB {
				s.rec.printf("platform: process of %s has %d MB, more than the %d MB of its machine: killed", m.name, used, m.memoryMB)
				_ = cmd.Process.Kill() // an error means that it has ended
			}
		}
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// awaitReady waits until the entries are ready.
func (s *system) awaitReady(entries ...*machine) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range entries {
		for !s.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all agents have their links
	return nil
}

func (s *system) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/limpettrail/ready", m.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is the response to a call of a client. Status is 0 if there was none.
type answer struct {
	status  int
	state   string
	pending int
	text    string
}

// call makes a client's call at an entry.
func (s *system) call(m *machine, method, path string, body any) answer {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(fmt.Sprintf("standin: %v", err)) // cannot fail: all bodies can be encoded
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontendPort, path), bytes.NewReader(data))
	if err != nil {
		return answer{text: err.Error()}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{text: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{text: err.Error()}
	}
	var reply struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.Unmarshal(text, &reply) // other bodies have no such fields
	return answer{status: resp.StatusCode, state: reply.State, pending: reply.Pending, text: strings.TrimSpace(string(text))}
}

// close ends all processes that the test started.
func (s *system) close() {
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	for _, m := range s.machines() {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.wg.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
	}
}
