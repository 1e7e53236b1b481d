// Package fleet runs an entry or an agent on a VM of a platform. It connects
// the processes with the services of the platform through small interfaces: a
// source of configuration, a directory of entries, a log of stored jobs, and workers
// that announce themselves. internal/node starts these processes with the
// implementations in package platform; internal/entrynode runs an entry with
// platformlog.Log instead.
package fleet

import (
	"context"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// EntryAddr is how agents reach an entry.
type EntryAddr = wire.EntryAddr

// NewEntryAddr returns the address of an entry.
func NewEntryAddr(incarnation uint64, peer, zone string) EntryAddr {
	return EntryAddr{Incarnation: wire.Incarnation(incarnation), Peer: peer, Zone: zone}
}

// Directory lists the entries. It may be unavailable for a long time, and may
// list entries that no longer run.
type Directory interface {
	// Publish stores the address of the entry on the VM with the given name, in
	// place of an earlier one.
	Publish(ctx context.Context, name string, e EntryAddr) error
	// List returns the addresses of all listed entries.
	List(ctx context.Context) ([]EntryAddr, error)
}

// Config is one version of the published configuration.
type Config struct {
	Version  int64
	Settings policy.Settings
	// State is the encoded configuration that processes pass on to each other.
	State []byte
	// AvailableAt is when the source began to deliver it; zero if it came from another
	// process.
	AvailableAt time.Time
	// Activate applies the part of the configuration that is not in Settings. It is
	// called after Settings have taken effect.
	Activate func()
}

// ConfigUpdate is the result of one read of the published configuration.
type ConfigUpdate struct {
	// Config is the newest version since the last read, nil if there is none.
	Config *Config
	// Evacuations are the requests to evacuate zones, nil if they have not changed or are
	// not followed.
	Evacuations *wire.Evacuations
	// ReadToEnd states that everything was read that had been published before the call,
	// also if a configuration was not valid.
	ReadToEnd bool
}

// ConfigSource follows the published configuration.
type ConfigSource interface {
	// Next returns what is new since the last call, or nothing if there is nothing new
	// within wait. An error may come with valid content.
	Next(ctx context.Context, wait time.Duration) (ConfigUpdate, error)
	// Decode decodes a state that another process passed on.
	Decode(state []byte) (*Config, error)
}

// Announcement is what a worker reports about itself.
type Announcement struct {
	Worker      string   // name of the worker
	Incarnation int64    // increases with each start of the worker
	Sequence    int64    // increases with each announcement of one incarnation
	Pool        string   // service that the worker runs tasks for
	Rack        string   // empty if the worker states none
	Labels      []string // labels that tasks may require
	Slots       int
	Capacity    wire.Capacity
	Draining    bool
	Clock       time.Duration // reading of the worker's clock when it announced this, 0 if not stated
}

// Timing of the links between entries and agents, and of the leases on runs. A
// caller whose connection broke may send its job to another entry 1.3 s later.
// By then the runs of the first entry must have ended: the agent stops them
// within runLease of the last message from the entry, and if the agent then
// fails too, they end when their lease at the worker expires
// (core/lease.DefaultLease, 0.7 s).
//
// Between two calm processes the lease of an entry is renewed when it is at most twice
// the heartbeat interval and a round trip old: an agent answers each heartbeat, and the
// next one echoes the clock reading of that answer.
const (
	heartbeatInterval = 200 * time.Millisecond
	runLease          = 500 * time.Millisecond
	silenceTimeout    = 800 * time.Millisecond
	agentLease        = 400 * time.Millisecond
	maxRedialDelay    = 300 * time.Millisecond
	// dialTimeout is short because a VM without power does not answer: a dial that
	// began before the VM is back must not delay the first one after.
	dialTimeout = 250 * time.Millisecond
)
