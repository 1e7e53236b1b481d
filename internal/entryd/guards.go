package entryd

import (
	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/internal/ingressd"
	"github.com/limpettrail/limpettrail/internal/metrics"
)

// Names of the metrics of shares.
const (
	metricIngressBytes            = "limpettrail_ingress_bytes"
	metricIngressBytesLimit       = "limpettrail_ingress_bytes_limit"
	metricIngressConnections      = "limpettrail_ingress_connections"
	metricIngressConnectionsLimit = "limpettrail_ingress_connections_limit"
	metricIngressWaited           = "limpettrail_ingress_waited"
	metricIngress                 = "limpettrail_ingress_total"
)

// peerReceiveBuffer is the size of the receive buffers of agents and other entries.
const peerReceiveBuffer = 64 << 10

const sharePeers = "peers"

// guards keep the accounts of the entry's listeners.
type guards struct{ callers, peers, operators *ingressd.Guard }

func (e *Entry) newGuards() guards {
	keep := e.opts.KeepHeaders
	guard := func(share string, l ingress.Limits, buffer int) *ingressd.Guard {
		return ingressd.New(ingressd.Options{
			Share: share, Limits: l, Log: e.log, ReceiveBuffer: buffer, Frames: share == sharePeers, KeepHeaders: keep,
			Refusal: `{"outcome":"refused","reason":"` + ReasonTooManyRequests + `","error":"` + ReasonTooManyRequests + `"}`,
		})
	}
	s := &e.opts.Shares
	return guards{
		callers:   guard("callers", s.Callers, int(ingress.ReceiveBuffer)),
		peers:     guard(sharePeers, s.Peers, peerReceiveBuffer),
		operators: guard("operators", s.Operators, int(ingress.ReceiveBuffer)),
	}
}

func (g guards) all() []*ingressd.Guard { return []*ingressd.Guard{g.callers, g.peers, g.operators} }

func (g guards) close() {
	for _, x := range g.all() {
		x.Close()
	}
}

// collectShares updates the metrics of the shares.
func (e *Entry) collectShares() {
	e.metrics.gauge(metrics.Name(metricIngressBytes, "share", shareFrames), e.frames.used.Load())
	e.metrics.gauge(metrics.Name(metricIngressBytesLimit, "share", shareFrames), e.frames.size)
	e.metrics.gauge(metrics.Name(metricIngressWaited, "share", shareFrames), e.frames.waited.Load())
	for _, g := range e.guards.all() {
		s, l := g.Stats(), g.Limits()
		for name, v := range map[string]int64{
			metricIngressBytes: s.Bytes, metricIngressBytesLimit: l.Bytes,
			metricIngressConnections: int64(s.Connections), metricIngressConnectionsLimit: int64(l.Connections),
		} {
			e.metrics.gauge(metrics.Name(name, "share", g.Share()), v)
		}
		for _, r := range ingress.Reasons() {
			e.metrics.raise(metrics.Name(metricIngress, "share", g.Share(), "reason", r.String()), int64(s.Counts[r]))
		}
	}
}
