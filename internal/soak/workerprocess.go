package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

// WorkerConfig configures RunWorker.
type WorkerConfig struct {
	Name      string
	Listen    string
	Zone      string
	Rack      string
	AgentAddr string
	CPU       int64
	MemMb     int64
	Heartbeat time.Duration
	Slowness  float64 // factor of the run times
	Age       time.Duration
	Seed      uint64
	LateLease bool // see emulator.WorkerOptions
}

// WorkerControl is a command to a worker.
type WorkerControl struct {
	Faults *emulator.WorkerFaults `json:"faults,omitempty"` // replace the faults if not nil
	Drain  bool                   `json:"drain,omitempty"`
}

// RunWorker runs a worker until ctx is done or control ends. It reads commands from control and passes
// each event of a run to record before the call that caused it is answered.
func RunWorker(ctx context.Context, cfg WorkerConfig, control io.Reader, record func(emulator.RunEvent)) error {
	w, err := emulator.StartWorker(emulator.WorkerOptions{
		Name: cfg.Name, Listen: cfg.Listen, Service: emulator.Service, Zone: cfg.Zone, Rack: cfg.Rack, AgentAddr: cfg.AgentAddr,
		CPU: cfg.CPU, MemMb: cfg.MemMb, HeartbeatInterval: cfg.Heartbeat, Age: cfg.Age, Seed: cfg.Seed, LateLease: cfg.LateLease,
		Checker: emulator.NewRecordingChecker(record),
		RunTime: func(spec string, r *rand.Rand) time.Duration {
			return time.Duration(float64(runTime(spec, r)) * cfg.Slowness)
		},
	})
	if err != nil {
		return err
	}
	defer w.Close()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel() // the process that sends the commands has exited
		lines := bufio.NewScanner(control)
		for lines.Scan() {
			var cmd WorkerControl
			if json.Unmarshal(lines.Bytes(), &cmd) != nil {
				continue
			}
			if cmd.Faults != nil {
				w.SetFaults(*cmd.Faults)
			}
			if cmd.Drain {
				w.Drain()
			}
		}
	}()
	<-ctx.Done()
	return nil
}
