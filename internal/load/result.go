package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// Ratios are recorded in thousandths.
const (
	ratioScale     = 1000
	maxRatio       = 1_000_000 * ratioScale
	maxResponse    = int64(time.Hour / time.Microsecond)
	significant    = 3
	messagesRefuse = 2 // the start and the refusal
)

// Distribution summarises one quantity.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// ClassResult is the result of one class, or of all.
type ClassResult struct {
	Class     string `json:"class"`
	Jobs      int    `json:"jobs"`
	Complete  int    `json:"complete"`
	Failed    int    `json:"failed"`
	Refused   int    `json:"refused"`
	Unknown   int    `json:"unknown"`
	Broken    int    `json:"broken"`
	Abandoned int    `json:"abandoned"`
	// WithinTarget is the share of the jobs not given up or failed by their own
	// payload that were complete within the class target.
	WithinTarget float64 `json:"within_target"`
	// Ratio is response time over ideal, of complete jobs.
	Ratio Distribution `json:"ratio"`
	// ResponseMS is the response time of complete jobs in milliseconds.
	ResponseMS Distribution `json:"response_ms"`
	// Goodput is the work of jobs complete by the end of the arrivals, over
	// slots x duration.
	Goodput float64 `json:"goodput"`
}

// Wasted counts messages beyond one start and one result per task.
type Wasted struct {
	RefusedSends uint64 `json:"refused_sends"` // a refused start counts twice: itself and the refusal
	Cancels      uint64 `json:"cancels"`
	Queries      uint64 `json:"queries"`
	LateResults  uint64 `json:"late_results"`
	Duplicates   uint64 `json:"duplicates"` // starts at upstreams beyond one per task
	// Reasons counts the refused starts by the agent's reason.
	Reasons map[string]uint64 `json:"reasons,omitempty"`
	PerTask float64           `json:"per_task"` // sum over tasks that succeeded, of whatever job
}

// Result is the outcome of one run.
type Result struct {
	Name        string               `json:"name"`
	Seed        uint64               `json:"seed"`
	Entries     int                  `json:"entries"`
	Slots       int                  `json:"slots"`
	Offered     float64              `json:"offered_load"`
	RoundTripUS int64                `json:"round_trip_us"`
	All         ClassResult          `json:"all"`
	Classes     []ClassResult        `json:"classes"`
	TasksOK     int                  `json:"tasks_of_complete_jobs"`
	Wasted      *Wasted              `json:"wasted,omitempty"` // nil if the counters cannot be read
	Heartbeats  uint64               `json:"heartbeats"`
	ControlByte *ControlBytes        `json:"control_bytes,omitempty"`
	Processor   float64              `json:"processor_seconds"` // of the whole process, load generator and upstreams included; 0 if not separable
	Seconds     float64              `json:"seconds"`
	SendLateMS  Distribution         `json:"send_late_ms"`
	Violations  []observer.Violation `json:"violations"`
	// StartsBy counts the starts at each upstream. Those at a bad one are what
	// it cost before it was avoided.
	StartsBy map[string]int `json:"starts_by_upstream,omitempty"`

	ratios  *hdrhistogram.Histogram
	payload uint64 // task payloads sent and result bodies received by callers
}

// ControlBytes are the bytes on the links between agents and entries.
type ControlBytes struct {
	ToAgents  uint64 `json:"to_agents"`
	ToEntries uint64 `json:"to_entries"`
	Payload   uint64 `json:"payload"` // part of both that is task payload and result body
	// PerAgentSecond is the rest, for each agent and second.
	PerAgentSecond float64 `json:"per_agent_second"`
}

// tally accumulates one class.
type tally struct {
	ClassResult
	eligible int
	within   int
	work     time.Duration // of jobs complete by the end of the arrivals
	ratios   *hdrhistogram.Histogram
	response *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	return &tally{
		ClassResult: ClassResult{Class: name},
		ratios:      hdrhistogram.New(1, maxRatio, significant),
		response:    hdrhistogram.New(1, maxResponse, significant),
	}
}

func (t *tally) add(o Outcome, ideal, within, duration time.Duration) {
	t.Jobs++
	if o.Ending != observer.Abandoned && !o.Job.Fails {
		t.eligible++
	}
	switch o.Ending {
	case observer.Complete:
		t.Complete++
		t.ratios.RecordValue(min(int64(ratioScale*float64(o.Response)/float64(ideal)), maxRatio))
		t.response.RecordValue(min(o.Response.Microseconds(), maxResponse))
		if o.Response <= within {
			t.within++
		}
		if o.Job.At+o.Response <= duration {
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

// result summarises the class; capacity is in slot seconds.
func (t *tally) result(capacity float64) ClassResult {
	r := t.ClassResult
	r.Goodput = t.work.Seconds() / capacity
	if t.eligible > 0 {
		r.WithinTarget = float64(t.within) / float64(t.eligible)
	}
	r.Ratio = summary(t.ratios, ratioScale)
	r.ResponseMS = summary(t.response, 1000)
	return r
}

func summary(h *hdrhistogram.Histogram, scale float64) Distribution {
	return Distribution{
		Count: h.TotalCount(),
		Mean:  h.Mean() / scale,
		P50:   float64(h.ValueAtQuantile(50)) / scale,
		P99:   float64(h.ValueAtQuantile(99)) / scale,
		Max:   float64(h.Max()) / scale,
	}
}

// summarise fills in everything that follows from the outcomes alone.
func (r *Result) summarise(outcomes []Outcome, opts Options, roundTrip time.Duration) {
	classes, duration := opts.Settings.Classes, opts.Duration
	all := newTally("all")
	lateness := hdrhistogram.New(1, maxResponse, significant)
	byClass := make(map[string]*tally)
	for _, c := range classes {
		byClass[c.Name] = newTally(c.Name)
	}
	for _, o := range outcomes {
		ideal := o.Job.Ideal(opts.slotsAt(o.Job.At), roundTrip)
		within := target(classes, o.Job.Class)
		all.add(o, ideal, within, duration)
		if t := byClass[o.Job.Class]; t != nil {
			t.add(o, ideal, within, duration)
		}
		lateness.RecordValue(max(o.Late.Microseconds(), 0))
		r.payload += o.Bytes
		if o.Ending == observer.Complete {
			r.TasksOK += len(o.Job.Runs)
		}
	}
	r.RoundTripUS = roundTrip.Microseconds()
	capacity := float64(r.Slots) * duration.Seconds()
	r.All = all.result(capacity)
	r.ratios = all.ratios
	r.SendLateMS = summary(lateness, 1000)
	for _, c := range classes {
		if t := byClass[c.Name]; t.Jobs > 0 {
			r.Classes = append(r.Classes, t.result(capacity))
		}
	}
}

func target(classes []policy.Class, name string) time.Duration {
	for _, c := range classes {
		if c.Name == name {
			return c.ResponseTarget
		}
	}
	return 0
}

// wasted counts the messages beyond the allowed two per task.
func wasted(s entry.Stats, duplicates int) *Wasted {
	w := &Wasted{
		RefusedSends: messagesRefuse * s.Refused, Cancels: s.Cancels, Queries: s.Queries,
		LateResults: s.Late, Duplicates: uint64(duplicates),
	}
	sum := w.RefusedSends + w.Cancels + w.Queries + w.LateResults + w.Duplicates
	if s.Results > 0 {
		w.PerTask = float64(sum) / float64(s.Results)
	}
	return w
}
