package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against retries that wait for a time computed while nothing could start, and
// against a budget that successful retries extend without a bound.
func TestSuccessfulRetriesReleaseWaitingOnes(t *testing.T) {
	b := budget{tokens: retryBurst}
	for range 100 {
		b.reserve(0)
	}
	assert.Equal(t, b.takeReleased(), 0)
	b.recordSuccess(0)
	assert.Equal(t, b.takeReleased(), retriesPerSuccess)
	assert.Equal(t, b.takeReleased(), 0)
	for range 1000 {
		b.recordSuccess(0)
	}
	assert.Assert(t, b.tokens <= retryBurst)
}
