package keeper_test

import (
	"context"
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

// unansweredLog does not answer the first attempt of the first append.
type unansweredLog struct {
	clock    bootclock.Clock
	mu       sync.Mutex
	attempts []time.Duration // when each attempt of the first append was made
	records  []durable.Record
}

func (l *unansweredLog) Newest(context.Context) ([]durable.Record, int64, error) { return nil, 0, nil }

func (l *unansweredLog) Read(_ context.Context, from int64, _ time.Duration) (keeper.ReadResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return keeper.ReadResult{Records: l.records[from:], Next: int64(len(l.records))}, nil
}

func (l *unansweredLog) Append(_ context.Context, _ wire.Incarnation, number int64, records []durable.Record) (keeper.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number == 0 {
		l.attempts = append(l.attempts, l.clock.Now())
		if len(l.attempts) == 1 {
			return keeper.NoAnswer, context.DeadlineExceeded
		}
	}
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
	return keeper.Appended, nil
}

func (l *unansweredLog) Fence(context.Context, wire.Incarnation) error { return nil }

// leaseDriver passes on the leases that it is given.
type leaseDriver struct{ until chan time.Duration }

func (d *leaseDriver) DriveStoredJob(durable.Drive) {}

func (d *leaseDriver) HaltStoredJob(string) {}

func (d *leaseDriver) SetStoredJobLease(until time.Duration) {
	select {
	case d.until <- until:
	default: // only the first one matters
	}
}

func (d *leaseDriver) AcknowledgeStoredRuns(durable.Acknowledge) {}

var (
	_ keeper.Log    = (*unansweredLog)(nil)
	_ keeper.Driver = (*leaseDriver)(nil)
)

// Guards against an owner that starts tasks beyond its lease: an append without an
// answer may have been carried out, so the lease counts from its first attempt.
func TestLeaseCountsFromFirstAttemptOfAppend(t *testing.T) {
	log := &unansweredLog{clock: bootclock.New()}
	driver := &leaseDriver{until: make(chan time.Duration, 1)}
	k := keeper.Start(keeper.Options{
		Name: "vm", Log: log, Driver: driver, Clock: log.clock, Events: eventlog.New(zap.NewNop(), "entry", 1),
	})
	defer k.Close()
	spec := durable.Spec{ID: "j", Class: "c", MaxFailedRuns: 1, Steps: []entry.Step{{Tasks: 1}}}
	for k.Submit(t.Context(), spec) != durable.Stored { // refused until the log has been read
		assert.NilError(t, t.Context().Err())
	}
	until := <-driver.until
	log.mu.Lock()
	defer log.mu.Unlock()
	assert.Equal(t, len(log.attempts), 2)
	assert.Assert(t, until <= log.attempts[0]+durable.DefaultLease,
		"the lease lasts until %v, the first attempt was made at %v", until, log.attempts[0])
}
