package faultmatrix

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	shortPause  = 1500 * time.Millisecond // below every lease
	lapsedPause = 12 * time.Second        // above AgentLease
	outage      = 4 * time.Second
	lateBy      = 6 * time.Second // beyond every deadline
	slowLog     = 700 * time.Millisecond
)

// fault is one row of the matrix.
type fault struct {
	name string
	// checks are the promises that the fault may threaten most.
	checks string
	inject func(w *world, e, a int)
	// harmless says that the fault alone must cost no accepted job.
	harmless bool
	// onlyAt restricts the fault to one step; elsewhere it cannot occur, because of why.
	onlyAt step
	why    string
}

// kill ends a process; gone tells the others.
func (w *world) kill(p *proc, gone func()) {
	if p.dead {
		return
	}
	p.dead = true
	p.inbox = nil
	w.extend(restartPause)
	gone()
}

// closeEntry resets the entry's connections and starts its successor.
func (w *world) closeEntry(e *entryNode) {
	for _, a := range w.agents {
		if c := a.conns[e.i]; c != nil && c.entry == e {
			c.send(toAgent, func() { c.close(toAgent) })
		}
	}
	for _, id := range sortedIDs(w.calls) {
		if c := w.calls[id]; c.entry == e && !c.over {
			w.after(hop, func() { c.breakOff(w) })
		}
	}
	w.after(restartPause, func() { w.startEntry(e.i) })
}

func (w *world) closeAgent(a *agentNode) {
	for _, c := range a.conns {
		if c != nil {
			c.send(toEntry, func() { c.close(toEntry) })
		}
	}
	w.after(restartPause, func() {
		w.startAgent(a.k)
		w.dialAll(w.agents[a.k])
	})
}

func killEntry(w *world, e, _ int) { n := w.entries[e]; w.kill(&n.proc, func() { w.closeEntry(n) }) }
func killAgent(w *world, _, a int) { n := w.agents[a]; w.kill(&n.proc, func() { w.closeAgent(n) }) }

func killUpstream(w *world, _, a int) {
	up := w.ups[a]
	w.kill(&up.proc, func() {
		for _, lost := range up.runs {
			lost()
		}
		w.after(restartPause, func() { w.ups[a] = &upstreamNode{slow: 1} })
	})
}

func killLog(w *world, _, _ int) {
	w.log.down = true
	w.extend(outage)
	w.after(outage, func() { w.log.down = false })
}

// silence makes the current connections of a pair silent; new ones work.
func silence(dirs ...direction) func(w *world, e, a int) {
	return func(w *world, e, a int) {
		for _, d := range dirs {
			if c := w.agents[a].conns[e]; c != nil {
				c.silent[d] = true
			}
		}
		w.extend(linkSilence)
	}
}

func cutLink(w *world, e, a int) {
	if c := w.agents[a].conns[e]; c != nil {
		c.cut()
	}
}

// loseReplies loses the results on the link, the next append's reply and the
// next answer to a caller, all after their effect.
func loseReplies(w *world, e, a int) {
	silence(toEntry)(w, e, a)
	cutLink(w, e, a)
	w.log.loseReplies++
	w.loseAnswers++
	w.extend(claimWait)
}

// delayReplies holds what the agent says until every deadline has passed.
func delayReplies(w *world, e, a int) {
	if c := w.agents[a].conns[e]; c != nil {
		c.hold(toEntry, lateBy)
	}
}

// staleResults hands each entry the other entries' next results and its own a
// second time, as frames of a connection that was replaced.
func staleResults(w *world, e, a int) {
	n := w.agents[a]
	f := &wire.ToEntry{Load: wire.Load{Slots: slots}}
	for seq := wire.Seq(1); seq < 20; seq++ {
		f.Results = append(f.Results, wire.Result{Seq: seq, Outcome: wire.Succeeded, Body: []byte("crossed")})
	}
	old := n.conns[e].epoch
	cutLink(w, e, a)
	for _, to := range w.entries {
		w.later(&to.proc, redialPause+5*hop, func() {
			if c := to.conns[n.inc]; c != nil && c.epoch == old && !c.closed[toEntry] {
				return // not replaced yet: TCP repeats no frame within a connection
			}
			to.step(entry.Received{Agent: n.inc, Epoch: old, Frame: f})
			to.step(entry.Received{Agent: n.inc + 1<<32, Epoch: old, Frame: f})
		})
	}
}

func raceOperators(w *world, _, _ int) {
	w.after(0, func() {
		w.publish(600 * time.Millisecond)
		w.publish(650 * time.Millisecond)
	})
}

// sizesOff makes the waiting tasks run 20 times as long as declared.
func sizesOff(w *world, _, _ int) {
	for _, id := range sortedIDs(w.calls) {
		w.calls[id].job.declared = time.Millisecond
	}
	for _, up := range w.ups {
		up.slow = 20
	}
	w.extend(outage)
	w.after(outage, func() {
		for _, up := range w.ups {
			up.slow = 1
		}
	})
}

// impossible submits a job that needs more than any worker has.
func impossible(w *world, e, _ int) {
	j := w.newJob(100 + w.faults)
	j.need = wire.Capacity{MilliCores: 1 << 30, Accelerators: 9}
	w.submit(j, e)
}

func cancelWave(w *world, _, _ int) {
	for _, id := range sortedIDs(w.calls) {
		if c := w.calls[id]; !c.over {
			w.later(&c.entry.proc, hop, func() { c.entry.step(entry.CancelJob{Submission: c.id}) })
		}
	}
}

func failAll(w *world, _, a int) {
	w.ups[a].failing = true
	w.extend(outage)
	w.after(outage, func() { w.ups[a].failing = false })
}

