package agentd

import (
	"net/http"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/metrics"
	"github.com/limpettrail/limpettrail/internal/operatorhttp"
)

// statusTimeout bounds the wait for the core goroutine's answer.
const statusTimeout = time.Second

// Status is the body of GET /status of an agent.
type Status struct {
	Name          string    `json:"name"`
	Zone          string    `json:"zone"`
	Rack          string    `json:"rack"`
	Incarnation   string    `json:"incarnation"` // hexadecimal
	UptimeMS      int64     `json:"uptime_ms"`
	Ready         bool      `json:"ready"`
	ConfigVersion int64     `json:"config_version"`
	Entries       []string  `json:"entry_links"`
	Load          wire.Load `json:"load"`
	// EvacuatedZones and EvacuationsAsOf are the newest known requests to evacuate zones.
	EvacuatedZones  []string `json:"evacuated_zones,omitempty"`
	EvacuationsAsOf int64    `json:"evacuations_as_of,omitempty"`
}

// coreStatus is the part of Status that the core goroutine supplies.
type coreStatus struct {
	load    wire.Load
	entries []string

	evacuations wire.Evacuations
}

// statusQuery is the event that makes the core goroutine send its status.
type statusQuery struct{ reply chan<- coreStatus }

func (c *core) status() coreStatus {
	s := coreStatus{load: c.machine.Load(c.clock.Now()), evacuations: c.machine.Evacuations()}
	for _, l := range c.links {
		s.entries = append(s.entries, l.hello.Name)
	}
	return s
}

// Status returns the agent's status. It returns false if the core goroutine does
// not answer in time or the agent has ended.
func (a *Agent) Status() (Status, bool) {
	reply := make(chan coreStatus, 1)
	timeout := time.NewTimer(statusTimeout)
	defer timeout.Stop()
	select {
	case a.events <- statusQuery{reply: reply}:
	case <-timeout.C:
		return Status{}, false
	case <-a.ctx.Done():
		return Status{}, false
	}
	select {
	case s := <-reply:
		return a.newStatus(s), true
	case <-timeout.C:
		return Status{}, false
	case <-a.ctx.Done():
		return Status{}, false
	}
}

// newStatus completes the status of the core goroutine. An agent is ready if it is
// linked to an entry, not draining, and its upstream is reachable.
func (a *Agent) newStatus(s coreStatus) Status {
	return Status{
		Name: a.opts.Name, Zone: a.opts.Zone, Rack: a.opts.Rack,
		Incarnation:   strconv.FormatUint(uint64(a.opts.Incarnation), 16),
		UptimeMS:      a.clock.Now().Milliseconds(),
		Ready:         len(s.entries) > 0 && !s.load.Draining && !s.load.Down,
		ConfigVersion: a.configVersion.Load(),
		Entries:       s.entries,
		Load:          s.load,

		EvacuatedZones: s.evacuations.Zones, EvacuationsAsOf: s.evacuations.AsOf,
	}
}

// OperatorHandler returns the handler of the agent's operator endpoints.
func (a *Agent) OperatorHandler() http.Handler {
	m := newAgentMetrics()
	return operatorhttp.Handler(operatorhttp.Options{
		Log:      a.opts.Log,
		Registry: m.registry,
		Collect: func() {
			if s, ok := a.Status(); ok {
				m.update(&s)
			}
		},
		Healthy: func() (any, bool) {
			_, ok := a.Status()
			return map[string]bool{"healthy": ok}, ok
		},
		Ready: func() (any, bool) {
			s, _ := a.Status()
			return map[string]bool{"ready": s.Ready}, s.Ready
		},
		Status: func() any {
			s, _ := a.Status()
			return s
		},
	})
}

// agentMetrics holds the metrics that the agent exports.
type agentMetrics struct{ registry gometrics.Registry }

func newAgentMetrics() *agentMetrics { return &agentMetrics{registry: gometrics.NewRegistry()} }

func (m *agentMetrics) update(s *Status) {
	m.gauge("limpettrail_slots", int64(s.Load.Slots))
	m.gauge("limpettrail_concurrency_limit", int64(s.Load.Limit))
	m.gauge("limpettrail_tasks_running", int64(s.Load.Running))
	m.gauge("limpettrail_tasks_queued", int64(s.Load.Queued))
	m.gauge("limpettrail_expected_wait_microseconds", int64(s.Load.ExpectedWait))
	m.gauge("limpettrail_entry_links", int64(len(s.Entries)))
	m.gauge("limpettrail_config_version", s.ConfigVersion)
	m.gauge("limpettrail_agent_evacuated", boolGauge(s.Load.Evacuated))
	m.counter(metrics.Name("limpettrail_runs_total", "outcome", "succeeded"), s.Load.Successes)
	m.counter(metrics.Name("limpettrail_runs_total", "outcome", "failed"), s.Load.Failures)
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m *agentMetrics) gauge(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// counter sets an exported counter to a total that is counted elsewhere.
func (m *agentMetrics) counter(name string, total uint64) {
	c := gometrics.GetOrRegisterCounter(name, m.registry)
	c.Inc(int64(total) - c.Count())
}
