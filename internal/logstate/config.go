package logstate

import (
	"context"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

func (s *State) applyConfig(b *platformlog.Batch, from int64) {
	before := s.machine.Version()
	for _, r := range b.Records {
		s.machine.Apply(r.Offset, r.Time, r.Body)
	}
	s.configMoved(before, eventlog.ConfigApplied)
	s.reportBlocked()
	s.configGap(b, from)
}

// configGap detects missing records, also when the stream holds none at all.
func (s *State) configGap(b *platformlog.Batch, from int64) {
	_, _, gap := s.machine.Gap()
	gap = gap || len(b.Records) == 0 && from > s.machine.Next()
	s.stream(StreamConfig).gap = gap
}

// askOnGap repeats OnConfigGap until the gap is closed.
func (s *State) askOnGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream(StreamConfig).gap && s.opts.OnConfigGap != nil {
		s.notify.add(s.opts.OnConfigGap)
	}
}

func (s *State) reportBlocked() {
	err := s.machine.Blocked()
	if err != nil && !s.blockedReported {
		s.opts.Events.Emit(eventlog.ConfigBlocked, eventlog.Fields{Err: err})
	}
	s.blockedReported = err != nil
}

// configMoved publishes the state if its version changed.
func (s *State) configMoved(before int64, code eventlog.Code) {
	version := s.machine.Version()
	if version == before {
		return
	}
	s.encoded = s.machine.State().Encode()
	s.opts.Events.Emit(code, eventlog.Fields{Count: version})
	if s.opts.OnConfig == nil {
		return
	}
	settings, encoded := s.machine.State().Settings(), s.encoded
	s.notify.add(func() { s.opts.OnConfig(version, settings, encoded) })
}

// Offer passes on a configuration that a peer holds. It comes into force if
// its version is higher than the one in force. An error means that the peer
// sent something that is not a configuration.
func (s *State) Offer(version int64, encoded []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.Version()
	_, err := s.machine.Adopt(version, encoded)
	s.configMoved(before, eventlog.ConfigAdopted)
	if s.stream(StreamConfig).gap {
		s.config.kick()
	}
	return err
}

// logNow estimates the current log time.
func (s *State) logNow() time.Duration {
	st := s.stream(StreamConfig)
	return st.now + time.Since(st.readAt)
}

// writeSnapshot appends a snapshot if the rule asks for one.
func (s *State) writeSnapshot(rule *config.SnapshotScheduler) {
	id, body, from, due := s.snapshotDue(rule)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, maintenanceTimeout)
	defer cancel()
	pos, err := platformlog.AppendOnce(ctx, s.opts.Log, StreamConfig, id, body, from)
	if err != nil {
		return // the rule asks again
	}
	s.mu.Lock()
	s.counters.Snapshots++
	s.mu.Unlock()
	s.opts.Events.Emit(eventlog.SnapshotTaken, eventlog.Fields{Count: pos.Offset})
}

func (s *State) snapshotDue(rule *config.SnapshotScheduler) (platformlog.RecordID, []byte, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(StreamConfig)
	if !st.reachable || st.next != st.end {
		return platformlog.RecordID{}, nil, 0, false
	}
	basis, ok := s.machine.ReplayStart()
	if !rule.ShouldWrite(s.logNow(), basis, ok) {
		return platformlog.RecordID{}, nil, 0, false
	}
	id := platformlog.NewRecordID()
	body, ok := s.machine.SnapshotBody(config.ID(id))
	return id, body, st.next, ok
}
