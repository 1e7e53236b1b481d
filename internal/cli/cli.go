// Package cli implements the command line of the limpettrail binary. Each
// sub-command has its own file.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of the binary. The sub-command config also uses operator.ExitConflict
// and operator.ExitUnknown.
const (
	ExitOK     = 0 // success
	ExitFailed = 1 // the command failed, or a check found errors
	ExitUsage  = 2 // the command line or other input is invalid
)

type args struct {
	Entry    *entryArgs    `arg:"subcommand:entry" help:"run an entry: serves callers, places tasks"`
	Agent    *agentArgs    `arg:"subcommand:agent" help:"run an agent beside one upstream"`
	Node     *nodeArgs     `arg:"subcommand:node" help:"run a role of a VM by the platform's settings file"`
	Emulate  *emulateArgs  `arg:"subcommand:emulate" help:"run the roles of VMs against an emulated platform"`
	Config   *configArgs   `arg:"subcommand:config" help:"publish and inspect classes and targets"`
	Dev      *devArgs      `arg:"subcommand:dev" help:"run a whole system on loopback"`
	Load     *loadArgs     `arg:"subcommand:load" help:"generate load, measure response time and messages"`
	Timeline *timelineArgs `arg:"subcommand:timeline" help:"merge the time lines of processes"`
	Check    *checkArgs    `arg:"subcommand:check" help:"check a settings file"`
	Capacity *capacityArgs `arg:"subcommand:capacity" help:"measure what links, tasks, configuration and claims cost"`
	Version  *versionArgs  `arg:"subcommand:version" help:"print the version"`
}

// Description is the beginning of the help text.
func (args) Description() string {
	return "limpettrail dispatches sub-second tasks from callers to upstreams."
}

// Epilogue is the end of the help text of the program and of each sub-command.
func (args) Epilogue() string {
	return "Exit codes: 0 success, 1 failure, 2 invalid input, 3 lost to a concurrent change, 4 outcome unknown.\n" +
		"To get started, run: limpettrail dev"
}

// command is a sub-command. run returns the exit code.
type command interface {
	run(stdout, stderr io.Writer) int
}

// command returns the selected sub-command, or nil. Parser.Subcommand is not used
// because it returns the innermost sub-command, which for config is not a command.
func (a *args) command() command {
	switch {
	case a.Entry != nil:
		return a.Entry
	case a.Agent != nil:
		return a.Agent
	case a.Node != nil:
		return a.Node
	case a.Emulate != nil:
		return a.Emulate
	case a.Config != nil:
		return a.Config
	case a.Dev != nil:
		return a.Dev
	case a.Load != nil:
		return a.Load
	case a.Timeline != nil:
		return a.Timeline
	case a.Check != nil:
		return a.Check
	case a.Capacity != nil:
		return a.Capacity
	case a.Version != nil:
		return a.Version
	}
	return nil
}

// Main runs a command line and returns the exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "limpettrail", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	err = p.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		writeHelp(p, &a, stdout)
		return ExitOK
	}
	if err != nil {
		p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	c := a.command()
	if c == nil {
		p.WriteHelp(stderr)
		return ExitUsage
	}
	return c.run(stdout, stderr)
}

// writeHelp writes the help text of the selected sub-command and its example.
func writeHelp(p *arg.Parser, a *args, w io.Writer) {
	p.WriteHelpForSubcommand(w, p.SubcommandNames()...)
	if c, ok := a.command().(interface{ example() string }); ok {
		fmt.Fprintf(w, "\nExample: %s\n", c.example())
	}
}
