package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/observer"
)

const (
	// ratioScale is the number of histogram units in a ratio of 1: ratios are
	// recorded in thousandths.
	ratioScale         = 1000
	maxRatio           = 1_000_000 * ratioScale
	maxResponse        = int64(time.Hour / time.Microsecond)
	significantDigits  = 3
	messagesPerRefusal = 2 // the refused start and the refusal
)

// Distribution summarises one quantity.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// ClassResult holds the results of one class, or of all classes together.
type ClassResult struct {
	Class     string `json:"class"`
	Jobs      int    `json:"jobs"`
	Complete  int    `json:"complete"`
	Failed    int    `json:"failed"`
	Refused   int    `json:"refused"`
	Unknown   int    `json:"unknown"`
	Broken    int    `json:"broken"`
	Abandoned int    `json:"abandoned"`
	// WithinTarget is the share of jobs that completed within the class target.
	// Jobs that the caller abandoned, and jobs that fail on every upstream, are
	// left out.
	WithinTarget float64 `json:"within_target"`
	// Ratio is the response time divided by the ideal response time, of complete
	// jobs.
	Ratio Distribution `json:"ratio"`
	// ResponseMS is the response time of complete jobs in milliseconds.
	ResponseMS Distribution `json:"response_ms"`
	// Goodput is the total run time of the jobs that completed before arrivals
	// ended, divided by slots x duration.
	Goodput float64 `json:"goodput"`
}

// Wasted counts the messages beyond one start and one result per task.
type Wasted struct {
	RefusedSends uint64 `json:"refused_sends"` // two per refused start: the start and the refusal
	Cancels      uint64 `json:"cancels"`
	Queries      uint64 `json:"queries"`
	LateResults  uint64 `json:"late_results"`
	Duplicates   uint64 `json:"duplicates"` // starts at upstreams beyond one per task
	// Reasons counts the refused starts by the agent's reason.
	Reasons map[string]uint64 `json:"reasons,omitempty"`
	PerTask float64           `json:"per_task"` // total over the number of successful tasks, including those of incomplete jobs
}

// Result is the outcome of one run.
type Result struct {
	Name                string               `json:"name"`
	Seed                uint64               `json:"seed"`
	Entries             int                  `json:"entries"`
	Slots               int                  `json:"slots"`
	OfferedLoad         float64              `json:"offered_load"`
	RoundTripUS         int64                `json:"round_trip_us"`
	All                 ClassResult          `json:"all"`
	Classes             []ClassResult        `json:"classes"`
	TasksOfCompleteJobs int                  `json:"tasks_of_complete_jobs"`
	Wasted              *Wasted              `json:"wasted,omitempty"` // nil if the entries' counters cannot be read
	Heartbeats          uint64               `json:"heartbeats"`
	ControlBytes        *ControlBytes        `json:"control_bytes,omitempty"`
	CPUSeconds          float64              `json:"processor_seconds"` // of the whole process, including load generator and upstreams; 0 if other runs shared the process
	Seconds             float64              `json:"seconds"`
	SendDelayMS         Distribution         `json:"send_late_ms"`
	Violations          []observer.Violation `json:"violations"`
	// StartsByUpstream counts the starts at each upstream. The starts at a
	// failing upstream show how many tasks it received before the scheduler
	// avoided it.
	StartsByUpstream map[string]int `json:"starts_by_upstream,omitempty"`

	ratios       *hdrhistogram.Histogram
	payloadBytes uint64 // task payloads sent and result bodies received by callers
}

// ControlBytes are the bytes on the links between agents and entries.
type ControlBytes struct {
	ToAgents  uint64 `json:"to_agents"`
	ToEntries uint64 `json:"to_entries"`
	Payload   uint64 `json:"payload"` // task payloads and result bodies within both
	// PerAgentSecond is the number of bytes other than payload per agent and
	// second.
	PerAgentSecond float64 `json:"per_agent_second"`
}

// classTally accumulates the results of one class.
type classTally struct {
	ClassResult
	eligible  int           // jobs that count for WithinTarget
	metTarget int           // complete jobs within their target
	work      time.Duration // of jobs that completed before arrivals ended
	ratios    *hdrhistogram.Histogram
	response  *hdrhistogram.Histogram
}

func newClassTally(name string) *classTally {
	return &classTally{
		ClassResult: ClassResult{Class: name},
		ratios:      hdrhistogram.New(1, maxRatio, significantDigits),
		response:    hdrhistogram.New(1, maxResponse, significantDigits),
	}
}

