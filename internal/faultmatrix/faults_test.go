package faultmatrix

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	pauseBelowLease  = 1500 * time.Millisecond // shorter than every lease
	pauseBeyondLease = 12 * time.Second        // longer than entry.DefaultLostAgentTimeout
	outageDuration   = 4 * time.Second
	resultDelay      = 6 * time.Second // longer than every deadline
	slowLogDelay     = 700 * time.Millisecond
)

// fault is one kind of fault, a row of the matrix.
type fault struct {
	name string
	// promises names the promises that the fault threatens most, separated by spaces.
	promises string
	// inject injects the fault at entry e or agent a.
	inject func(sim *simulation, e, a int)
	// harmless is set if the fault alone must not lose an accepted job.
	harmless bool
	// onlyAt, if not empty, is the only step at which the fault can occur.
	// onlyAtReason says why.
	onlyAt       step
	onlyAtReason string
}

// kill kills a process and calls onExit, which informs the other processes.
func (sim *simulation) kill(p *proc, onExit func()) {
	if p.dead {
		return
	}
	p.dead = true
	p.inbox = nil
	sim.faultLasts(restartDelay)
	onExit()
}

// closeEntry closes the connections of an exited entry and schedules the start of
// its successor.
func (sim *simulation) closeEntry(e *entryNode) {
	for _, a := range sim.agents {
		if c := a.conns[e.index]; c != nil && c.entry == e {
			c.send(toAgent, func() { c.close(toAgent) })
		}
	}
	for _, id := range sortedIDs(sim.submissions) {
		if sub := sim.submissions[id]; sub.entry == e && !sub.ended {
			sim.schedule(networkDelay, func() { sub.breakConnection(sim) })
		}
	}
	sim.schedule(restartDelay, func() { sim.startEntry(e.index) })
}

// closeAgent closes the connections of an exited agent and schedules the start of
// its successor.
func (sim *simulation) closeAgent(a *agentNode) {
	for _, c := range a.conns {
		if c != nil {
			c.send(toEntry, func() { c.close(toEntry) })
		}
	}
	sim.schedule(restartDelay, func() {
		sim.startAgent(a.index)
		sim.dialAll(sim.agents[a.index])
	})
}

func killEntry(sim *simulation, e, _ int) {
	n := sim.entries[e]
	sim.kill(&n.proc, func() { sim.closeEntry(n) })
}

func killAgent(sim *simulation, _, a int) {
	n := sim.agents[a]
	sim.kill(&n.proc, func() { sim.closeAgent(n) })
}

func killUpstream(sim *simulation, _, a int) {
	up := sim.upstreams[a]
	sim.kill(&up.proc, func() {
		for _, reportLoss := range up.onConnectionLoss {
			reportLoss()
		}
		sim.schedule(restartDelay, func() { sim.upstreams[a] = &upstreamNode{slowdown: 1} })
	})
}

func killLog(sim *simulation, _, _ int) {
	sim.log.unavailable = true
	sim.faultLasts(outageDuration)
	sim.schedule(outageDuration, func() { sim.log.unavailable = false })
}

// silence makes the current connection between an entry and an agent silent in
// the given directions. New connections work.
func silence(dirs ...direction) func(sim *simulation, e, a int) {
	return func(sim *simulation, e, a int) {
		for _, d := range dirs {
			if c := sim.agents[a].conns[e]; c != nil {
				c.silent[d] = true
			}
		}
		sim.faultLasts(linkTimeout)
	}
}

func cutLink(sim *simulation, e, a int) {
	if c := sim.agents[a].conns[e]; c != nil {
		c.cut()
	}
}

// loseReplies loses the results on the link, the reply to the next append and the
// next answer to a caller, each after the request took effect.
func loseReplies(sim *simulation, e, a int) {
	silence(toEntry)(sim, e, a)
	cutLink(sim, e, a)
	sim.log.repliesToLose++
	sim.answersToLose++
	sim.faultLasts(claimTimeout)
}

// delayReplies holds back the agent's messages on the current connection until every
// deadline has passed.
func delayReplies(sim *simulation, e, a int) {
	if c := sim.agents[a].conns[e]; c != nil {
		c.hold(toEntry, resultDelay)
	}
}

