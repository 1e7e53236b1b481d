// Package agent implements the state machine of the agent, the process beside
// one upstream that makes the final decision whether a task starts.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order. It is
// deterministic: the same sequence of calls always yields the same actions.
//
// Invariants:
//   - An attempt (entry incarnation, seq) yields at most one Run action.
//   - After the machine reported NotRun for an attempt, that attempt never
//     yields a Run action. The only NotRun that follows a Run action is the
//     one that the caller delivered with Finished.
//   - A start is accepted only on the current epoch of its link and only with a
//     seq above every seq seen from that entry, so a delayed or duplicate start
//     is refused without a record of each refused seq.
//   - The accepted epochs of one entry only increase, even across LinkDown and
//     after its record was removed: a connection that was replaced is never
//     accepted again.
package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configures a Machine. Zero durations and counts take the defaults.
type Options struct {
	Incarnation wire.Incarnation
	// Zone is the availability zone of the agent. While it is evacuated, no task starts.
	Zone string
	// EvacuationBound is the time within which a request to evacuate the zone must take
	// effect. The agent requests a listing of the requests when its state is older than half
	// of it. 0 means that the agent never does; it still applies the states that it receives.
	EvacuationBound time.Duration
	// Evacuations is the state that an earlier incarnation in this process has received.
	Evacuations wire.Evacuations
	// Slots is the number of tasks that the upstream runs at once.
	Slots int
	// Capacity is the worker's capacity. A task with a stated need takes slots in
	// proportion to its share of the capacity; any other task takes one slot.
	Capacity wire.Capacity
	// RunLease is how long runs continue after the last proof that their entry is
	// alive. The proof is a reading of the agent's own clock that the entry echoes
	// (wire.ToAgent.ClockEcho). 0 disables the lease: a run then continues until it
	// ends or its deadline passes, even if its entry is lost.
	RunLease time.Duration
	// QueueCapacity bounds the tasks queued at the agent. Default 2 x Slots.
	QueueCapacity int
	// MaxUnsettled bounds the unsettled attempts of one entry. Default 4096.
	MaxUnsettled int
	// MaxRetainedBytes bounds the results kept until their entries settle them.
	// Above it starts are refused as busy. Default 16 MiB.
	MaxRetainedBytes int
	// HeartbeatInterval is the longest time between two frames on a healthy link.
	// Default 500 ms.
	HeartbeatInterval time.Duration
	// LostLinkTimeout is how long queued tasks are kept after their entry's link went
	// down. Default 5 s.
	LostLinkTimeout time.Duration
	// EntryRetention is how long results are kept for an entry whose link is
	// down; later queries about them are answered Unknown. Default 10 min.
	EntryRetention time.Duration
	// DrainLinger is the minimum time for which a draining agent stays connected
	// to an entry and refuses its starts. Default 2 s.
	DrainLinger time.Duration
	// DrainSettleTimeout is how long a draining agent waits, after its last run,
	// for entries to settle its results. Default 5 s.
	DrainSettleTimeout time.Duration
	// RetainedRuns lists the finished runs of stored jobs that an earlier incarnation
	// left at the worker because no entry had acknowledged them.
	RetainedRuns []wire.FinishedRun
}

// Defaults of Options.
const (
	DefaultMaxUnsettled       = 4096
	DefaultMaxRetainedBytes   = 16 << 20
	DefaultHeartbeatInterval  = 500 * time.Millisecond
	DefaultLostLinkTimeout    = 5 * time.Second
	DefaultEntryRetention     = 10 * time.Minute
	DefaultDrainLinger        = 2 * time.Second
	DefaultDrainSettleTimeout = 5 * time.Second
)

