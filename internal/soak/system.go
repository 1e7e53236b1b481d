// Package soak runs entries and agents as separate processes against an emulated
// platform and injects faults from outside: it sends signals to the processes, and
// loopback proxies delay, reset or refuse their connections, or silence them in one
// direction. A checker records what callers and workers see and reports violations.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/platform"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	pollInterval = 20 * time.Millisecond
	// stopGrace is how long a process may take to exit after SIGTERM.
	stopGrace = 6 * time.Second
	// With Options.AllFaults, longShare of the jobs have long tasks, and the callers of
	// leaveShare leave early.
	longShare  = 0.1
	leaveShare = 0.1
	reloadAge  = 3 * time.Second
	// linkPort is the port of the proxies between entries and agents.
	linkPort = "18190"
)

// Options configure a System.
type Options struct {
	Binary  string // path of the limpettrail binary
	Dir     string // directory that the settings files are written to
	Entries int
	Workers int
	Seed    uint64
	// Large adds faults of groups of processes, at shorter intervals.
	Large bool
	// AllFaults adds faults of the links between entries and agents, long tasks, callers
	// that leave early, frozen workers and series of configurations with SIGHUP.
	AllFaults bool
	// Evacuations enables the evacuation of zones.
	Evacuations bool
	// Site, if not nil, gives the numbers of entries and workers in place of the fields
	// above, and starts the workers as processes of their own.
	Site *Site
	// NodeBinary is the path of the binary of the stand-ins. Needed with Site.
	NodeBinary string
	// KeepNames means that a worker of a site comes back under its name after a restart.
	KeepNames bool
	// LateLease means that the workers of a site carry out a call before they notice that
	// their lease has expired, as a worker that stood still may.
	LateLease bool
}

// System is a set of entry and agent processes on an emulated platform.
type System struct {
	*emulator.Cluster
	opts      Options
	procs     []*harness.Process // by VM; nil if the process is down
	startedAt []time.Time        // of the newest process, by VM
	// storeProxies and workerProxies hold the proxies by VM. An entry has no worker
	// proxy.
	storeProxies  []*faultproxy.Proxy
	workerProxies []*faultproxy.Proxy
	workerAddrs   []string // of the workers themselves, by worker
	// linkProxies hold the proxies between the entries and their agents, by VM; nil
	// without Options.AllFaults.
	linkProxies []*faultproxy.Proxy
	// callerProxies hold the proxies between callers and entries, by VM; nil without
	// Options.Site.
	callerProxies []*faultproxy.Proxy
	workers       []worker
	callers       *callerProcess // nil unless StartCallers was called
	removed       []bool         // entries that are not to be started again, by VM
	unstarted     []int          // VMs of the spare entries that were not started yet
	processMu     []sync.Mutex   // by VM; held by faults of the VM's processes with Options.Site

	mu     sync.Mutex        // guards procs, startedAt, output and the fields below
	output map[string]string // of processes that have exited, by VM name
	// disturbedEntries counts the faults of each entry's process, by VM. endNoEntry is set
	// while all entries have one.
	disturbedEntries []int
	endNoEntry       func()
	endDown          [][]func() // called when the process of a VM is started again
}

