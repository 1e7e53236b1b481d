// Package logstate keeps an entry's view of the platform's log: the published
// configuration, the claims of non-idempotent requests and the list of entries.
//
// One goroutine follows each stream, one appends claims and releases, one
// writes presence and snapshots, one drives deadlines and one runs callbacks.
package logstate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

// Names of the streams.
const (
	StreamConfig  = "config"
	StreamClaims  = "claims"
	StreamEntries = "entries"
)

// Options configure a State. Zero values take the defaults.
type Options struct {
	Log         platformlog.Log
	Incarnation wire.Incarnation
	PeerAddr    string // IP:port that peers reach this entry at
	Zone        string
	Events      *eventlog.Log
	// Retention is the log's retention. Default 24 h.
	Retention time.Duration
	Claims    claims.Options
	Config    config.Options
	// ClaimTimeout is how long a claim may wait for its read-back before it is
	// given up. Default 2 s.
	ClaimTimeout time.Duration
	// AppendBudget is the rate, per second, of claim records that all entries
	// together may append. Default 300.
	AppendBudget float64
	// MaxPending bounds the claims in progress. Default 100,000.
	MaxPending int
	// MaxLive bounds the claims in the table beyond which new ones are refused.
	// Default 1,000,000.
	MaxLive int
	// Maintenance is the interval at which presence and snapshots are
	// considered. Default 1 s.
	Maintenance time.Duration

	// The callbacks, and those of Claim, run one at a time on a goroutine of the
	// State. They must not block: claims are answered on the same goroutine.

	// OnConfig receives each configuration that comes into force.
	OnConfig func(version int64, s policy.Settings, encoded []byte)
	// OnConfigGap is called when records are missing, so that the process asks
	// its peers and passes what it learns to Offer.
	OnConfigGap func()
	// OnEntries receives the known entries when they change.
	OnEntries func([]wire.EntryAddr)
}

// Defaults of Options.
const (
	DefaultRetention    = 24 * time.Hour
	DefaultClaimTimeout = 2 * time.Second
	DefaultAppendBudget = 300
	DefaultMaxPending   = 100_000
	DefaultMaxLive      = 1_000_000
	DefaultMaintenance  = time.Second

	// pollWait is the long poll of a follower. A read on a connection that went
	// silent ends after pollWait plus the client's read timeout; the sum must
	// stay well under the 6 s in which a change is in force (P8).
	pollWait = 2 * time.Second
	// timerInterval is the resolution of claim deadlines.
	timerInterval = 50 * time.Millisecond
	// releaseRetry is how long a release may stay unread before it is sent again.
	releaseRetry = 2 * time.Second
	// maintenanceTimeout bounds one presence or snapshot append.
	maintenanceTimeout = 10 * time.Second
)

func (o *Options) setDefaults() {
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.AppendBudget, DefaultAppendBudget)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.MaxLive, DefaultMaxLive)
	setDefault(&o.Maintenance, DefaultMaintenance)
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// State is the running service. It is safe for concurrent use.
type State struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	notify *notifier
	work   chan struct{} // wakes the claim appender
	claims *follower
	config *follower

	mu       sync.Mutex
	table    *claims.Table
	machine  *config.Machine
	encoded  []byte // the machine's state at its version
	entries  map[string]presence
	claim    claimState
	streams  map[string]*streamState
	counters Counters

	blockedReported bool
}

var _ claimapi.Claims = (*State)(nil)

// Counters are totals since the start.
type Counters struct {
	ClaimRecords int64 // claim records that were acknowledged
	Won          int64
	Lost         int64
	GivenUp      int64
	Released     int64
	Snapshots    int64
	Presences    int64
}

// streamState is what is known of one followed stream.
type streamState struct {
	known     bool // reachable was determined at least once
	reachable bool
	caughtUp  bool // reached the end of the stream at least once
	next      int64
	end       int64
	gap       bool
	now       time.Duration // log time of the last successful read
	readAt    time.Time     // of the last successful read
}

