package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/limpettrail/limpettrail/platform/emulator"
)

// Site describes a deployment that is played at its own size, with workers and callers as
// processes of their own. LoadSite reads it from a TOML file.
type Site struct {
	Zones        []Zone  `toml:"zones"`
	Classes      []Class `toml:"classes"`
	Workers      Workers `toml:"workers"`
	Callers      Callers `toml:"callers"`
	SpareEntries int     `toml:"spare_entries"` // started in place of entries that are removed
}

// Zone is an availability zone.
type Zone struct {
	Entries       int     `toml:"entries"`
	Workers       int     `toml:"workers"`
	Callers       int     `toml:"callers"`
	JobsPerSecond float64 `toml:"jobs_per_second"`
}

// Class is a kind of job.
type Class struct {
	Name           string       `toml:"name"`
	Weight         float64      `toml:"weight"` // share of the jobs, relative to the other classes
	Priority       int          `toml:"priority"`
	MaxAttempts    int          `toml:"max_attempts"`
	DeadlineMs     int64        `toml:"deadline_ms"` // of a request
	Tasks          Distribution `toml:"tasks"`       // number of tasks of a job
	RunMs          Distribution `toml:"run_ms"`      // run time of a task
	CPU            Distribution `toml:"cpu"`         // thousandths of a core that each task needs
	EstimateSpread float64      `toml:"estimate_spread"`
	SpecBytes      int          `toml:"spec_bytes"`
}

// Workers are the sizes of the workers. Worker i has the i-th of each list, which repeat.
type Workers struct {
	CPU         []int64   `toml:"cpu"` // thousandths of a core
	Slowness    []float64 `toml:"slowness"`
	MemMb       int64     `toml:"mem_mb"`
	HeartbeatMs int64     `toml:"heartbeat_ms"`
}

// Callers tell how callers behave.
type Callers struct {
	ResendMs   int64   `toml:"resend_ms"` // pause before a job without an outcome is sent again
	Tries      int     `toml:"tries"`
	LeaveShare float64 `toml:"leave_share"` // share of the first requests whose caller breaks the connection early
	WaveShare  float64 `toml:"wave_share"`  // amplitude of the waves of the load
	WaveMs     int64   `toml:"wave_ms"`
}

// Distribution is a log-normal distribution that is cut off at Max.
type Distribution struct {
	Mean   float64 `toml:"mean"`
	Spread float64 `toml:"spread"` // standard deviation of the logarithm
	Max    float64 `toml:"max"`
}

// draw returns a random value.
func (d Distribution) draw(r *rand.Rand) float64 {
	v := d.Mean * math.Exp(d.Spread*r.NormFloat64()-d.Spread*d.Spread/2)
	return min(v, d.Max)
}

// LoadSite reads and checks a site file. Unknown fields are errors.
func LoadSite(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Site
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			err = errors.New(unknown.String()) // names the lines and keys
		}
		return nil, fmt.Errorf("soak: %s: %w", path, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("soak: %s: %w", path, err)
	}
	return &s, nil
}

func (s *Site) validate() error {
	var errs []error
	demand := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	demand(len(s.Zones) > 0, "zones: at least one is needed")
	for i, z := range s.Zones {
		// VMs are assigned to the zones in turn.
		demand(z.Entries == share(s.entries(), len(s.Zones), i) && z.Workers > 0 && z.Callers > 0 && z.JobsPerSecond > 0,
			"zones[%d]: entries must be spread evenly, the first zones having one more, and workers, callers and jobs_per_second must be positive", i)
	}
	demand(len(s.Classes) > 0, "classes: at least one is needed")
	for i, c := range s.Classes {
		demand(c.Name != "" && c.Weight > 0 && c.MaxAttempts > 0 && c.DeadlineMs > 0, "classes[%d]: name, weight, max_attempts and deadline_ms are needed", i)
		for _, d := range []Distribution{c.Tasks, c.RunMs, c.CPU} {
			demand(d.Mean > 0 && d.Max >= d.Mean, "classes[%d]: the mean of tasks, run_ms and cpu must be positive, and max at least the mean", i)
		}
	}
	demand(len(s.Workers.CPU) > 0 && len(s.Workers.Slowness) > 0 && s.Workers.MemMb > 0 && s.Workers.HeartbeatMs > 0, "workers: cpu, slowness, mem_mb and heartbeat_ms are needed")
	demand(s.Callers.ResendMs > 0 && s.Callers.Tries > 0 && s.Callers.WaveMs > 0, "callers: resend_ms, tries and wave_ms are needed")
	return errors.Join(errs...)
}

// share returns how many of n things the i-th of several owners has if they get them in
// turn.
func share(n, owners, i int) int { return (n + owners - 1 - i) / owners }

// entries returns the number of entries without the spare ones.
func (s *Site) entries() (n int) {
	for _, z := range s.Zones {
		n += z.Entries
	}
	return n
}

// workers returns the number of workers.
func (s *Site) workers() (n int) {
	for _, z := range s.Zones {
		n += z.Workers
	}
	return n
}

// routes returns a route for each class.
func (s *Site) routes() []emulator.Route {
	var out []emulator.Route
	for _, c := range s.Classes {
		out = append(out, emulator.Route{
			Name: c.Name, Prefix: c.prefix(), Priority: c.Priority, MaxAttempts: c.MaxAttempts, Timeout: time.Duration(c.DeadlineMs) * time.Millisecond,
		})
	}
	return out
}

// prefix returns the path prefix of the class's jobs.
func (c *Class) prefix() string { return "/" + c.Name + "/" }

// spec returns the spec of a job, which tells workers the run time of its tasks.
func (c *Class) spec(cpu int) string {
	text := fmt.Sprintf("run=%g,%g,%g ", c.RunMs.Mean, c.RunMs.Spread, c.RunMs.Max)
	padding := strings.Repeat(".", max(0, c.SpecBytes-len(text)))
	return fmt.Sprintf("%s%s cpu=%d", text, padding, cpu)
}

// runTime returns how long a task of a job with this spec runs.
func runTime(spec string, r *rand.Rand) time.Duration {
	var d Distribution
	if _, err := fmt.Sscanf(spec, "run=%g,%g,%g", &d.Mean, &d.Spread, &d.Max); err != nil {
		return 0
	}
	return time.Duration(d.draw(r) * float64(time.Millisecond))
}
