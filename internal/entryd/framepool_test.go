package entryd

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against frames that take more than the pool, against a link that takes more than its
// part or a single larger frame, and against memory that is not released.
func TestFramesStayWithinThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // nothing waits
		p := newFramePool(ctx, rapid.Int64Range(4<<20, 64<<20).Draw(t, "size"), nil)
		var held []reservation
		for i := range rapid.IntRange(1, 20).Draw(t, "links") {
			l, own := p.newLink(), int64(0)
			for l.reserve(ctx, rapid.IntRange(0, wire.MaxFrameBytes).Draw(t, "frame")) == nil {
				r := l.take()
				own += r.cost
				assert.Assert(t, own <= p.linkSize() || own == r.cost, "link %d takes %d", i, own)
				held = append(held, r)
				if len(held) > 200 {
					break
				}
			}
			assert.Assert(t, p.used.Load() <= p.size)
		}
		for _, r := range held {
			r.release()
		}
		assert.Equal(t, p.used.Load(), int64(0))
	})
}

// Guards against large frames of slow senders that hold up the frames of other links.
func TestLargeFramesLeaveRoomForSmallOnes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p := newFramePool(ctx, 10<<20, nil)
	for p.newLink().reserve(ctx, wire.MaxFrameBytes) == nil {
	}
	assert.NilError(t, p.newLink().reserve(ctx, 64<<10))
}
