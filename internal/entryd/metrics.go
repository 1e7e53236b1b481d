package entryd

import (
	"fmt"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/metrics"
)

// Names of the entry's metrics. The number of label values is bounded: a class
// that is not published is counted as otherClass, and reasons come from a fixed
// set.
const (
	metricJobs      = "limpettrail_jobs_total"
	metricResponse  = "limpettrail_response_seconds"
	metricTargetMet = "limpettrail_target_met_total"
	metricRefusals  = "limpettrail_refusals_total"
	metricMessages  = "limpettrail_messages_total"
	metricInFlight  = "limpettrail_jobs_in_flight"
	metricLinks     = "limpettrail_agent_links"
	metricVersion   = "limpettrail_config_version"
	metricContained = "limpettrail_class_contained"
	// metricInterference is the effect of each pair in thousandths, 0 after its end.
	metricInterference = "limpettrail_interference_thousandths"
	otherClass         = "other"

	metricEvacuatedZones    = "limpettrail_evacuated_zones"
	metricEvacuationReadAge = "limpettrail_evacuation_read_age_milliseconds"
)

// Gauge is the name and value of an exported gauge.
type Gauge struct {
	Name  string
	Value int64
}

// entryMetrics is the registry of one entry.
type entryMetrics struct {
	registry gometrics.Registry
	mu       sync.Mutex // held while counters are raised to a total
}

func newEntryMetrics() *entryMetrics { return &entryMetrics{registry: gometrics.NewRegistry()} }

func (m *entryMetrics) count(name string) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// raise sets a counter to a total that was counted elsewhere. Scrapes run at the same time, so
// an earlier total may come later.
func (m *entryMetrics) raise(name string, total int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := gometrics.GetOrRegisterCounter(name, m.registry)
	c.Inc(max(0, total-c.Count()))
}

func (m *entryMetrics) gauge(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// countAnswer records the outcome of one job and, if it is complete, the response
// time.
func (e *Entry) countAnswer(x *entry.Answer) {
	sub := e.table.get(x.Submission)
	if sub == nil {
		return
	}
	class, within := e.classTarget(sub.class)
	elapsed := time.Since(sub.accepted)
	e.metrics.count(metrics.Name(metricJobs, "class", class, "outcome", x.Answer.Outcome.String()))
	if x.Answer.Outcome == entry.Refused {
		e.metrics.count(metrics.Name(metricRefusals, "reason", x.Answer.Reason))
	}
	if x.Answer.Outcome != entry.Complete {
		return
	}
	metrics.DurationHistogram(e.metrics.registry, metrics.Name(metricResponse, "class", class)).Update(elapsed.Microseconds())
	if elapsed <= within {
		e.metrics.count(metrics.Name(metricTargetMet, "class", class))
	}
}

// classTarget returns the class label and the target response time of a class.
func (e *Entry) classTarget(class string) (string, time.Duration) {
	for _, c := range e.config.Load().Settings.Classes {
		if c.Name == class {
			return class, c.ResponseTarget
		}
	}
	return otherClass, 0
}

// collect updates the gauges and the message counters.
func (e *Entry) collect() {
	e.metrics.gauge(metricLinks, e.links.Load())
	e.metrics.gauge(metricVersion, e.config.Load().Version)
	e.collectShares()
	if e.opts.LogGauges != nil {
		for _, g := range e.opts.LogGauges() {
			e.metrics.gauge(g.Name, g.Value)
		}
	}
	s, ok := e.queryCoreStatus()
	if !ok {
		return
	}
	e.metrics.gauge(metricInFlight, int64(s.Jobs))
	for _, p := range s.Interference {
		e.metrics.gauge(metrics.Name(metricInterference, "victim", p.Victim, "neighbour", p.Neighbour), int64(1000*p.Effect))
	}
	if s.evacuationsRead || s.EvacuationsAsOf > 0 {
		e.metrics.gauge(metricEvacuatedZones, int64(len(s.EvacuatedZones)))
	}
	if s.evacuationsRead {
		e.metrics.gauge(metricEvacuationReadAge, s.evacuationReadAge.Milliseconds())
	}
	for kind, n := range map[string]uint64{
		"start": s.Stats.Starts, "result": s.Stats.Results, "refused": s.Stats.Refused,
		"cancel": s.Stats.Cancels, "query": s.Stats.Queries, "late": s.Stats.Late,
		"heartbeat": s.Stats.Heartbeats,
	} {
		e.metrics.raise(metrics.Name(metricMessages, "kind", kind), int64(n))
	}
}

// emitEvacuations logs the zones whose evacuation has begun or ended.
func (e *Entry) emitEvacuations(x entry.EvacuationsChanged) {
	e.emitZones(eventlog.ZoneEvacuated, &x, x.Evacuations.Zones, x.Before)
	e.emitZones(eventlog.ZoneEvacuationEnded, &x, x.Before, x.Evacuations.Zones)
}

// emitZones logs an event for each zone that is in zones and not in others.
func (e *Entry) emitZones(code eventlog.Code, x *entry.EvacuationsChanged, zones, others []string) {
	for _, zone := range zones {
		if !slices.Contains(others, zone) {
			e.log.Emit(code, eventlog.Fields{Detail: zone, Peer: x.Agent, Age: x.ReadAge, Count: x.Evacuations.AsOf})
		}
	}
}

// emitContainment logs and counts a class that was contained or released.
func (e *Entry) emitContainment(x entry.ContainmentChanged) {
	code, contained := eventlog.ClassReleased, int64(0)
	if x.Contained {
		code, contained = eventlog.ClassContained, 1
	}
	e.log.Emit(code, eventlog.Fields{Class: x.Class})
	e.metrics.gauge(metrics.Name(metricContained, "class", x.Class), contained)
}

// emitInterference logs a pair of classes that was found to slow each other down, or is
// no longer, and the figures behind it.
func (e *Entry) emitInterference(x entry.InterferenceChanged) {
	p := x.Pair
	f := eventlog.Fields{
		Class: p.Victim, Peer: p.Neighbour, Count: int64(p.Runs),
		Detail: fmt.Sprintf("each slot adds %.1f%% (standard error %.1f%%), %d agents", 100*p.Effect, 100*p.Error, p.Agents),
	}
	code, effect := eventlog.InterferenceFound, int64(1000*p.Effect)
	if !x.Found {
		code, effect = eventlog.InterferenceEnded, 0
		f.Duration = e.now() - p.Since
	}
	e.log.Emit(code, f)
	e.metrics.gauge(metrics.Name(metricInterference, "victim", p.Victim, "neighbour", p.Neighbour), effect)
}
