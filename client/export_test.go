package client

import (
	"context"
	"time"
)

// RecordRetryDelays makes the client call f with each retry delay instead of sleeping.
func (c *Client) RecordRetryDelays(f func(time.Duration)) {
	c.sleep = func(_ context.Context, d time.Duration) bool {
		f(d)
		return true
	}
}
