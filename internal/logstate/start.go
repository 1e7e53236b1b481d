package logstate

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/limpettrail/limpettrail/platformlog"
)

// claimsStartOffset returns the offset at which a new reader of the claims
// stream starts: that of the last record older than the lifetime of a claim.
// Records before it have no effect, and reading a day of records at the full
// rate would take minutes. The log has no index by time, so the offset is found
// by binary search, which takes about 25 reads of one record for a day at 300
// records a second.
func (s *State) claimsStartOffset() (int64, error) {
	b, err := s.readOne(platformlog.FromOldest)
	if err != nil || len(b.Records) == 0 {
		return 0, err
	}
	limit := b.Now - s.table.Options().ClaimTTL()
	lo, hi := b.Oldest, b.Next // records below lo are older than limit, those from hi on are not
	for lo < hi {
		mid := lo + (hi-lo)/2
		at, err := s.recordTime(mid)
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
		return 0, nil // the follower skips to the oldest record
	}
	return lo - 1, nil
}

// recordTime returns the log time of a record. It returns 0 for a record that
// has expired in the meantime, so that it counts as older than any other.
func (s *State) recordTime(offset int64) (time.Duration, error) {
	b, err := s.readOne(offset)
	switch {
	case errorx.IsOfType(err, platformlog.ExpiredOffset):
		return 0, nil
	case err != nil:
		return 0, err
	case len(b.Records) == 0:
		return 0, errStreamRegressed
	}
	return b.Records[0].Time, nil
}

func (s *State) readOne(from int64) (platformlog.Batch, error) {
	return s.opts.Log.Read(s.ctx, platformlog.ReadRequest{Stream: StreamClaims, From: from, Max: 1})
}
