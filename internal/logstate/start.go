package logstate

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/limpettrail/limpettrail/platformlog"
)

// claimsStart returns the offset at which a fresh reader of the claims stream
// starts: the last record older than the life of a claim. Older records cannot
// decide anything, and reading a day of them at full rate would take minutes.
// The log has no index by time, so the offset is found by bisection, in about
// 25 reads of one record for a day at 300 records a second.
func (s *State) claimsStart() (int64, error) {
	b, err := s.readOne(platformlog.FromOldest)
	if err != nil || len(b.Records) == 0 {
		return 0, err
	}
	limit := b.Now - s.table.Options().ClaimTTL()
	lo, hi := b.Oldest, b.Next // records below lo are older than limit, at hi and above not
	for lo < hi {
		mid := lo + (hi-lo)/2
		at, err := s.timeOf(mid)
		if err != nil {
			return 0, err
		}
		if at < limit {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == b.Oldest {
		return 0, nil // the follower finds the oldest record by itself
	}
	return lo - 1, nil
}

// timeOf returns the log time of a record; one that has expired since counts
// as older than any.
func (s *State) timeOf(offset int64) (time.Duration, error) {
	b, err := s.readOne(offset)
	switch {
	case errorx.IsOfType(err, platformlog.ExpiredOffset):
		return 0, nil
	case err != nil:
		return 0, err
	case len(b.Records) == 0:
		return 0, errRegressed
	}
	return b.Records[0].Time, nil
}

func (s *State) readOne(from int64) (platformlog.Batch, error) {
	return s.opts.Log.Read(s.ctx, platformlog.ReadRequest{Stream: StreamClaims, From: from, Max: 1})
}
