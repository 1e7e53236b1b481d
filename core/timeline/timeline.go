// Package timeline orders the events of many processes.
//
// Each process stamps its events with a hybrid logical clock (Kulkarni et al.,
// "Logical Physical Clocks", 2014). A stamp follows the wall clock but is always
// greater than the stamps received from peers before. If one event happened
// before another, its stamp is lower, however much the wall clocks differ.
package timeline

import "sync"

// Stamp is a hybrid logical timestamp. The upper 52 bits hold the wall clock in
// microseconds since 1970, which suffices until the year 2112, the lower 12 bits
// a logical counter. An overflow of the counter carries into the microseconds,
// which preserves the order.
type Stamp uint64

const (
	logicalBits = 12
	logicalMask = 1<<logicalBits - 1
)

// Micros returns the wall-clock part in microseconds since 1970.
func (s Stamp) Micros() int64 { return int64(s >> logicalBits) }

// Logical returns the counter that orders stamps of the same microsecond.
func (s Stamp) Logical() uint16 { return uint16(s & logicalMask) }

// Clock issues stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp that is greater than every stamp issued or observed so far.
// The argument is the wall clock in microseconds since 1970.
func (c *Clock) Now(wallMicros int64) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(wallMicros)<<logicalBits)
	return c.last
}

// maxAheadMicros is how far a peer's stamp may be ahead of the wall clock, a year. Stamps
// near the largest one would overflow in each process that the peer's frames reach.
const maxAheadMicros = 366 * 24 * 3600 * 1_000_000

// Observe records a stamp received from a peer, so that later stamps are greater. A stamp
// too far ahead of the wall clock is ignored. wallMicros is as for Now.
func (c *Clock) Observe(wallMicros int64, s Stamp) {
	if s.Micros() > max(0, wallMicros)+maxAheadMicros {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// Event is one event of a process.
type Event struct {
	Stamp       Stamp  `json:"stamp"`
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Code        int    `json:"code"`
	Name        string `json:"name"`
	Submission  string `json:"submission,omitempty"` // 32 hexadecimal digits
	Task        int    `json:"task"`                 // -1 if the event concerns no task
	Peer        string `json:"peer,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the latest events of one process. When it is full, a
// new event overwrites the oldest one. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int // index of the next event to write
	full   bool
}

// NewRing returns a ring that holds capacity events. The capacity must be positive.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, capacity)} }

// Add records one event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the events for which keep returns true, oldest first.
func (r *Ring) Events(keep func(*Event) bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	if r.full {
		out = appendMatching(out, r.events[r.next:], keep)
	}
	return appendMatching(out, r.events[:r.next], keep)
}

func appendMatching(out, events []Event, keep func(*Event) bool) []Event {
	for i := range events {
		if keep(&events[i]) {
			out = append(out, events[i])
		}
	}
	return out
}