// loseRack kills two agents and their upstreams without closing connections.
func loseRack(w *world, e, a int) {
	for k := a / 2 * 2; k < a/2*2+2; k++ {
		for i := range entryCount {
			silence(toEntry, toAgent)(w, i, k)
		}
		killUpstream(w, e, k)
		killAgent(w, e, k)
	}
}

// loseZone kills an entry and every second agent with its upstream.
func loseZone(w *world, e, a int) {
	for k := a % 2; k < agentCount; k += 2 {
		for i := range entryCount {
			silence(toEntry, toAgent)(w, i, k)
		}
		killUpstream(w, e, k)
		killAgent(w, e, k)
	}
	killEntry(w, e, a)
}

func stopEntry(w *world, e, _ int) {
	n := w.entries[e]
	n.draining = true
	w.extend(outage)
	w.later(&n.proc, 0, func() { n.step(entry.Drain{}) })
}

func stopAgent(w *world, _, a int) {
	n := w.agents[a]
	w.extend(outage)
	w.later(&n.proc, 0, func() {
		n.draining, n.drainAt = true, w.now
		n.step(agent.Drain{})
	})
}

func restartAll(w *world, e, a int) {
	for k := range agentCount {
		killUpstream(w, e, k)
		killAgent(w, e, k)
	}
	for i := range entryCount {
		killEntry(w, i, a)
	}
}

func pauseEntry(d time.Duration) func(w *world, e, a int) {
	return func(w *world, e, _ int) { w.pause(&w.entries[e].proc, d) }
}

func pauseAgent(d time.Duration) func(w *world, e, a int) {
	return func(w *world, _, a int) { w.pause(&w.agents[a].proc, d) }
}

func straggler(w *world, _, a int) {
	w.ups[a].slow = 30
	w.extend(outage)
	w.after(outage, func() { w.ups[a].slow = 1 })
}

func delayLog(w *world, _, _ int) {
	w.log.delay = slowLog
	w.extend(outage)
	w.after(outage, func() { w.log.delay = hop })
}

const whyJob = "a property of the job, fixed when the entry accepts it"

// allFaults are the rows of the matrix.
var allFaults = []*fault{
	{name: "entry-killed", checks: "P1 P4 P5", inject: killEntry},
	{name: "agent-killed", checks: "P1 P4", inject: killAgent},
	{name: "upstream-killed", checks: "P1 P2 P4", inject: killUpstream},
	{name: "log-killed", checks: "P4 P5 P8", inject: killLog},
	{name: "entry-frozen", checks: "P1 P4", inject: pauseEntry(shortPause), harmless: true},
	{name: "agent-frozen", checks: "P1 P3", inject: pauseAgent(shortPause), harmless: true},
	{name: "upstream-frozen", checks: "P1 P4", inject: func(w *world, _, a int) { w.pause(&w.ups[a].proc, outage) }},
	{name: "log-frozen", checks: "P4 P5 P8", inject: func(w *world, _, _ int) { w.pause(&w.log.proc, outage) }},
	{name: "straggler", checks: "P1 P2 deadline", inject: straggler},
	{name: "link-cut", checks: "P1 P4", inject: cutLink, harmless: true},
	{name: "link-silent-to-entry", checks: "P1 P2", inject: silence(toEntry), harmless: true},
	{name: "link-silent-to-agent", checks: "P1 P4", inject: silence(toAgent), harmless: true},
	{name: "link-silent-both", checks: "P1 P4", inject: silence(toEntry, toAgent), harmless: true},
	{name: "reply-lost", checks: "P1 P5 P8", inject: loseReplies},
	{name: "reply-late", checks: "P2 P3 deadline", inject: delayReplies},
	{name: "reply-crossed", checks: "P2 P3", inject: staleResults, harmless: true},
	{name: "log-slow", checks: "P4 P5 P8", inject: delayLog},
	{name: "log-out-of-retention", checks: "P5 P8", inject: func(w *world, _, _ int) { w.after(0, w.log.expire) }},
	{name: "entry-lease-lapsed", checks: "P1 P4 P5", inject: pauseEntry(lapsedPause)},
	{name: "agent-lease-lapsed", checks: "P1 P4", inject: pauseAgent(lapsedPause)},
	{name: "operators-race", checks: "P8", inject: raceOperators, harmless: true},
	{name: "sizes-off", checks: "P1 P2 deadline", inject: sizesOff, onlyAt: stepAccepted, why: whyJob},
	{name: "job-impossible", checks: "P2 P4", inject: impossible, onlyAt: stepAccepted, why: whyJob},
	{name: "cancel-wave", checks: "P2 P4", inject: cancelWave},
	{name: "upstream-fails-all", checks: "P1 P2", inject: failAll},
	{name: "rack-lost", checks: "P1 P4 P8", inject: loseRack},
	{name: "zone-lost", checks: "P1 P4 P5 P8", inject: loseZone},
	{name: "entry-stopped", checks: "P7 P4", inject: stopEntry, harmless: true},
	{name: "agent-stopped", checks: "P6 P7", inject: stopAgent, harmless: true},
	{name: "upstream-stopped", checks: "P6 P7", inject: func(w *world, e, a int) {
		stopAgent(w, e, a)
		w.after(outage, func() { killUpstream(w, e, a) })
	}},
	{name: "log-stopped", checks: "P4 P5 P8", inject: func(w *world, e, a int) { w.after(hop, func() { killLog(w, e, a) }) }},
	{name: "all-restarted", checks: "P1 P4 P5 P8", inject: restartAll},
}
