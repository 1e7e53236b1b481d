package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	rackBuckets     = 32
	sendMemory      = 8                      // sends remembered for the share in transit
	rttInitial      = time.Millisecond       // before a round trip was measured
	rttWeight       = 0.1                    // of the newest sample that is not a minimum
	othersWeight    = 0.05                   // of the newest report in the long-run mean
	waitUnitWeight  = 0.2                    // of the newest report in the agent's own estimate
	forgetDownAgent = time.Minute            // how long a disconnected agent is remembered
	maxWaitUnit     = 200 * time.Millisecond // reports above it mean a hold, not a queue
	minWaitUnit     = 2 * time.Millisecond   // least expected wait for each queued task
)

// agentState is what the scheduler knows and believes of one agent.
type agentState struct {
	info   AgentInfo
	up     bool
	downAt time.Duration
	rack   int // bucket
	remote bool
	index  int // in the list of connected agents

	placed     int     // own attempts in flight
	taken      float64 // slots that they take
	others     float64 // tasks of other entries, as of the last report
	meanOthers float64 // their long-run mean
	reportedAt time.Duration
	reported   bool
	sends      [sendMemory]send
	nextSend   int
	rtt        time.Duration
	waitUnit   time.Duration // the agent's own wait for each queued task

	speed  speed
	health health
	listed bool // in the list of agents that freed a slot
}

// send is one start that was sent.
type send struct {
	at    time.Duration
	slots float64
}

// sent records one start at time now.
func (a *agentState) sent(now time.Duration, slots float64) {
	a.placed++
	a.taken += slots
	a.sends[a.nextSend] = send{at: now, slots: slots}
	a.nextSend = (a.nextSend + 1) % sendMemory
}

// ended records the end of an attempt.
func (a *agentState) ended(slots float64) {
	a.placed--
	a.taken -= slots
	if a.placed == 0 {
		a.taken = 0 // no rounding error is kept
	}
}

// inTransit sums the slots of the starts that a report received now cannot
// include.
func (a *agentState) inTransit(now time.Duration) float64 {
	sum := 0.0
	for _, s := range a.sends {
		if s.at > 0 && now-s.at < a.rtt {
			sum += s.slots
		}
	}
	return min(sum, a.taken)
}

// slotsOf returns how many of the agent's slots a task of the job takes.
func (a *agentState) slotsOf(job *Job) float64 {
	return a.info.Capacity.SlotsOf(job.Need, a.info.Slots)
}

// occupied returns the slots that tasks of all entries take, by the report.
func occupied(load *wire.Load) float64 {
	if load.Occupied > 0 {
		return float64(load.Occupied) / 1000
	}
	return float64(load.Running + load.Queued)
}

// observe takes a load report.
func (a *agentState) observe(now time.Duration, load wire.Load) {
	a.info.Load = load
	own := a.taken - a.inTransit(now)
	a.others = max(0, occupied(&load)-own)
	if !a.reported {
		a.meanOthers = a.others
	}
	a.meanOthers += (a.others - a.meanOthers) * othersWeight
	a.reported = true
	a.reportedAt = now
	if load.ExpectedWait > 0 {
		unit := load.ExpectedWait.Duration() / time.Duration(load.Queued+1)
		unit = min(unit, maxWaitUnit)
		a.waitUnit += time.Duration(float64(unit-a.waitUnit) * waitUnitWeight)
	}
}

// roundTrip records a measured round trip: the time an attempt took beyond its
// wait and run at the agent.
func (a *agentState) roundTrip(d time.Duration) {
	if d <= 0 {
		return
	}
	if a.rtt == 0 || d < a.rtt {
		a.rtt = d
		return
	}
	// Time in a busy shell inflates samples; follow them slowly.
	d = min(d, 2*a.rtt)
	a.rtt += time.Duration(float64(d-a.rtt) * rttWeight)
}

// limit returns the number of tasks that the agent runs at once.
func (a *agentState) limit() float64 {
	if l := a.info.Load.Limit; l > 0 {
		return float64(l)
	}
	return float64(a.info.Slots)
}

// believed returns the slots believed to be taken at the agent. The load
// of other entries moves from the last report towards its long-run mean as
// tasks of about meanRun end and others are placed.
func (a *agentState) believed(now, meanRun time.Duration, ageing bool) float64 {
	others := a.others
	if ageing && a.reported {
		age := float64(now-a.reportedAt) / float64(meanRun)
		others = a.meanOthers + (a.others-a.meanOthers)/(1+age+age*age/2)
	}
	return a.taken + others
}

// open reports whether the agent takes starts at all.
func (a *agentState) open() bool { return a.up && !a.info.Load.Draining }
