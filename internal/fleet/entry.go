package fleet

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/ingressd"
	"github.com/limpettrail/limpettrail/internal/keeper"
)

const (
	// configReadWait is the longest wait of one read of the configuration. A read
	// over an unresponsive connection ends about a second later.
	configReadWait = 1500 * time.Millisecond
	// evacuationReadsPerBound is the number of reads without a result within
	// EvacuationBound. The state of the entry is then at most two reads old, well below the
	// half of the bound from which on agents list the requests themselves.
	evacuationReadsPerBound = 8
	// configLinkShare is the share of the VM's link that configurations may take, see
	// configReadPause. A configuration is in force within maxConfigReadPause and the
	// time of one read after it was published.
	configLinkShare    = 0.125
	maxConfigReadPause = 800 * time.Millisecond
	// readRetryDelay is the pause after a failed call to the configuration source
	// or the directory.
	readRetryDelay = 200 * time.Millisecond
	// directoryListInterval is how often an entry reads the directory.
	directoryListInterval = 2 * time.Second
	// balancerDelay is how long the load balancer takes to send new connections
	// elsewhere once the entry reports that it is not ready: two checks a second
	// apart.
	balancerDelay = 2200 * time.Millisecond
	// drainReserve is the part of a leaving entry's remaining time that is kept for
	// the jobs it accepted last. Most jobs end within it.
	drainReserve = 2200 * time.Millisecond
	// quietPeriod is how long a leaving entry must have had no requests in progress
	// before it may stop early.
	quietPeriod       = 300 * time.Millisecond
	leavePollInterval = 50 * time.Millisecond
	// startHoldTimeout is how long after its start an entry that is not ready holds
	// requests back. Agents redial within 0.3 s.
	startHoldTimeout  = 700 * time.Millisecond
	startPollInterval = 10 * time.Millisecond
	// resendDelay is how long after its connection broke a caller may send its job again,
	// to any entry.
	resendDelay = 1300 * time.Millisecond
	// maxJobs bounds the jobs in the entry.
	maxJobs = 4000
)

// EntryOptions configures an EntryNode.
type EntryOptions struct {
	Name        string
	Zone        string
	Listen      string // address for callers
	ReadyListen string // address for the load balancer's check
	PeerListen  string
	// PeerAdvertise is published to agents in place of the address of PeerListen, unless
	// it is empty.
	PeerAdvertise string
	// OperatorListen is the listening address for operators, empty for none.
	OperatorListen string
	CallerHandler  func(entryd.Submitter, StoredJobs) http.Handler
	// KeepHeaders are the headers of requests that CallerHandler reads.
	KeepHeaders []string
	// JobLog is the log of stored jobs.
	JobLog      keeper.Log
	Configs     ConfigSource
	Directory   Directory
	Log         *eventlog.Log
	Incarnation wire.Incarnation
	// EvacuationBound is the time within which a request to evacuate a zone must take
	// effect, 0 if Configs does not follow them.
	EvacuationBound time.Duration
	// LinkBytesPerSecond is the bandwidth of the VM's link in bytes per second, 0 if
	// unknown.
	LinkBytesPerSecond float64
	// Shares are the limits of the listeners, see entryd.Options.
	Shares ingress.Shares
	// Interference says what is done about classes that slow each other down.
	Interference policy.Interference
}

// EntryNode is the entry process of one VM.
type EntryNode struct {
	opts        EntryOptions
	started     time.Time
	entry       *entryd.Entry
	keeper      *keeper.Keeper
	serving     chan struct{} // closed once entry and keeper are set
	readyServer *http.Server
	readyGuard  *ingressd.Guard
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	// announced is the newest version of the configuration that an agent has announced,
	// nil if there is none. lastRead is when the last successful read of the
	// configuration ended, or when the process started.
	announced atomic.Pointer[announcedVersion]
	lastRead  atomic.Pointer[time.Time]
	// sourceAsked is set once the first read of the configuration has succeeded or failed.
	sourceAsked atomic.Bool

	mu      sync.Mutex
	version int64 // version of the current configuration, 0 if there is none
	leaving bool
}

// announcedVersion is a version of the configuration that an agent had before this
// entry.
type announcedVersion struct {
	version int64
	at      time.Time
}

