package keeper_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/keeper"
)

// appendFault is what a fencingLog does with an append.
type appendFault uint8

const (
	appendAnswered  appendFault = iota
	appendLost                  // neither carried out nor answered
	appendUnheard               // carried out, without an answer
	appendForbidden             // answered as rejected
)

// fencingLog is a log with fences. Like the platform's store it answers "fenced off" to
// every append of a writer that is fenced off, also to the repetition of one that it has
// carried out.
type fencingLog struct {
	mu         sync.Mutex
	fault      appendFault
	faultOn    string // prefix of a key: only appends of such a record have the fault
	unreadable bool
	records    []durable.Record
	appended   map[wire.Incarnation]int64 // number of appends that were carried out, by writer
	fenced     map[wire.Incarnation]bool
	unanswered chan struct{} // closed once an append got no answer
	once       sync.Once
	failedRead chan struct{} // gets a value for each read that fails
}

func newFencingLog() *fencingLog {
	return &fencingLog{
		appended: make(map[wire.Incarnation]int64), fenced: make(map[wire.Incarnation]bool),
		unanswered: make(chan struct{}), failedRead: make(chan struct{}, 1000),
	}
}

var errUnreadable = errors.New("the log cannot be read")

func (l *fencingLog) Newest(context.Context) ([]durable.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadable {
		l.failedRead <- struct{}{}
		return nil, 0, errUnreadable
	}
	var out []durable.Record
	for i, r := range l.records {
		newer := func(other durable.Record) bool { return other.Key == r.Key }
		if len(r.Value) > 0 && !slices.ContainsFunc(l.records[i+1:], newer) {
			out = append(out, r)
		}
	}
	return out, int64(len(l.records)), nil
}

func (l *fencingLog) Read(_ context.Context, from int64, _ time.Duration) (keeper.ReadResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadable {
		l.failedRead <- struct{}{}
		return keeper.ReadResult{}, errUnreadable
	}
	return keeper.ReadResult{Records: slices.Clone(l.records[from:]), Next: int64(len(l.records))}, nil
}

func (l *fencingLog) Append(_ context.Context, writer wire.Incarnation, number int64, records []durable.Record) (keeper.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := appendAnswered
	if slices.ContainsFunc(records, func(r durable.Record) bool { return strings.HasPrefix(r.Key, l.faultOn) }) {
		fault = l.fault
	}
	switch {
	case fault == appendLost:
		return l.noAnswer()
	case l.fenced[writer]:
		return keeper.FencedOff, nil
	case fault == appendForbidden:
		return keeper.Rejected, errors.New("appends are forbidden")
	}
	if number == l.appended[writer] {
		l.appended[writer]++
		for _, r := range records {
			r.Offset = int64(len(l.records))
			l.records = append(l.records, r)
		}
	}
	if fault == appendUnheard {
		return l.noAnswer()
	}
	return keeper.Appended, nil
}

func (l *fencingLog) noAnswer() (keeper.AppendResult, error) {
	l.once.Do(func() { close(l.unanswered) })
	return keeper.NoAnswer, context.DeadlineExceeded
}

func (l *fencingLog) Fence(_ context.Context, writer wire.Incarnation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced[writer] = true
	return nil
}

// setFault sets what happens to appends of a record whose key begins so.
func (l *fencingLog) setFault(f appendFault, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.faultOn = f, key
}

// fenceAll fences off all writers so far. From now on every append has the given fault.
func (l *fencingLog) fenceAll(then appendFault, unreadable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for writer := range l.appended {
		l.fenced[writer] = true
	}
	l.fault, l.faultOn, l.unreadable = then, "", unreadable
}

// count returns the number of records whose key begins so.
func (l *fencingLog) count(prefix string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if strings.HasPrefix(r.Key, prefix) {
			n++
		}
	}
	return n
}

// idleDriver runs nothing.
type idleDriver struct{}

func (idleDriver) DriveStoredJob(durable.Drive)              {}
func (idleDriver) HaltStoredJob(string)                      {}
func (idleDriver) SetStoredJobLease(time.Duration)           {}
func (idleDriver) AcknowledgeStoredRuns(durable.Acknowledge) {}

