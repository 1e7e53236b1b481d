package cli

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/fleet"
	"github.com/limpettrail/limpettrail/internal/leased"
	"github.com/limpettrail/limpettrail/platform"
)

const (
	// stopReserve is kept free of the time that the platform gives a process to
	// end, so that it ends by itself.
	stopReserve       = 700 * time.Millisecond
	defaultStopGrace  = 6 * time.Second
	announceIdle      = time.Minute
	announceHeaders   = 2 * time.Second
	nodeLogPath       = "stdout"
	roleEntry         = "entry"
	roleAgent         = "agent"
	announceBodyBytes = 16 << 10
)

type nodeArgs struct {
	LogLevel string `arg:"--log-level" default:"info" help:"least level that is logged: debug, info, warn or error"`
	Role     string `arg:"positional,required" help:"entry or agent"`
}

// example is shown in the help.
func (*nodeArgs) example() string {
	return platform.SettingsVariable + "=/etc/limpettrail/boot.yaml limpettrail node agent"
}

func (a *nodeArgs) run(stdout, stderr io.Writer) int {
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	logger, err := newLoggerTo(a.LogLevel, nodeLogPath)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	incarnation := wire.Incarnation(rand.Uint64() | 1)
	events := eventlog.New(logger, s.Name, uint64(incarnation))
	var p process
	switch a.Role {
	case roleEntry:
		p, err = startNodeEntry(s, events, incarnation)
	case roleAgent:
		p, err = startNodeAgent(s, events)
	default:
		fmt.Fprintf(stderr, "role %q: want %q or %q\n", a.Role, roleEntry, roleAgent)
		return ExitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	grace := s.StopGrace
	if grace <= 0 {
		grace = defaultStopGrace
	}
	return serve(p, max(grace-stopReserve, grace/2), func() error { return nil }, stderr)
}

func startNodeEntry(s *platform.Settings, events *eventlog.Log, incarnation wire.Incarnation) (process, error) {
	store := platform.NewStore(s.StoreAddr)
	front := platform.NewFront(func(job, reason string) {
		events.Emit(eventlog.JobTurnedAway, eventlog.Fields{Peer: job, Detail: reason})
	})
	return fleet.StartEntry(fleet.EntryOptions{
		Name: s.Name, Zone: s.Zone,
		Listen: s.CallerAddr, ReadyListen: s.ReadyAddr, PeerListen: s.PeerAddr, Operators: s.OperatorAddr,
		Front: front.Handler, Configs: platform.NewConfigs(store, front), Directory: platform.NewDirectory(store),
		Log: events, Incarnation: incarnation,
	})
}

// agentProcess is an agent with the listener for its worker.
type agentProcess struct {
	*fleet.AgentNode
	server *http.Server
}

// Kill implements process.
func (p agentProcess) Kill() {
	p.server.Close()
	p.AgentNode.Kill()
}

func startNodeAgent(s *platform.Settings, events *eventlog.Log) (process, error) {
	l, err := net.Listen("tcp", s.AnnounceAddr)
	if err != nil {
		return nil, err
	}
	n := fleet.StartAgent(fleet.AgentOptions{
		Name: s.Name, Zone: s.Zone, Seeds: s.Seeds,
		Directory: platform.NewDirectory(platform.NewStore(s.StoreAddr)),
		NewWorker: func(worker string) leased.Worker { return platform.NewWorker(s.WorkerAddr, worker) },
		Log:       events,
	})
	server := &http.Server{
		Handler: platform.AnnounceHandler(n.Hear, n.Leave, func(err error) {
			events.Emit(eventlog.AnnounceInvalid, eventlog.Fields{Err: err})
		}),
		ReadHeaderTimeout: announceHeaders, IdleTimeout: announceIdle, MaxHeaderBytes: announceBodyBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go server.Serve(l)
	return agentProcess{AgentNode: n, server: server}, nil
}
