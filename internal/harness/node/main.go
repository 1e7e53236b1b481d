// Command node runs one role of the system for tests: an entry with sample
// classes, or a sample upstream that records its starts. It prints its events
// as JSON lines on standard output. Tests start agents from the real binary.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

const (
	statsInterval = 10 * time.Millisecond
	drainTimeout  = 2 * time.Minute
)

type args struct {
	Entry    *entryArgs    `arg:"subcommand:entry"`
	Upstream *upstreamArgs `arg:"subcommand:upstream"`
}

type entryArgs struct {
	Name   string `arg:"required"`
	Zone   string `arg:"required"`
	Listen string `default:"127.0.0.1:0"`
	Peer   string `default:"127.0.0.1:0"`
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
	case a.Entry != nil:
		err = runEntry(ctx, a.Entry)
	case a.Upstream != nil:
		err = runUpstream(ctx, a.Upstream)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func emit(e harness.Event) { json.NewEncoder(os.Stdout).Encode(e) }

func runEntry(ctx context.Context, a *entryArgs) error {
	e, err := entryd.Start(entryd.Options{
		Name: a.Name, Zone: a.Zone, Listen: a.Listen, PeerListen: a.Peer,
		Scheduler: policy.New(policy.Options{Seed: uint64(os.Getpid()), Zone: a.Zone}),
		Settings:  policy.Settings{Classes: dev.SampleClasses()},
	})
	if err != nil {
		return err
	}
	emit(harness.Event{Kind: harness.Ready, Addr: e.Addr(), Peer: e.PeerAddr()})
	go reportChanges(ctx, e)
	<-ctx.Done()
	emit(harness.Event{Kind: harness.Draining})
	stopCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return e.Stop(stopCtx)
}

// reportChanges emits the number of links and of jobs when they change.
func reportChanges(ctx context.Context, e *entryd.Entry) {
	last := entryd.Stats{}
	for ctx.Err() == nil {
		now, ok := e.Stats()
		if !ok {
			return
		}
		if now.Links != last.Links {
			emit(harness.Event{Kind: harness.Links, Count: now.Links})
		}
		if now.Jobs != last.Jobs {
			emit(harness.Event{Kind: harness.Jobs, Count: now.Jobs})
		}
		last = now
		time.Sleep(statsInterval)
	}
}

func runUpstream(ctx context.Context, a *upstreamArgs) error {
	record, err := observer.OpenFile(a.Record)
	if err != nil {
		return err
	}
	defer record.Close()
	s, err := upstream.Start(a.Listen, upstream.Options{OnStart: func(st upstream.Started) {
		if err := record.Append(observer.StartOf(a.Name, st)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1) // a start that is not on record must not run
		}
	}})
	if err != nil {
		return err
	}
	emit(harness.Event{Kind: harness.Ready, Addr: s.Addr()})
	<-ctx.Done()
	return s.Close()
}
