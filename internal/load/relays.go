package load

import (
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
)

// linkRelays are relays on the links between agents and entries that count the
// bytes in each direction, one for each entry.
type linkRelays []*faultproxy.Proxy

// add starts the relay for one entry.
func (r *linkRelays) add(int) (dev.Relay, error) {
	p, err := faultproxy.Start("")
	if err != nil {
		return nil, err
	}
	*r = append(*r, p)
	return p, nil
}

func (r linkRelays) close() {
	for _, p := range r {
		p.Close()
	}
}

// totals returns the bytes relayed so far.
func (r linkRelays) totals() ControlBytes {
	var c ControlBytes
	for _, p := range r {
		c.ToEntries += p.Bytes(faultproxy.ToServer)
		c.ToAgents += p.Bytes(faultproxy.ToClient)
	}
	return c
}

// controlBytes returns the bytes relayed since the totals in before, or nil if
// bytes are not counted.
func (r linkRelays) controlBytes(before ControlBytes, res *Result, agents int) *ControlBytes {
	if len(r) == 0 {
		return nil
	}
	c := r.totals()
	c.ToAgents -= before.ToAgents
	c.ToEntries -= before.ToEntries
	c.Payload = res.payloadBytes
	control := float64(c.ToAgents+c.ToEntries) - float64(c.Payload)
	c.PerAgentSecond = control / float64(agents) / res.Seconds
	return &c
}
