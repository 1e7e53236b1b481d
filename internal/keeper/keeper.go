// Package keeper runs the state machine of core/durable: it reads and appends
// to the log of stored jobs, and connects the machine with the entry that runs
// the jobs.
package keeper

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

const (
	tickInterval = 25 * time.Millisecond
	// readWait is the longest wait of one read. Over an unresponsive connection, the
	// view falls behind by readWait plus the timeout of the call.
	readWait = time.Second
	// readInterval is the pause between two reads, so that records appended
	// meanwhile are delivered by one read.
	readInterval = 20 * time.Millisecond
	// retryDelay is the pause before a failed call to the log is retried.
	retryDelay = 100 * time.Millisecond
)

// AppendResult is the result of one attempt to append.
type AppendResult uint8

// Values of AppendResult.
const (
	// Appended: the records are in the log, by this attempt or an earlier one.
	Appended AppendResult = iota + 1
	// Rejected: this attempt had no effect.
	Rejected
	// FencedOff: another process has fenced the writer off.
	FencedOff
	// NoAnswer: the attempt may have been carried out, or may still be.
	NoAnswer
)

// ReadResult is the result of a read of the log.
type ReadResult struct {
	Records []durable.Record
	Next    int64 // offset to read on from
	CutOff  bool  // the log holds records from Next on
}

// Log is the shared log of stored jobs.
type Log interface {
	// Newest returns the newest record of each key and the offset to read on from.
	Newest(ctx context.Context) ([]durable.Record, int64, error)
	// Read returns records from the offset from on. It waits up to wait for the first
	// one. The error matches ErrRemoved if the log no longer holds them.
	Read(ctx context.Context, from int64, wait time.Duration) (ReadResult, error)
	// Append appends the records as one unit. The appends of a writer are numbered
	// from 0; an append with a repeated number is carried out once.
	Append(ctx context.Context, writer wire.Incarnation, number int64, records []durable.Record) (AppendResult, error)
	// Fence makes the log refuse every later append of a writer.
	Fence(ctx context.Context, writer wire.Incarnation) error
}

// Driver runs jobs. Its methods may block for a short time.
type Driver interface {
	// DriveStoredJob starts a drive. The driver reports it to the keeper with
	// ClassFound, JobStarted, RunFinished, RunCrashed, RunRepeated and DriveEnded.
	DriveStoredJob(d durable.Drive)
	// HaltStoredJob stops the runs of a driven job.
	HaltStoredJob(job string)
	// SetStoredJobLease sets the time until when tasks may be started, on Options.Clock.
	SetStoredJobLease(until time.Duration)
	// AcknowledgeStoredRuns tells an agent that it need not retain finished runs.
	AcknowledgeStoredRuns(s durable.Acknowledge)
}

// Options configures a Keeper.
type Options struct {
	Name    string // see durable.ProcessID.Name
	Log     Log
	Driver  Driver
	Clock   bootclock.Clock // must be the driver's clock too
	Events  *eventlog.Log
	Machine durable.Options // Self is set by the keeper
}

// Keeper runs the state machine of the stored jobs of one entry.
type Keeper struct {
	opts   Options
	clock  bootclock.Clock
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	left   chan struct{} // closed once the jobs are handed over
	// closeLeft guards left: each machine reports that it has left.
	closeLeft sync.Once

	mu         sync.Mutex
	leaving    bool // Leave was called
	readFailed bool // see LogRead
	machine    *durable.Machine
	self       durable.ProcessID
	nextAppend int64 // number of the next append
	lastToken  uint64
	replies    map[uint64]chan durable.Result
	drivenJobs map[string]bool
	// inbox queues events, so that the entry's core need not wait for a keeper that
	// is itself waiting for the core. The number of runs of stored jobs bounds it.
	inbox  []durable.Event
	notify chan struct{}
}

// Start starts a keeper that runs until Close.
func Start(opts Options) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		opts: opts, clock: opts.Clock, ctx: ctx, cancel: cancel, left: make(chan struct{}),
		replies: make(map[uint64]chan durable.Result), notify: make(chan struct{}, 1),
	}
	k.reset()
	k.wg.Go(k.followLog)
	k.wg.Go(k.run)
	return k
}

