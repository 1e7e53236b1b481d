// Package ingress keeps an account of the connections that a process serves and of the
// memory that they take, so that callers who are not controlled cannot use up the memory
// or the descriptors of its machine.
//
// It addresses many connections that each send a request of legal size slowly, or stop
// before its end. If a share is used up, connections that make no progress are evicted,
// and what is not granted is refused. A request that was handed on is never evicted.
package ingress

import (
	"container/heap"
	"time"
)

// ID is the number of a connection.
type ID uint64

// Phase is what a connection does.
type Phase uint8

// Phases of a connection.
const (
	// Idle: no byte of a request has arrived.
	Idle Phase = iota
	// Reading: a request has begun to arrive.
	Reading
	// Serving: a request has been handed on and is not answered.
	Serving
)

const (
	// Protected is how long a request may take to arrive, and how long a connection must
	// have been without progress, before it can be evicted. It is above the round trip of any
	// caller.
	Protected = time.Second
	// protectedIdle is the same for a connection without a request. It is above the round trip
	// of a caller that connects and then sends; with a second, as many new connections a second
	// as a listener has kept all others out.
	protectedIdle = 250 * time.Millisecond
	// minRate is the mean number of bytes a second that a request must make to count as
	// being on its way. Callers with less are evicted before the others.
	minRate = 4 << 10
	// reserveShare is the part of the bytes that is kept for ordinary requests, and
	// closingShare that which evicted connections may hold until they are closed.
	reserveShare = 4
	closingShare = 8
	// evictShare of the connections are evicted at a time, so that not each new one makes
	// the account search all of them.
	evictShare = 64
	// searchInterval is the least time between two searches that found nothing.
	searchInterval = 20 * time.Millisecond
)

// Limits are the limits of an account.
type Limits struct {
	Connections int
	Bytes       int64
	// ConnectionCost is charged for each connection from Open to Close.
	ConnectionCost int64
	// Ordinary is how much a request may charge to use the reserve as well. Requests of
	// ordinary size at their beginning are granted while larger ones are refused.
	Ordinary int64
}

// Closing returns how many bytes evicted connections may hold beside Bytes.
func (l Limits) Closing() int64 { return l.Bytes / closingShare }

// Reason is why a connection was evicted or something was not granted.
type Reason uint8

// Reasons.
const (
	EvictedIdle Reason = iota
	EvictedStalled
	EvictedSlow
	EvictedLarge
	RefusedConnection
	RefusedBytes
	reasons
)

var reasonNames = [reasons]string{"idle", "stalled", "slow", "large", "refused_connection", "refused_bytes"}

// String returns the name of the reason in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	out := make([]Reason, reasons)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

// Stats are the figures of an account.
type Stats struct {
	Connections int   // without evicted ones
	Bytes       int64 // charged, without evicted connections
	Closing     int64 // charged by evicted connections that are not closed
	Counts      [reasons]uint64
}

// Account is the account of one group of listeners. It is not safe for concurrent use.
type Account struct {
	limits Limits
	conns  map[ID]*conn
	stats  Stats
	// searchAt is when the next search for connections to evict may find one.
	searchAt   time.Duration
	shortageAt time.Duration // last eviction or refusal
	candidates []candidate   // reused by searches
}

type conn struct {
	phase    Phase
	evicted  bool
	reason   Reason        // of the eviction
	since    time.Duration // when the phase began
	progress time.Duration // when bytes arrived last
	received int64         // bytes of the request
	charged  int64         // without ConnectionCost
}

type candidate struct {
	id     ID
	reason Reason
	rank   float64 // higher goes first
}

