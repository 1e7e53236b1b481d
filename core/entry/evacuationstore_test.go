package entry_test

import (
	"slices"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Times of the readers of the topic, as in internal/fleet and platform.
const (
	evacuationBound   = 5 * time.Second
	topicReadWait     = evacuationBound / 8
	storeCallTimeout  = time.Second
	topicRetryDelay   = 200 * time.Millisecond
	maxListingTime    = time.Second
	evacuationPrefix  = "evacuate/"
	operatorConfigKey = "config"
	never             = time.Duration(1<<63 - 1)
)

// operatorTopic is the store's topic with the operators' records. A record without a key
// cannot be read.
type operatorTopic struct {
	records []topicRecord
	first   int // offset of the oldest record that is kept
	// requestedAt and withdrawnAt are the times of the last request and withdrawal of each
	// zone. A zone is in requestedAt while it is evacuated.
	requestedAt, withdrawnAt map[string]time.Duration
}

type topicRecord struct {
	key     string
	removal bool
}

func (o *operatorTopic) write(now time.Duration, zone string, evacuate bool) {
	o.records = append(o.records, topicRecord{key: evacuationPrefix + zone, removal: !evacuate})
	_, requested := o.requestedAt[zone]
	switch {
	case evacuate && !requested:
		o.requestedAt[zone] = now
	case !evacuate && requested:
		delete(o.requestedAt, zone)
		o.withdrawnAt[zone] = now
	}
}

// listed returns the sorted keys that have a value.
func (o *operatorTopic) listed() []string {
	var keys []string
	for _, r := range o.records {
		i, found := slices.BinarySearch(keys, r.key)
		switch {
		case r.key == "":
		case found && r.removal:
			keys = slices.Delete(keys, i, i+1)
		case !found && !r.removal:
			keys = slices.Insert(keys, i, r.key)
		}
	}
	return keys
}

func zonesOf(keys []string) []string {
	var zones []string
	for _, k := range keys {
		if zone, ok := strings.CutPrefix(k, evacuationPrefix); ok {
			zones = append(zones, zone)
		}
	}
	return zones
}

type storeFault int

const (
	storeSound storeFault = iota
	storeRefuses
	storeLosesCalls
	storeLosesReplies
	storeSlow
	storeFaults
)

// storePath is the way of one process to the store.
type storePath struct {
	fault      storeFault
	faultUntil time.Duration // the path is sound afterwards
}

func (p *storePath) faultAt(now time.Duration) storeFault {
	if now < p.faultUntil {
		return p.fault
	}
	return storeSound
}

// storeCall is a read of the topic from an offset, or of one page of its listing.
type storeCall struct {
	path      *storePath
	arrivesAt time.Duration
	from      int
	waitUntil time.Duration
	listing   bool
	after     string
	giveUpAt  time.Duration
	served    bool
	replyAt   time.Duration
	reply     storeReply
}

type storeReply struct {
	failed, gone bool
	records      []topicRecord
	end          int
	keys         []string
	more         bool
}

func (w *evacuationWorld) call(p *storePath, c storeCall, wait time.Duration) *storeCall {
	c.path, c.arrivesAt = p, w.now+w.latency(p)
	c.waitUntil, c.giveUpAt = c.arrivesAt+wait, w.now+wait+storeCallTimeout
	return &c
}

func (w *evacuationWorld) latency(p *storePath) time.Duration {
	if p.faultAt(w.now) == storeSlow {
		return w.millis(20, 900)
	}
	return w.millis(1, 30)
}

// poll lets the store carry out the call, and returns whether it has ended for the process,
// which must be running. After a pause the reply or the timeout may be noticed first.
func (w *evacuationWorld) poll(c *storeCall) (reply storeReply, ended bool) {
	timedOut := w.now >= c.giveUpAt
	if timedOut && (!c.served || w.now < c.replyAt || w.draw(1) == 0) {
		return storeReply{failed: true}, true
	}
	return c.reply, c.served && w.now >= c.replyAt
}

// serve carries out a call, also while its process is paused.
func (w *evacuationWorld) serve(c *storeCall) {
	if c == nil || c.served || w.now < c.arrivesAt {
		return
	}
	fault := c.path.faultAt(w.now)
	switch {
	case fault == storeRefuses:
		c.reply.failed = true
	case fault == storeLosesCalls:
	case c.listing:
		c.reply.end = len(w.topic.records)
		keys := w.topic.listed()
		i, found := slices.BinarySearch(keys, c.after)
		if found {
			i++
		}
		n := min(1+w.draw(w.pageSize), len(keys)-i)
		c.reply.keys, c.reply.more = keys[i:i+n], i+n < len(keys)
	case c.from < w.topic.first:
		c.reply.gone = true
	case c.from == len(w.topic.records) && w.now < c.waitUntil:
		return
	default:
		c.reply.end = len(w.topic.records)
		n := min(1+w.draw(4), c.reply.end-c.from)
		c.reply.records = w.topic.records[c.from : c.from+n : c.from+n]
	}
	c.served = true
	c.replyAt = w.now + w.latency(c.path)
	if fault == storeLosesCalls || fault == storeLosesReplies {
		c.replyAt = never
	}
}

// topicListing is a listing of one or several pages. The first states the end of the topic.
type topicListing struct {
	call        *storeCall
	requestedAt time.Duration
	keys        []string
	end         int // -1 before the first page
}

func (w *evacuationWorld) newListing(p *storePath, after string) *topicListing {
	return &topicListing{call: w.call(p, storeCall{listing: true, after: after}, 0), requestedAt: w.now, end: -1}
}

// step takes the next page. It returns whether the listing has ended, and whether it failed.
func (l *topicListing) step(w *evacuationWorld) (ended, failed bool) {
	reply, done := w.poll(l.call)
	if !done || reply.failed {
		return done, done
	}
	if l.end < 0 {
		l.end = reply.end
	}
	l.keys = append(l.keys, reply.keys...)
	if !reply.more {
		return true, false
	}
	l.call = w.call(l.call.path, storeCall{listing: true, after: l.keys[len(l.keys)-1]}, 0)
	return false, false
}

// topicReader reads the topic for an entry as platform.ConfigFollower and fleet.EntryNode do.
type topicReader struct {
	path        storePath
	offset      int
	hasOffset   bool
	zones       []string
	read        *storeCall
	listing     *topicListing
	requestedAt time.Duration
	pausedUntil time.Duration
}

// run continues reading and returns the event for the entry, nil if there is none.
func (r *topicReader) run(w *evacuationWorld) entry.Event {
	switch {
	case w.now < r.pausedUntil:
	case r.read != nil:
		if reply, ended := w.poll(r.read); ended {
			r.read = nil
			return r.readEnded(w, &reply)
		}
	case r.listing != nil:
		ended, failed := r.listing.step(w)
		switch {
		case !ended:
		case failed:
			r.listing, r.pausedUntil = nil, w.now+topicRetryDelay
		default:
			l := r.listing
			r.listing = nil
			r.offset, r.hasOffset, r.zones = l.end, true, zonesOf(l.keys)
			r.pauseAfterConfig(w, slices.Contains(l.keys, operatorConfigKey))
			return entry.EvacuationsRead{Evacuations: r.state(), RequestedAt: r.requestedAt}
		}
	default:
		r.requestedAt = w.now
		if r.hasOffset {
			r.read = w.call(&r.path, storeCall{from: r.offset}, topicReadWait)
		} else {
			r.listing = w.newListing(&r.path, "")
		}
	}
	return nil
}

func (r *topicReader) readEnded(w *evacuationWorld, reply *storeReply) entry.Event {
	if reply.failed {
		r.pausedUntil = w.now + topicRetryDelay
		return nil
	}
	if reply.gone {
		r.hasOffset = false
		return nil
	}
	found, config := false, false
	for _, rec := range reply.records {
		zone, ok := strings.CutPrefix(rec.key, evacuationPrefix)
		config = config || rec.key == operatorConfigKey
		if !ok {
			continue
		}
		found = true
		i, has := slices.BinarySearch(r.zones, zone)
		switch {
		case has && rec.removal:
			r.zones = slices.Delete(slices.Clone(r.zones), i, i+1)
		case !has && !rec.removal:
			r.zones = slices.Insert(slices.Clone(r.zones), i, zone)
		}
	}
	r.offset += len(reply.records)
	r.hasOffset = r.offset >= reply.end
	r.pauseAfterConfig(w, config)
	switch {
	case found:
		return entry.EvacuationsRead{Evacuations: r.state(), RequestedAt: r.requestedAt, Partial: !r.hasOffset}
	case r.hasOffset:
		return entry.EvacuationsRead{RequestedAt: r.requestedAt}
	}
	r.listing = w.newListing(&r.path, "")
	return nil
}

// pauseAfterConfig pauses the reader after a configuration, which takes a share of the link.
func (r *topicReader) pauseAfterConfig(w *evacuationWorld, config bool) {
	if config {
		r.pausedUntil = w.now + w.millis(0, 800)
	}
}

func (r *topicReader) state() *wire.Evacuations {
	return &wire.Evacuations{AsOf: int64(r.offset), Zones: r.zones}
}
