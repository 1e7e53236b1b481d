package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	rackBuckets                = 32                     // counters of tasks by hash of the rack
	recentSends                = 8                      // recent sends kept to find those in transit
	initialRTT                 = time.Millisecond       // assumed until a round trip was measured
	rttWeight                  = 0.1                    // weight of a sample that is longer than the current estimate
	otherSlotsWeight           = 0.05                   // weight of a new report in the long-term mean
	waitPerTaskWeight          = 0.2                    // weight of a new report in the wait per queued task
	disconnectedAgentRetention = time.Minute            // how long the state of a disconnected agent is kept
	maxWaitPerTask             = 200 * time.Millisecond // cap of reported waits: longer ones come from a suspension of starts, not a queue
	minWaitPerTask             = 2 * time.Millisecond   // lower bound of the expected wait per queued task
)

// agentState is what the scheduler knows and estimates about one agent.
type agentState struct {
	info           AgentInfo
	connected      bool
	disconnectedAt time.Duration
	rackBucket     int  // index in jobState.racks
	otherZone      bool // in another zone than the entry
	index          int  // in Adaptive.connected

	inFlight       int               // this entry's attempts in flight
	ownSlots       float64           // slots used by these attempts
	otherSlots     float64           // slots used by tasks of other entries at the last report
	meanOtherSlots float64           // long-term mean of otherSlots
	reportedAt     time.Duration     // process time of the last report
	reported       bool              // a report was received since the agent connected
	sends          [recentSends]send // ring buffer of the latest starts
	nextSend       int               // index in sends
	rtt            time.Duration     // estimated round-trip time
	waitPerTask    time.Duration     // wait per queued task, from the agent's reports

	speed       speed
	health      health
	longRunning longRunningTasks
	attempts    attemptTimes
	classSlots  classSlots
	inFreed     bool          // listed in Adaptive.freed
	crashedAt   time.Duration // when a run of this entry last ended with the worker's crash; 0 if never
	// quarantined marks an agent that runs the contained classes of its pool while
	// there are any.
	quarantined bool
	// evacuated states that the agent's zone is evacuated, as far as this entry or the agent
	// knows. returning states that it was until returnedAt,
	// see returnGroup.
	evacuated  bool
	returning  bool
	returnedAt time.Duration
}

// send is a start that was sent to an agent.
type send struct {
	at    time.Duration
	slots float64
	class int // index of the class in interferenceState, -1 if it has none
}

// recordStart records a start.
func (a *agentState) recordStart(now time.Duration, slots float64, class int) {
	a.inFlight++
	a.ownSlots += slots
	a.sends[a.nextSend] = send{at: now, slots: slots, class: class}
	a.nextSend = (a.nextSend + 1) % recentSends
}

// recordEnd records the end of an attempt.
func (a *agentState) recordEnd(slots float64) {
	a.inFlight--
	a.ownSlots -= slots
	if a.inFlight == 0 {
		a.ownSlots = 0 // clear accumulated rounding errors
	}
}

// inTransit returns the slots of the starts that were sent less than a round trip
// ago: a report received now cannot include them.
func (a *agentState) inTransit(now time.Duration) float64 {
	sum := 0.0
	for _, s := range a.sends {
		if s.at > 0 && now-s.at < a.rtt {
			sum += s.slots
		}
	}
	return min(sum, a.ownSlots)
}

// inTransitOf returns the part of inTransit that starts of a class take.
func (a *agentState) inTransitOf(class int, now time.Duration) float32 {
	sum := 0.0
	for _, s := range a.sends {
		if s.at > 0 && now-s.at < a.rtt && s.class == class {
			sum += s.slots
		}
	}
	return min(float32(sum), a.classSlots.own[class])
}

// slotsOf returns how many of the agent's slots a task of the job uses.
func (a *agentState) slotsOf(job *Job) float64 {
	return a.info.Capacity.SlotsFor(job.Need, a.info.Slots)
}

// reportedSlots returns the slots used by tasks of all entries, according to the report.
func reportedSlots(load *wire.Load) float64 {
	if load.Occupied > 0 {
		return float64(load.Occupied) / 1000
	}
	return float64(load.Running + load.Queued)
}

// observe applies a load report.
func (a *agentState) observe(now time.Duration, load wire.Load) {
	a.info.Load = load
	own := a.ownSlots - a.inTransit(now)
	a.otherSlots = max(0, reportedSlots(&load)-own)
	if !a.reported {
		a.meanOtherSlots = a.otherSlots
	}
	a.meanOtherSlots += (a.otherSlots - a.meanOtherSlots) * otherSlotsWeight
	a.reported = true
	a.reportedAt = now
	if load.ExpectedWait > 0 {
		perTask := load.ExpectedWait.Duration() / time.Duration(load.Queued+1)
		perTask = min(perTask, maxWaitPerTask)
		a.waitPerTask += time.Duration(float64(perTask-a.waitPerTask) * waitPerTaskWeight)
	}
}

// observeRoundTrip records a measured round-trip time: the duration of an attempt
// less its wait and run time at the agent.
func (a *agentState) observeRoundTrip(d time.Duration) {
	if d <= 0 {
		return
	}
	if a.rtt == 0 || d < a.rtt {
		a.rtt = d
		return
	}
	// Samples include processing time in busy processes, so the estimate rises slowly.
	d = min(d, 2*a.rtt)
	a.rtt += time.Duration(float64(d-a.rtt) * rttWeight)
}

// limit returns the number of tasks that the agent runs concurrently.
func (a *agentState) limit() float64 {
	if l := a.info.Load.Limit; l > 0 {
		return float64(l)
	}
	return float64(a.info.Slots)
}

// usedSlots estimates the slots in use at the agent. As the last report gets older
// in units of meanRun, the load of other entries is assumed to move from the reported
// value towards its long-term mean, since tasks end and others are placed.
func (a *agentState) usedSlots(now, meanRun time.Duration, ageing bool) float64 {
	others := a.otherSlots
	if ageing && a.reported {
		age := float64(now-a.reportedAt) / float64(meanRun)
		others = a.meanOtherSlots + (a.otherSlots-a.meanOtherSlots)/(1+age+age*age/2)
	}
	return a.ownSlots + others
}

// acceptsStarts reports whether the agent is connected, not draining and not evacuated.
func (a *agentState) acceptsStarts() bool {
	return a.connected && !a.info.Load.Draining && !a.evacuated
}