// StartEntry starts an entry that serves until Stop or Kill.
func StartEntry(opts EntryOptions) (*EntryNode, error) {
	ctx, cancel := context.WithCancel(context.Background())
	started := time.Now()
	if opts.Shares == (ingress.Shares{}) {
		opts.Shares, _ = ingress.SharesOf(ingress.Machine{}) // fails only for small machines
	}
	n := &EntryNode{opts: opts, started: started, serving: make(chan struct{}), ctx: ctx, cancel: cancel}
	n.lastRead.Store(&started)
	e, err := entryd.Start(entryd.Options{
		Name: opts.Name, Zone: opts.Zone,
		Listen: opts.Listen, PeerListen: opts.PeerListen, OperatorListen: opts.OperatorListen,
		Scheduler: policy.New(policy.Options{
			Seed: uint64(opts.Incarnation), Zone: opts.Zone, LinkBytesPerSecond: opts.LinkBytesPerSecond, Interference: opts.Interference,
		}),
		ReportNeighbours: opts.Interference != policy.InterferenceOff,
		CallerHandler: func(s entryd.Submitter) http.Handler {
			return n.holdWhileStarting(opts.CallerHandler(leavingSubmitter{s, n}, storedJobs{n}))
		},
		KeepHeaders:        opts.KeepHeaders,
		StoredJobObserver:  storedEvents{n},
		OnAgentConfig:      n.applyFromAgent,
		OnVersionAnnounced: n.noteAnnounced,
		LogGauges:          n.configGauges,
		Log:                opts.Log,
		Incarnation:        opts.Incarnation,
		MaxJobs:            maxJobs,
		Shares:             opts.Shares,
		MaxTasks:           opts.Shares.Tasks,
		MaxAnswerBytes:     opts.Shares.AnswerBytes,
		SilenceTimeout:     silenceTimeout,
		Core:               entry.Options{HeartbeatInterval: heartbeatInterval, LostAgentTimeout: agentLease, ResendDelay: resendDelay},
	})
	if err != nil {
		cancel()
		return nil, err
	}
	n.entry = e
	n.keeper = keeper.Start(keeper.Options{Name: processName(opts.Name, e.PeerAddr(), e.Incarnation()), Log: opts.JobLog, Driver: e, Clock: e.Clock(), Events: opts.Log})
	close(n.serving)
	if err := n.serveReady(); err != nil {
		n.Kill()
		return nil, err
	}
	n.wg.Go(n.followConfig)
	n.wg.Go(n.followDirectory)
	return n, nil
}

// followConfig applies each newer configuration that is published.
func (n *EntryNode) followConfig() {
	failing := false
	wait := configReadWait
	if bound := n.opts.EvacuationBound; bound > 0 {
		wait = min(wait, bound/evacuationReadsPerBound)
	}
	for n.ctx.Err() == nil {
		requestedAt := n.entry.Clock().Now()
		update, err := n.opts.Configs.Next(n.ctx, wait)
		n.applyEvacuations(&update, requestedAt)
		n.sourceAsked.Store(true)
		if c := update.Config; c != nil {
			n.apply(c, "store", c.AvailableAt)
			ctxsleep.For(n.ctx, configReadPause(len(c.State), n.opts.LinkBytesPerSecond))
		}
		if err != nil && n.ctx.Err() == nil {
			if !failing {
				n.opts.Log.Emit(eventlog.ConfigSourceLost, eventlog.Fields{Err: err})
			}
			failing = true
			ctxsleep.For(n.ctx, readRetryDelay)
			continue
		}
		readAge := n.noteRead()
		if failing && err == nil {
			failing = false
			n.opts.Log.Emit(eventlog.ConfigSourceBack, eventlog.Fields{Age: readAge})
		}
	}
}

// applyEvacuations passes on what a read that was requested at requestedAt tells about
// evacuated zones.
func (n *EntryNode) applyEvacuations(u *ConfigUpdate, requestedAt time.Duration) {
	switch {
	case n.opts.EvacuationBound <= 0:
	case u.ReadToEnd:
		n.entry.EvacuationsRead(entry.EvacuationsRead{Evacuations: u.Evacuations, RequestedAt: requestedAt})
	case u.Evacuations != nil: // requests that were made before the read may be missing
		n.entry.EvacuationsRead(entry.EvacuationsRead{Evacuations: u.Evacuations, Partial: true})
	}
}