// Start starts every process and waits until every entry is ready.
func Start(ctx context.Context, opts Options) (*System, error) {
	clusterOpts := emulator.ClusterOptions{Entries: opts.Entries, Workers: opts.Workers, Seed: opts.Seed, External: true}
	if opts.Evacuations {
		clusterOpts.EvacuationBound = evacuationBound
	}
	if opts.AllFaults {
		clusterOpts.LongShare, clusterOpts.LeaveShare = longShare, leaveShare
	}
	if opts.Site != nil {
		opts.Entries, opts.Workers = opts.Site.entries()+opts.Site.SpareEntries, opts.Site.workers()
		clusterOpts.Entries, clusterOpts.Workers, clusterOpts.ExternalWorkers = opts.Entries, opts.Workers, true
		clusterOpts.Zones, clusterOpts.Routes = len(opts.Site.Zones), opts.Site.routes()
	}
	c, err := emulator.StartCluster(clusterOpts)
	if err != nil {
		return nil, err
	}
	s := &System{Cluster: c, opts: opts}
	s.allocate()
	if err := s.startProcesses(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// allocate allocates the state of the VMs.
func (s *System) allocate() {
	n := s.VMs()
	s.removed, s.processMu, s.output = make([]bool, n), make([]sync.Mutex, n), make(map[string]string)
	s.procs, s.startedAt = make([]*harness.Process, n), make([]time.Time, n)
	s.disturbedEntries, s.endDown = make([]int, s.opts.Entries), make([][]func(), n)
}

func (s *System) startProcesses(ctx context.Context) error {
	for vm := range s.VMs() {
		if err := s.addProxies(s.Settings(vm)); err != nil {
			return err
		}
	}
	if err := s.addWorkers(); err != nil {
		return err
	}
	for vm := range s.VMs() {
		if s.isSpare(vm) {
			s.removed[vm] = true
			s.unstarted = append(s.unstarted, vm)
			continue
		}
		if err := s.StartVM(vm); err != nil {
			return err
		}
	}
	return s.AwaitReady(ctx)
}

// addWorkers starts the workers of a site, or takes those of the cluster.
func (s *System) addWorkers() error {
	for _, w := range s.Workers {
		s.workers = append(s.workers, w)
	}
	if s.opts.Site == nil {
		return nil
	}
	for i := range s.opts.Workers {
		w := &workerProcess{system: s, index: i, listen: s.workerAddrs[i]}
		s.workers = append(s.workers, w)
		if err := w.start(); err != nil {
			return err
		}
	}
	return nil
}

// addProxies puts proxies in front of the store and the worker of a VM.
func (s *System) addProxies(settings *platform.Settings) error {
	store, err := faultproxy.Start(settings.StoreAddr)
	if err != nil {
		return err
	}
	settings.StoreAddr = store.Addr()
	s.storeProxies = append(s.storeProxies, store)
	var worker *faultproxy.Proxy
	if settings.WorkerAddr != "" {
		s.workerAddrs = append(s.workerAddrs, settings.WorkerAddr)
		if worker, err = faultproxy.Start(settings.WorkerAddr); err != nil {
			return err
		}
		settings.WorkerAddr = worker.Addr()
	}
	s.workerProxies = append(s.workerProxies, worker)
	if s.opts.Site != nil && settings.WorkerAddr == "" {
		p, err := faultproxy.Start(settings.CallerAddr)
		if err != nil {
			return err
		}
		s.callerProxies = append(s.callerProxies, p)
	}
	if s.opts.AllFaults || s.opts.Site != nil {
		return s.addLinkProxy(settings)
	}
	return nil
}

// addLinkProxy puts a proxy between an entry and all agents. Agents dial every seed at
// the port of their own settings, and the other entries as these advertise themselves.
func (s *System) addLinkProxy(settings *platform.Settings) error {
	host, _, err := net.SplitHostPort(settings.PeerAddr)
	if err != nil {
		return err
	}
	listen := net.JoinHostPort(host, linkPort)
	if !s.isEntry(len(s.linkProxies)) {
		settings.PeerAddr = listen
		return nil
	}
	p, err := faultproxy.StartAt(listen, settings.PeerAddr)
	if err != nil {
		return err
	}
	settings.PeerAdvertise = listen
	s.linkProxies = append(s.linkProxies, p)
	return nil
}

// isEntry reports whether the VM runs an entry.
func (s *System) isEntry(vm int) bool { return vm < s.opts.Entries }

// isSpare reports whether the VM runs an entry that is started in place of another one.
func (s *System) isSpare(vm int) bool {
	return s.opts.Site != nil && s.isEntry(vm) && vm >= s.opts.Site.entries()
}

// isRemoved reports whether the VM was removed or is a spare one that was not started yet.
func (s *System) isRemoved(vm int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removed[vm]
}

// StartVM starts the process of a VM that is down, unless the VM was removed.
func (s *System) StartVM(vm int) error {
	if s.isRemoved(vm) {
		return nil
	}
	name := s.Settings(vm).Name
	file := filepath.Join(s.opts.Dir, name+".yaml")
	if err := os.WriteFile(file, s.SettingsFile(vm), 0o600); err != nil {
		return err
	}
	role := "agent"
	if s.isEntry(vm) {
		role = "entry"
	}
	p, err := harness.StartCommand(name, []string{platform.SettingsVariable + "=" + file, platform.AdvertiseVariable + "=" + s.Settings(vm).PeerAdvertise}, s.opts.Binary, "node", role)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.procs[vm], s.startedAt[vm] = p, time.Now()
	s.mu.Unlock()
	s.noteUp(vm)
	return nil
}

// worker is a worker of this process or a process of its own.
type worker interface {
	SetFaults(f emulator.WorkerFaults)
	Freeze(ctx context.Context, d time.Duration)
	Restart()
}

// process returns the process of a VM, nil if it is down.
func (s *System) process(vm int) *harness.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[vm]
}

// Reload sends SIGHUP to the process of a VM unless it was started less than reloadAge
// ago or, frozen since, has logged nothing: a process that does not handle the signal yet
// exits.
func (s *System) Reload(vm int) {
	s.mu.Lock()
	p, age := s.procs[vm], time.Since(s.startedAt[vm])
	s.mu.Unlock()
	if p != nil && age > reloadAge && p.Output() != "" {
		// An error means that the process has exited.
		_ = p.Signal(syscall.SIGHUP)
	}
}

// Kill kills the process of a VM.
func (s *System) Kill(vm int) {
	if p := s.process(vm); p != nil {
		s.noteDown(vm)
		p.Kill()
		s.markDown(vm)
	}
}

// markDown saves the output of a process that has exited.
func (s *System) markDown(vm int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.output[s.procs[vm].Name] += s.procs[vm].Output()
	s.procs[vm] = nil
}

// Stop terminates the process of a VM as the platform does. A process that does
// not exit within stopGrace is killed, and Stop returns an error.
func (s *System) Stop(ctx context.Context, vm int) error {
	p := s.process(vm)
	if p == nil {
		return nil
	}
	s.noteDown(vm)
	if err := p.Terminate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := p.Wait(ctx); ctx.Err() != nil {
		s.Kill(vm)
		return err
	}
	s.markDown(vm)
	return nil
}

// Freeze suspends the process of a VM for d, or until ctx is done.
func (s *System) Freeze(ctx context.Context, vm int, d time.Duration) error {
	p := s.process(vm)
	if p == nil {
		return nil
	}
	defer s.disturb(vm)()
	if err := p.Freeze(); err != nil {
		return err
	}
	ctxsleep.For(ctx, d)
	return p.Thaw()
}

// AwaitReady waits until every entry is ready.
func (s *System) AwaitReady(ctx context.Context) error {
	for vm := range s.opts.Entries {
		if s.isRemoved(vm) {
			continue
		}
		for !ready(ctx, s.Settings(vm).ReadyAddr) {
			if ctx.Err() != nil {
				return errors.Join(ctx.Err(), fmt.Errorf("soak: %s is not ready", s.Settings(vm).Name))
			}
			ctxsleep.For(ctx, pollInterval)
		}
	}
	return nil
}

func ready(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Logs returns the output of the processes of each VM, by VM name.
func (s *System) Logs() map[string]string {
	for _, p := range s.procs {
		if p != nil {
			s.output[p.Name] += p.Output()
		}
	}
	return s.output
}

// Close stops everything that was started.
func (s *System) Close() {
	if s.callers != nil {
		s.callers.proc.Kill()
	}
	for vm := range s.procs {
		s.Kill(vm)
	}
	for _, w := range s.workers {
		if w, ok := w.(*workerProcess); ok {
			w.kill()
		}
	}
	for _, p := range slices.Concat(s.storeProxies, s.workerProxies, s.linkProxies, s.callerProxies) {
		if p != nil {
			p.Close()
		}
	}
	s.Cluster.Close()
}
