package entryd

import (
	"net/http"
	"strconv"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/operatorhttp"
)

// Status is the body of GET /status.
type Status struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Incarnation   string `json:"incarnation"` // hexadecimal
	UptimeMS      int64  `json:"uptime_ms"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	ConfigVersion int64  `json:"config_version"`
	Links         int64  `json:"agent_links"`
	PeerCalls     int64  `json:"peer_calls"` // connections of other entries
	Requests      int64  `json:"requests"`
	PendingBytes  int64  `json:"pending_bytes"`
	Records       int    `json:"records"`
	AnswerBytes   int64  `json:"answer_bytes"`
	Log           any    `json:"log,omitempty"`
	coreStatus
}

func (e *Entry) operatorHandler() http.Handler {
	return operatorhttp.Handler(operatorhttp.Options{
		Log:      e.log,
		Registry: e.metrics.registry,
		Collect:  e.collect,
		Healthy:  e.healthy,
		Ready: func() (any, bool) {
			r := e.readiness()
			return r, r.Ready
		},
		Status: func() any { return e.status() },
	})
}

// queryCoreStatus returns the status of the core goroutine, or false if it does not
// answer within one second.
func (e *Entry) queryCoreStatus() (coreStatus, bool) {
	reply := make(chan coreStatus, 1)
	timeout := time.NewTimer(time.Second)
	defer timeout.Stop()
	select {
	case e.events <- statusQuery{reply: reply}:
	case <-timeout.C:
		return coreStatus{}, false
	case <-e.ctx.Done():
		return coreStatus{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-timeout.C:
		return coreStatus{}, false
	case <-e.ctx.Done():
		return coreStatus{}, false
	}
}

// healthy reports whether the core goroutine answers.
func (e *Entry) healthy() (any, bool) {
	_, ok := e.queryCoreStatus()
	return map[string]bool{"healthy": ok}, ok
}

// readiness is the body of GET /readyz. It shows which conditions for serving
// requests are met.
type readiness struct {
	Ready    bool `json:"ready"`
	Config   bool `json:"config"`
	Agents   bool `json:"agents"`
	Draining bool `json:"draining"`
}

func (e *Entry) readiness() readiness {
	c := e.config.Load()
	r := readiness{
		Config:   c.Version > 0 || len(c.Settings.Classes) > 0,
		Agents:   e.links.Load() > 0,
		Draining: e.draining.Load(),
	}
	r.Ready = r.Config && r.Agents && !r.Draining
	return r
}

// Requests returns the number of callers' requests in progress.
func (e *Entry) Requests() int { return int(e.requests.Load()) }

// Links returns the number of connected agents.
func (e *Entry) Links() int { return int(e.links.Load()) }

// Ready reports whether the entry can accept jobs.
func (e *Entry) Ready() bool { return e.readiness().Ready }

func (e *Entry) status() Status {
	s := Status{
		Name: e.opts.Name, Zone: e.opts.Zone, Incarnation: formatIncarnation(e.Incarnation()),
		UptimeMS: e.now().Milliseconds(), Ready: e.readiness().Ready, Draining: e.draining.Load(),
		ConfigVersion: e.config.Load().Version, Links: e.links.Load(),
		PeerCalls: e.rpcConns.Load(), Requests: e.requests.Load(), PendingBytes: e.pendingBytes.Load(),
	}
	s.Records, s.AnswerBytes = e.table.size()
	s.coreStatus, _ = e.queryCoreStatus()
	if e.opts.LogStatus != nil {
		s.Log = e.opts.LogStatus()
	}
	return s
}

func formatIncarnation(i wire.Incarnation) string { return strconv.FormatUint(uint64(i), 16) }
