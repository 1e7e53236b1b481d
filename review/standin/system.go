package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

// program is the path of the program as the build line of the deploy file makes it.
const program = "target/limpettrail"

// Ports of every machine.
const (
	portApp     = 18165
	portControl = 18166
	portReady   = 18167
	portClients = 18161
	portPeersLo = 18720
	portPeersHi = 18735
)

// Names that the operator has published.
const (
	queueHost = "desk.example"
	queuePath = "/orders/"
	service   = "desk"
)

// Bounds of a small deployment, as in the users' site files.
const (
	contactTime  = 3 * time.Second
	ackTime      = 4 * time.Second
	cancelTime   = 3 * time.Second
	visibleTime  = 3 * time.Second
	holdMax      = time.Second
	beatInterval = 1500 * time.Millisecond
)

// settingsText is the settings file of a process. The fields follow the users' page.
const settingsText = `nodeName: %q
role: %q
machineClass: %q
ip: %q
zone: "z%d"
region: "r"
listenAddrs:
%s
internalPorts: [%d, %d]
seeds: [%s]
bootstrap: true
limits: { cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0 }
heartbeatMs: 1500
bounds: { contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000, recoveryS: 12, holdMaxMs: 1000, stopTimeoutMs: 50, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, status_s: 120, noticeMs: 4500, leaseMs: 3000, resendMs: 1300 }
commands: "call"
%s
platform: { address: %q, form: "log", writesPerS: 800, readsPerS: 2000, parts: 12, recordBytes: 262144, requestBytes: 2097152, keep_s: 300, partitionMb: 200 }
`

// layout is the size of a deployment.
type layout struct{ entries, workers int }

// system is the deployment of a case.
type system struct {
	layout
	rec     *record
	dir     string // temporary folder with settings files and logs
	prefix  string // first three octets of the machines' addresses
	ledger  *ledger
	store   *emulator.Store
	gates   []*storeGate // in front of the store, by machine
	workers []*worker
	procs   []*exec.Cmd // by machine; nil if the process is down
	client  *http.Client
	ids     atomic.Uint64 // of the newest job
}

