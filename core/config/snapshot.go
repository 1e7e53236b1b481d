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

// Divisors of the retention, and a lower bound.
const (
	snapshotAgeDivisor    = 3
	snapshotJitterDivisor = 10
	// minSnapshotJitter is the least range of the random delay. It applies once
	// about two thirds of the retention have passed, for instance after a long
	// outage: a snapshot is urgent then, but the readers must still not all write
	// one.
	minSnapshotJitter = 10 * time.Second
)

// ShouldWrite reports whether to write a snapshot now, given the current log time and
// the result of Machine.ReplayStart. After returning true it schedules the next
// attempt with a new delay, so that a failed append is retried.
func (r *SnapshotScheduler) ShouldWrite(now, replayStart time.Duration, hasReplayStart bool) bool {
	if !hasReplayStart || now-replayStart < r.Retention/snapshotAgeDivisor {
		r.due = 0
		return false
	}
	if r.due == 0 {
		r.due = now + r.jitter(now-replayStart)
	}
	if now < r.due {
		return false
	}
	r.due = now + r.jitter(now-replayStart)
	return true
}

func (r *SnapshotScheduler) jitter(age time.Duration) time.Duration {
	limit := min(r.Retention/snapshotJitterDivisor, 2*r.Retention/snapshotAgeDivisor-age)
	limit = max(limit, minSnapshotJitter)
	return time.Duration(r.Rand.Int64N(int64(limit) + 1))
}
