// Command node runs a stand-in for tests in a separate process: the platform log
// with the sample classes published in it, or an upstream that records each task
// start. It prints its events to standard output, one JSON object per line. Unlike
// internal/node, it runs no entry or agent.
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
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

type args struct {
	Log      *logArgs      `arg:"subcommand:log"`
	Upstream *upstreamArgs `arg:"subcommand:upstream"`
}

type logArgs struct {
	Listen string `default:"127.0.0.1:0"`
}

type upstreamArgs struct {
	Name   string `arg:"required"`
	Listen string `default:"127.0.0.1:0"`
	Record string `arg:"required" help:"file that starts are appended to"`
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