func (o Options) withDefaults() Options {
	orDefault(&o.Slots, 1)
	orDefault(&o.QueueCapacity, 2*o.Slots)
	orDefault(&o.MaxUnsettled, DefaultMaxUnsettled)
	orDefault(&o.MaxRetainedBytes, DefaultMaxRetainedBytes)
	orDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	orDefault(&o.LostLinkTimeout, DefaultLostLinkTimeout)
	orDefault(&o.EntryRetention, DefaultEntryRetention)
	orDefault(&o.DrainLinger, DefaultDrainLinger)
	orDefault(&o.DrainSettleTimeout, DefaultDrainSettleTimeout)
	return o
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// AttemptID identifies an attempt at this agent.
type AttemptID struct {
	Entry wire.Incarnation
	Seq   wire.Seq
}

// Machine is the agent's state machine. It is not safe for concurrent use.
type Machine struct {
	opts           Options
	entries        map[wire.Incarnation]*entryRecord
	entryList      []*entryRecord // in order of first contact, so that iteration is deterministic
	entriesRemoved bool           // the record of an entry was removed
	// maxRemovedEpoch is the highest epoch of a removed entry. Epochs increase over
	// all links, so a connection at or below it was replaced long ago.
	maxRemovedEpoch wire.Epoch
	retainedBytes   int // bytes of unsettled results
	queue           runQueue
	active          []*attempt   // running
	retainedRuns    retainedRuns // finished runs of stored jobs
	occupied        float64      // slots taken by running tasks
	neighbours      neighbours
	order           uint64 // arrival counter, orders attempts that are due at the same time
	config          *wire.ConfigState
	evacuations     evacuationState

	limiter      limiter
	classes      map[string]*classStats
	otherClasses classStats
	successes    uint64
	failures     uint64

	streak         failureStreak
	pausedUntil    time.Duration // no task is started before this time
	refusalBackoff time.Duration // after refusals by the upstream
	suspectBackoff time.Duration // between trial runs at a suspect upstream

	down         bool
	probing      bool
	probeAt      time.Duration
	probeBackoff time.Duration

	workerLeaving   bool // see WorkerLeaving
	admissionClosed bool // see AdmissionChanged

	// capacity is the worker's current capacity, which may be below Options.Capacity.
	// Slots are counted in shares of the latter.
	capacity         wire.Capacity
	capacitySequence int64 // of the announcement that capacity is from

	draining bool
	drained  bool
	drainAt  time.Duration // when the drain began
	idleAt   time.Duration // when a draining agent last had a run

	actions []Action
}

// New returns a machine with no links and every slot free.
func New(opts Options) *Machine {
	opts = opts.withDefaults()
	m := &Machine{
		opts:         opts,
		entries:      make(map[wire.Incarnation]*entryRecord),
		limiter:      newLimiter(opts.Slots),
		capacity:     opts.Capacity,
		classes:      make(map[string]*classStats),
		otherClasses: classStats{mean: initialMeanRun},
		evacuations:  evacuationState{Evacuations: opts.Evacuations},
	}
	for _, run := range opts.RetainedRuns {
		m.retainedRuns.add(0, 0, run)
	}
	return m
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	switch e := ev.(type) {
	case LinkUp:
		m.linkUp(now, e)
	case LinkDown:
		m.linkDown(now, e)
	case Received:
		m.received(now, e)
	case Finished:
		m.finished(now, &e)
	case StartSettled:
		m.settleStart(e.Attempt)
	case Probed:
		m.probed(now, e)
	case Retire:
		m.retire(now, e)
	case CapacityChanged:
		m.changeCapacity(&e)
	case AdmissionChanged:
		m.changeAdmission(e)
	case WorkerLeaving:
		m.workerLeaving = true
	case EvacuationsListed:
		m.evacuationsListed(&e)
	case Drain:
		m.drain(now)
	case Tick:
		m.tick(now)
	}
	m.startQueued(now)
	m.flush(now)
	m.reportDrained(now)
	return m.actions
}

// Load returns the state that the agent reports in every frame.
func (m *Machine) Load(now time.Duration) wire.Load {
	return wire.Load{
		Running:      min(len(m.active), wire.MaxSlots),
		Queued:       min(m.queue.Len(), wire.MaxSlots), // entries refuse frames that state more
		Slots:        m.opts.Slots,
		Limit:        max(1, min(m.allowedRuns(now), int(m.roomLimit()+slotTolerance))),
		ExpectedWait: wire.MicrosOf(m.expectedWait(now, now+wire.MaxMicros.Duration(), 1)),
		Successes:    m.successes,
		Failures:     m.failures,
		Down:         m.down,
		Occupied:     int(1000 * m.reportedSlots()),
		Evacuated:    m.evacuated(),
	}
}

// reportedSlots returns how many slots entries are to take for occupied. A worker that
// can take no further run is reported with twice its slots, so that no entry queues
// tasks there.
func (m *Machine) reportedSlots() float64 {
	slots := m.occupied + m.queue.slots()
	if m.admissionClosed {
		return max(slots, 2*float64(m.opts.Slots))
	}
	return slots
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
