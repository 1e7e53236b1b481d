package logstate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/platformlog"
)

const (
	presenceFormat = 1
	// presenceRenewals is the number of presence records that an entry writes
	// per retention period. With 3, two successive renewals can fail before new
	// readers no longer find the entry.
	presenceRenewals = 3
	maxZoneBytes     = 64
	maxAddrBytes     = 64
	// maxPresences is the maximum number of entries kept. A hello carries at
	// most wire.MaxKnownEntries of them.
	maxPresences = 4 * wire.MaxKnownEntries
)

// presenceRecord is the body of a record of the entries stream.
type presenceRecord struct {
	_      struct{} `cbor:",toarray"`
	Format uint32
	Addr   wire.EntryAddr
}

// presence is the newest presence record of one peer address.
type presence struct {
	addr wire.EntryAddr
	at   time.Duration // log time
}

var presenceDecMode = newPresenceDecMode()

func newPresenceDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 16, MaxNestedLevels: 4,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encodePresence(a wire.EntryAddr) ([]byte, error) {
	return cbor.Marshal(presenceRecord{Format: presenceFormat, Addr: a})
}

func decodePresence(body []byte) (wire.EntryAddr, error) {
	var r presenceRecord
	if err := presenceDecMode.Unmarshal(body, &r); err != nil {
		return wire.EntryAddr{}, fmt.Errorf("presence record: %w", err)
	}
	a := r.Addr
	if r.Format != presenceFormat || a.Incarnation == 0 || a.Peer == "" || len(a.Peer) > maxAddrBytes || len(a.Zone) > maxZoneBytes {
		return wire.EntryAddr{}, errors.New("presence record: want the known format, a nonzero incarnation, and a peer address and a zone within their length limits")
	}
	return a, nil
}

// applyEntries keeps the newest record of each address and drops records older
// than the retention. The list is only a hint: the address of a dead entry does
// no harm.
func (s *State) applyEntries(b *platformlog.Batch, _ int64) {
	before := s.entryList()
	for _, r := range b.Records {
		if a, err := decodePresence(r.Body); err == nil {
			s.entries[a.Peer] = presence{addr: a, at: r.Time}
		}
	}
	for peer, p := range s.entries {
		if p.at < b.Now-s.opts.Retention {
			delete(s.entries, peer)
		}
	}
	s.evictOldestEntries()
	after := s.entryList()
	if s.opts.OnEntries != nil && !slices.Equal(before, after) {
		s.notify.add(func() { s.opts.OnEntries(after) })
	}
}

// evictOldestEntries keeps the newest maxPresences entries.
func (s *State) evictOldestEntries() {
	for len(s.entries) > maxPresences {
		var oldest string
		for peer, p := range s.entries {
			if o := s.entries[oldest]; oldest == "" || p.at < o.at || p.at == o.at && peer < oldest {
				oldest = peer
			}
		}
		delete(s.entries, oldest)
	}
}

// entryList returns the most recently announced entries, at most
// wire.MaxKnownEntries, ordered by address.
func (s *State) entryList() []wire.EntryAddr {
	all := make([]presence, 0, len(s.entries))
	for _, p := range s.entries {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b presence) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.addr.Peer, b.addr.Peer))
	})
	all = all[:min(len(all), wire.MaxKnownEntries)]
	out := make([]wire.EntryAddr, len(all))
	for i, p := range all {
		out[i] = p.addr
	}
	slices.SortFunc(out, func(a, b wire.EntryAddr) int { return cmp.Compare(a.Peer, b.Peer) })
	return out
}

// Entries returns the known entries.
func (s *State) Entries() []wire.EntryAddr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entryList()
}

// presenceSchedule determines when this entry writes its next presence record.
type presenceSchedule struct {
	interval  time.Duration
	nextWrite time.Time
}

// writePresence appends a presence record if one is due. An entry without a peer
// address writes none.
func (s *State) writePresence(p *presenceSchedule) {
	if s.opts.PeerAddr == "" || time.Now().Before(p.nextWrite) {
		return
	}
	body, err := encodePresence(wire.EntryAddr{Incarnation: s.opts.Incarnation, Peer: s.opts.PeerAddr, Zone: s.opts.Zone})
	if err != nil {
		panic("logstate: encode presence record: " + err.Error())
	}
	s.mu.Lock()
	from := s.stream(StreamEntries).next
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, maintenanceTimeout)
	defer cancel()
	if _, err := platformlog.AppendWithRetry(ctx, s.opts.Log, StreamEntries, platformlog.NewRecordID(), body, from); err != nil {
		return // retried at the next tick
	}
	p.nextWrite = time.Now().Add(p.interval)
	s.mu.Lock()
	s.counters.Presences++
	s.mu.Unlock()
	s.opts.Events.Emit(eventlog.PresenceWritten, eventlog.Fields{Peer: s.opts.PeerAddr})
}