// startOnFencingLog starts a keeper that has stored job a in the log.
func startOnFencingLog(t *testing.T, log *fencingLog) *keeper.Keeper {
	k := keeper.Start(keeper.Options{
		Name: "vm", Log: log, Driver: idleDriver{}, Clock: bootclock.New(), Events: eventlog.New(zap.NewNop(), "entry", 1),
	})
	t.Cleanup(k.Close)
	for k.Submit(t.Context(), oneTaskJob("a")) != durable.Stored { // refused until the log has been read
		assert.NilError(t, t.Context().Err())
	}
	return k
}

func oneTaskJob(id string) durable.Spec {
	return durable.Spec{ID: id, Class: "c", MaxFailedRuns: 1, Steps: []entry.Step{{Tasks: 1}}}
}

// Guards against a caller that is told "not run" although its job is in the log and runs,
// or that its cancellation had no effect although it is recorded: the answer to the append
// is lost, another process fences this one off, and the log refuses the repetition.
func TestRequestWhoseAnswerWasLostBeforeFenceIsResolvedByReading(t *testing.T) {
	for _, c := range []struct {
		name       string
		attempt    appendFault // of the request, until the fence
		then       appendFault // after the fence
		want       durable.Result
		wantStored bool
	}{
		{"carried out", appendUnheard, appendAnswered, durable.Stored, true},
		{"carried out, then no more appends", appendUnheard, appendForbidden, durable.Stored, true},
		{"never arrived", appendLost, appendAnswered, durable.Stored, true},
		{"never arrived, then no more appends", appendLost, appendForbidden, durable.Unavailable, false},
	} {
		for _, request := range []struct {
			kind, key string
			send      func(k *keeper.Keeper) durable.Result
		}{
			{"submit", "jb", func(k *keeper.Keeper) durable.Result { return k.Submit(t.Context(), oneTaskJob("b")) }},
			{"cancel", "ca", func(k *keeper.Keeper) durable.Result { return k.Cancel(t.Context(), "a") }},
		} {
			t.Run(request.kind+" "+c.name, func(t *testing.T) {
				log := newFencingLog()
				k := startOnFencingLog(t, log)
				log.setFault(c.attempt, request.key)
				result := make(chan durable.Result, 1)
				go func() { result <- request.send(k) }()
				<-log.unanswered
				log.fenceAll(c.then, false)
				assert.Equal(t, <-result, c.want)
				assert.Equal(t, log.count(request.key) > 0, c.wantStored)
			})
		}
	}
}

// Guards against an entry that claims an outcome which it cannot know: it was fenced off
// after an append without an answer, and cannot read the log.
func TestRequestIsNotAnsweredWhileItsOutcomeCannotBeRead(t *testing.T) {
	log := newFencingLog()
	k := startOnFencingLog(t, log)
	log.setFault(appendUnheard, "jb")
	ctx, leave := context.WithCancel(t.Context())
	result := make(chan durable.Result, 1)
	go func() { result <- k.Submit(ctx, oneTaskJob("b")) }()
	<-log.unanswered
	log.fenceAll(appendAnswered, true)
	for range 5 {
		<-log.failedRead
	}
	leave()
	assert.Equal(t, <-result, durable.Result(0))
}

// Guards against a leaving process that is fenced off, forgets that it leaves, and takes
// its jobs over once more while its VM waits for the handover.
func TestFencedOffProcessStillLeaves(t *testing.T) {
	log := newFencingLog()
	k := startOnFencingLog(t, log)
	log.setFault(appendUnheard, "jb")
	result := make(chan durable.Result, 1)
	go func() { result <- k.Submit(t.Context(), oneTaskJob("b")) }()
	<-log.unanswered
	ended, end := context.WithCancel(t.Context())
	end()
	k.Leave(ended) // requests the handover and does not wait for it
	log.fenceAll(appendAnswered, false)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	k.Leave(ctx)
	assert.NilError(t, ctx.Err(), "the handover was not reported")
	assert.Equal(t, <-result, durable.Stored)
	assert.Equal(t, log.count("t"), 0, "the process took jobs over")
}