// startSystem starts the platform and every process, and waits until the entries are
// ready and serve.
func startSystem(l layout, rec *record) (*system, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "limpettrail-review-")
	if err != nil {
		return nil, err
	}
	s := &system{
		layout: l, rec: rec, dir: dir, ledger: newLedger(rec), store: emulator.NewStore(),
		procs:  make([]*exec.Cmd, l.entries+l.workers),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	s.ids.Store(rand.Uint64())
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start() error {
	if err := s.choosePrefix(); err != nil {
		return err
	}
	s.publish()
	for m := range s.entries + s.layout.workers {
		gate, err := s.newGate()
		if err != nil {
			return err
		}
		s.gates = append(s.gates, gate)
		if m >= s.entries {
			w, err := startWorker(fmt.Sprintf("i-%08x", rand.Uint32()), s.addr(m, portApp), s.addr(m, portControl), s.ledger)
			if err != nil {
				return err
			}
			s.workers = append(s.workers, w)
		}
	}
	for m := range s.procs {
		if err := s.startProcess(m); err != nil {
			return err
		}
	}
	return s.awaitReady(10 * time.Second)
}

// choosePrefix looks for a loopback range whose ports are free.
func (s *system) choosePrefix() error {
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for m := range s.procs {
			for _, port := range []int{portApp, portControl, portReady, portClients, portPeersLo, portPeersLo + 1} {
				l, err := net.Listen("tcp", s.addr(m, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no loopback range with free ports")
}

// addr returns the address of a port of a machine.
func (s *system) addr(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.prefix, machine+1, port)
}

// publish writes the operator's configuration.
func (s *system) publish() {
	body, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "orders", "host": queueHost, "pathPrefix": queuePath, "type": "unsafe", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": service, "maxAttempts": 4, "slackFactor": 1.6,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "preconditions": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // cannot fail: all values can be encoded
	}
	s.store.Put("keyed.op", "config", body)
}

// isEntry reports whether a machine runs an entry. The first machines do, and those that
// were added.
func (s *system) isEntry(machine int) bool {
	return machine < s.entries || machine >= s.entries+s.layout.workers
}

// addEntry starts an entry on another machine.
func (s *system) addEntry() error {
	gate, err := s.newGate()
	if err != nil {
		return err
	}
	s.gates = append(s.gates, gate)
	s.procs = append(s.procs, nil)
	return s.startProcess(len(s.procs) - 1)
}

// newGate opens the way of one more machine to the store.
func (s *system) newGate() (*storeGate, error) {
	addr, err := s.store.Listen()
	if err != nil {
		return nil, err
	}
	return startStoreGate(addr)
}

// name returns the name of a machine.
func (s *system) name(machine int) string {
	switch {
	case machine < s.entries:
		return fmt.Sprintf("frontend-z%d-1", machine)
	case s.isEntry(machine):
		return "frontend-z0-2"
	}
	return fmt.Sprintf("side-z%d-1", machine-s.entries)
}

// settings returns the settings file of a machine.
func (s *system) settings(m int) string {
	var seeds []string
	for i := range s.entries {
		seeds = append(seeds, fmt.Sprintf("%q", s.addr(i, portControl)))
	}
	role, class, app := "entry", "frontend", ""
	listen := fmt.Sprintf("  frontend: %q\n  ready: %q\n  controlPlane: %q", s.addr(m, portClients), s.addr(m, portReady), s.addr(m, portControl))
	if !s.isEntry(m) {
		role, class = "agent", "side"
		listen = fmt.Sprintf("  controlPlane: %q", s.addr(m, portControl))
		app = fmt.Sprintf("app: %q\nservice: %q", s.addr(m, portApp), service)
	}
	ip, _, _ := strings.Cut(s.addr(m, 0), ":")
	return fmt.Sprintf(settingsText, s.name(m), role, class, ip, m%3, listen, portPeersLo, portPeersHi, strings.Join(seeds, ", "), app, s.gates[m].addr)
}

// startProcess starts the process of a machine with the command of the deploy file.
func (s *system) startProcess(m int) error {
	file := filepath.Join(s.dir, s.name(m)+".yaml")
	if err := os.WriteFile(file, []byte(s.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, s.name(m)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	role := "agent"
	if s.isEntry(m) {
		role = "entry"
	}
	cmd := exec.Command(program, "node", role)
	cmd.Env = []string{"LIMPETTRAIL_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.procs[m] = cmd
	s.rec.printf("%s started, process %d", s.name(m), cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine.
func (s *system) signal(m int, sig syscall.Signal) error {
	s.rec.printf("%s gets signal %d (%v)", s.name(m), int(sig), sig)
	return s.procs[m].Process.Signal(sig)
}

// kill ends the process of a machine at once.
func (s *system) kill(m int) {
	if s.procs[m] == nil {
		return
	}
	// The process may have ended by itself, which the record shows.
	_ = s.procs[m].Process.Kill()
	err := s.procs[m].Wait()
	s.rec.printf("%s has ended: %v", s.name(m), err)
	s.procs[m] = nil
}

// terminate stops the process of a machine as the platform does: SIGTERM, and SIGKILL after
// the grace.
func (s *system) terminate(m int, grace time.Duration) error {
	if err := s.signal(m, syscall.SIGTERM); err != nil {
		return err
	}
	p := s.procs[m]
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	select {
	case err := <-ended:
		s.rec.printf("%s has ended: %v", s.name(m), err)
	case <-time.After(grace):
		_ = p.Process.Kill() // it may have ended by now
		s.rec.printf("%s is killed after %v: %v", s.name(m), grace, <-ended)
	}
	s.procs[m] = nil
	return nil
}

// awaitReady waits until every entry reports that it is ready.
func (s *system) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for m := range s.entries {
		for !s.ready(m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", s.name(m))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // agents connect to the other entries
	return nil
}

func (s *system) ready(m int) bool {
	resp, err := s.client.Get("http://" + s.addr(m, portReady) + "/limpettrail/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends everything that was started.
func (s *system) close() {
	for m := range s.procs {
		s.kill(m)
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, g := range s.gates {
		g.close()
	}
	s.store.Close()
	s.client.CloseIdleConnections()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// loseAnswers makes the answers of a share of all writes to the store be lost.
func (s *system) loseAnswers(share float64) {
	s.rec.printf("share of the writes to the store of which the answer is lost: %.2f", share)
	for _, g := range s.gates {
		g.setFault(func() writeFault { return writeFault{loseAnswer: rand.Float64() < share} })
	}
}

// warmUp has jobs run, as on any day, so that the entries know their workers.
func (s *system) warmUp(k kindOfJob) {
	t := newTraffic(s)
	t.run(3*time.Second, []kindOfJob{k})
	t.wait()
	time.Sleep(k.length + time.Second)
}