// staleResults delivers to each entry the next results of other entries, and its
// own results a second time, as frames of a replaced connection.
func staleResults(sim *simulation, e, a int) {
	n := sim.agents[a]
	f := &wire.ToEntry{Load: wire.Load{Slots: slots}}
	for seq := wire.Seq(1); seq < 20; seq++ {
		f.Results = append(f.Results, wire.Result{Seq: seq, Outcome: wire.Succeeded, Body: []byte("crossed")})
	}
	old := n.conns[e].epoch
	cutLink(sim, e, a)
	for _, to := range sim.entries {
		sim.runLater(&to.proc, redialDelay+5*networkDelay, func() {
			if c := to.conns[n.incarnation]; c != nil && c.epoch == old && !c.closed[toEntry] {
				return // not replaced yet, and TCP repeats no frame within a connection
			}
			to.step(entry.Received{Agent: n.incarnation, Epoch: old, Frame: f})
			to.step(entry.Received{Agent: n.incarnation + 1<<32, Epoch: old, Frame: f})
		})
	}
}

// raceOperators publishes two changes that are based on the same revision.
func raceOperators(sim *simulation, _, _ int) {
	sim.schedule(0, func() {
		sim.publish(600 * time.Millisecond)
		sim.publish(650 * time.Millisecond)
	})
}

// sizesOff makes tasks run 20 times as long as their payload states, for
// outageDuration, and sets the declared run time of known jobs to 1 ms.
func sizesOff(sim *simulation, _, _ int) {
	for _, id := range sortedIDs(sim.submissions) {
		sim.submissions[id].job.declaredRunTime = time.Millisecond
	}
	for _, up := range sim.upstreams {
		up.slowdown = 20
	}
	sim.faultLasts(outageDuration)
	sim.schedule(outageDuration, func() {
		for _, up := range sim.upstreams {
			up.slowdown = 1
		}
	})
}

// submitImpossibleJob submits a job that needs more capacity than any worker has.
func submitImpossibleJob(sim *simulation, e, _ int) {
	j := sim.newJob(100 + sim.injectedFaults)
	j.need = wire.Capacity{MilliCores: 1 << 30, Accelerators: 9}
	sim.submit(j, e)
}

// cancelWave cancels every submission that has not ended.
func cancelWave(sim *simulation, _, _ int) {
	for _, id := range sortedIDs(sim.submissions) {
		if sub := sim.submissions[id]; !sub.ended {
			sim.runLater(&sub.entry.proc, networkDelay, func() { sub.entry.step(entry.CancelJob{Submission: sub.id}) })
		}
	}
}

// failAllTasks makes every task of one upstream fail, for outageDuration.
func failAllTasks(sim *simulation, _, a int) {
	sim.upstreams[a].failing = true
	sim.faultLasts(outageDuration)
	sim.schedule(outageDuration, func() { sim.upstreams[a].failing = false })
}

// loseRack kills two agents and their upstreams. Their links become silent instead
// of closing.
func loseRack(sim *simulation, e, a int) {
	for k := a / 2 * 2; k < a/2*2+2; k++ {
		for i := range entryCount {
			silence(toEntry, toAgent)(sim, i, k)
		}
		killUpstream(sim, e, k)
		killAgent(sim, e, k)
	}
}

// loseZone kills an entry and every second agent with its upstream. The links of
// these agents become silent instead of closing.
func loseZone(sim *simulation, e, a int) {
	for k := a % 2; k < agentCount; k += 2 {
		for i := range entryCount {
			silence(toEntry, toAgent)(sim, i, k)
		}
		killUpstream(sim, e, k)
		killAgent(sim, e, k)
	}
	killEntry(sim, e, a)
}

// stopEntry begins the planned stop of an entry.
func stopEntry(sim *simulation, e, _ int) {
	n := sim.entries[e]
	n.draining = true
	sim.faultLasts(outageDuration)
	sim.runLater(&n.proc, 0, func() { n.step(entry.Drain{}) })
}

// stopAgent begins the planned stop of an agent.
func stopAgent(sim *simulation, _, a int) {
	n := sim.agents[a]
	sim.faultLasts(outageDuration)
	sim.runLater(&n.proc, 0, func() {
		n.draining, n.drainStartedAt = true, sim.now
		n.step(agent.Drain{})
	})
}

func restartAll(sim *simulation, e, a int) {
	for k := range agentCount {
		killUpstream(sim, e, k)
		killAgent(sim, e, k)
	}
	for i := range entryCount {
		killEntry(sim, i, a)
	}
}

func pauseEntry(d time.Duration) func(sim *simulation, e, a int) {
	return func(sim *simulation, e, _ int) { sim.pause(&sim.entries[e].proc, d) }
}

