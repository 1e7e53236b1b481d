package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against occurrences that run at once although they are due in centuries: the time
// until then overflows.
func TestOccurrencesInCenturiesAreNotOverdue(t *testing.T) {
	const month = 30 * 24 * 3600 * 1000 // in milliseconds
	const nowMs = 1_800_000_000_000
	for _, s := range []durable.Schedule{
		{Count: wire.MaxOccurrences, StartMs: nowMs, PeriodMs: month},
		{Count: wire.MaxOccurrences, StartMs: 7_258_118_400_000, PeriodMs: 366 * 24 * 3600 * 1000}, // the largest that callers may submit
		{Count: wire.MaxOccurrences, StartMs: 1 << 45, PeriodMs: 1 << 45},                          // the largest in a record
	} {
		previous := time.Duration(0)
		for k, due := range s.Due(nowMs) {
			assert.Assert(t, due >= previous, "occurrence %d of %+v is due in %v, the one before in %v", k, s, due, previous)
			previous = due
		}
	}
	due := (&durable.Schedule{Count: 2, StartMs: nowMs - 1000, PeriodMs: 3000}).Due(nowMs)
	assert.DeepEqual(t, due, []time.Duration{-time.Second, 2 * time.Second})
}
