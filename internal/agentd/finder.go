package agentd

import (
	"slices"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

const (
	// unreachableAfter is the number of consecutive failed dials after which an
	// entry counts as unreachable and others are linked in its place.
	unreachableAfter = 3
	// dropEntryAfter is how long a known entry may be unreachable before it is
	// dropped. It is added again if another entry lists it.
	dropEntryAfter = time.Minute
)

// finder decides which addresses are dialled. It learns of entries from hellos
// and frames. It runs one dial loop for each address that is a seed, belongs to a
// target entry, or was linked before, since attempts may still be open there.
type finder struct {
	agent *Agent
	mu    sync.Mutex
	known []wire.EntryAddr // listed by entries, at most wire.MaxKnownEntries
	// lastListed maps the address of each known entry to the number of the latest
	// list that contained it. Lists are numbered in the order of their arrival.
	lastListed map[string]uint64
	listNumber uint64 // number of the latest list
	dials      map[string]*dialState
	links      map[wire.Incarnation]wire.Epoch // connected entries
	allClosed  chan struct{}                   // closed when links is empty; nil if nobody waits
}

// dialState is the state of the dial loop of one address.
type dialState struct {
	seed         bool
	lastEntry    wire.Incarnation // entry of the last link, 0 if there was none
	failures     int              // number of consecutive failed dials
	failingSince time.Time        // time of the first of them
	retired      bool             // the last link was retired in favour of target entries
}

func newFinder(a *Agent) *finder {
	return &finder{
		agent:      a,
		lastListed: make(map[string]uint64),
		dials:      make(map[string]*dialState),
		links:      make(map[wire.Incarnation]wire.Epoch),
	}
}

// refresh starts the missing dial loops of seeds and target entries.
func (f *finder) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range f.agent.opts.Entries {
		f.dialLocked(addr, true)
	}
	for _, e := range f.targetsLocked() {
		f.dialLocked(e.Peer, false)
	}
}

func (f *finder) dialLocked(addr string, seed bool) {
	if f.dials[addr] != nil || f.agent.ctx.Err() != nil {
		return
	}
	f.dials[addr] = &dialState{seed: seed}
	f.agent.spawn(func() { f.agent.dialLoop(addr) })
}

// targetsLocked returns the target entries, to which links are kept: those chosen
// from all known entries, followed by those chosen from the reachable ones only.
// The latter contain replacements for unreachable entries. Entries may occur
// twice.
func (f *finder) targetsLocked() []wire.EntryAddr {
	o := &f.agent.opts
	chosen := chooseEntries(o.Name, o.Zone, f.known)
	reachable := slices.DeleteFunc(slices.Clone(f.known), func(e wire.EntryAddr) bool {
		s := f.dials[e.Peer]
		return s != nil && s.failures >= unreachableAfter
	})
	return append(chosen, chooseEntries(o.Name, o.Zone, reachable)...)
}

// learn adds the entries of a list to the known ones and starts missing dial loops.
func (f *finder) learn(entries []wire.EntryAddr) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	f.listNumber++
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
		f.known[i] = e // the entry restarted at the same address
	}
	if i < 0 {
		if len(f.known) >= wire.MaxKnownEntries && !f.dropOldestLocked() {
			return
		}
		f.known = append(f.known, e)
	}
	f.lastListed[e.Peer] = f.listNumber
}

// dropOldestLocked drops the entry that was listed least recently, apart from those
// that are dialled or in the current list. It reports whether there was one.
// Entries that are not dialled are never found to be unreachable, so without this
// dead entries would fill the list.
func (f *finder) dropOldestLocked() bool {
	oldest := -1
	for i, e := range f.known {
		if f.dials[e.Peer] != nil || f.lastListed[e.Peer] == f.listNumber {
			continue
		}
		if oldest < 0 || f.lastListed[e.Peer] < f.lastListed[f.known[oldest].Peer] {
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
	delete(f.lastListed, addr)
	f.known = slices.DeleteFunc(f.known, func(e wire.EntryAddr) bool { return e.Peer == addr })
}

// entries returns a copy of the known entries.
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

// shouldDial reports whether the address should be dialled now. It should not if
// the entry behind it is connected already, since the entry would replace that
// link. A seed may be the address of a load balancer; it is dialled again only
// once the entry reached there is lost, since the other entries are known from
// that entry's list.
func (f *finder) shouldDial(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.dials[addr]
	if s.lastEntry != 0 && f.linkedLocked(s.lastEntry) {
		return false
	}
	if s.retired && len(f.links) > 0 && !f.isTargetLocked(s.lastEntry) {
		return false
	}
	i := slices.IndexFunc(f.known, func(e wire.EntryAddr) bool { return e.Peer == addr })
	return i < 0 || !f.linkedLocked(f.known[i].Incarnation)
}

// connected records a new link. If there is another link to the same entry, the
// core goroutine closes the one with the lower epoch.
func (f *finder) connected(addr string, entry wire.Incarnation, epoch wire.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.dials[addr]
	s.lastEntry = entry
	s.failures = 0
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
	if len(f.links) == 0 && f.allClosed != nil {
		close(f.allClosed)
		f.allClosed = nil
	}
}

// dialFailed records a failed dial and reports whether to keep dialling the
// address. Seeds are dialled forever.
func (f *finder) dialFailed(addr string, now time.Time, err error) bool {
	f.mu.Lock()
	s := f.dials[addr]
	if s.failures == 0 {
		s.failingSince = now
	}
	s.failures++
	failures := s.failures
	drop := !s.seed && now.Sub(s.failingSince) >= dropEntryAfter
	if drop {
		delete(f.dials, addr)
		f.dropLocked(addr)
	}
	f.mu.Unlock()
	switch {
	case drop:
		f.agent.emit(eventlog.EntryDropped, eventlog.Fields{Peer: addr})
	case failures == unreachableAfter:
		f.agent.emit(eventlog.EntryDialFailed, eventlog.Fields{Peer: addr, Err: err})
	}
	if drop || failures == unreachableAfter {
		f.refresh() // dials replacements
	}
	return !drop
}

// waitClosed waits until all links are closed, for at most timeout.
func (f *finder) waitClosed(timeout time.Duration) {
	f.mu.Lock()
	if len(f.links) == 0 {
		f.mu.Unlock()
		return
	}
	allClosed := make(chan struct{})
	f.allClosed = allClosed
	f.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-allClosed:
	case <-timer.C:
	}
}
