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

// entryDialer decides which entries are dialled and keeps track of the links. It
// learns of entries from hellos and frames. It runs one dial loop for each address that is a seed, belongs to a
// target entry, or was linked before, since attempts may still be open there.
type entryDialer struct {
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

func newEntryDialer(a *Agent) *entryDialer {
	return &entryDialer{
		agent:      a,
		lastListed: make(map[string]uint64),
		dials:      make(map[string]*dialState),
		links:      make(map[wire.Incarnation]wire.Epoch),
	}
}

// refresh starts the missing dial loops of seeds and target entries.
func (d *entryDialer) refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range d.agent.opts.Entries {
		d.dialLocked(addr, true)
	}
	for _, e := range d.targetsLocked() {
		d.dialLocked(e.Peer, false)
	}
}

func (d *entryDialer) dialLocked(addr string, seed bool) {
	if d.dials[addr] != nil || d.agent.ctx.Err() != nil {
		return
	}
	d.dials[addr] = &dialState{seed: seed}
	d.agent.spawn(func() { d.agent.dialLoop(addr) })
}

// targetsLocked returns the target entries, to which links are kept: those chosen
// from all known entries, followed by those chosen from the reachable ones only.
// The latter contain replacements for unreachable entries. Entries may occur
// twice.
func (d *entryDialer) targetsLocked() []wire.EntryAddr {
	o := &d.agent.opts
	chosen := chooseEntries(o.Name, o.Zone, d.known)
	reachable := slices.DeleteFunc(slices.Clone(d.known), func(e wire.EntryAddr) bool {
		s := d.dials[e.Peer]
		return s != nil && s.failures >= unreachableAfter
	})
	return append(chosen, chooseEntries(o.Name, o.Zone, reachable)...)
}

// learn adds the entries of a list to the known ones and starts missing dial loops.
func (d *entryDialer) learn(entries []wire.EntryAddr) {
	if len(entries) == 0 {
		return
	}
	d.mu.Lock()
	d.listNumber++
	for _, e := range entries {
		d.learnLocked(e)
	}
	d.mu.Unlock()
	d.refresh()
}

func (d *entryDialer) learnLocked(e wire.EntryAddr) {
	if e.Peer == "" || e.Incarnation == 0 {
		return
	}
	i := slices.IndexFunc(d.known, func(k wire.EntryAddr) bool { return k.Peer == e.Peer })
	if i >= 0 && !d.linkedLocked(d.known[i].Incarnation) {
		d.known[i] = e // the entry restarted at the same address
	}
	if i < 0 {
		if len(d.known) >= wire.MaxKnownEntries && !d.dropOldestLocked() {
			return
		}
		d.known = append(d.known, e)
	}
	d.lastListed[e.Peer] = d.listNumber
}

// dropOldestLocked drops the entry that was listed least recently, apart from those
// that are dialled or in the current list. It reports whether there was one.
// Entries that are not dialled are never found to be unreachable, so without this
// dead entries would fill the list.
func (d *entryDialer) dropOldestLocked() bool {
	oldest := -1
	for i, e := range d.known {
		if d.dials[e.Peer] != nil || d.lastListed[e.Peer] == d.listNumber {
			continue
		}
		if oldest < 0 || d.lastListed[e.Peer] < d.lastListed[d.known[oldest].Peer] {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	d.dropLocked(d.known[oldest].Peer)
	return true
}

func (d *entryDialer) dropLocked(addr string) {
	delete(d.lastListed, addr)
	d.known = slices.DeleteFunc(d.known, func(e wire.EntryAddr) bool { return e.Peer == addr })
}

// entries returns a copy of the known entries.
func (d *entryDialer) entries() []wire.EntryAddr {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.known)
}

func (d *entryDialer) linkCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.links)
}

func (d *entryDialer) linkedLocked(entry wire.Incarnation) bool {
	_, ok := d.links[entry]
	return ok
}

// shouldDial reports whether the address should be dialled now. It should not if
// the entry behind it is connected already, since the entry would replace that
// link. A seed may be the address of a load balancer; it is dialled again only
// once the entry reached there is lost, since the other entries are known from
// that entry's list.
func (d *entryDialer) shouldDial(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.dials[addr]
	if s.lastEntry != 0 && d.linkedLocked(s.lastEntry) {
		return false
	}
	if s.retired && len(d.links) > 0 && !d.isTargetLocked(s.lastEntry) {
		return false
	}
	i := slices.IndexFunc(d.known, func(e wire.EntryAddr) bool { return e.Peer == addr })
	return i < 0 || !d.linkedLocked(d.known[i].Incarnation)
}

// connected records a new link. If there is another link to the same entry, the
// core goroutine closes the one with the lower epoch.
func (d *entryDialer) connected(addr string, entry wire.Incarnation, epoch wire.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.dials[addr]
	s.lastEntry = entry
	s.failures = 0
	s.retired = false
	for i := range d.known {
		if d.known[i].Peer == addr {
			d.known[i].Incarnation = entry
		}
	}
	d.links[entry] = max(d.links[entry], epoch)
}

func (d *entryDialer) disconnected(entry wire.Incarnation, epoch wire.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[entry] == epoch {
		delete(d.links, entry)
	}
	if len(d.links) == 0 && d.allClosed != nil {
		close(d.allClosed)
		d.allClosed = nil
	}
}

// dialFailed records a failed dial and reports whether to keep dialling the
// address. Seeds are dialled forever.
func (d *entryDialer) dialFailed(addr string, now time.Time, err error) bool {
	d.mu.Lock()
	s := d.dials[addr]
	if s.failures == 0 {
		s.failingSince = now
	}
	s.failures++
	failures := s.failures
	drop := !s.seed && now.Sub(s.failingSince) >= dropEntryAfter
	if drop {
		delete(d.dials, addr)
		d.dropLocked(addr)
	}
	d.mu.Unlock()
	switch {
	case drop:
		d.agent.emit(eventlog.EntryDropped, eventlog.Fields{Peer: addr})
	case failures == unreachableAfter:
		d.agent.emit(eventlog.EntryDialFailed, eventlog.Fields{Peer: addr, Err: err})
	}
	if drop || failures == unreachableAfter {
		d.refresh() // dials replacements
	}
	return !drop
}

// waitClosed waits until all links are closed, for at most timeout.
func (d *entryDialer) waitClosed(timeout time.Duration) {
	d.mu.Lock()
	if len(d.links) == 0 {
		d.mu.Unlock()
		return
	}
	allClosed := make(chan struct{})
	d.allClosed = allClosed
	d.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-allClosed:
	case <-timer.C:
	}
}
