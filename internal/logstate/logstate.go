// Package logstate maintains an entry's view of the platform's log: the
// published configuration, the claims of non-idempotent requests and the list
// of entries.
//
// It runs one goroutine per followed stream, and one each for appending claims
// and releases, for writing presence records and snapshots, for claim deadlines
// and for callbacks.
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

// Stream names.
const (
	StreamConfig  = "config"
	StreamClaims  = "claims"
	StreamEntries = "entries"
)

// Options configure a State. Zero values select the defaults.
type Options struct {
	Log         platformlog.Log
	Incarnation wire.Incarnation
	PeerAddr    string // IP:port at which peers reach this entry
	Zone        string
	Events      *eventlog.Log
	// Retention is the log's retention. Default 24 h.
	Retention time.Duration
	Claims    claims.Options
	Config    config.Options
	// ClaimTimeout is how long a claim may take until it is read back from the
	// log; it is abandoned afterwards. Default 2 s.
	ClaimTimeout time.Duration
	// ClaimAppendRate is the number of claim records per second that all entries
	// together may append. Default 300.
	ClaimAppendRate float64
	// MaxPendingClaims is the maximum number of this entry's claims in flight.
	// Default 100,000.
	MaxPendingClaims int
	// MaxLiveClaims is the number of live claims in the table at which new claims are
	// refused. Default 1,000,000.
	MaxLiveClaims int
	// MaintenanceInterval is the interval between checks whether a presence record or
	// a snapshot is due. Default 1 s.
	MaintenanceInterval time.Duration

	// The callbacks below and those passed to Claim run sequentially on one
	// goroutine of the State. They must not block, because a blocked callback
	// delays the results of claims.

	// OnConfig receives each configuration that takes effect.
	OnConfig func(version int64, s policy.Settings, encoded []byte)
	// OnConfigGap is called while records of the config stream are missing. The
	// process should ask its peers for their configuration and pass it to
	// OfferConfig.
	OnConfigGap func()
	// OnEntries receives the list of known entries when it changes.
	OnEntries func([]wire.EntryAddr)
}

// Defaults of Options.
const (
	DefaultRetention           = 24 * time.Hour
	DefaultClaimTimeout        = 2 * time.Second
	DefaultClaimAppendRate     = 300
	DefaultMaxPendingClaims    = 100_000
	DefaultMaxLiveClaims       = 1_000_000
	DefaultMaintenanceInterval = time.Second

	// pollWait is how long a follower's long poll waits for a record. A read on
	// a connection that stopped responding ends after pollWait plus the client's
	// read timeout. The sum must stay well below the 6 s within which a
	// configuration change must be in effect (P8).
	pollWait = 2 * time.Second
	// timerInterval is the resolution of claim deadlines.
	timerInterval = 50 * time.Millisecond
	// releaseRetryInterval is how long to wait for a release to be read back
	// before it is sent again.
	releaseRetryInterval = 2 * time.Second
	// maintenanceTimeout bounds one presence or snapshot append.
	maintenanceTimeout = 10 * time.Second
)

func (o *Options) setDefaults() {
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.ClaimAppendRate, DefaultClaimAppendRate)
	setDefault(&o.MaxPendingClaims, DefaultMaxPendingClaims)
	setDefault(&o.MaxLiveClaims, DefaultMaxLiveClaims)
	setDefault(&o.MaintenanceInterval, DefaultMaintenanceInterval)
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// State follows the log and appends to it until Close. It is safe for
// concurrent use.
type State struct {
	opts           Options
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	notify         *notifier
	appendWake     chan struct{} // signals the append loop
	claimsFollower *follower
	configFollower *follower

	mu            sync.Mutex
	table         *claims.Table
	configMachine *config.Machine
	encoded       []byte // encoding of the current configuration
	entries       map[string]presence
	own           ownClaims
	streams       map[string]*streamState
	counters      Counters

	blockedReported bool // ConfigBlocked was emitted for the current block
}

var _ claimapi.Claims = (*State)(nil)

// Counters are totals since Start.
type Counters struct {
	ClaimRecords int64 // acknowledged appends of claim records
	Won          int64 // claims won
	Lost         int64 // claims whose record had no effect
	GivenUp      int64 // claims abandoned before their result was known; each emits claim_given_up
	Released     int64 // releases read back from the log
	Snapshots    int64 // snapshots of the configuration appended
	Presences    int64 // presence records appended
}

// streamState is the read position and health of one followed stream.
type streamState struct {
	known     bool          // reachable has been set at least once
	reachable bool          // the last request succeeded
	caughtUp  bool          // the follower reached the end of the stream at least once
	next      int64         // next offset to read
	end       int64         // offset after the last record, as of the last successful read
	gap       bool          // config stream only: records are missing
	now       time.Duration // log time of the last successful read
	readAt    time.Time     // local time of the last successful read
}

