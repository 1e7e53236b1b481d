package entryd

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	// decodedByteCost is what a byte of a frame of many short elements takes in addition when
	// it is decoded. Arrays have a limited length, which bounds that by maxDecodedCost.
	decodedByteCost = 4
	maxDecodedCost  = 2 << 20
	// emptyFrameCost is that of the structure of a frame and of its event.
	emptyFrameCost = 512
	// linkFramesShare is the part of the pool that the frames of one link take at most, except
	// for a single larger one. helloFramesShare is the part for hellos, in addition.
	linkFramesShare  = 16
	helloFramesShare = 16
	// shortageInterval is the least time between two events about the pool.
	shortageInterval = time.Second
	shareFrames      = "frames"
)

// frameCost returns how much memory a frame takes while it is read and decoded, with the
// buffer that its buffer was copied from, and until the core has handled it.
func frameCost(size int) int64 {
	return emptyFrameCost + 2*int64(size) + min(decodedByteCost*int64(size), maxDecodedCost)
}

// framePool is the memory for frames of agents that are read or wait for the core. Links wait
// for room instead of being closed: agents whose links were closed would connect again and
// send the same frames. Meanwhile TCP slows their agents.
//
// Each link reserves the memory of a whole frame before it reads it and holds no other
// memory that it reads with, so links do not wait for each other in a circle.
type framePool struct {
	size int64
	all  *semaphore.Weighted
	// large is the part of all that frames above the share of a link take, so that slow senders
	// of large frames do not hold up the frames of other links.
	large  *semaphore.Weighted
	hellos *semaphore.Weighted
	used   atomic.Int64
	waited atomic.Int64 // how often a frame or hello had to wait

	ctx       context.Context // of the process
	log       *eventlog.Log
	reporting atomic.Bool // an event was written within the interval, or the pool is used up
}

func newFramePool(ctx context.Context, size int64, log *eventlog.Log) *framePool {
	p := &framePool{size: size, all: semaphore.NewWeighted(size), ctx: ctx, log: log}
	p.large = semaphore.NewWeighted(p.largeSize())
	p.hellos = semaphore.NewWeighted(p.helloSize())
	return p
}

func (p *framePool) linkSize() int64  { return p.size / linkFramesShare }
func (p *framePool) largeSize() int64 { return p.size / 4 * 3 }

// helloSize returns the memory for hellos, which is at least that of the largest one.
func (p *framePool) helloSize() int64 {
	return max(p.size/helloFramesShare, frameCost(maxHelloBytes))
}

// linkFrames is the memory of the frames of one link.
type linkFrames struct {
	pool  *framePool
	own   *semaphore.Weighted
	next  reservation // of the frame that is being read
	hello int64
}

func (p *framePool) newLink() *linkFrames {
	return &linkFrames{pool: p, own: semaphore.NewWeighted(p.linkSize())}
}

// reservation is the memory of one frame.
type reservation struct {
	link *linkFrames
	// cost is at most the part of the pool for large frames. A frame of the largest size may
	// take more on machines below 180 MB, which then is part of the garbage collector's share.
	cost int64
}

// reserveHello waits for the memory of a hello. That of a small one is part of the cost of
// the connection, so that agents do not wait for callers that hold the pool for hellos.
func (l *linkFrames) reserveHello(ctx context.Context, size int) error {
	if size <= ingress.SmallHello {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, link.HandshakeTimeout)
	defer cancel()
	if err := l.pool.acquire(ctx, l.pool.hellos, frameCost(size)); err != nil {
		return errPeersFull
	}
	l.hello = frameCost(size)
	return nil
}

func (l *linkFrames) releaseHello() {
	l.pool.hellos.Release(l.hello)
	l.hello = 0
}

// reserve waits for the memory of a frame. It returns an error only when ctx ends.
func (l *linkFrames) reserve(ctx context.Context, size int) error {
	p, cost := l.pool, min(frameCost(size), l.pool.largeSize())
	// The frames of the link itself go first: what a link waits with is then bounded.
	if own := min(cost, p.linkSize()); !l.own.TryAcquire(own) {
		if err := l.own.Acquire(ctx, own); err != nil {
			return err
		}
	}
	if cost > p.linkSize() {
		if err := p.acquire(ctx, p.large, cost); err != nil {
			return err
		}
	}
	if err := p.acquire(ctx, p.all, cost); err != nil {
		return err
	}
	p.used.Add(cost)
	l.next = reservation{l, cost}
	return nil
}

// acquire takes memory of a part of the pool. When it fails for a frame, the process ends, so
// what was acquired before is not released.
func (p *framePool) acquire(ctx context.Context, part *semaphore.Weighted, cost int64) error {
	if part.TryAcquire(cost) {
		return nil
	}
	p.noteShortage()
	return part.Acquire(ctx, cost)
}

// noteShortage counts a wait and writes that the share is used up.
func (p *framePool) noteShortage() {
	waited := p.waited.Add(1)
	if p.reporting.CompareAndSwap(false, true) {
		p.log.Emit(eventlog.IngressShareUsedUp, eventlog.Fields{Detail: shareFrames, Count: p.used.Load()})
		time.AfterFunc(shortageInterval, func() { p.reportFree(waited) })
	}
}

// reportFree writes that the share is free once no frame had to wait for shortageInterval.
func (p *framePool) reportFree(waited int64) {
	now := p.waited.Load()
	switch {
	case p.ctx.Err() != nil:
	case now != waited:
		time.AfterFunc(shortageInterval, func() { p.reportFree(now) })
	default:
		p.log.Emit(eventlog.IngressShareFree, eventlog.Fields{Detail: shareFrames, Count: p.used.Load()})
		time.AfterFunc(shortageInterval, func() { p.reporting.Store(false) })
	}
}

// take returns the reservation of the frame that was read, which is empty if none was.
func (l *linkFrames) take() reservation {
	r := l.next
	l.next = reservation{}
	return r
}

// release returns the memory of a frame to the pool. The core goroutine calls it for each
// frame: it searches nothing, unlike the account of connections.
func (r reservation) release() {
	if r.link == nil {
		return
	}
	p := r.link.pool
	p.used.Add(-r.cost)
	p.all.Release(r.cost)
	if r.cost > p.linkSize() {
		p.large.Release(r.cost)
	}
	r.link.own.Release(min(r.cost, p.linkSize()))
}
