package config

import (
	"math/rand/v2"
	"time"
)

// SnapshotScheduler decides when this reader writes a snapshot. The readers need no
// elected leader: once the oldest record that a new reader must replay is older
// than a third of the retention, each reader waits for a random delay of up to a
// tenth of the retention, and cancels if another reader's snapshot appears.
//
// Two readers whose delays differ by less than the round trip of an append both
// write a snapshot; the second one has no effect.
type SnapshotScheduler struct {
	// Retention is the log's retention.
	Retention time.Duration
	// Rand is the source of the random delay.
	Rand *rand.Rand

	due time.Duration // log time of the next snapshot; 0 if none is scheduled
}

// Limits of the age at which a snapshot is written.
const (
	snapshotAgeDivisor    = 3  // a snapshot is due at an age of the retention divided by this
	snapshotJitterDivisor = 10 // greatest random delay: the retention divided by this
	// minSnapshotJitter is the least range of the random delay. It applies once
	// about two thirds of the retention have passed, for instance after a long
	// outage: a snapshot is urgent then, but the readers must still not all write
	// one.
	minSnapshotJitter = 10 * time.Second
)

// ShouldWrite reports whether to write a snapshot now, given the current log time and
// the result of Machine.ReplayStart. After returning true it schedules the next
// attempt with a new delay, so that a failed append is retried.
func (s *SnapshotScheduler) ShouldWrite(now, replayStart time.Duration, hasReplayStart bool) bool {
	if !hasReplayStart || now-replayStart < s.Retention/snapshotAgeDivisor {
		s.due = 0
		return false
	}
	if s.due == 0 {
		s.due = now + s.jitter(now-replayStart)
	}
	if now < s.due {
		return false
	}
	s.due = now + s.jitter(now-replayStart)
	return true
}

// jitter returns a random delay. It ends, if possible, before the age of the oldest
// record to replay reaches two thirds of the retention.
func (s *SnapshotScheduler) jitter(age time.Duration) time.Duration {
	limit := min(s.Retention/snapshotJitterDivisor, 2*s.Retention/snapshotAgeDivisor-age)
	limit = max(limit, minSnapshotJitter)
	return time.Duration(s.Rand.Int64N(int64(limit) + 1))
}
