package logstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/platformlog"
)

// Guards against timeouts that let one unresponsive connection delay a configuration
// change beyond the 6 s within which it must be in effect (P8).
func TestUnresponsivePollEndsBeforeConfigDeadline(t *testing.T) {
	const bound = 6 * time.Second
	assert.Assert(t, pollWait+platformlog.DefaultReadTimeout <= bound-2*time.Second)
}