func pauseAgent(d time.Duration) func(sim *simulation, e, a int) {
	return func(sim *simulation, _, a int) { sim.pause(&sim.agents[a].proc, d) }
}

// slowUpstream makes the tasks of one upstream run 30 times as long, for
// outageDuration.
func slowUpstream(sim *simulation, _, a int) {
	sim.upstreams[a].slowdown = 30
	sim.faultLasts(outageDuration)
	sim.schedule(outageDuration, func() { sim.upstreams[a].slowdown = 1 })
}

func delayLog(sim *simulation, _, _ int) {
	sim.log.delay = slowLogDelay
	sim.faultLasts(outageDuration)
	sim.schedule(outageDuration, func() { sim.log.delay = networkDelay })
}

const reasonJobProperty = "a property of the job, fixed when the entry accepts it"

// allFaults are the rows of the matrix.
var allFaults = []*fault{
	{name: "entry-killed", promises: "P1 P4 P5", inject: killEntry},
	{name: "agent-killed", promises: "P1 P4", inject: killAgent},
	{name: "upstream-killed", promises: "P1 P2 P4", inject: killUpstream},
	{name: "log-killed", promises: "P4 P5 P8", inject: killLog},
	{name: "entry-frozen", promises: "P1 P4", inject: pauseEntry(pauseBelowLease), harmless: true},
	{name: "agent-frozen", promises: "P1 P3", inject: pauseAgent(pauseBelowLease), harmless: true},
	{name: "upstream-frozen", promises: "P1 P4", inject: func(sim *simulation, _, a int) { sim.pause(&sim.upstreams[a].proc, outageDuration) }},
	{name: "log-frozen", promises: "P4 P5 P8", inject: func(sim *simulation, _, _ int) { sim.pause(&sim.log.proc, outageDuration) }},
	{name: "straggler", promises: "P1 P2 deadline", inject: slowUpstream},
	{name: "link-cut", promises: "P1 P4", inject: cutLink, harmless: true},
	{name: "link-silent-to-entry", promises: "P1 P2", inject: silence(toEntry), harmless: true},
	{name: "link-silent-to-agent", promises: "P1 P4", inject: silence(toAgent), harmless: true},
	{name: "link-silent-both", promises: "P1 P4", inject: silence(toEntry, toAgent), harmless: true},
	{name: "reply-lost", promises: "P1 P5 P8", inject: loseReplies},
	{name: "reply-late", promises: "P2 P3 deadline", inject: delayReplies},
	{name: "reply-crossed", promises: "P2 P3", inject: staleResults, harmless: true},
	{name: "log-slow", promises: "P4 P5 P8", inject: delayLog},
	{name: "log-out-of-retention", promises: "P5 P8", inject: func(sim *simulation, _, _ int) { sim.schedule(0, sim.log.expireRecords) }},
	{name: "entry-lease-lapsed", promises: "P1 P4 P5", inject: pauseEntry(pauseBeyondLease)},
	{name: "agent-lease-lapsed", promises: "P1 P4", inject: pauseAgent(pauseBeyondLease)},
	{name: "operators-race", promises: "P8", inject: raceOperators, harmless: true},
	{name: "sizes-off", promises: "P1 P2 deadline", inject: sizesOff, onlyAt: stepAccepted, onlyAtReason: reasonJobProperty},
	{name: "job-impossible", promises: "P2 P4", inject: submitImpossibleJob, onlyAt: stepAccepted, onlyAtReason: reasonJobProperty},
	{name: "cancel-wave", promises: "P2 P4", inject: cancelWave},
	{name: "upstream-fails-all", promises: "P1 P2", inject: failAllTasks},
	{name: "rack-lost", promises: "P1 P4 P8", inject: loseRack},
	{name: "zone-lost", promises: "P1 P4 P5 P8", inject: loseZone},
	{name: "entry-stopped", promises: "P7 P4", inject: stopEntry, harmless: true},
	{name: "agent-stopped", promises: "P6 P7", inject: stopAgent, harmless: true},
	{name: "upstream-stopped", promises: "P6 P7", inject: func(sim *simulation, e, a int) {
		stopAgent(sim, e, a)
		sim.schedule(outageDuration, func() { killUpstream(sim, e, a) })
	}},
	{name: "log-stopped", promises: "P4 P5 P8", inject: func(sim *simulation, e, a int) { sim.schedule(networkDelay, func() { killLog(sim, e, a) }) }},
	{name: "all-restarted", promises: "P1 P4 P5 P8", inject: restartAll},
}
