// Package cli is the command line of the limpettrail binary.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of the binary.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

type args struct {
	Dev  *devArgs  `arg:"subcommand:dev" help:"run entries, agents, sample upstreams on loopback"`
	Load *loadArgs `arg:"subcommand:load" help:"generate load and measure response time and messages"`
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
	switch {
	case a.Dev != nil:
		return runDev(a.Dev, stdout, stderr)
	case a.Load != nil:
		return runLoad(a.Load, stdout, stderr)
	}
	p.WriteHelp(stderr)
	return ExitUsage
}
