// Package soak runs entries and agents as separate processes against an emulated
// platform, and injects faults from outside them: signals, and connections that a
// loopback proxy delays, resets, cuts one way or silences. A judge watches what
// callers and workers see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/platform"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	pollInterval = 20 * time.Millisecond
	// stopGrace is how long a process may take to end after SIGTERM.
	stopGrace = 6 * time.Second
)

// Options size a System.
type Options struct {
	Binary  string // of limpettrail
	Dir     string // for settings and logs
	Entries int
	Workers int
	Seed    uint64
}

// System is a set of processes on an emulated platform.
type System struct {
	*emulator.Cluster
	opts  Options
	procs []*harness.Process // by VM; nil for one that is down
	// toStore and toWorker are the proxies of each VM; toWorker is nil for entries.
	toStore  []*faultproxy.Proxy
	toWorker []*faultproxy.Proxy

	mu    sync.Mutex
	texts map[string]string // output of processes that have ended, by VM
}

// Start runs every process and waits until the system serves.
func Start(ctx context.Context, opts Options) (*System, error) {
	c, err := emulator.StartCluster(emulator.ClusterOptions{
		Entries: opts.Entries, Workers: opts.Workers, Seed: opts.Seed, External: true,
	})
	if err != nil {
		return nil, err
	}
	s := &System{Cluster: c, opts: opts, procs: make([]*harness.Process, c.VMs()), texts: make(map[string]string)}
	if err := s.begin(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) begin(ctx context.Context) error {
	for vm := range s.VMs() {
		if err := s.addProxies(s.Settings(vm)); err != nil {
			return err
		}
	}
	for vm := range s.VMs() {
		if err := s.StartVM(vm); err != nil {
			return err
		}
	}
	return s.AwaitReady(ctx)
}

// addProxies puts a proxy before the store and the worker of a VM.
func (s *System) addProxies(set *platform.Settings) error {
	store, err := faultproxy.Start(set.StoreAddr)
	if err != nil {
		return err
	}
	set.StoreAddr = store.Addr()
	s.toStore = append(s.toStore, store)
	var worker *faultproxy.Proxy
	if set.WorkerAddr != "" {
		if worker, err = faultproxy.Start(set.WorkerAddr); err != nil {
			return err
		}
		set.WorkerAddr = worker.Addr()
	}
	s.toWorker = append(s.toWorker, worker)
	return nil
}

// entry reports whether the VM runs an entry.
func (s *System) entry(vm int) bool { return vm < s.opts.Entries }

// StartVM starts the process of a VM that is down.
func (s *System) StartVM(vm int) error {
	name := s.Settings(vm).Name
	file := filepath.Join(s.opts.Dir, name+".yaml")
	if err := os.WriteFile(file, s.SettingsFile(vm), 0o600); err != nil {
		return err
	}
	role := "agent"
	if s.entry(vm) {
		role = "entry"
	}
	p, err := harness.StartPlain(name, []string{platform.SettingsVariable + "=" + file}, s.opts.Binary, "node", role)
	if err == nil {
		s.procs[vm] = p
	}
	return err
}

// Kill ends the process of a VM at once.
func (s *System) Kill(vm int) {
	if p := s.procs[vm]; p != nil {
		p.Kill()
		s.ended(vm)
	}
}

func (s *System) ended(vm int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts[s.procs[vm].Name] += s.procs[vm].Text()
	s.procs[vm] = nil
}

// Stop ends the process of a VM as the platform does. A process that does not end
// within the grace is killed, which is an error.
func (s *System) Stop(ctx context.Context, vm int) error {
	p := s.procs[vm]
	if p == nil {
		return nil
	}
	if err := p.Terminate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := p.Wait(ctx); ctx.Err() != nil {
		s.Kill(vm)
		return err
	}
	s.ended(vm)
	return nil
}

// Freeze stops the process of a VM for a time.
func (s *System) Freeze(ctx context.Context, vm int, d time.Duration) error {
	p := s.procs[vm]
	if p == nil {
		return nil
	}
	if err := p.Freeze(); err != nil {
		return err
	}
	ctxsleep.For(ctx, d)
	return p.Thaw()
}

// AwaitReady waits until every entry takes jobs.
func (s *System) AwaitReady(ctx context.Context) error {
	for vm := range s.opts.Entries {
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

// Logs returns what the processes of each VM printed.
func (s *System) Logs() map[string]string {
	for _, p := range s.procs {
		if p != nil {
			s.texts[p.Name] += p.Text()
		}
	}
	return s.texts
}

// Close ends everything that was started.
func (s *System) Close() {
	for vm := range s.procs {
		s.Kill(vm)
	}
	for _, p := range append(s.toStore, s.toWorker...) {
		if p != nil {
			p.Close()
		}
	}
	s.Cluster.Close()
}
