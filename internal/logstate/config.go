package logstate

import (
	"context"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

// applyConfig applies a batch of the config stream.
func (s *State) applyConfig(b *platformlog.Batch, from int64) {
	oldVersion := s.configMachine.Version()
	for _, r := range b.Records {
		s.configMachine.Apply(r.Offset, r.Time, r.Body)
	}
	s.publishConfig(oldVersion, eventlog.ConfigApplied)
	s.reportBlocked()
	s.updateConfigGap(b, from)
}

// updateConfigGap sets whether records are missing. The stream may have a gap
// even if it holds no record.
func (s *State) updateConfigGap(b *platformlog.Batch, from int64) {
	_, _, gap := s.configMachine.Gap()
	gap = gap || len(b.Records) == 0 && from > s.configMachine.Next()
	s.stream(StreamConfig).gap = gap
}

// notifyConfigGap calls OnConfigGap while the gap is open.
func (s *State) notifyConfigGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream(StreamConfig).gap && s.opts.OnConfigGap != nil {
		s.notify.add(s.opts.OnConfigGap)
	}
}

// reportBlocked emits an event when a record blocks the stream, once per block.
func (s *State) reportBlocked() {
	err := s.configMachine.Blocked()
	if err != nil && !s.blockedReported {
		s.opts.Events.Emit(eventlog.ConfigBlocked, eventlog.Fields{Err: err})
	}
	s.blockedReported = err != nil
}

// publishConfig emits an event with the given code and calls OnConfig, unless the
// version of the configuration is still oldVersion.
func (s *State) publishConfig(oldVersion int64, code eventlog.Code) {
	version := s.configMachine.Version()
	if version == oldVersion {
		return
	}
	s.encoded = s.configMachine.State().Encode()
	s.opts.Events.Emit(code, eventlog.Fields{Count: version})
	if s.opts.OnConfig == nil {
		return
	}
	settings, encoded := s.configMachine.State().Settings(), s.encoded
	s.notify.add(func() { s.opts.OnConfig(version, settings, encoded) })
}

// OfferConfig passes in a configuration received from a peer. It takes effect if its
// version is higher than the current one. An error means that encoded is not a valid
// configuration of that version.
func (s *State) OfferConfig(version int64, encoded []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldVersion := s.configMachine.Version()
	_, err := s.configMachine.Adopt(version, encoded)
	s.publishConfig(oldVersion, eventlog.ConfigAdopted)
	if s.stream(StreamConfig).gap {
		s.configFollower.interrupt()
	}
	return err
}

// estimatedLogTime extrapolates the current log time from the last read of the
// config stream.
func (s *State) estimatedLogTime() time.Duration {
	st := s.stream(StreamConfig)
	return st.now + time.Since(st.readAt)
}

// writeSnapshot appends a snapshot if one is due.
func (s *State) writeSnapshot(scheduler *config.SnapshotScheduler) {
	id, body, from, due := s.snapshotDue(scheduler)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, maintenanceTimeout)
	defer cancel()
	pos, err := platformlog.AppendWithRetry(ctx, s.opts.Log, StreamConfig, id, body, from)
	if err != nil {
		return // the scheduler triggers another attempt
	}
	s.mu.Lock()
	s.counters.Snapshots++
	s.mu.Unlock()
	s.opts.Events.Emit(eventlog.SnapshotTaken, eventlog.Fields{Count: pos.Offset})
}

// snapshotDue reports whether this entry should write a snapshot now. If so, it
// returns the record's ID and body and a lower bound of its offset.
func (s *State) snapshotDue(scheduler *config.SnapshotScheduler) (platformlog.RecordID, []byte, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(StreamConfig)
	if !st.reachable || st.next != st.end {
		return platformlog.RecordID{}, nil, 0, false
	}
	replayStart, ok := s.configMachine.ReplayStart()
	if !scheduler.ShouldWrite(s.estimatedLogTime(), replayStart, ok) {
		return platformlog.RecordID{}, nil, 0, false
	}
	id := platformlog.NewRecordID()
	body, ok := s.configMachine.SnapshotBody(config.ID(id))
	return id, body, st.next, ok
}
