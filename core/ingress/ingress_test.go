package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testLimits = Limits{Connections: 12, Bytes: 4000, ConnectionCost: 100, Ordinary: 200}

// world drives an account as its process does: it closes what is evicted, some time later,
// and spares what has unread bytes.
type world struct {
	t      *rapid.T
	a      *Account
	now    time.Duration
	next   ID
	open   map[ID]*modelConn
	unread ID // has bytes that the process has not read
}

type modelConn struct {
	phase   Phase
	began   time.Duration
	charged int64
	evicted bool
}

func (w *world) pick() ID {
	ids := []ID{}
	for id := range w.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return 0
	}
	return rapid.SampledFrom(ids).Draw(w.t, "id")
}

func (w *world) evict(ids []ID) {
	for _, id := range ids {
		c := w.open[id]
		protected := Protected
		if c != nil && c.phase == Idle {
			protected = protectedIdle
		}
		if c == nil || c.evicted || c.phase == Serving || w.now-c.began < protected {
			w.t.Fatalf("connection %d was evicted: %+v at %v", id, c, w.now)
		}
		if id == w.unread {
			w.a.Spare(w.now, id)
			c.began = w.now
			continue
		}
		c.evicted = true
	}
}

func (w *world) check() {
	var bytes, closing int64
	conns := 0
	for _, c := range w.open {
		if c.evicted {
			closing += c.charged + testLimits.ConnectionCost
			continue
		}
		conns++
		bytes += c.charged + testLimits.ConnectionCost
	}
	s := w.a.Stats()
	if s.Bytes != bytes || s.Closing != closing || s.Connections != conns {
		w.t.Fatalf("got %+v, want %d bytes, %d closing, %d connections", s, bytes, closing, conns)
	}
	if s.Bytes > testLimits.Bytes || s.Closing > testLimits.Closing() || s.Connections > testLimits.Connections {
		w.t.Fatalf("beyond the limits: %+v", s)
	}
}

func (w *world) step() {
	w.now += time.Duration(rapid.IntRange(0, 700).Draw(w.t, "ms")) * time.Millisecond
	id := w.pick()
	c := w.open[id]
	switch op := rapid.IntRange(0, 9).Draw(w.t, "op"); {
	case op < 3 || c == nil:
		w.next++
		granted, evict := w.a.Open(w.now, w.next)
		w.evict(evict)
		if granted {
			w.open[w.next] = &modelConn{began: w.now}
		}
	case op < 6:
		n := int64(rapid.IntRange(-500, 1500).Draw(w.t, "bytes"))
		if op == 5 { // about what is left
			n = testLimits.Bytes*3/4 - w.a.Stats().Bytes + n/20
		}
		granted, evict := w.a.Charge(w.now, id, n)
		w.evict(evict)
		if granted && c.evicted {
			w.t.Fatalf("an evicted connection was granted %d bytes", n)
		}
		if granted {
			c.charged = max(0, c.charged+n)
		}
		if granted && n > 0 && c.charged > testLimits.Ordinary && w.a.Stats().Bytes > testLimits.Bytes*3/4 {
			w.t.Fatalf("%d bytes were granted from the reserve to a large request", n)
		}
	case op == 6:
		w.a.Progress(w.now, id, rapid.IntRange(1, 5000).Draw(w.t, "received"))
	case op == 7:
		w.unread = id
	case op == 8:
		p := Phase(rapid.IntRange(0, 2).Draw(w.t, "phase"))
		ok := w.a.Phase(w.now, id, p)
		if ok == c.evicted {
			w.t.Fatalf("phase of connection %d: %t", id, ok)
		}
		if !ok {
			break
		}
		c.phase, c.began = p, w.now
		if p == Idle {
			c.charged = 0
		}
	default:
		w.a.Close(id)
		delete(w.open, id)
	}
	w.check()
}

// Guards against a share that is exceeded, or not released in whole, and against the
// eviction of a request that is handed on, in its first second, or waits to be read.
func TestAccountStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, a: New(testLimits), open: make(map[ID]*modelConn)}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step()
		}
		for id := range w.open {
			w.a.Close(id)
		}
		w.open = nil
		w.check()
	})
}

// opened returns an account with as many connections as given in phase Reading, each of
// which has charged bytes.
func opened(t *testing.T, limits Limits, n int, bytes int64) *Account {
	a := New(limits)
	for id := range ID(n) {
		granted, _ := a.Open(0, id)
		assert.Assert(t, granted)
		assert.Assert(t, a.Phase(0, id, Reading))
		granted, _ = a.Charge(0, id, bytes)
		assert.Assert(t, granted)
	}
	return a
}