// New returns an empty account.
func New(limits Limits) *Account {
	return &Account{limits: limits, conns: make(map[ID]*conn), shortageAt: -time.Hour}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Stats returns the figures of the account.
func (a *Account) Stats() Stats { return a.stats }

// SinceShortage returns the time since something was last evicted or refused.
func (a *Account) SinceShortage(now time.Duration) time.Duration { return now - a.shortageAt }

// Open adds an idle connection. If it is not granted, nothing is added. The connections in
// evict must be closed, or spared. If there are any, the call may be repeated.
func (a *Account) Open(now time.Duration, id ID) (granted bool, evict []ID) {
	if a.stats.Connections >= a.limits.Connections {
		if evict = a.evict(now, 0, 1+a.limits.Connections/evictShare, 0); len(evict) == 0 {
			a.count(now, RefusedConnection)
		}
		return false, evict
	}
	if granted, evict = a.take(now, a.limits.ConnectionCost, a.limits.Bytes, 0); granted {
		a.conns[id] = &conn{since: now, progress: now}
		a.stats.Connections++
	}
	return granted, evict
}

// Charge adds bytes to what a connection has charged, or releases them if they are
// negative. The connections in evict must be closed, or spared. If there are any and the
// bytes are not granted, the call may be repeated.
func (a *Account) Charge(now time.Duration, id ID, bytes int64) (granted bool, evict []ID) {
	c := a.conns[id]
	if c == nil || c.evicted {
		return false, nil
	}
	bytes = max(bytes, -c.charged)
	if bytes <= 0 {
		c.charged += bytes
		a.stats.Bytes += bytes
		return true, nil
	}
	limit := a.limits.Bytes
	if c.charged+bytes > a.limits.Ordinary {
		limit -= limit / reserveShare
	}
	granted, evict = a.take(now, bytes, limit, c.charged+bytes)
	if granted {
		c.charged += bytes
	}
	return granted, evict
}

// take adds bytes to those in use if the limit allows it, or else chooses connections to
// evict. Of the larger ones, only those are evicted that have charged twice the size.
func (a *Account) take(now time.Duration, bytes, limit, size int64) (granted bool, evict []ID) {
	missing := a.stats.Bytes + bytes - limit
	if missing <= 0 {
		a.stats.Bytes += bytes
		return true, nil
	}
	if evict = a.evict(now, missing, 0, max(2*size, a.limits.Ordinary)); len(evict) == 0 {
		a.count(now, RefusedBytes)
	}
	return false, evict
}

// Progress notes that bytes of a request have arrived.
func (a *Account) Progress(now time.Duration, id ID, bytes int) {
	if c := a.conns[id]; c != nil {
		c.progress = now
		c.received += int64(bytes)
	}
}

// Phase changes the phase of a connection. An idle connection has charged nothing but its
// cost. Phase reports false if the connection was evicted: its request must not be handed
// on.
func (a *Account) Phase(now time.Duration, id ID, p Phase) bool {
	c := a.conns[id]
	if c == nil || c.evicted {
		return false
	}
	if p == Idle {
		a.stats.Bytes -= c.charged
		c.charged = 0
	}
	c.phase, c.since, c.progress, c.received = p, now, now, 0
	return true
}

// Spare takes back an eviction, because bytes have arrived that the process had not read.
// It must follow the call that returned the eviction.
func (a *Account) Spare(now time.Duration, id ID) {
	c := a.conns[id]
	if c == nil || !c.evicted {
		return
	}
	c.evicted = false
	a.stats.Counts[c.reason]--
	c.progress, c.since = now, now
	a.stats.Connections++
	a.stats.Bytes += c.charged + a.limits.ConnectionCost
	a.stats.Closing -= c.charged + a.limits.ConnectionCost
}

// Close removes a connection and releases what it has charged.
func (a *Account) Close(id ID) {
	c := a.conns[id]
	if c == nil {
		return
	}
	delete(a.conns, id)
	if c.evicted {
		a.stats.Closing -= c.charged + a.limits.ConnectionCost
		return
	}
	a.stats.Connections--
	a.stats.Bytes -= c.charged + a.limits.ConnectionCost
}

// evict chooses connections that hold at least the given bytes, or the given number of
// them. It evicts none if the evicted ones hold too much already.
func (a *Account) evict(now time.Duration, bytes int64, count int, large int64) (out []ID) {
	a.shortageAt = now
	if now < a.searchAt {
		return nil
	}
	a.candidates = a.candidates[:0]
	for id, c := range a.conns {
		if reason, rank, ok := c.evictable(now, large); ok {
			a.candidates = append(a.candidates, candidate{id, reason, rank})
		}
	}
	// A heap, since few of thousands are evicted at a time and the callers hold a lock.
	left := candidates{a.candidates, count > 0}
	heap.Init(&left)
	for left.Len() > 0 && (bytes > 0 || len(out) < count) {
		x := heap.Pop(&left).(candidate)
		c := a.conns[x.id]
		held := c.charged + a.limits.ConnectionCost
		if a.stats.Closing+held > a.limits.Closing() {
			continue
		}
		c.evicted, c.reason = true, x.reason
		a.stats.Connections--
		a.stats.Bytes -= held
		a.stats.Closing += held
		a.count(now, x.reason)
		bytes -= held
		out = append(out, x.id)
	}
	if len(out) == 0 {
		a.searchAt = now + searchInterval
	}
	return out
}

// candidates is a heap of those to evict first.
type candidates struct {
	list        []candidate
	connections bool // are short
}

// Len implements heap.Interface.
func (h *candidates) Len() int { return len(h.list) }

// Less implements heap.Interface.
func (h *candidates) Less(i, j int) bool {
	x, y := &h.list[i], &h.list[j]
	if n, m := order(x.reason, h.connections), order(y.reason, h.connections); n != m {
		return n < m
	}
	if x.rank != y.rank {
		return x.rank > y.rank
	}
	return x.id < y.id
}

// Swap implements heap.Interface.
func (h *candidates) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface. It is not used.
func (h *candidates) Push(x any) { h.list = append(h.list, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidates) Pop() any {
	last := len(h.list) - 1
	x := h.list[last]
	h.list = h.list[:last]
	return x
}

// order returns in which order connections are evicted. Idle ones go first if connections
// are short; they hold few bytes.
func order(r Reason, connections bool) int {
	if r == EvictedIdle && !connections {
		return int(EvictedSlow)*2 + 1
	}
	return int(r) * 2
}

// evictable returns why a connection may be evicted, and its rank among those of the
// reason.
func (c *conn) evictable(now time.Duration, large int64) (Reason, float64, bool) {
	age, quiet := now-c.since, now-c.progress
	protected := Protected
	if c.phase == Idle {
		protected = protectedIdle
	}
	if c.evicted || c.phase == Serving || age < protected {
		return 0, 0, false
	}
	rate := float64(c.received) / age.Seconds()
	switch {
	case c.phase == Idle:
		return EvictedIdle, age.Seconds(), true
	case quiet >= Protected:
		return EvictedStalled, quiet.Seconds(), true
	case rate < minRate:
		return EvictedSlow, -rate, true
	case large > 0 && c.charged > large:
		return EvictedLarge, float64(c.charged), true
	}
	return 0, 0, false
}

func (a *Account) count(now time.Duration, r Reason) {
	a.shortageAt = now
	a.stats.Counts[r]++
}
