package metrics_test

import (
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/metrics"
)

// Guards against output that Prometheus cannot parse. There must be one TYPE line
// for each base name, the quantile among the labels, and durations in seconds.
func TestExportIsValidPrometheusText(t *testing.T) {
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter(metrics.Name("lt_refusals_total", "reason", "busy"), r).Inc(3)
	gometrics.GetOrRegisterCounter(metrics.Name("lt_refusals_total", "reason", `q"x`), r).Inc(1)
	gometrics.GetOrRegisterGauge("lt_queue", r).Update(7)
	metrics.DurationHistogram(r, metrics.Name("lt_run_seconds", "class", "quote")).Update(250_000)
	var b strings.Builder
	assert.NilError(t, metrics.Write(&b, r))
	assert.Equal(t, b.String(), `# TYPE lt_queue gauge
lt_queue 7
# TYPE lt_refusals_total counter
lt_refusals_total{reason="busy"} 3
lt_refusals_total{reason="q\"x"} 1
# TYPE lt_run_seconds summary
lt_run_seconds{class="quote",quantile="0.5"} 0.25
lt_run_seconds{class="quote",quantile="0.9"} 0.25
lt_run_seconds{class="quote",quantile="0.99"} 0.25
lt_run_seconds_sum{class="quote"} 0.25
lt_run_seconds_count{class="quote"} 1
`)
}
