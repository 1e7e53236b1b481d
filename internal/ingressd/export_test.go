package ingressd

import "time"

// Advance sets the clock of the guard forward.
func (g *Guard) Advance(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.began = g.began.Add(-d)
}
