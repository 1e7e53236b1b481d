package platformlog_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, opts logserver.Options) (*logserver.Server, *platformlog.Client) {
	t.Helper()
	opts.Listen = "127.0.0.1:0"
	s, err := logserver.Start(opts)
	assert.NilError(t, err)
	c := platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.URL(), Timeout: 20 * time.Second, ReadTimeout: 20 * time.Second})
	t.Cleanup(func() {
		s.Close()
		c.Close()
	})
	return s, c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func assertType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	assert.Assert(t, errorx.IsOfType(err, want), "got %v, want %s", err, want.FullName())
}

// Guards against offsets, IDs, times or bodies that are changed in transit.
func TestRecordsAreReadBackAsAppended(t *testing.T) {
	_, c := start(t, logserver.Options{})
	ctx := testContext(t)
	id := platformlog.NewRecordID()
	pos, err := c.Append(ctx, "s", id, []byte{0, 255})
	assert.NilError(t, err)
	b, err := c.Read(ctx, platformlog.ReadRequest{Stream: "s", From: platformlog.FromOldest})
	assert.NilError(t, err)
	assert.DeepEqual(t, b.Records, []platformlog.Record{{Offset: 0, Time: pos.Time, ID: id, Body: []byte{0, 255}}})
	assert.Equal(t, b.Next, int64(1))
	assert.Assert(t, b.Now >= pos.Time)
}

// Guards against a long poll that misses a record appended while it waits.
func TestLongPollReturnsTheNextRecord(t *testing.T) {
	_, c := start(t, logserver.Options{})
	ctx := testContext(t)
	got := make(chan platformlog.Batch, 1)
	go func() {
		b, _ := c.Read(ctx, platformlog.ReadRequest{Stream: "s", Wait: platformlog.MaxWait})
		got <- b
	}()
	_, err := c.Append(ctx, "s", platformlog.NewRecordID(), nil)
	assert.NilError(t, err)
	assert.Equal(t, len((<-got).Records), 1)
}

// Guards against appending a record twice after the reply to the first append was
// lost.
func TestLostReplyDoesNotDuplicateTheRecord(t *testing.T) {
	s, c := start(t, logserver.Options{})
	s.SetFaults(logserver.Faults{LoseReplies: 1})
	pos, err := platformlog.AppendWithRetry(testContext(t), c, "s", platformlog.NewRecordID(), []byte("x"), 0)
	assert.NilError(t, err)
	assert.Equal(t, pos.Offset, int64(0))
	assert.Equal(t, len(s.Records("s")), 1)
}

// Guards against an append that is not retried although it never took effect.
func TestLostRequestIsRetried(t *testing.T) {
	s, c := start(t, logserver.Options{})
	s.SetFaults(logserver.Faults{LoseRequests: 2})
	_, err := platformlog.AppendWithRetry(testContext(t), c, "s", platformlog.NewRecordID(), []byte("x"), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Records("s")), 1)
}

// Guards against an unknown outcome that is reported as a failure without effect
// because the log is unavailable afterwards.
func TestOutcomeStaysUnknownAfterLaterFailures(t *testing.T) {
	s, c := start(t, logserver.Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	s.SetFaults(logserver.Faults{LateAppends: 1, LateByMillis: 600_000})
	_, err := c.Append(ctx, "s", platformlog.NewRecordID(), nil)
	assertType(t, err, platformlog.OutcomeUnknown)
	s.SetFaults(logserver.Faults{Outage: true})
	_, err = platformlog.ResolveAppend(ctx, c, "s", platformlog.NewRecordID(), nil, 0, err)
	assertType(t, err, platformlog.OutcomeUnknown)
}

// failingLog is a Log whose first append has an unknown outcome and whose other
// appends are refused. The second append cancels the context.
type failingLog struct {
	appends int
	cancel  context.CancelFunc
}

func (f *failingLog) Append(context.Context, string, platformlog.RecordID, []byte) (platformlog.Position, error) {
	f.appends++
	if f.appends == 1 {
		return platformlog.Position{}, platformlog.OutcomeUnknown.New("connection lost")
	}
	f.cancel()
	return platformlog.Position{}, platformlog.Unavailable.New("outage")
}

func (f *failingLog) Read(context.Context, platformlog.ReadRequest) (platformlog.Batch, error) {
	return platformlog.Batch{}, nil
}

// Guards against a retry that failed without effect and hides that the first
// attempt may still take effect.
func TestRefusedRetryLeavesOutcomeUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := &failingLog{cancel: cancel}
	_, err := platformlog.AppendWithRetry(ctx, log, "s", platformlog.NewRecordID(), nil, 0)
	assert.Equal(t, log.appends, 2)
	assertType(t, err, platformlog.OutcomeUnknown)
}

