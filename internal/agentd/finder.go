package agentd

import (
	"slices"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

const (
	// failingDials is how many dials in a row must fail before further entries
	// are linked in the place of an unreachable one.
	failingDials = 3
	// forgetEntryAfter is how long a listed entry may be unreachable before it
	// is dropped from the list. A live entry that lists it brings it back.
	forgetEntryAfter = time.Minute
)

// finder decides which addresses are dialled. It learns entries from hellos and
// frames, and runs one dial loop for each address that is a seed, belongs to a
// chosen entry, or was linked before (attempts may still be open there).
type finder struct {
	agent *Agent
	mu    sync.Mutex
	known []wire.EntryAddr // listed by entries, at most wire.MaxKnownEntries
	// listed holds, by address, the running number of the list that named a
	// known entry last.
	listed map[string]uint64
	lists  uint64
	loops  map[string]*dialState
	links  map[wire.Incarnation]wire.Epoch // connected
	empty  chan struct{}                   // closed when links is empty; nil if nobody waits
}

// dialState is what is known of one dialled address.
type dialState struct {
	seed    bool
	entry   wire.Incarnation // reached at the last connection, 0 if none
	failed  int              // dials that failed in a row
	failing time.Time        // when the first of them failed
	retired bool             // given up in favour of others
}

func newFinder(a *Agent) *finder {
	return &finder{
		agent:  a,
		listed: make(map[string]uint64),
		loops:  make(map[string]*dialState),
		links:  make(map[wire.Incarnation]wire.Epoch),
	}
}

// refresh starts the dial loops that are missing.
func (f *finder) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range f.agent.opts.Entries {
		f.dialLocked(addr, true)
	}
	for _, e := range f.chosenLocked() {
		f.dialLocked(e.Peer, false)
	}
}

func (f *finder) dialLocked(addr string, seed bool) {
	if f.loops[addr] != nil || f.agent.ctx.Err() != nil {
		return
	}
	f.loops[addr] = &dialState{seed: seed}
	f.agent.goDuty(func() { f.agent.dialLoop(addr) })
}

// chosenLocked returns the subset of all known entries, and the subset of the
// reachable ones, which replaces those that are down.
func (f *finder) chosenLocked() []wire.EntryAddr {
	o := &f.agent.opts
	chosen := chooseEntries(o.Name, o.Zone, f.known)
	reachable := slices.DeleteFunc(slices.Clone(f.known), func(e wire.EntryAddr) bool {
		s := f.loops[e.Peer]
		return s != nil && s.failed >= failingDials
	})
	return append(chosen, chooseEntries(o.Name, o.Zone, reachable)...)
}

// learn merges a list of entries and starts to dial those that are chosen.
func (f *finder) learn(entries []wire.EntryAddr) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	f.lists++
	for _, e := range entries {
		f.learnLocked(e)
	}
	f.mu.Unlock()
	f.refresh()
}

func (f *finder) learnLocked(e wire.EntryAddr) {
	if e.Peer == "" || e.Incarnation == 0 {
		return
	}
	i := slices.IndexFunc(f.known, func(k wire.EntryAddr) bool { return k.Peer == e.Peer })
	if i >= 0 && !f.linkedLocked(f.known[i].Incarnation) {
		f.known[i] = e // an entry that restarted at the same address
	}
	if i < 0 {
		if len(f.known) >= wire.MaxKnownEntries && !f.dropOldestLocked() {
			return
		}
		f.known = append(f.known, e)
	}
	f.listed[e.Peer] = f.lists
}

// dropOldestLocked makes room for a new entry. Entries that are not dialled are
// never found unreachable, so dead ones would otherwise fill the list.
func (f *finder) dropOldestLocked() bool {
	oldest := -1
	for i, e := range f.known {
		if f.loops[e.Peer] != nil || f.listed[e.Peer] == f.lists {
			continue
		}
		if oldest < 0 || f.listed[e.Peer] < f.listed[f.known[oldest].Peer] {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	f.dropLocked(f.known[oldest].Peer)
	return true
}

func (f *finder) dropLocked(addr string) {
	delete(f.listed, addr)
	f.known = slices.DeleteFunc(f.known, func(e wire.EntryAddr) bool { return e.Peer == addr })
}

// entries returns a copy of the list for a hello.
func (f *finder) entries() []wire.EntryAddr {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.known)
}

func (f *finder) linkCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links)
}

func (f *finder) linkedLocked(entry wire.Incarnation) bool {
	_, ok := f.links[entry]
	return ok
}

// needed says whether the address should be dialled now. It should not if the
// entry behind it is connected already: the entry would replace that link. A
// seed may be a balancer's address, so a further dial there is of use only
// once its entry is lost, since the others are known from the entry's list.
func (f *finder) needed(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.loops[addr]
	if s.entry != 0 && f.linkedLocked(s.entry) {
		return false
	}
	if s.retired && len(f.links) > 0 && !f.preferredLocked(s.entry) {
		return false
	}
	i := slices.IndexFunc(f.known, func(e wire.EntryAddr) bool { return e.Peer == addr })
	return i < 0 || !f.linkedLocked(f.known[i].Incarnation)
}

// connected records a link. A link with a lower epoch to the same entry is
// closed by the core goroutine.
func (f *finder) connected(addr string, entry wire.Incarnation, epoch wire.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.loops[addr]
	s.entry = entry
	s.failed = 0
	s.retired = false
	for i := range f.known {
		if f.known[i].Peer == addr {
			f.known[i].Incarnation = entry
		}
	}
	f.links[entry] = max(f.links[entry], epoch)
}

func (f *finder) disconnected(entry wire.Incarnation, epoch wire.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[entry] == epoch {
		delete(f.links, entry)
	}
	if len(f.links) == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

// dialFailed counts a failed dial and reports whether to go on dialling. A
// seed is never given up.
func (f *finder) dialFailed(addr string, now time.Time, err error) bool {
	f.mu.Lock()
	s := f.loops[addr]
	if s.failed == 0 {
		s.failing = now
	}
	s.failed++
	failed := s.failed
	drop := !s.seed && now.Sub(s.failing) >= forgetEntryAfter
	if drop {
		delete(f.loops, addr)
		f.dropLocked(addr)
	}
	f.mu.Unlock()
	switch {
	case drop:
		f.agent.emit(eventlog.EntryDropped, eventlog.Fields{Peer: addr})
	case failed == failingDials:
		f.agent.emit(eventlog.EntryDialFailed, eventlog.Fields{Peer: addr, Err: err})
	}
	if drop || failed == failingDials {
		f.refresh() // other entries take the place
	}
	return !drop
}

// awaitClosed waits until no link is left, at most for bound.
func (f *finder) awaitClosed(bound time.Duration) {
	f.mu.Lock()
	if len(f.links) == 0 {
		f.mu.Unlock()
		return
	}
	empty := make(chan struct{})
	f.empty = empty
	f.mu.Unlock()
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.C:
	}
}
