// Command node runs a stand-in for tests in a separate process: the platform log
// with the sample classes published in it, or an upstream that records each task
// start. It prints its events to standard output, one JSON object per line. Unlike
// internal/node, it runs no entry or agent. For the soak, it also runs a worker of the
// emulated platform or the callers of a site, which take commands from standard input.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/soak"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

type args struct {
	Log      *logArgs      `arg:"subcommand:log"`
	Upstream *upstreamArgs `arg:"subcommand:upstream"`
	Worker   *soakArgs     `arg:"subcommand:worker"`
	Callers  *soakArgs     `arg:"subcommand:callers"`
}

type logArgs struct {
	Listen string `default:"127.0.0.1:0"`
}

type upstreamArgs struct {
	Name   string `arg:"required"`
	Listen string `default:"127.0.0.1:0"`
	Record string `arg:"required" help:"file that starts are appended to"`
}

// soakArgs are those of the stand-ins of the soak.
type soakArgs struct {
	Config string `arg:"required" help:"file with the configuration, in JSON"`
	Record string `arg:"required" help:"file that events are appended to, one JSON object per line"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case a.Log != nil:
		err = runLog(ctx, a.Log)
	case a.Upstream != nil:
		err = runUpstream(ctx, a.Upstream)
	case a.Worker != nil:
		err = runWorker(ctx, a.Worker)
	case a.Callers != nil:
		err = runCallers(ctx, a.Callers)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// emit prints an event to standard output.
func emit(e harness.Event) { json.NewEncoder(os.Stdout).Encode(e) }

func runLog(ctx context.Context, a *logArgs) error {
	s, err := logserver.Start(logserver.Options{Listen: a.Listen})
	if err != nil {
		return err
	}
	if err := dev.PublishSettings(s.URL(), policy.Settings{Classes: dev.SampleClasses()}); err != nil {
		return err
	}
	emit(harness.Event{Kind: harness.Ready, Addr: s.URL()})
	<-ctx.Done()
	return s.Close()
}

func runUpstream(ctx context.Context, a *upstreamArgs) error {
	record, err := observer.OpenStartFile(a.Record)
	if err != nil {
		return err
	}
	defer record.Close()
	s, err := upstream.Start(a.Listen, upstream.Options{OnStart: func(st upstream.TaskStart) {
		if err := record.Append(observer.StartOf(a.Name, st)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1) // a task must not run unless its start is recorded
		}
	}})
	if err != nil {
		return err
	}
	emit(harness.Event{Kind: harness.Ready, Addr: s.Addr()})
	<-ctx.Done()
	return s.Close()
}

func runWorker(ctx context.Context, a *soakArgs) error {
	var cfg soak.WorkerConfig
	record, err := a.open(&cfg)
	if err != nil {
		return err
	}
	defer record.Close()
	return soak.RunWorker(ctx, cfg, os.Stdin, func(e emulator.RunEvent) { appendLine(record, e) })
}

func runCallers(ctx context.Context, a *soakArgs) error {
	var cfg soak.CallersConfig
	record, err := a.open(&cfg)
	if err != nil {
		return err
	}
	defer record.Close()
	soak.RunCallers(ctx, cfg, os.Stdin, func(c soak.Call) { appendLine(record, c) })
	return nil
}

// open reads the configuration and opens the file for the events.
func (a *soakArgs) open(cfg any) (*os.File, error) {
	data, err := os.ReadFile(a.Config)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, err
	}
	return os.OpenFile(a.Record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// appendLine appends a line with one system call, so that it is kept if the process is
// killed. A record with gaps would prove nothing, so an error ends the process.
func appendLine(f *os.File, v any) {
	line, err := json.Marshal(v)
	if err == nil {
		_, err = f.Write(append(line, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