// Guards against failures without effect that are reported as unknown outcomes,
// and vice versa.
func TestErrorTypeTellsWhetherAppendHadEffect(t *testing.T) {
	s, c := start(t, logserver.Options{})
	ctx := testContext(t)
	id := platformlog.NewRecordID()
	s.SetFaults(logserver.Faults{Outage: true})
	_, err := c.Append(ctx, "s", id, nil)
	assertType(t, err, platformlog.Unavailable)
	_, err = c.Read(ctx, platformlog.ReadRequest{Stream: "s"})
	assertType(t, err, platformlog.Unavailable)
	s.SetFaults(logserver.Faults{Unresponsive: true})
	shortTimeout := platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.URL(), Timeout: 100 * time.Millisecond, ReadTimeout: 100 * time.Millisecond})
	defer shortTimeout.Close()
	_, err = shortTimeout.Append(ctx, "s", id, nil)
	assertType(t, err, platformlog.OutcomeUnknown)
	_, err = shortTimeout.Read(ctx, platformlog.ReadRequest{Stream: "s", Wait: time.Millisecond})
	assertType(t, err, platformlog.Unavailable)
	s.SetFaults(logserver.Faults{})
	_, err = c.Append(ctx, "s", id, make([]byte, platformlog.MaxRecordBytes+1))
	assertType(t, err, platformlog.Invalid)

	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	free.Close()
	unreachable := platformlog.NewClient(platformlog.ClientOptions{BaseURL: "http://" + free.Addr().String()})
	_, err = unreachable.Append(ctx, "s", id, nil)
	assertType(t, err, platformlog.Unavailable)
}

// Guards against a client that silently skips expired records.
func TestExpiredOffsetErrorCarriesOldestOffset(t *testing.T) {
	s, c := start(t, logserver.Options{})
	ctx := testContext(t)
	for range 5 {
		_, err := c.Append(ctx, "s", platformlog.NewRecordID(), nil)
		assert.NilError(t, err)
	}
	s.ExpireBelow("s", 3)
	_, err := c.Read(ctx, platformlog.ReadRequest{Stream: "s", From: 2})
	assertType(t, err, platformlog.ExpiredOffset)
	oldest, ok := platformlog.OldestOffset(err)
	assert.Assert(t, ok)
	assert.Equal(t, oldest, int64(3))
	s.AdvanceLogTime(logserver.DefaultRetention + time.Hour)
	b, err := c.Read(ctx, platformlog.ReadRequest{Stream: "s", From: 5})
	assert.NilError(t, err)
	assert.Equal(t, b.Oldest, int64(5))
}

// Guards against a client that treats the log's rate limit as a failure.
func TestThrottledAppendIsRetried(t *testing.T) {
	_, c := start(t, logserver.Options{AppendsPerSecond: 0.001})
	ctx := testContext(t)
	_, err := c.Append(ctx, "s", platformlog.NewRecordID(), nil) // takes the only token
	assert.NilError(t, err)
	_, err = c.Append(ctx, "s", platformlog.NewRecordID(), nil)
	assertType(t, err, platformlog.Throttled)
	assert.Assert(t, platformlog.RetryAfter(err) > 0)

	s, c := start(t, logserver.Options{AppendsPerSecond: 5})
	for range 3 {
		_, err = platformlog.AppendWithRetry(ctx, c, "s", platformlog.NewRecordID(), nil, 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(s.Records("s")), 3)
}

// Guards against a reply to a read that contains a whole backlog.
func TestReadsAreBounded(t *testing.T) {
	_, c := start(t, logserver.Options{AppendsPerSecond: -1, AppendDelay: -1})
	ctx := testContext(t)
	for range 6 {
		_, err := c.Append(ctx, "s", platformlog.NewRecordID(), make([]byte, platformlog.MaxRecordBytes))
		assert.NilError(t, err)
	}
	b, err := c.Read(ctx, platformlog.ReadRequest{Stream: "s"})
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records), platformlog.MaxBatchBytes/platformlog.MaxRecordBytes)
	b, err = c.Read(ctx, platformlog.ReadRequest{Stream: "s", Max: 2})
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records), 2)
}
