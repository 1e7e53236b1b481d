// Package ctxsleep waits for a time that the end of a context cuts short.
package ctxsleep

import (
	"context"
	"time"
)

// For waits for d or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
