// Package capacity measures the resource cost of the system's parts at several
// sizes and fits straight lines to the results. docs/CAPACITY.md derives the
// requirements at the target scale from these lines.
//
// The parts run in this process. Entries and agents with their sockets run over
// loopback against stub peers that only hold a link and send heartbeats. The state
// machines are called directly. Sizes and counts are exact. Times depend on the
// machine and its other load, so they are measured repeatedly and reported with
// their range.
package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// Options configure a run. Zero values take the defaults.
type Options struct {
	// Only names the experiments to run; empty means all.
	Only []string
	// Repeat is the number of measurements of each size. Default 3.
	Repeat int
	// Window is how long idle links are observed. Default 3 s.
	Window time.Duration
	// Sizes replaces the sizes of every experiment, for tests.
	Sizes []int
	// Progress receives a line for each measurement. It may be nil.
	Progress io.Writer
}

// Defaults of Options.
const (
	DefaultRepeat = 3
	DefaultWindow = 3 * time.Second
)

// reading is one measured value of a metric.
type reading struct {
	metric string // name with unit
	value  float64
}

// experiment measures one part at several sizes.
type experiment struct {
	name     string
	title    string
	sizeUnit string // what the sizes count
	sizes    []int
	logScale bool // fit against the binary logarithm of the size
	measure  func(ctx context.Context, o Options, size int) ([]reading, error)
}

func experiments() []experiment {
	return []experiment{
		entryLinks, entryTasks, entryMemory, frames,
		agentLinks, agentTasks, agentRuns,
		configChange, claimTable, placement,
	}
}

// Names returns the names of the experiments.
func Names() []string {
	var out []string
	for _, e := range experiments() {
		out = append(out, e.name)
	}
	return out
}

// Run carries out the experiments and returns the report. It fails if an experiment
// is unknown, finds a wrong result or is interrupted by ctx.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Repeat <= 0 {
		o.Repeat = DefaultRepeat
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if err := checkNames(o.Only); err != nil {
		return nil, err
	}
	r := newReport()
	for _, e := range experiments() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, e.name) {
			continue
		}
		s, err := e.run(ctx, o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", e.name, err)
		}
		r.Sections = append(r.Sections, s)
	}
	return r, nil
}

// checkNames returns an error if one of the names is not that of an experiment.
func checkNames(names []string) error {
	for _, n := range names {
		if !slices.Contains(Names(), n) {
			return fmt.Errorf("unknown experiment %q: want one of %v", n, Names())
		}
	}
	return nil
}

// run measures every size in turn and repeats this o.Repeat times, so that a change
// in the machine's other load affects all sizes equally.
func (e experiment) run(ctx context.Context, o Options) (Section, error) {
	s := Section{Name: e.name, Title: e.title, SizeUnit: e.sizeUnit, LogScale: e.logScale}
	sizes := e.sizes
	if len(o.Sizes) > 0 {
		sizes = o.Sizes
	}
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: size})
	}
	for round := range o.Repeat {
		for i := range s.Points {
			if err := ctx.Err(); err != nil {
				return s, err
			}
			p := &s.Points[i]
			readings, err := e.measure(ctx, o, p.Size)
			if err != nil {
				return s, fmt.Errorf("%s %d: %w", e.sizeUnit, p.Size, err)
			}
			p.add(readings)
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "%s: %s %d, round %d of %d\n", e.name, e.sizeUnit, p.Size, round+1, o.Repeat)
			}
		}
	}
	s.summarise()
	return s, nil
}
