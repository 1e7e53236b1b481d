// Package node starts the entry or the agent of a VM from the platform's settings
// (limpettrail node): it gives the processes of internal/fleet their implementations
// of the platform's services from package platform. internal/entrynode runs an entry
// that needs only the platform's log.
package node

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/fleet"
	"github.com/limpettrail/limpettrail/internal/ingressd"
	"github.com/limpettrail/limpettrail/platform"
)

const (
	announceIdleTimeout    = time.Minute
	announceHeaderTimeout  = 2 * time.Second
	announceMaxHeaderBytes = 16 << 10
)

// StartEntry starts the entry of a VM.
func StartEntry(s *platform.Settings, events *eventlog.Log, incarnation wire.Incarnation, interference policy.Interference) (*fleet.EntryNode, error) {
	shares, err := ingress.SharesOf(s.Machine)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(s.StoreAddr)
	front := platform.NewFrontend(func(job, reason string) {
		events.Emit(eventlog.JobTurnedAway, eventlog.Fields{Job: job, Detail: reason})
	})
	configs := platform.NewConfigFollower(store, front)
	if s.EvacuationBound > 0 {
		configs.FollowEvacuations(logIgnored(events))
	}
	return fleet.StartEntry(fleet.EntryOptions{
		Name: s.Name, Zone: s.Zone,
		Listen: s.CallerAddr, ReadyListen: s.ReadyAddr, PeerListen: s.PeerAddr, PeerAdvertise: s.PeerAdvertise, OperatorListen: s.OperatorAddr,
		CallerHandler: front.Handler, KeepHeaders: platform.RequestHeaders(), Configs: configs, Directory: platform.NewDirectory(store),
		JobLog:          platform.NewJobLog(store),
		EvacuationBound: s.EvacuationBound,
		Log:             events, Incarnation: incarnation, LinkBytesPerSecond: s.LinkBytesPerSecond,
		Shares:       shares,
		Interference: interference,
	})
}

// logIgnored returns a function that logs requests to evacuate zones that are left out.
func logIgnored(events *eventlog.Log) platform.IgnoredFunc {
	return func(zone string, n int) {
		events.Emit(eventlog.EvacuationIgnored, eventlog.Fields{Detail: zone[:min(len(zone), wire.MaxNameBytes)], Count: int64(n)})
	}
}

// Agent is the agent of a VM with the listener for the announcements of its
// worker.
type Agent struct {
	*fleet.AgentNode
	listener net.Listener
	server   *http.Server
	guard    *ingressd.Guard
}

// StartAgent starts the agent of a VM and serves the announcements of its worker. It
// returns an error if it cannot listen for them.
func StartAgent(s *platform.Settings, events *eventlog.Log) (*Agent, error) {
	shares, err := ingress.SharesOf(s.Machine)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.AnnounceAddr)
	if err != nil {
		return nil, err
	}
	clients := platform.NewWorkerClients(s.WorkerAddr)
	store := platform.NewStore(s.StoreAddr)
	n := fleet.StartAgent(fleet.AgentOptions{
		Name: s.Name, Zone: s.Zone, Pool: s.Service, Seeds: s.Seeds,
		Directory: platform.NewDirectory(store),
		NewWorker: func(worker string, incarnation int64) fleet.Worker {
			return clients.New(worker, incarnation)
		},
		EvacuationBound: s.EvacuationBound,
		ListEvacuations: func(ctx context.Context) (wire.Evacuations, error) {
			return store.ListEvacuations(ctx, logIgnored(events))
		},
		Log: events,
	})
	guard := ingressd.New(ingressd.Options{
		Share: "heartbeats", Limits: shares.Heartbeats, Log: events, ReceiveBuffer: int(ingress.ReceiveBuffer),
	})
	server := &http.Server{
		Handler: guard.Handler(platform.AnnounceHandler(n.HandleAnnouncement, n.HandleDeregister, func(err error) {
			events.Emit(eventlog.AnnouncementInvalid, eventlog.Fields{Err: err})
		})),
		ReadHeaderTimeout: announceHeaderTimeout, IdleTimeout: announceIdleTimeout, MaxHeaderBytes: announceMaxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0), ConnState: ingressd.ConnState, ConnContext: ingressd.WithConn,
	}
	// Serve returns when the server is closed; its error needs no handling.
	go func() { _ = server.Serve(guard.Listener(l)) }()
	return &Agent{AgentNode: n, listener: l, server: server, guard: guard}, nil
}

// Kill stops the agent and its listener at once.
func (a *Agent) Kill() {
	a.server.Close()
	a.listener.Close() // the server does not know it yet right after the start
	a.guard.Close()
	a.AgentNode.Kill()
}
