package load

import (
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
)

// relays count the bytes between agents and entries.
type relays []*faultproxy.Proxy

// add starts the relay of one entry.
func (r *relays) add(int) (dev.Relay, error) {
	p, err := faultproxy.Start("")
	if err != nil {
		return nil, err
	}
	*r = append(*r, p)
	return p, nil
}

func (r relays) close() {
	for _, p := range r {
		p.Close()
	}
}

// count returns the bytes passed on so far.
func (r relays) count() ControlBytes {
	var c ControlBytes
	for _, p := range r {
		c.ToEntries += p.Bytes(faultproxy.ToServer)
		c.ToAgents += p.Bytes(faultproxy.ToClient)
	}
	return c
}

// control returns the bytes since before, or nil if they are not counted.
func (r relays) control(before ControlBytes, res *Result, agents int) *ControlBytes {
	if len(r) == 0 {
		return nil
	}
	c := r.count()
	c.ToAgents -= before.ToAgents
	c.ToEntries -= before.ToEntries
	c.Payload = res.payload
	rest := float64(c.ToAgents+c.ToEntries) - float64(c.Payload)
	c.PerAgentSecond = rest / float64(agents) / res.Seconds
	return &c
}
