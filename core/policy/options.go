package policy

import (
	"fmt"
	"time"
)

// Parts is a set of optional parts of the Adaptive scheduler.
type Parts uint32

// Parts that Options.Disable can switch off, for ablation measurements.
const (
	// PartEstimates: run times learned from observation. Without it only declared
	// run times and the default are used.
	PartEstimates Parts = 1 << iota
	// PartSlackOrder: jobs with the least slack first. Without it, order of arrival.
	PartSlackOrder
	// PartSpread: a job's tasks are spread over racks.
	PartSpread
	// PartSpeed: placement considers the measured speed of each agent.
	PartSpeed
	// PartHealth: slow start, ejection and trials of agents, and stuck runs.
	PartHealth
	// PartMaxWait: each start bounds the queueing delay at the agent. Without it
	// any delay is accepted.
	PartMaxWait
	// PartLookAhead: under backlog, tasks are queued at agents in advance.
	PartLookAhead
	// PartFairness: fair shares of teams within a class.
	PartFairness
	// PartAgeing: the load of other entries that an agent reported is extrapolated
	// as the report gets older.
	PartAgeing
	// PartAdmission: jobs are refused early by backlog, quota and expected run time.
	PartAdmission
	// PartContainment: a class whose jobs make workers crash runs on a part of the
	// workers only.
	PartContainment
	// PartResubmitted: jobs that callers send again after their target has passed go behind
	// those that can still meet it.
	PartResubmitted
)

var partNames = map[string]Parts{
	"estimates": PartEstimates, "slack-order": PartSlackOrder, "spread": PartSpread,
	"speed": PartSpeed, "health": PartHealth, "max-wait": PartMaxWait,
	"look-ahead": PartLookAhead, "fairness": PartFairness, "ageing": PartAgeing,
	"admission": PartAdmission, "containment": PartContainment,
	"resubmitted": PartResubmitted,
}

// PartByName returns the part with the given name, such as "look-ahead". It
// returns an error if there is no such part.
func PartByName(name string) (Parts, error) {
	if p, ok := partNames[name]; ok {
		return p, nil
	}
	return 0, fmt.Errorf("unknown scheduler part %q", name)
}

// Options configure an Adaptive scheduler. Zero values take the defaults.
type Options struct {
	// Seed seeds the random generator. Entries must use different seeds, since
	// random numbers break ties between agents of equal cost.
	Seed uint64
	// Zone is the entry's availability zone.
	Zone string
	// Disable is the set of parts to switch off.
	Disable Parts
	// MaxWaiting bounds the number of waiting tasks. The default is 50,000.
	MaxWaiting int
	// SampleAgents is the number of agents examined for one decision when more are
	// connected. The default is 32.
	SampleAgents int
	// LinkBytesPerSecond is the bandwidth of the entry's own link in bytes per second. Each
	// further agent on which a job's tasks are placed costs the time to send the
	// job's payload over the link. 0 means unlimited bandwidth.
	LinkBytesPerSecond float64
	// ZoneDelay is the assumed one-way delay between zones, which is added to the
	// cost of agents in other zones. The default is 1 ms.
	ZoneDelay time.Duration
	// Interference says what is done about classes that slow each other down. It
	// needs agents that report neighbours.
	Interference Interference
}

// Defaults of Options.
const (
	DefaultMaxWaiting   = 50_000
	DefaultSampleAgents = 32
	DefaultZoneDelay    = time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.SampleAgents <= 0 {
		o.SampleAgents = DefaultSampleAgents
	}
	if o.ZoneDelay <= 0 {
		o.ZoneDelay = DefaultZoneDelay
	}
	return o
}

func (o Options) enabled(p Parts) bool { return o.Disable&p == 0 }

// Names of schedulers, for ByName.
const (
	NameAdaptive  = "adaptive"
	NameLeastBusy = "least-busy"
)

// ByName returns a new scheduler, NameAdaptive or NameLeastBusy, for an entry with
// the given seed and zone. Any other name is an error.
func ByName(name string, seed uint64, zone string) (Scheduler, error) {
	switch name {
	case NameAdaptive:
		return New(Options{Seed: seed, Zone: zone}), nil
	case NameLeastBusy:
		return NewLeastBusy(), nil
	}
	return nil, fmt.Errorf("unknown scheduler %q, want %q or %q", name, NameAdaptive, NameLeastBusy)
}
