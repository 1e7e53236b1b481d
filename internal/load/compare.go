package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/load/baseline"
)

// ChosenName and ReferenceName name the two schemes that ratios refer to.
const (
	ChosenName    = "chosen"
	ReferenceName = "one_entry"
)

// ShortDuration is the length of the arrivals of a short comparison.
const ShortDuration = 20 * time.Second

// Report is a set of runs on the same workload.
type Report struct {
	Seed    uint64    `json:"seed"`
	Load    float64   `json:"offered_load"`
	Shape   Shape     `json:"shape"`
	Faults  Faults    `json:"faults"`
	Results []*Result `json:"results"`
}

// Chosen returns the scheme that the system runs with.
func Chosen() Scheme { return adaptive(ChosenName, 0) }

func adaptive(name string, disable policy.Parts) Scheme {
	return Scheme{Name: name, New: func(entry int, seed uint64) policy.Scheduler {
		return policy.New(policy.Options{Seed: seed, Zone: dev.Zone(entry), Disable: disable})
	}}
}

// Schemes returns the chosen policy, the reference and the baselines.
func Schemes() []Scheme {
	reference := Chosen()
	reference.Name = ReferenceName
	reference.Entries = 1
	return []Scheme{
		Chosen(),
		reference,
		{Name: "least_busy", New: func(int, uint64) policy.Scheduler { return policy.NewLeastBusy() }},
		simple("random", baseline.NewRandom),
		simple("round_robin", baseline.NewRoundRobin),
		simple("least_outstanding", baseline.NewLeastOutstanding),
		simple("power_of_two", baseline.NewPowerOfTwo),
		{Name: "least_outstanding_edf", New: func(_ int, seed uint64) policy.Scheduler {
			return baseline.NewLeastOutstanding(seed).ByDeadline()
		}},
	}
}

func simple(name string, make func(seed uint64) *baseline.Scheduler) Scheme {
	return Scheme{Name: name, New: func(_ int, seed uint64) policy.Scheduler { return make(seed) }}
}

// Compare runs the chosen policy beside the baselines on the same workload.
func Compare(o Options) (Report, error) { return CompareSchemes(context.Background(), o, Schemes()) }

// CompareSchemes runs the schemes on the same workload.
func CompareSchemes(ctx context.Context, o Options, schemes []Scheme) (Report, error) {
	o = o.WithDefaults()
	var cases []Case
	for _, s := range schemes {
		cases = append(cases, Case{Options: o, Scheme: s})
	}
	return RunCases(ctx, o, cases)
}

// Case is one run of a report.
type Case struct {
	Options Options
	Scheme  Scheme
}

// RunCases runs the cases at the same time, each on a system of its own, so
// that noise of the machine meets all of them alike. The upstreams only sleep,
// so the systems hardly compete. Processor time is then not separable. The
// options are those that the report states.
func RunCases(ctx context.Context, o Options, cases []Case) (Report, error) {
	rep := Report{
		Seed: o.Seed, Load: o.Load, Shape: o.Shape, Faults: o.Faults,
		Results: make([]*Result, len(cases)),
	}
	errs := make([]error, len(cases))
	var wg sync.WaitGroup
	for i, c := range cases {
		if i > 0 {
			c.Options.Progress = nil // one progress line stands for all
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := Run(ctx, c.Options, c.Scheme)
			if err != nil {
				errs[i] = fmt.Errorf("load: %s: %w", c.Scheme.Name, err)
				return
			}
			if len(cases) > 1 {
				r.Processor = 0
			}
			rep.Results[i] = r
		}()
	}
	wg.Wait()
	return rep, errors.Join(errs...)
}

// Violations returns the number of broken promises in all runs.
func (r Report) Violations() int {
	n := 0
	for _, res := range r.Results {
		n += len(res.Violations)
	}
	return n
}

func (r Report) find(name string) *Result {
	for _, res := range r.Results {
		if res.Name == name {
			return res
		}
	}
	return nil
}