// reset starts a new incarnation with a new machine, which owns no jobs.
func (k *Keeper) reset() {
	k.self = durable.ProcessID{Incarnation: wire.Incarnation(rand.Uint64() | 1), Name: k.opts.Name}
	opts := k.opts.Machine
	opts.Self = k.self
	k.machine = durable.New(opts)
	k.nextAppend = 0
	k.drivenJobs = make(map[string]bool)
}

// Close stops the keeper at once. Other processes take its jobs over after its
// lease has expired.
func (k *Keeper) Close() {
	k.cancel()
	k.wg.Wait()
}

// Leave hands the jobs over to other processes. It returns once the handover is
// recorded or ctx ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.post(durable.Leave{})
	select {
	case <-k.left:
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
}

// Submit records a job. It returns 0 if ctx ends or the keeper is closed before the
// answer is known: the job may have been recorded.
func (k *Keeper) Submit(ctx context.Context, spec durable.Spec) durable.Result {
	return k.request(ctx, func(token uint64) durable.Event { return durable.Submit{Token: token, Spec: spec} })
}

// Cancel records the cancellation of a job. It returns 0 in the same case as
// Submit.
func (k *Keeper) Cancel(ctx context.Context, job string) durable.Result {
	return k.request(ctx, func(token uint64) durable.Event { return durable.Cancel{Token: token, Job: job} })
}

// request posts an event with a new token and waits for the reply.
func (k *Keeper) request(ctx context.Context, event func(token uint64) durable.Event) durable.Result {
	reply := make(chan durable.Result, 1)
	k.mu.Lock()
	k.lastToken++
	token := k.lastToken
	k.replies[token] = reply
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.replies, token)
	}()
	k.post(event(token))
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
	return 0
}

// State returns the state of a job and the age of the view that the answer is
// from. ok is false if the job is not in the view.
func (k *Keeper) State(job string) (s durable.State, age time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok = k.machine.State(job)
	return s, k.viewAge(), ok
}

// Pending returns the number of the class's jobs of which no task has started.
// loaded is false until the log has been read for the first time.
func (k *Keeper) Pending(class policy.Class) (n int, loaded bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Pending(class), k.machine.Loaded()
}

func (k *Keeper) viewAge() time.Duration {
	if !k.machine.Loaded() {
		return math.MaxInt64
	}
	return k.machine.ViewAge(k.clock.Now())
}

// LogRead reports whether the log has been read for the first time, and whether the
// newest read failed.
func (k *Keeper) LogRead() (loaded, failed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Loaded(), k.readFailed
}

// JobStarted reports that the first task of a driven job was started.
func (k *Keeper) JobStarted(job string) { k.post(durable.JobStarted{Job: job}) }

// ClassFound reports the published class of a driven job whose class is not recorded.
func (k *Keeper) ClassFound(job string, class policy.Class) {
	k.post(durable.ClassFound{Job: job, Class: class})
}

// RunFinished reports a finished run.
func (k *Keeper) RunFinished(x entry.RunFinished) {
	k.post(durable.RunFinished{Agent: x.Agent, Run: x.Run, Superseded: x.Superseded})
}

// RunCrashed reports a run under which a worker crashed.
func (k *Keeper) RunCrashed(x entry.RunCrashed) {
	k.post(durable.RunCrashed{Run: x.Run, Crashes: x.Crashes})
}

// RunRepeated reports a lost run whose task was started again.
func (k *Keeper) RunRepeated(x entry.RunRepeated) { k.post(durable.RunRepeated{Run: x.Run}) }

// DriveEnded reports the end of a drive.
func (k *Keeper) DriveEnded(job string, outcome entry.JobOutcome, reason string) {
	k.post(durable.DriveEnded{Job: job, Outcome: outcome, Reason: reason})
}

// post queues an event for the machine. It does not block.
func (k *Keeper) post(ev durable.Event) {
	k.mu.Lock()
	k.inbox = append(k.inbox, ev)
	k.mu.Unlock()
	select {
	case k.notify <- struct{}{}:
	default:
	}
}