// evacuationsSettled decides whether an entry of the given age may be ready as far as the
// requests to evacuate zones are concerned: it has asked for them, or cannot read them for
// now. A store that cannot be read does not keep the entry out of service.
func evacuationsSettled(bound time.Duration, asked bool, age time.Duration) bool {
	return bound <= 0 || asked || age >= startHoldTimeout
}

// noteRead notes a successful read of the configuration and returns the time since the
// one before.
func (n *EntryNode) noteRead() time.Duration {
	now := time.Now()
	return now.Sub(*n.lastRead.Swap(&now))
}

// readAge returns the time since the last successful read of the configuration, or
// since the start of the process.
func (n *EntryNode) readAge() time.Duration {
	return time.Since(*n.lastRead.Load())
}

// noteAnnounced logs that an agent has a version that this entry lacks: from then on
// the version is known to be published.
func (n *EntryNode) noteAnnounced(a entry.VersionAnnounced) {
	n.announced.Store(&announcedVersion{version: a.Version, at: time.Now()})
	n.opts.Log.Emit(eventlog.ConfigBehind, eventlog.Fields{Peer: a.Agent, Count: a.Version, Version: a.Current, Age: n.readAge()})
}

// announcedAge returns how long ago an agent announced a newer version than the given
// one, 0 if none did.
func (n *EntryNode) announcedAge(version int64) time.Duration {
	if a := n.announced.Load(); a != nil && a.version > version {
		return time.Since(a.at)
	}
	return 0
}

// configGauges returns the metrics for alerts on the configuration source.
func (n *EntryNode) configGauges() []entryd.Gauge {
	n.mu.Lock()
	version := n.version
	n.mu.Unlock()
	return []entryd.Gauge{
		{Name: "limpettrail_config_read_age_milliseconds", Value: n.readAge().Milliseconds()},
		{Name: "limpettrail_config_lag_milliseconds", Value: n.announcedAge(version).Milliseconds()},
	}
}

// configReadPause returns the pause after a configuration of the given size was read.
// In a series of configurations, reading takes about configLinkShare of the VM's link
// and the entry skips those in between.
func configReadPause(size int, linkBytesPerSecond float64) time.Duration {
	if linkBytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(size) / (configLinkShare * linkBytesPerSecond)
	return min(maxConfigReadPause, time.Duration(seconds*float64(time.Second)))
}

// applyFromAgent applies a configuration received from an agent. It does so on a
// goroutine of its own: the core goroutine calls this method and must neither wait
// for its own event queue nor decode a large configuration.
func (n *EntryNode) applyFromAgent(c wire.ConfigState) {
	arrivedAt := time.Now()
	n.wg.Go(func() {
		conf, err := n.decodePacked(c.State)
		if err != nil {
			n.opts.Log.Emit(eventlog.ConfigUnreadable, eventlog.Fields{Count: c.Version, Err: err})
			return
		}
		n.apply(conf, "agent", arrivedAt)
	})
}

func (n *EntryNode) decodePacked(packed []byte) (*Config, error) {
	state, err := unpackState(packed)
	if err != nil {
		return nil, err
	}
	return n.opts.Configs.Decode(state)
}