// Start starts following the log.
func Start(opts Options) *State {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &State{
		opts: opts, ctx: ctx, cancel: cancel,
		notify:        newNotifier(),
		appendWake:    make(chan struct{}, 1),
		table:         claims.New(opts.Claims),
		configMachine: config.New(opts.Config),
		entries:       make(map[string]presence),
		streams:       make(map[string]*streamState),
	}
	s.own.init()
	if !s.retentionOK() {
		opts.Events.Emit(eventlog.RetentionTooShort, eventlog.Fields{Duration: opts.Retention})
	}
	s.wg.Go(s.notify.run)
	s.claimsFollower = s.follow(StreamClaims, s.applyClaims, s.claimsStartOffset)
	s.configFollower = s.follow(StreamConfig, s.applyConfig, nil)
	s.follow(StreamEntries, s.applyEntries, nil)
	s.wg.Go(s.appendLoop)
	s.wg.Go(s.timerLoop)
	s.wg.Go(s.maintenanceLoop)
	return s
}

// Close stops all goroutines. Claims in flight fail and are not released.
func (s *State) Close() {
	s.cancel()
	s.mu.Lock()
	s.failPending()
	s.mu.Unlock()
	s.notify.close()
	s.wg.Wait()
}

// Config returns the current configuration. Version 0 means that there is none.
func (s *State) Config() (version int64, settings policy.Settings, encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configMachine.Version(), s.configMachine.State().Settings(), s.encoded
}

// Status is a snapshot of a State for metrics and operators.
type Status struct {
	// LogReachable is whether the last request to the claims stream succeeded.
	LogReachable  bool          `json:"log_reachable"`
	CaughtUp      bool          `json:"caught_up"`
	Lag           time.Duration `json:"lag_ns"` // time since the last successful read of the claims stream
	RecordsBehind int64         `json:"behind"` // unread records of the claims stream as of that read

	ConfigVersion int64  `json:"config_version"`
	ConfigGap     bool   `json:"config_gap"`
	ConfigBlocked string `json:"config_blocked,omitempty"`

	ClaimsLive      int `json:"claims_live"`    // of all entries
	ClaimsHeld      int `json:"claims_held"`    // won by this entry
	ClaimsPending   int `json:"claims_pending"` // in flight
	ReleasesPending int `json:"releases_pending"`
	Entries         int `json:"entries"`

	Counters Counters `json:"counters"`
}

// Status returns the current status.
func (s *State) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stream(StreamClaims)
	out := Status{
		LogReachable: c.reachable, CaughtUp: c.caughtUp, RecordsBehind: max(0, c.end-c.next),
		ConfigVersion: s.configMachine.Version(), ConfigGap: s.stream(StreamConfig).gap,
		ClaimsLive: s.table.Len(), ClaimsHeld: len(s.own.held), ClaimsPending: len(s.own.pending),
		ReleasesPending: len(s.own.releases), Entries: len(s.entries), Counters: s.counters,
	}
	if !c.readAt.IsZero() {
		out.Lag = time.Since(c.readAt)
	}
	if err := s.configMachine.Blocked(); err != nil {
		out.ConfigBlocked = err.Error()
	}
	return out
}

// stream returns the state of a stream, which is created on first use. s.mu must be
// held.
func (s *State) stream(name string) *streamState {
	st, ok := s.streams[name]
	if !ok {
		st = &streamState{}
		s.streams[name] = st
	}
	return st
}

// retentionOK reports whether the log retains records long enough for a new
// reader to see every claim that still counts.
func (s *State) retentionOK() bool { return s.opts.Retention >= s.table.Options().ClaimTTL() }

// timerLoop abandons overdue claims and resends releases that were not read
// back.
func (s *State) timerLoop() {
	t := time.NewTicker(timerInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-t.C:
			s.mu.Lock()
			s.abandonOverdue(now)
			s.requeueReleases(now)
			s.mu.Unlock()
		}
	}
}

// maintenanceLoop writes presence records, snapshots and keepalive records when
// they are due, and reports gaps in the config stream.
func (s *State) maintenanceLoop() {
	rnd := rand.New(rand.NewPCG(uint64(s.opts.Incarnation), 0))
	snapshots := config.SnapshotScheduler{Retention: s.opts.Retention, Rand: rnd}
	keepalives := snapshots
	p := presenceSchedule{interval: s.opts.Retention / presenceRenewals}
	t := time.NewTicker(s.opts.MaintenanceInterval)
	defer t.Stop()
	for {
		s.writePresence(&p)
		s.writeSnapshot(&snapshots)
		s.writeKeepalive(&keepalives)
		s.notifyConfigGap()
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}
