// Package claims implements the table of claimed request keys as a replicated
// state machine over the records of one log stream. Every reader that applies the
// same records gets the same table.
//
// Safety rule: an entry may start the work of a claim only if its own table,
// built from the log, returned Won for exactly that submission, and the entry had
// not abandoned the claim before it read that record. A claim that wins after its
// entry abandoned it stays with that entry until the entry releases it or it
// expires. Nobody may start the work in between. Abandoned claims are reported by
// the event claim_given_up.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Hash identifies a key within a team: SHA-256 truncated to 128 bits. The
// probability that any two of a million live keys collide is below 2^-88.
type Hash [16]byte

// KeyHash hashes a team and a key. The hash input starts with the length of the
// team, so that different pairs have different inputs.
func KeyHash(team, key string) Hash {
	buf := make([]byte, 0, binary.MaxVarintLen64+len(team)+len(key))
	buf = binary.AppendUvarint(buf, uint64(len(team)))
	buf = append(buf, team...)
	buf = append(buf, key...)
	sum := sha256.Sum256(buf)
	return Hash(sum[:16])
}

// MaxKeyBytes bounds the length of a caller's key.
const MaxKeyBytes = 256

// maxCreatedMillis keeps creation times within the range of time.Duration, with
// room for adding the window and the skew.
const maxCreatedMillis = int64(1)<<62/int64(time.Millisecond) - 1

// CreatedAt parses a key of the form "<unix milliseconds>-<unique text>" and
// returns its creation time since 1970. Any other key is an error.
func CreatedAt(key string) (time.Duration, error) {
	millis, suffix, ok := strings.Cut(key, "-")
	if !ok || suffix == "" || len(key) > MaxKeyBytes {
		return 0, fmt.Errorf("key: want <unix milliseconds>-<unique text> of at most %d bytes", MaxKeyBytes)
	}
	ms, err := strconv.ParseUint(millis, 10, 63)
	if err != nil || int64(ms) > maxCreatedMillis {
		return 0, fmt.Errorf("key: %q is not a time in unix milliseconds", millis)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Format is the version of the record encoding.
const Format = 1

// Limits of one record.
const (
	// MaxPerRecord bounds the number of claims and, separately, of releases of
	// one record, so that a record stays under 256 KiB.
	MaxPerRecord = 2048
	maxPeerBytes = 64
)

// Claim requests exclusive ownership of a key for a submission.
type Claim struct {
	_             struct{} `cbor:",toarray"`
	Hash          Hash
	CreatedMillis int64 // creation time stated in the key, since 1970
	Submission    wire.SubmissionID
}

// Release releases a claim held by the entry that appended the record.
type Release struct {
	_          struct{} `cbor:",toarray"`
	Hash       Hash
	Submission wire.SubmissionID
}

// Record is the body of one log record of the stream, appended by one entry.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Format   uint32
	Entry    wire.Incarnation
	Peer     string // address of the entry's peer listener, IP:port
	Claims   []Claim
	Releases []Release
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: MaxPerRecord,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the record's body.
func (r *Record) Encode() ([]byte, error) {
	r.Format = Format
	return cbor.Marshal(r)
}

// Decode parses and validates a record body.
func Decode(body []byte) (*Record, error) {
	var r Record
	if err := decMode.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("claims record: %w", err)
	}
	switch {
	case r.Format != Format:
		return nil, fmt.Errorf("claims record: format %d, want %d", r.Format, Format)
	case r.Entry == 0:
		return nil, fmt.Errorf("claims record: entry incarnation is 0")
	case len(r.Peer) > maxPeerBytes:
		return nil, fmt.Errorf("claims record: peer address of %d bytes, at most %d", len(r.Peer), maxPeerBytes)
	}
	for _, c := range r.Claims {
		if c.CreatedMillis < 0 || c.CreatedMillis > maxCreatedMillis {
			return nil, fmt.Errorf("claims record: creation time %d ms is out of range", c.CreatedMillis)
		}
	}
	return &r, nil
}