// add counts one job. ideal is its ideal response time, target the response time
// that its class aims for and duration the period during which jobs arrive.
func (t *classTally) add(o JobResult, ideal, target, duration time.Duration) {
	t.Jobs++
	if o.Outcome != observer.Abandoned && !o.Job.Fails {
		t.eligible++
	}
	switch o.Outcome {
	case observer.Complete:
		t.Complete++
		t.ratios.RecordValue(min(int64(ratioScale*float64(o.ResponseTime)/float64(ideal)), maxRatio))
		t.response.RecordValue(min(o.ResponseTime.Microseconds(), maxResponse))
		if o.ResponseTime <= target {
			t.metTarget++
		}
		if o.Job.SendAt+o.ResponseTime <= duration {
			t.work += o.Job.Work()
		}
	case observer.Failed:
		t.Failed++
	case observer.NotRun:
		t.Refused++
	case observer.Unknown:
		t.Unknown++
	case observer.Broken:
		t.Broken++
	case observer.Abandoned:
		t.Abandoned++
	}
}

// result summarises the class. capacity is in slot-seconds.
func (t *classTally) result(capacity float64) ClassResult {
	r := t.ClassResult
	r.Goodput = t.work.Seconds() / capacity
	if t.eligible > 0 {
		r.WithinTarget = float64(t.metTarget) / float64(t.eligible)
	}
	r.Ratio = distribution(t.ratios, ratioScale)
	r.ResponseMS = distribution(t.response, 1000)
	return r
}

// distribution summarises a histogram whose unit is 1/scale.
func distribution(h *hdrhistogram.Histogram, scale float64) Distribution {
	return Distribution{
		Count: h.TotalCount(),
		Mean:  h.Mean() / scale,
		P50:   float64(h.ValueAtQuantile(50)) / scale,
		P99:   float64(h.ValueAtQuantile(99)) / scale,
		Max:   float64(h.Max()) / scale,
	}
}

// summarise fills in the fields that are derived from the outcomes and the
// round-trip time.
func (r *Result) summarise(outcomes []JobResult, opts Options, roundTrip time.Duration) {
	classes, duration := opts.Settings.Classes, opts.Duration
	all := newClassTally("all")
	sendDelays := hdrhistogram.New(1, maxResponse, significantDigits)
	byClass := make(map[string]*classTally)
	for _, c := range classes {
		byClass[c.Name] = newClassTally(c.Name)
	}
	for _, o := range outcomes {
		ideal := o.Job.IdealResponse(opts.usableSlotsAt(o.Job.SendAt), roundTrip)
		target := responseTarget(classes, o.Job.Class)
		all.add(o, ideal, target, duration)
		if t := byClass[o.Job.Class]; t != nil {
			t.add(o, ideal, target, duration)
		}
		sendDelays.RecordValue(max(o.SendDelay.Microseconds(), 0))
		r.payloadBytes += o.Bytes
		if o.Outcome == observer.Complete {
			r.TasksOfCompleteJobs += len(o.Job.RunTimes)
		}
	}
	r.RoundTripUS = roundTrip.Microseconds()
	capacity := float64(r.Slots) * duration.Seconds()
	r.All = all.result(capacity)
	r.ratios = all.ratios
	r.SendDelayMS = distribution(sendDelays, 1000)
	for _, c := range classes {
		if t := byClass[c.Name]; t.Jobs > 0 {
			r.Classes = append(r.Classes, t.result(capacity))
		}
	}
}

// responseTarget returns the response time that the named class aims for, or 0
// for an unknown class.
func responseTarget(classes []policy.Class, name string) time.Duration {
	for _, c := range classes {
		if c.Name == name {
			return c.ResponseTarget
		}
	}
	return 0
}

// wastedMessages counts the messages beyond one start and one result per task.
// duplicates is the number of starts at upstreams beyond one per task.
func wastedMessages(s entry.Stats, duplicates int) *Wasted {
	w := &Wasted{
		RefusedSends: messagesPerRefusal * s.Refused, Cancels: s.Cancels, Queries: s.Queries,
		LateResults: s.Late, Duplicates: uint64(duplicates),
	}
	sum := w.RefusedSends + w.Cancels + w.Queries + w.LateResults + w.Duplicates
	if s.Results > 0 {
		w.PerTask = float64(sum) / float64(s.Results)
	}
	return w
}
