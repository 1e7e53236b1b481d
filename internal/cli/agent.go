package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/settings"
)

type agentArgs struct {
	Set  []string `arg:"--set,separate" help:"override one setting: key=value"`
	File string   `arg:"positional,required" help:"settings file"`
}

// example is shown in the help.
func (*agentArgs) example() string { return "limpettrail agent deploy/agent.toml" }

const bytesPerMB = 1 << 20

func (a *agentArgs) run(stdout, stderr io.Writer) int {
	v, err := settings.Load(settings.RoleAgent, a.File, os.Environ(), a.Set)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	p := agentd.Start(agentd.Options{
		Name:     v.String("name"),
		Zone:     v.String("zone"),
		Rack:     v.String("rack"),
		Slots:    int(v.Int("slots")),
		Upstream: v.String("upstream"),
		Entries:  v.Strings("entries"),
		Capacity: wire.Capacity{
			MilliCores:   v.Int("milli_cores"),
			MemoryMB:     v.Int("memory") / bytesPerMB,
			Accelerators: v.Int("accelerators"),
		},
	})
	fmt.Fprintf(stdout, "agent %s: upstream %s\n", v.String("name"), v.String("upstream"))
	return serve(p, v.Duration("drain_timeout"), func() error { return nil }, stderr)
}