// apply puts a configuration into effect if it is newer than the current one. It logs
// from and the time since it became available.
func (n *EntryNode) apply(c *Config, from string, availableAt time.Time) {
	select {
	case <-n.serving: // an agent may pass on a configuration while the entry starts
	case <-n.ctx.Done():
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Version <= n.version {
		return
	}
	fields := eventlog.Fields{Count: c.Version, Version: n.version, Age: n.readAge(), Detail: from + " " + strconv.Itoa(len(c.State)) + " bytes"}
	if age := n.announcedAge(n.version); age > 0 {
		fields.Detail += ", announced " + age.Round(time.Millisecond).String() + " before"
	}
	n.version = c.Version
	n.entry.Configure(c.Settings, c.Version, packState(c.State))
	c.Activate()
	if !availableAt.IsZero() {
		fields.Duration = time.Since(availableAt)
	}
	n.opts.Log.Emit(eventlog.ConfigInForce, fields)
}

// followDirectory publishes this entry's address and tells agents about the
// other entries.
func (n *EntryNode) followDirectory() {
	self := EntryAddr{Incarnation: n.entry.Incarnation(), Peer: cmp.Or(n.opts.PeerAdvertise, n.entry.PeerAddr()), Zone: n.opts.Zone}
	known := []EntryAddr{self}
	n.entry.SetEntries(known)
	published := false
	for n.ctx.Err() == nil {
		if !published {
			err := n.opts.Directory.Publish(n.ctx, n.opts.Name, self)
			published = err == nil
			if err != nil {
				n.opts.Log.Emit(eventlog.DirectoryFailed, eventlog.Fields{Detail: "publish", Err: err})
				ctxsleep.For(n.ctx, readRetryDelay)
				continue
			}
		}
		if list, err := n.opts.Directory.List(n.ctx); err != nil {
			n.opts.Log.Emit(eventlog.DirectoryFailed, eventlog.Fields{Detail: "list", Err: err})
		} else {
			n.entry.SetEntries(withSelf(list, self))
		}
		ctxsleep.For(n.ctx, directoryListInterval)
	}
}

// withSelf returns the list with self in place of the record of the same address,
// which may be from an earlier incarnation.
func withSelf(list []EntryAddr, self EntryAddr) []EntryAddr {
	out := []EntryAddr{self}
	for _, e := range list {
		if e.Peer != self.Peer {
			out = append(out, e)
		}
	}
	return out
}

func (n *EntryNode) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Links returns the number of connected agents.
func (n *EntryNode) Links() int { return n.entry.Links() }

// Ready reports whether the entry accepts jobs. A process that has just started is
// ready once it has a configuration and an agent, has read the log of stored jobs, and has
// read the requests to evacuate zones.
func (n *EntryNode) Ready() bool {
	select {
	case <-n.serving:
		return n.entry.Ready() && !n.isLeaving() && n.jobLogSettled() &&
			evacuationsSettled(n.opts.EvacuationBound, n.sourceAsked.Load(), time.Since(n.started))
	default:
		return false
	}
}

// ConfigVersion returns the version of the current configuration.
func (n *EntryNode) ConfigVersion() int64 { return n.entry.ConfigVersion() }

// holdWhileStarting holds requests back until a new process has a configuration
// and its first agent, which takes some tenths of a second. Otherwise every
// caller of a restarted entry would be refused.
func (n *EntryNode) holdWhileStarting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-n.serving:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // a handler that returns replies with status 200
		}
		for time.Since(n.started) < startHoldTimeout && !n.Ready() && r.Context().Err() == nil {
			ctxsleep.For(r.Context(), startPollInterval)
		}
		next.ServeHTTP(w, r)
	})
}

// leavingSubmitter makes callers connect elsewhere as soon as the entry is
// leaving.
type leavingSubmitter struct {
	entryd.Submitter
	node *EntryNode
}

// Draining implements entryd.Submitter.
func (s leavingSubmitter) Draining() bool { return s.node.isLeaving() || s.Submitter.Draining() }

// Stop first reports to the load balancer that the entry is not ready, serves
// until the balancer has noticed, and then stops like entryd.Entry.Stop.
func (n *EntryNode) Stop(ctx context.Context) error {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.opts.Log.Emit(eventlog.EntryLeaving, eventlog.Fields{})
	ctxsleep.For(ctx, balancerDelay)
	n.serveRemaining(ctx)
	n.handOverJobs(ctx)
	err := n.entry.Stop(ctx)
	n.Kill()
	return err
}

// serveRemaining accepts jobs over the remaining connections until none arrive
// any more, or until the remaining time is needed for the jobs in progress.
// Each reply asks its caller to connect elsewhere.
func (n *EntryNode) serveRemaining(ctx context.Context) {
	deadline, bounded := ctx.Deadline()
	lastBusyAt := time.Now()
	for ctx.Err() == nil && time.Since(lastBusyAt) < quietPeriod {
		if bounded && time.Until(deadline) < drainReserve {
			return
		}
		if n.entry.Requests() > 0 {
			lastBusyAt = time.Now()
		}
		ctxsleep.For(ctx, leavePollInterval)
	}
}

// Kill stops the entry at once.
func (n *EntryNode) Kill() {
	n.cancel()
	if n.readyServer != nil {
		n.readyServer.Close()
		n.readyGuard.Close()
	}
	if n.keeper != nil {
		n.keeper.Close()
	}
	n.entry.Kill()
	n.wg.Wait()
}
