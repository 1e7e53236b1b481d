package agentd

import (
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
)

// pruneInterval is the mean interval at which one excess link may be retired. When
// entries are lost, links to others are added within a second. If they were never
// removed, each restart of an entry would add links until every agent is linked
// to every entry.
const pruneInterval = 30 * time.Second

func (a *Agent) pruneLoop() {
	for a.ctx.Err() == nil {
		ctxsleep.For(a.ctx, a.opts.PruneInterval/2+rand.N(a.opts.PruneInterval))
		if entry, ok := a.dialer.excessLink(); ok {
			a.send(agent.Retire{Entry: entry})
		}
	}
}

// excessLink returns a linked entry that is not a target, provided that all
// targets are linked. Entries that no list contains are not returned, since no
// replacements for them are known.
func (d *entryDialer) excessLink() (wire.Incarnation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := d.targetsLocked()
	for _, e := range targets {
		if !d.linkedLocked(e.Incarnation) {
			return 0, false
		}
	}
	for _, e := range d.known {
		if d.linkedLocked(e.Incarnation) && !contains(targets, e.Incarnation) {
			return e.Incarnation, true
		}
	}
	return 0, false
}

func (d *entryDialer) isTargetLocked(entry wire.Incarnation) bool {
	return contains(d.targetsLocked(), entry)
}

// setRetired records that the link to addr was retired, or that it is needed again.
func (d *entryDialer) setRetired(addr string, retired bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.dials[addr]; s != nil {
		s.retired = retired
	}
}

func contains(entries []wire.EntryAddr, entry wire.Incarnation) bool {
	for _, e := range entries {
		if e.Incarnation == entry {
			return true
		}
	}
	return false
}
