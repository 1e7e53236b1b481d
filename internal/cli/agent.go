package cli

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/operatorhttp"
	"github.com/limpettrail/limpettrail/internal/settings"
)

type agentArgs struct {
	Set  []string `arg:"--set,separate" help:"override one setting: key=value"`
	File string   `arg:"positional,required" help:"settings file"`
}

// example returns the command line that the help text shows.
func (*agentArgs) example() string { return "limpettrail agent deploy/agent.toml" }

const bytesPerMB = 1 << 20

func (a *agentArgs) run(stdout, stderr io.Writer) int {
	signals := notifySignals()
	v, err := settings.Load(settings.RoleAgent, a.File, os.Environ(), a.Set)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ids, err := loadIdentities(settings.RoleAgent, v)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	logger, err := newLogger(v.String("log_level"))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	opts := agentOptions(v, ids)
	opts.Log = eventlog.New(logger, opts.Name, uint64(opts.Incarnation))
	agent := agentd.Start(opts)
	operatorAddr, err := serveOperatorAddr(agent, v, ids)
	if err != nil {
		agent.Kill()
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	fmt.Fprintf(stdout, "agent %s: upstream %s, operators %s\n", opts.Name, opts.UpstreamURL, operatorAddr)
	return serve(signals, agent, v.Duration("drain_timeout"), ids.reload, stderr)
}

func agentOptions(v *settings.Values, ids identities) agentd.Options {
	return agentd.Options{
		Incarnation: wire.Incarnation(rand.Uint64() | 1),
		Name:        v.String("name"),
		Zone:        v.String("zone"),
		Rack:        v.String("rack"),
		Slots:       int(v.Int("slots")),
		UpstreamURL: v.String("upstream"),
		Entries:     v.Strings("entries"),
		Capacity: wire.Capacity{
			MilliCores:   v.Int("milli_cores"),
			MemoryMB:     v.Int("memory") / bytesPerMB,
			Accelerators: v.Int("accelerators"),
		},
		Dial: dialFunc(ids.peer),
	}
}

// serveOperatorAddr opens the operator address and returns it, or "none" if it is
// not set. It is served until the process exits.
func serveOperatorAddr(agent *agentd.Agent, v *settings.Values, ids identities) (string, error) {
	addr := v.String("operator_listen")
	if addr == "" {
		return "none", nil
	}
	l, err := listen(ids.operator, addr)
	if err != nil {
		return "", err
	}
	go operatorhttp.NewServer(agent.OperatorHandler()).Serve(l)
	return l.Addr().String(), nil
}