// run steps the machine until Close.
func (k *Keeper) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-tick.C:
			k.post(durable.Tick{})
		case <-k.notify:
			k.stepAll()
		}
	}
}

// stepAll steps the machine with all queued events and then carries out the
// resulting actions.
func (k *Keeper) stepAll() {
	k.mu.Lock()
	events := k.inbox
	k.inbox = nil
	var actions []durable.Action
	for _, ev := range events {
		if e, ok := ev.(durable.DriveEnded); ok {
			delete(k.drivenJobs, e.Job)
		}
		actions = append(actions, k.machine.Step(k.clock.Now(), ev)...)
	}
	for _, a := range actions {
		if d, ok := a.(durable.Drive); ok {
			k.drivenJobs[d.Spec.ID] = true
		}
	}
	halted := k.replaceFencedOff()
	k.mu.Unlock()
	for _, a := range actions {
		k.apply(a)
	}
	for _, job := range halted {
		k.opts.Driver.HaltStoredJob(job)
	}
}

// replaceFencedOff starts a new incarnation if another process has taken the
// jobs over. It returns the jobs whose runs must stop.
func (k *Keeper) replaceFencedOff() []string {
	if !k.machine.FencedOff() {
		return nil
	}
	k.opts.Events.Emit(eventlog.KeeperSuperseded, eventlog.Fields{Count: int64(len(k.drivenJobs))})
	var jobs []string
	for job := range k.drivenJobs {
		jobs = append(jobs, job)
	}
	for _, run := range k.machine.UnacknowledgedRuns() {
		k.inbox = append(k.inbox, run)
	}
	for _, r := range k.machine.UnresolvedRequests() {
		if k.awaitsReply(r) {
			k.inbox = append(k.inbox, r)
		}
	}
	if k.leaving {
		k.inbox = append(k.inbox, durable.Leave{})
	}
	k.reset()
	return jobs
}

// awaitsReply reports whether the caller of a request still waits. The caller holds the
// lock.
func (k *Keeper) awaitsReply(r durable.UnresolvedRequest) bool {
	switch x := r.Request.(type) {
	case durable.Submit:
		return k.replies[x.Token] != nil
	case durable.Cancel:
		return k.replies[x.Token] != nil
	}
	return false
}

func (k *Keeper) apply(action durable.Action) {
	switch x := action.(type) {
	case durable.Append:
		k.append(x)
	case durable.Fence:
		k.wg.Go(func() { k.fence(x) })
	case durable.Drive:
		k.opts.Events.Emit(eventlog.StoredJobDriven, eventlog.Fields{
			Job: x.Spec.ID, Class: x.Spec.Class, Count: int64(len(x.Progress)), Version: int64(x.RunBase),
		})
		k.opts.Driver.DriveStoredJob(x)
	case durable.Halt:
		k.opts.Driver.HaltStoredJob(x.Job)
	case durable.LeaseRenewed:
		k.opts.Driver.SetStoredJobLease(x.Until)
	case durable.Acknowledge:
		k.opts.Driver.AcknowledgeStoredRuns(x)
	case durable.Reply:
		k.reply(x)
	case durable.Left:
		k.closeLeft.Do(func() { close(k.left) })
	case durable.Undecodable:
		k.opts.Events.Emit(eventlog.JobRecordUnreadable, eventlog.Fields{Err: x.Err})
	case durable.DrivesRefused:
		k.opts.Events.Emit(eventlog.StoredJobRefused, eventlog.Fields{Job: x.Job, Class: x.Class, Detail: x.Reason})
	case durable.TakenOver:
		k.opts.Events.Emit(eventlog.StoredJobsTakenOver, eventlog.Fields{Peer: x.From.Name, Count: int64(x.Jobs)})
	}
}

func (k *Keeper) reply(x durable.Reply) {
	k.mu.Lock()
	reply := k.replies[x.Token]
	k.mu.Unlock()
	if reply != nil {
		reply <- x.Result
	}
}
