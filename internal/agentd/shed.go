package agentd

import (
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
)

// shedInterval is how often a superfluous link may be given up. Links are
// added within a second when entries are lost; without shedding they would add
// up with each restart of an entry until every agent is linked to all.
const shedInterval = 30 * time.Second

func (a *Agent) shedLoop() {
	for a.ctx.Err() == nil {
		ctxsleep.For(a.ctx, a.opts.ShedInterval/2+rand.N(a.opts.ShedInterval))
		if entry, ok := a.finder.superfluous(); ok {
			a.send(agent.Retire{Entry: entry})
		}
	}
}

// superfluous returns a linked entry that is not among the preferred ones,
// provided that all of those are linked. Entries that no list names are kept:
// without a list nothing is known that could replace them.
func (f *finder) superfluous() (wire.Incarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	preferred := f.chosenLocked()
	for _, e := range preferred {
		if !f.linkedLocked(e.Incarnation) {
			return 0, false
		}
	}
	for _, e := range f.known {
		if f.linkedLocked(e.Incarnation) && !contains(preferred, e.Incarnation) {
			return e.Incarnation, true
		}
	}
	return 0, false
}

func (f *finder) preferredLocked(entry wire.Incarnation) bool {
	return contains(f.chosenLocked(), entry)
}

// retired notes that the link over addr was given up, or that it is needed again.
func (f *finder) retired(addr string, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.loops[addr]; s != nil {
		s.retired = gone
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