// Start begins to follow the log.
func Start(opts Options) *State {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &State{
		opts: opts, ctx: ctx, cancel: cancel,
		notify:  newNotifier(),
		work:    make(chan struct{}, 1),
		table:   claims.New(opts.Claims),
		machine: config.New(opts.Config),
		entries: make(map[string]presence),
		streams: make(map[string]*streamState),
	}
	s.claim.init()
	if !s.retentionOK() {
		opts.Events.Emit(eventlog.RetentionTooShort, eventlog.Fields{Duration: opts.Retention})
	}
	s.wg.Go(s.notify.run)
	s.claims = s.follow(StreamClaims, s.applyClaims, s.claimsStart)
	s.config = s.follow(StreamConfig, s.applyConfig, nil)
	s.follow(StreamEntries, s.applyEntries, nil)
	s.wg.Go(s.appendLoop)
	s.wg.Go(s.timerLoop)
	s.wg.Go(s.maintenanceLoop)
	return s
}

// Close ends the service. Claims in progress are given up without release.
func (s *State) Close() {
	s.cancel()
	s.mu.Lock()
	s.failAll()
	s.mu.Unlock()
	s.notify.close()
	s.wg.Wait()
}

// Config returns the configuration in force. Version 0 means none.
func (s *State) Config() (version int64, settings policy.Settings, encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Version(), s.machine.State().Settings(), s.encoded
}

// Status describes the service.
type Status struct {
	// LogReachable says that the last request to the claims stream succeeded.
	LogReachable bool          `json:"log_reachable"`
	CaughtUp     bool          `json:"caught_up"`
	Lag          time.Duration `json:"lag_ns"` // since the last successful read of the claims stream
	Behind       int64         `json:"behind"` // claim records not yet read, as of that read

	ConfigVersion int64  `json:"config_version"`
	ConfigGap     bool   `json:"config_gap"`
	ConfigBlocked string `json:"config_blocked,omitempty"`

	ClaimsLive    int `json:"claims_live"`    // in the table
	ClaimsHeld    int `json:"claims_held"`    // of this entry
	ClaimsPending int `json:"claims_pending"` // in progress
	Releases      int `json:"releases_pending"`
	Entries       int `json:"entries"`

	Counters Counters `json:"counters"`
}

// Status returns the current status.
func (s *State) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stream(StreamClaims)
	out := Status{
		LogReachable: c.reachable, CaughtUp: c.caughtUp, Behind: max(0, c.end-c.next),
		ConfigVersion: s.machine.Version(), ConfigGap: s.stream(StreamConfig).gap,
		ClaimsLive: s.table.Len(), ClaimsHeld: len(s.claim.held), ClaimsPending: len(s.claim.pending),
		Releases: len(s.claim.releases), Entries: len(s.entries), Counters: s.counters,
	}
	if !c.readAt.IsZero() {
		out.Lag = time.Since(c.readAt)
	}
	if err := s.machine.Blocked(); err != nil {
		out.ConfigBlocked = err.Error()
	}
	return out
}

func (s *State) stream(name string) *streamState {
	st, ok := s.streams[name]
	if !ok {
		st = &streamState{}
		s.streams[name] = st
	}
	return st
}

// retentionOK reports whether a fresh reader can judge every key in the window.
func (s *State) retentionOK() bool { return s.opts.Retention >= s.table.Options().ClaimTTL() }

// timerLoop gives up overdue claims and sends unread releases again.
func (s *State) timerLoop() {
	t := time.NewTicker(timerInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-t.C:
			s.mu.Lock()
			s.giveUpOverdue(now)
			s.requeueReleases(now)
			s.mu.Unlock()
		}
	}
}

// maintenanceLoop writes presence and snapshots when they are due.
func (s *State) maintenanceLoop() {
	rnd := rand.New(rand.NewPCG(uint64(s.opts.Incarnation), 0))
	snapshots := config.SnapshotScheduler{Retention: s.opts.Retention, Rand: rnd}
	markers := snapshots
	p := presenceSchedule{every: s.opts.Retention / presenceShare}
	t := time.NewTicker(s.opts.Maintenance)
	defer t.Stop()
	for {
		s.writePresence(&p)
		s.writeSnapshot(&snapshots)
		s.writeMarker(&markers)
		s.askOnGap()
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}
