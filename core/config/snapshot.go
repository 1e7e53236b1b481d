package config

import (
	"math/rand/v2"
	"time"
)

// SnapshotRule decides, without an elected leader, when this reader writes a
// snapshot: once what a fresh reader needs is older than a third of the
// retention, it waits a random delay of up to a tenth of the retention, and gives
// up if a snapshot appears.
//
// Two readers that draw delays closer than an append's round trip both write;
// the second snapshot has no effect.
type SnapshotRule struct {
	// Retention is the log's retention.
	Retention time.Duration
	// Rand draws the delay.
	Rand *rand.Rand

	due time.Duration // log time; 0 while none is due
}

// Shares of the retention.
const (
	snapshotAgeShare    = 3
	snapshotSpreadShare = 10
	// minSnapshotSpread is the random delay once two thirds of the retention
	// have passed, for instance in a long outage: then a snapshot is urgent, but
	// the readers must still not all write one.
	minSnapshotSpread = 10 * time.Second
)

// Step takes the current log time and the machine's Basis and reports whether
// to write a snapshot now. After true it draws a new delay before it asks
// again, so that a failed append is repeated.
func (r *SnapshotRule) Step(now, basis time.Duration, hasBasis bool) bool {
	if !hasBasis || now-basis < r.Retention/snapshotAgeShare {
		r.due = 0
		return false
	}
	if r.due == 0 {
		r.due = now + r.delay(now-basis)
	}
	if now < r.due {
		return false
	}
	r.due = now + r.delay(now-basis)
	return true
}

func (r *SnapshotRule) delay(age time.Duration) time.Duration {
	spread := min(r.Retention/snapshotSpreadShare, 2*r.Retention/snapshotAgeShare-age)
	spread = max(spread, minSnapshotSpread)
	return time.Duration(r.Rand.Int64N(int64(spread) + 1))
}
