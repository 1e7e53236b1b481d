// Package cli is the command line of the limpettrail binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/limpettrail/limpettrail/internal/dev"
)

// Exit codes of the binary.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const stopTimeout = 10 * time.Second

type args struct {
	Dev *devArgs `arg:"subcommand:dev" help:"run entries, agents, sample upstreams on loopback"`
}

type devArgs struct {
	Entries int `default:"3" help:"number of entries"`
	Agents  int `default:"11" help:"number of agents"`
}

// Main runs the command line and returns the exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "limpettrail", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return ExitOK
	case err != nil:
		p.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	if a.Dev == nil {
		p.WriteHelp(stderr)
		return ExitUsage
	}
	return runDev(a.Dev, stdout, stderr)
}

func runDev(a *devArgs, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := dev.Start(dev.Options{Entries: a.Entries, Agents: a.Agents})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	addr := s.Entries[0].Addr()
	fmt.Fprintf(stdout, "callers: http://%s\n", addr)
	fmt.Fprintf(stdout, "try: curl -s http://%s/v1/jobs -d '{\"class\":\"quote\",\"tasks\":[{\"sleep_us\":50000},{\"sleep_us\":80000}]}'\n", addr)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.Stop(stopCtx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}
