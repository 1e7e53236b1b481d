package entryd

import (
	"sync"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against counters that count twice, or back, when two scrapes run at the same time.
func TestScrapesAtTheSameTimeCountOnce(t *testing.T) {
	const scrapes, totals = 8, 20_000
	m := newEntryMetrics()
	var all sync.WaitGroup
	for range scrapes {
		all.Go(func() {
			for total := range int64(totals) {
				m.raise("x", total+1)
			}
		})
	}
	all.Wait()
	m.raise("x", 1)
	assert.Equal(t, gometrics.GetOrRegisterCounter("x", m.registry).Count(), int64(totals))
}
