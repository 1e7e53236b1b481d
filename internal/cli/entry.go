package cli

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/entrynode"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/settings"
	"github.com/limpettrail/limpettrail/internal/tlsfiles"
	"github.com/limpettrail/limpettrail/platformlog"
)

type entryArgs struct {
	Set  []string `arg:"--set,separate" help:"override one setting: key=value"`
	File string   `arg:"positional,required" help:"settings file"`
}

// example returns the command line that the help text shows.
func (*entryArgs) example() string { return "limpettrail entry deploy/entry.toml" }

func (a *entryArgs) run(stdout, stderr io.Writer) int {
	signals := notifySignals()
	v, err := settings.Load(settings.RoleEntry, a.File, os.Environ(), a.Set)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ids, err := loadIdentities(settings.RoleEntry, v)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	n, err := startEntry(v, ids)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	fmt.Fprintf(stdout, "entry %s: callers %s, peers %s, operators %s\n",
		v.String("name"), n.Addr(), n.PeerAddr(), n.OperatorAddr())
	return serve(signals, n, v.Duration("drain_timeout"), ids.reload, stderr)
}

func startEntry(v *settings.Values, ids identities) (*entrynode.Node, error) {
	logger, err := newLogger(v.String("log_level"))
	if err != nil {
		return nil, err
	}
	shares, err := entryShares(v)
	if err != nil {
		return nil, err
	}
	limitMemory(shares)
	for identity, limits := range map[*tlsfiles.Identity]*ingress.Limits{ids.caller: &shares.Callers, ids.peer: &shares.Peers, ids.operator: &shares.Operators} {
		if identity != nil {
			*limits = limits.WithTLS()
		}
	}
	incarnation := wire.Incarnation(rand.Uint64() | 1)
	return entrynode.Start(entrynode.Options{
		Entry: entryd.Options{
			Name:           v.String("name"),
			Zone:           v.String("zone"),
			Listen:         v.String("listen"),
			PeerListen:     v.String("peer_listen"),
			OperatorListen: v.String("operator_listen"),
			MaxJobs:        int(v.Int("max_jobs")),
			Scheduler:      policy.New(policy.Options{Seed: uint64(incarnation), Zone: v.String("zone")}),
			DialFunc:       dialFunc(ids.peer),
			Log:            eventlog.New(logger, v.String("name"), uint64(incarnation)),
			Incarnation:    incarnation,
			Shares:         shares,
			MaxTasks:       shares.Tasks,
			MaxAnswerBytes: shares.AnswerBytes,
		},
		Listen: func(role entryd.ListenerRole, addr string) (net.Listener, error) {
			return listen(ids.forListener(role), addr)
		},
		Log:         platformlog.NewClient(platformlog.ClientOptions{BaseURL: v.String("log_url")}),
		Advertise:   v.String("peer_advertise"),
		Retention:   v.Duration("log_retention"),
		ClaimWindow: v.Duration("claim_window"),
	})
}

// entryShares returns the shares of the machine of the settings. Its error names a setting of
// an entry, not of a node.
func entryShares(v *settings.Values) (ingress.Shares, error) {
	shares, err := ingress.SharesOf(ingress.Machine{Memory: v.Int("process_memory"), Descriptors: int(v.Int("process_descriptors"))})
	var small *ingress.TooSmall
	switch {
	case !errors.As(err, &small):
		return shares, err
	case small.Memory:
		return shares, fmt.Errorf("process_memory: got %dMB, want at least %dMB", small.Got, small.Min)
	default:
		return shares, fmt.Errorf("process_descriptors: got %d, want at least %d", small.Got, small.Min)
	}
}

// forListener returns the identity for one of the entry's listeners.
func (ids identities) forListener(role entryd.ListenerRole) *tlsfiles.Identity {
	switch role {
	case entryd.CallerListener:
		return ids.caller
	case entryd.PeerListener:
		return ids.peer
	}
	return ids.operator
}
