package entryd

import (
	"context"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
)

// pauseWatch notices that the process was paused, as entry.Machine does. The callers'
// handlers need this of their own: after a pause a handler may run before the core.
// All times are on the entry's clock.
type pauseWatch struct {
	mu       sync.Mutex
	ranAt    time.Duration // when the process was last known to run
	began    time.Duration // when the last gap or pause began, see entry.MinPause
	settling int           // ticks until callers that left during it are noticed
	paused   bool          // it was long enough for a pause
}

// tick notes that a tick of the process is due.
func (p *pauseWatch) tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.note(now) && p.settling > 0 {
		p.settling--
		p.paused = p.paused && p.settling > 0
	}
}

// note notes that the process runs and reports whether it stood still until now.
func (p *pauseWatch) note(now time.Duration) bool {
	gap := now - p.ranAt
	p.ranAt = max(p.ranAt, now)
	if gap < entry.MinGap {
		return false
	}
	if p.settling == 0 {
		p.began = now - gap
	}
	p.settling = entry.SettleTicks
	p.paused = p.paused || now-p.began >= entry.MinPause
	return true
}

// state reports whether the process has just been paused, and when that pause began.
func (p *pauseWatch) state(now time.Duration) (began time.Duration, settling bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now)
	return p.began, p.paused
}

// awaitSettled waits, if the process has just been paused, until the connections of
// callers that left in the meantime are noticed. It returns the time now and how long the
// request may have waited in its socket before it was read. It reports false if ctx has
// ended: the caller has left.
func (e *Entry) awaitSettled(ctx context.Context) (now, waited time.Duration, ok bool) {
	now = e.now()
	if e.opts.Core.ResendDelay == 0 {
		return now, 0, true
	}
	began, settling := e.pauses.state(now)
	if !settling {
		return now, 0, true
	}
	for settling && ctx.Err() == nil {
		ctxsleep.For(ctx, tickInterval)
		now = e.now()
		_, settling = e.pauses.state(now)
	}
	return now, now - began, ctx.Err() == nil
}
