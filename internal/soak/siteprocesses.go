package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	// workerRestartDelay is how long a restarted worker process is down.
	workerRestartDelay = 60 * time.Millisecond
	workersPerRack     = 7
	// workerAge is what the clock of a worker reads at its start.
	workerAge = time.Minute
)

// workerProcess is a worker that runs as a process of its own. Each process has a new name
// unless Options.KeepNames is set.
type workerProcess struct {
	system *System
	index  int
	listen string

	mu    sync.Mutex
	proc  *harness.Process // nil while the worker is down
	input io.WriteCloser
	lives []workerLife
}

// workerLife is one process of a worker.
type workerLife struct {
	record   string        // file with its events
	killedAt time.Duration // since the boot of the machine, 0 while it runs
}

// start starts a process of the worker, which must be down.
func (w *workerProcess) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	site, settings := w.system.opts.Site, w.system.Settings(w.system.opts.Entries+w.index)
	life := len(w.lives)
	process := fmt.Sprintf("i-%d-%d", w.index, life)
	name := process
	if w.system.opts.KeepNames {
		name = fmt.Sprintf("i-%d", w.index)
	}
	cfg := WorkerConfig{
		Name: name, Listen: w.listen, Zone: settings.Zone, Rack: fmt.Sprintf("r%d", w.index/workersPerRack), AgentAddr: settings.AnnounceAddr,
		CPU: site.Workers.CPU[w.index%len(site.Workers.CPU)], MemMb: site.Workers.MemMb,
		Heartbeat: time.Duration(site.Workers.HeartbeatMs) * time.Millisecond,
		Slowness:  site.Workers.Slowness[w.index%len(site.Workers.Slowness)],
		LateLease: w.system.opts.LateLease,
		Age:       workerAge,
		Seed:      w.system.opts.Seed<<16 + uint64(w.index)<<8 + uint64(life),
	}
	p, input, record, err := w.system.startStandIn(process, "worker", cfg)
	if err != nil {
		return err
	}
	w.proc, w.input = p, input
	w.lives = append(w.lives, workerLife{record: record})
	return nil
}

// startStandIn starts a stand-in and returns its standard input and the file that it
// records its events in.
func (s *System) startStandIn(name, role string, cfg any) (p *harness.Process, input io.WriteCloser, record string, err error) {
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, nil, "", err
	}
	file := filepath.Join(s.opts.Dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, nil, "", err
	}
	record = filepath.Join(s.opts.Dir, name+".record")
	p, input, err = harness.StartWithInput(name, s.opts.NodeBinary, role, "--config", file, "--record", record)
	return p, input, record, err
}

// kill kills the process if it runs.
func (w *workerProcess) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proc == nil {
		return
	}
	w.lives[len(w.lives)-1].killedAt = bootclock.SinceBoot()
	w.proc.Kill()
	w.proc = nil
}

// running returns the process, nil if the worker is down.
func (w *workerProcess) running() *harness.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.proc
}

// send sends a command. A worker that is down has no faults and does not drain.
func (w *workerProcess) send(cmd WorkerControl) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proc != nil {
		sendCommand(w.input, cmd)
	}
}

// sendCommand writes a command to a stand-in. An error means that the process has exited,
// which the test reports.
func sendCommand(input io.Writer, cmd any) {
	_ = json.NewEncoder(input).Encode(cmd)
}

// SetFaults implements worker.
func (w *workerProcess) SetFaults(f emulator.WorkerFaults) { w.send(WorkerControl{Faults: &f}) }

// Freeze implements worker: it suspends the process.
func (w *workerProcess) Freeze(ctx context.Context, d time.Duration) {
	p := w.running()
	if p == nil || p.Freeze() != nil {
		return
	}
	ctxsleep.For(ctx, d)
	// An error means that the process was killed meanwhile.
	_ = p.Thaw()
}

// Restart implements worker: another process with another name takes its place.
func (w *workerProcess) Restart() {
	w.kill()
	time.Sleep(workerRestartDelay)
	if err := w.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// callerProcess runs the callers of a site.
type callerProcess struct {
	proc   *harness.Process
	input  io.WriteCloser
	record string
}

// StartCallers starts the process of the callers. It submits jobs until StopCallers.
func (s *System) StartCallers() error {
	cfg := CallersConfig{Site: s.opts.Site, Seed: s.opts.Seed}
	for _, p := range s.callerProxies {
		cfg.Addrs = append(cfg.Addrs, p.Addr())
	}
	p, input, record, err := s.startStandIn("callers", "callers", cfg)
	if err == nil {
		s.callers = &callerProcess{proc: p, input: input, record: record}
	}
	return err
}

// StopCallers ends the load and waits until the last job has ended.
func (s *System) StopCallers(ctx context.Context) error {
	if err := s.callers.proc.Terminate(); err != nil {
		return err
	}
	return s.callers.proc.Wait(ctx)
}

// command sends a command to the callers.
func (s *System) command(cmd CallersControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sendCommand(s.callers.input, cmd)
}