// Guards against the eviction of callers that are on their way before those that are not.
func TestLeastProgressIsEvictedFirst(t *testing.T) {
	limits := testLimits
	limits.Connections = 5
	a := opened(t, limits, 5, 200)
	assert.Assert(t, a.Phase(0, 0, Idle))
	assert.Assert(t, a.Phase(0, 4, Serving))
	now := 2 * time.Second
	a.Progress(now, 1, 100_000) // fast
	a.Progress(now, 2, 10)      // slow
	a.Progress(time.Second/2, 3, 100_000)
	var order []ID
	for id := ID(10); ; id++ {
		granted, evict := a.Open(now, id)
		assert.Assert(t, !granted)
		if len(evict) == 0 {
			break
		}
		order = append(order, evict...)
		for _, e := range evict {
			a.Close(e)
		}
		granted, _ = a.Open(now, id)
		assert.Assert(t, granted)
		assert.Assert(t, a.Phase(now, id, Serving))
	}
	assert.DeepEqual(t, order, []ID{0, 3, 2})
	assert.Equal(t, a.Stats().Counts[RefusedConnection], uint64(1))
}

// Guards against large requests that take what ordinary ones need at their beginning.
func TestReserveIsKeptForOrdinaryRequests(t *testing.T) {
	a := opened(t, testLimits, 2, 1300) // 2800 of 4000, of which 3000 are for large ones
	granted, _ := a.Charge(0, 0, 300)
	assert.Assert(t, !granted)
	for id := ID(10); id < 13; id++ {
		granted, _ = a.Open(0, id)
		assert.Assert(t, granted)
		granted, _ = a.Charge(0, id, testLimits.Ordinary)
		assert.Assert(t, granted)
	}
	assert.Equal(t, a.SinceShortage(time.Second), time.Second)
}

// Guards against evictions that free memory only in the books: the goroutines of evicted
// connections hold it until they have ended.
func TestEvictedConnectionsHoldAShareOfTheirOwn(t *testing.T) {
	a := opened(t, testLimits, 7, 300)
	granted, evict := a.Charge(2*time.Second, 6, 1000)
	assert.Assert(t, !granted)
	assert.Equal(t, len(evict), 1) // of 400 bytes, where 500 may be evicted
	_, evict = a.Charge(2*time.Second, 6, 1000)
	assert.Equal(t, len(evict), 0)
	a.Close(0)
	_, evict = a.Charge(3*time.Second, 6, 1000)
	assert.Equal(t, len(evict), 1)
}

// Guards against a header that the server still reads while the scanner has seen its end, so
// that it is not charged, and the other way round.
func FuzzHeaderScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nbody\n\n"), 5)
	f.Add([]byte("POST / HTTP/1.1\nHost: h\nA: b\n \r\n c\n\r\n\n\n"), 1)
	f.Add([]byte("\r\n\nGET / HTTP/1.1\r\nA:\r\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(1, piece)
		var s HeaderScanner
		rest, ended := data, false
		for len(rest) > 0 && !ended {
			var n int
			n, ended = s.Scan(rest[:min(piece, len(rest))])
			rest = rest[n:]
		}
		assert.Equal(t, s.Bytes, len(data)-len(rest))
		assert.Equal(t, s.Lines, bytes.Count(data[:s.Bytes], []byte("\n")))
		in := bytes.NewReader(data)
		r := bufio.NewReaderSize(in, 4096)
		if _, err := http.ReadRequest(r); err == nil {
			assert.Assert(t, ended)
			assert.Equal(t, len(rest), in.Len()+r.Buffered())
		}
	})
}

// Guards against evictions that are counted although they were taken back.
func TestSparedConnectionsAreNotCounted(t *testing.T) {
	a := New(Limits{Connections: 1, Bytes: 1 << 20, ConnectionCost: 1, Ordinary: 1})
	a.Open(0, 1)
	if _, evict := a.Open(time.Minute, 2); len(evict) != 1 {
		t.Fatal(evict)
	}
	a.Spare(time.Minute, 1)
	if n := a.Stats().Counts[EvictedIdle]; n != 0 {
		t.Fatal(n)
	}
}

// Guards against silent connections that keep all others out, because as many new ones arrive
// in each second as there are places.
func TestSilentConnectionsMakeRoomForOthers(t *testing.T) {
	a := New(testLimits)
	now, id := time.Duration(0), ID(0)
	open := func() bool {
		id++
		granted, evicted := a.Open(now, id)
		for _, e := range evicted {
			a.Close(e)
		}
		if len(evicted) > 0 {
			granted, _ = a.Open(now, id)
		}
		return granted
	}
	for range 2 * testLimits.Connections {
		open()
	}
	assert.Assert(t, !open())
	now += protectedIdle
	assert.Assert(t, open())
	now += Protected
	reading := id
	assert.Assert(t, a.Phase(now, reading, Reading))
	for range 2 * testLimits.Connections {
		open()
	}
	assert.Assert(t, a.Phase(now, reading, Serving), "a request that had just begun gave way to silent connections")
}
