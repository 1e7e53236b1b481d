package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/settings"
)

type entryArgs struct {
	Set  []string `arg:"--set,separate" help:"override one setting: key=value"`
	File string   `arg:"positional,required" help:"settings file"`
}

// example is shown in the help.
func (*entryArgs) example() string { return "limpettrail entry deploy/entry.toml" }

func (a *entryArgs) run(stdout, stderr io.Writer) int {
	v, err := settings.Load(settings.RoleEntry, a.File, os.Environ(), a.Set)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	e, err := entryd.Start(entryd.Options{
		Name:       v.String("name"),
		Zone:       v.String("zone"),
		Listen:     v.String("listen"),
		PeerListen: v.String("peer_listen"),
		Scheduler:  policy.NewLeastBusy(),
	})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	fmt.Fprintf(stdout, "entry %s: callers %s, peers %s\n", v.String("name"), e.Addr(), e.PeerAddr())
	return serve(e, v.Duration("drain_timeout"), func() error { return nil }, stderr)
}
