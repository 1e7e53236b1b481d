// Package metrics exports a go-metrics registry in the Prometheus text format.
//
// A metric is registered under its exported name, with labels in braces if it
// has any: limpettrail_refusals_total{reason="busy"}. Durations are recorded in
// microseconds and exported in seconds.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	reservoirSize  = 1028  // samples of an exponentially decaying histogram
	reservoirAlpha = 0.015 // weights about the last five minutes
	microsPerSec   = 1e6
)

var quantiles = []float64{0.5, 0.9, 0.99}

// Name returns the registered name of a metric with labels, given as
// alternating names and values.
func Name(base string, labels ...string) string {
	if len(labels) == 0 {
		return base
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, labels[i]+"="+strconv.Quote(labels[i+1]))
	}
	return base + "{" + strings.Join(pairs, ",") + "}"
}

// Duration returns the histogram with the name, creating it if needed. Update
// it with microseconds.
func Duration(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// Write writes every metric of the registry to w, by name.
func Write(w io.Writer, r metrics.Registry) error {
	b := bufio.NewWriter(w)
	typed := ""
	for _, name := range names(r) {
		base, labels := split(name)
		metric := r.Get(name)
		if base != typed {
			fmt.Fprintf(b, "# TYPE %s %s\n", base, kind(metric))
			typed = base
		}
		writeMetric(b, base, labels, metric)
	}
	return b.Flush()
}

func names(r metrics.Registry) []string {
	var out []string
	r.Each(func(name string, _ any) { out = append(out, name) })
	slices.Sort(out)
	return out
}

// split separates the labels, without braces, from the base name.
func split(name string) (base, labels string) {
	base, labels, found := strings.Cut(name, "{")
	if found {
		labels = strings.TrimSuffix(labels, "}")
	}
	return base, labels
}

func kind(metric any) string {
	switch metric.(type) {
	case metrics.Counter, metrics.Meter:
		return "counter"
	case metrics.Histogram:
		return "summary"
	}
	return "gauge"
}

func writeMetric(w io.Writer, base, labels string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(w, base, labels, float64(m.Count()))
	case metrics.Meter:
		writeValue(w, base, labels, float64(m.Count()))
	case metrics.Gauge:
		writeValue(w, base, labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, base, labels, m.Value())
	case metrics.Histogram:
		writeSummary(w, base, labels, m.Snapshot())
	}
}

func writeSummary(w io.Writer, base, labels string, h metrics.Histogram) {
	for i, v := range h.Percentiles(quantiles) {
		q := "quantile=" + strconv.Quote(strconv.FormatFloat(quantiles[i], 'g', -1, 64))
		writeValue(w, base, join(labels, q), v/microsPerSec)
	}
	writeValue(w, base+"_sum", labels, float64(h.Sum())/microsPerSec)
	writeValue(w, base+"_count", labels, float64(h.Count()))
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

func writeValue(w io.Writer, name, labels string, v float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(w, "%s%s %s\n", name, labels, strconv.FormatFloat(v, 'g', -1, 64))
}
