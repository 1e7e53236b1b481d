// Package metrics exports a go-metrics registry in the Prometheus text format.
//
// A metric is registered under its exported name, followed by its labels in
// braces, if any: limpettrail_refusals_total{reason="busy"}. Durations are
// recorded in microseconds and exported in seconds.
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
	reservoirSize  = 1028  // number of samples in an exponentially decaying reservoir
	reservoirAlpha = 0.015 // decay factor; favours samples of about the last five minutes
	microsPerSec   = 1e6
)

var quantiles = []float64{0.5, 0.9, 0.99}

// Name returns the name under which a metric with these labels is registered.
// Labels are given as alternating names and values.
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

// DurationHistogram returns the histogram with the name, creating it if necessary. Its
// values are microseconds.
func DurationHistogram(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// Write writes all metrics of the registry to w, sorted by name.
func Write(w io.Writer, r metrics.Registry) error {
	b := bufio.NewWriter(w)
	lastBase := ""
	for _, name := range sortedNames(r) {
		base, labels := splitLabels(name)
		metric := r.Get(name)
		if base != lastBase {
			fmt.Fprintf(b, "# TYPE %s %s\n", base, metricType(metric))
			lastBase = base
		}
		writeMetric(b, base, labels, metric)
	}
	return b.Flush()
}

func sortedNames(r metrics.Registry) []string {
	var out []string
	r.Each(func(name string, _ any) { out = append(out, name) })
	slices.Sort(out)
	return out
}

// splitLabels separates the base name from the labels, which are returned without
// braces.
func splitLabels(name string) (base, labels string) {
	base, labels, found := strings.Cut(name, "{")
	if found {
		labels = strings.TrimSuffix(labels, "}")
	}
	return base, labels
}

// metricType returns the Prometheus type of a metric.
func metricType(metric any) string {
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
		writeValue(w, base, joinLabels(labels, q), v/microsPerSec)
	}
	writeValue(w, base+"_sum", labels, float64(h.Sum())/microsPerSec)
	writeValue(w, base+"_count", labels, float64(h.Count()))
}

func joinLabels(a, b string) string {
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
