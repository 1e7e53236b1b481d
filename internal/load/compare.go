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

// DefaultSchemeName names the scheme that the system uses. ReferenceSchemeName
// names the scheme that the ratios of a report are relative to: the default
// scheduler on a single entry.
const (
	DefaultSchemeName   = "chosen"
	ReferenceSchemeName = "one_entry"
)

// ShortDuration is the period during which jobs arrive in a short comparison.
const ShortDuration = 20 * time.Second

// Report holds the results of several runs.
type Report struct {
	Seed    uint64    `json:"seed"`
	Load    float64   `json:"offered_load"`
	Shape   Shape     `json:"shape"`
	Faults  Faults    `json:"faults"`
	Results []*Result `json:"results"`
}

// DefaultScheme returns the scheme that the system uses: the adaptive scheduler with
// all of its parts.
func DefaultScheme() Scheme { return adaptiveScheme(DefaultSchemeName, 0) }

func adaptiveScheme(name string, disable policy.Parts) Scheme {
	return Scheme{Name: name, NewScheduler: func(entry int, seed uint64) policy.Scheduler {
		return policy.New(policy.Options{Seed: seed, Zone: dev.Zone(entry), Disable: disable})
	}}
}

// Schemes returns the default scheme, the reference and the baselines.
func Schemes() []Scheme {
	reference := DefaultScheme()
	reference.Name = ReferenceSchemeName
	reference.Entries = 1
	return []Scheme{
		DefaultScheme(),
		reference,
		{Name: "least_busy", NewScheduler: func(int, uint64) policy.Scheduler { return policy.NewLeastBusy() }},
		baselineScheme("random", baseline.NewRandom),
		baselineScheme("round_robin", baseline.NewRoundRobin),
		baselineScheme("least_outstanding", baseline.NewLeastOutstanding),
		baselineScheme("power_of_two", baseline.NewPowerOfTwo),
		{Name: "least_outstanding_edf", NewScheduler: func(_ int, seed uint64) policy.Scheduler {
			return baseline.NewLeastOutstanding(seed).ByDeadline()
		}},
	}
}

func baselineScheme(name string, newScheduler func(seed uint64) *baseline.Scheduler) Scheme {
	return Scheme{Name: name, NewScheduler: func(_ int, seed uint64) policy.Scheduler { return newScheduler(seed) }}
}

// Compare runs the default scheme, the reference and the baselines on the same
// workload.
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

// RunCases runs the cases concurrently, each on its own system, so that other
// load on the machine affects all of them equally. The upstreams only sleep, so
// the systems hardly compete for processor time. With more than one case, the
// processor time of a single run cannot be measured and is reported as 0. The report
// states the seed, load, shape and faults of o.
func RunCases(ctx context.Context, o Options, cases []Case) (Report, error) {
	rep := Report{
		Seed: o.Seed, Load: o.Load, Shape: o.Shape, Faults: o.Faults,
		Results: make([]*Result, len(cases)),
	}
	errs := make([]error, len(cases))
	var wg sync.WaitGroup
	for i, c := range cases {
		if i > 0 {
			c.Options.Progress = nil // only the first case reports progress
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
				r.CPUSeconds = 0
			}
			rep.Results[i] = r
		}()
	}
	wg.Wait()
	return rep, errors.Join(errs...)
}

// Violations returns the number of violations of promises over all runs.
func (r Report) Violations() int {
	n := 0
	for _, res := range r.Results {
		n += len(res.Violations)
	}
	return n
}

// find returns the result of the scheme with this name, or nil.
func (r Report) find(name string) *Result {
	for _, res := range r.Results {
		if res.Name == name {
			return res
		}
	}
	return nil
}
