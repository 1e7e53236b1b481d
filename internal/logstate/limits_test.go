package logstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/platformlog"
)

// Guards against timeouts under which one silent connection delays a change
// beyond the 6 s of P8.
func TestSilentPollEndsWithinTheBoundOfP8(t *testing.T) {
	const bound = 6 * time.Second
	assert.Assert(t, pollWait+platformlog.DefaultReadTimeout <= bound-2*time.Second)
}
