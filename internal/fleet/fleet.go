// Package fleet runs an entry and an agent on the VMs of a platform: it joins
// the processes' shells with what the platform offers, which it sees through
// small interfaces (a source of configuration, a directory of entries, workers
// that announce themselves).
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

// Directory lists the entries. It may be unavailable for long, and may hold
// entries that are gone.
type Directory interface {
	Publish(ctx context.Context, name string, e EntryAddr) error
	List(ctx context.Context) ([]EntryAddr, error)
}

// Config is one version of the published configuration.
type Config struct {
	Version  int64
	Settings policy.Settings
	// State is the encoded form that processes hand to each other.
	State []byte
	// Activate puts what is not in Settings in force, after Settings are.
	Activate func()
}

// ConfigSource follows the published configuration.
type ConfigSource interface {
	// Next returns the newest version since the last call, nil if there is none
	// within wait. An error may come with a valid version.
	Next(ctx context.Context, wait time.Duration) (*Config, error)
	// Decode reads the state that another process handed on.
	Decode(state []byte) (*Config, error)
}

// Announcement is what a worker says of itself.
type Announcement struct {
	Worker   string // name of the worker
	Life     int64  // rises with each start of the worker
	Sequence int64  // rises with each announcement of one life
	Pool     string
	Rack     string
	Labels   []string // what tasks may require
	Slots    int
	Capacity wire.Capacity
	Draining bool
}

// Timing of the links between entries and agents, and of the leases on runs. A
// caller whose connection broke may send its job to another entry 1.3 s later.
// Until then the runs of the first entry must have ended: the agent stops them
// within runLease of the last sign of the entry, and if it then fails itself,
// they end with their lease at the worker (core/lease.DefaultLease, 0.7 s).
const (
	heartbeatInterval = 150 * time.Millisecond
	runLease          = 500 * time.Millisecond
	silenceTimeout    = 800 * time.Millisecond
	agentLease        = 400 * time.Millisecond
	maxRedial         = 300 * time.Millisecond
	// dialTimeout is short because a VM without power does not answer, and the
	// first dial after it is back should not be one that began before.
	dialTimeout = 250 * time.Millisecond
)
