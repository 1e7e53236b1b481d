// Package platformlog defines the interface to the platform's append-only log
// and provides an HTTP client for it.
//
// The log guarantees the following: the offsets of a stream are contiguous and
// start at 0; log time never decreases along a stream; records older than the
// retention are removed, oldest first. An append whose reply was lost may have
// taken effect or may still take effect later. The log does not deduplicate
// appends.
package platformlog

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// Limits of the log.
const (
	// MaxRecordBytes is the largest record body.
	MaxRecordBytes = 1 << 20
	// MaxBatchRecords is the largest number of records in one read.
	MaxBatchRecords = 4096
	// MaxBatchBytes is the largest total size of the bodies in one read. A
	// first record that is larger is still returned.
	MaxBatchBytes = 4 << 20
	// MaxWait is the longest long poll.
	MaxWait = 30 * time.Second
)

// RecordID identifies a record and is chosen by the appender. Every attempt to
// append the same record uses the same ID.
type RecordID [16]byte

// NewRecordID returns a random ID.
func NewRecordID() RecordID {
	var id RecordID
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return id
}

// String returns the ID as 32 hexadecimal digits.
func (id RecordID) String() string { return hex.EncodeToString(id[:]) }

// ParseRecordID parses the form returned by String.
func ParseRecordID(text string) (RecordID, error) {
	var id RecordID
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("record id %q: want %d hexadecimal digits", text, 2*len(id))
	}
	copy(id[:], b)
	return id, nil
}

// Record is one record of a stream.
type Record struct {
	Offset int64
	Time   time.Duration // log time since 1970, microsecond resolution
	ID     RecordID
	Body   []byte
}

// Position is the offset and log time of an appended record.
type Position struct {
	Offset int64
	Time   time.Duration // log time since 1970
}

// ReadRequest requests the records of a stream from an offset on.
type ReadRequest struct {
	Stream string
	// From is the first offset to read; FromOldest means the oldest retained.
	From int64
	// Max bounds the number of records; 0 means MaxBatchRecords.
	Max int
	// Wait is how long to wait for a record if there is none, at most MaxWait.
	Wait time.Duration
}

// FromOldest, as ReadRequest.From, starts at the oldest retained record.
const FromOldest = -1

// Batch is the reply to a read.
type Batch struct {
	Records []Record
	Oldest  int64         // oldest retained offset; equals Next if no record is retained
	Next    int64         // offset of the next append
	Now     time.Duration // log time since 1970
}

// Log is the platform's log.
type Log interface {
	// Append appends one record. If the error is Unavailable, Throttled or Invalid,
	// the record was not and will not be appended by this call. If it is
	// OutcomeUnknown, the record may have been appended or may still be.
	Append(ctx context.Context, stream string, id RecordID, body []byte) (Position, error)
	// Read returns records in order of offset. The error is Unavailable, Throttled,
	// Invalid, or ExpiredOffset if From is below the oldest retained offset.
	Read(ctx context.Context, req ReadRequest) (Batch, error)
}

// Error types. Test for them with errorx.IsOfType.
var (
	namespace = errorx.NewNamespace("platformlog")
	// Unavailable: the log did not serve the request, which had no effect.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Throttled: the log's rate limit rejected the request, which had no effect.
	Throttled = namespace.NewType("throttled", errorx.Temporary())
	// OutcomeUnknown: the append may have taken effect or may still do so.
	OutcomeUnknown = namespace.NewType("outcome_unknown")
	// ExpiredOffset: the record at the requested offset is no longer retained.
	ExpiredOffset = namespace.NewType("expired_offset")
	// Invalid: the request or the reply violates the log's contract.
	Invalid = namespace.NewType("invalid")

	oldestProperty     = errorx.RegisterPrintableProperty("oldest")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// NewExpiredOffset returns an ExpiredOffset error for a read from offset from.
func NewExpiredOffset(from, oldest int64) error {
	return ExpiredOffset.New("offset %d has expired", from).WithProperty(oldestProperty, oldest)
}

// OldestOffset returns the oldest retained offset carried by an ExpiredOffset error,
// or false if err carries none.
func OldestOffset(err error) (int64, bool) {
	v, ok := errorx.ExtractProperty(err, oldestProperty)
	if !ok {
		return 0, false
	}
	oldest, ok := v.(int64)
	return oldest, ok
}

// NewThrottled returns a Throttled error that carries the delay before a retry.
func NewThrottled(retryAfter time.Duration) error {
	return Throttled.New("rate limit exceeded").WithProperty(retryAfterProperty, retryAfter)
}

// RetryAfter returns the delay carried by a Throttled error, or 0.
func RetryAfter(err error) time.Duration {
	if v, ok := errorx.ExtractProperty(err, retryAfterProperty); ok {
		if d, ok := v.(time.Duration); ok {
			return d
		}
	}
	return 0
}
