package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpettrail/limpettrail/internal/standin/logserver"
)

// Options size the measurement. Zero values take today's figures.
type Options struct {
	Entries int // default 3
	Agents  int // default 11
	Changes int // default 100
	Seed    uint64
	// Rest is how long appends at rest are counted. Default 10 s.
	Rest time.Duration
}

func (o Options) withDefaults() Options {
	if o.Entries <= 0 {
		o.Entries = 3
	}
	if o.Agents <= 0 {
		o.Agents = 11
	}
	if o.Changes <= 0 {
		o.Changes = 100
	}
	if o.Rest <= 0 {
		o.Rest = 10 * time.Second
	}
	return o
}

// Report holds the figures of one run. Times are from the start of the change
// or of the restart.
type Report struct {
	Options            Options
	Quiet              Spread // change in force everywhere, all processes up
	Restarts           Spread // the same while a third of the processes restart
	AfterOutage        time.Duration
	RestartAll         time.Duration
	RestartAllInOutage time.Duration // from the end of the outage
	RestReads          float64       // reads a second of the whole system at rest
	RestAppends        float64       // appends a second of the whole system at rest
	PerChange          float64       // appends for each change
}

// Spread is a distribution of times.
type Spread struct{ P50, P99, Max time.Duration }

// Run takes the measurement.
func Run(o Options) (Report, error) {
	o = o.withDefaults()
	r := Report{Options: o}
	s, err := startSystem(o.Entries, o.Agents)
	if err != nil {
		return r, err
	}
	defer s.stop()
	steps := []func(*system, *Report) error{begin, quiet, restarts, outage, restartAll, restartAllInOutage, rest}
	for _, step := range steps {
		if err := step(s, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// begin publishes the class that the other steps submit jobs of.
func begin(s *system, _ *Report) error {
	if _, err := s.publish("probe", 1000); err != nil {
		return err
	}
	_, err := await("first jobs", s.works)
	return err
}

func quiet(s *system, r *Report) error {
	before := s.log.Counts().Appends
	var err error
	r.Quiet, err = s.changes(r.Options.Changes, func(int) error { return nil })
	r.PerChange = float64(s.log.Counts().Appends-before) / float64(r.Options.Changes)
	return err
}

// restarts kills and starts a third of the entries and agents before every
// fifth change, so that processes join while the change is on its way.
func restarts(s *system, r *Report) error {
	const every = 5
	rng := rand.New(rand.NewPCG(r.Options.Seed, 1))
	var err error
	r.Restarts, err = s.changes(r.Options.Changes, func(n int) error {
		if n%every != 0 {
			return nil
		}
		for _, i := range pick(rng, (len(s.agents)+2)/3, len(s.agents)) {
			s.restartAgent(i)
		}
		for _, i := range pick(rng, (len(s.entries)+2)/3, len(s.entries)) {
			if err := s.restartEntry(i); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

// changes publishes n changes and measures each until it is in force everywhere.
func (s *system) changes(n int, before func(int) error) (Spread, error) {
	h := hdrhistogram.New(1, giveUp.Microseconds(), 3)
	for i := range n {
		if err := before(i); err != nil {
			return Spread{}, err
		}
		began := time.Now()
		version, err := s.publish("probe", 1000+i%2+2*(i%3)+7*(i%5))
		if err != nil {
			return Spread{}, err
		}
		if _, err := await("change in force", func() bool { return s.everywhere(version) }); err != nil {
			return Spread{}, err
		}
		h.RecordValue(time.Since(began).Microseconds())
	}
	micros := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Spread{P50: micros(h.ValueAtQuantile(50)), P99: micros(h.ValueAtQuantile(99)), Max: micros(h.Max())}, nil
}

// outage measures how long after an outage a change that is published at its
// end is in force everywhere.
func outage(s *system, r *Report) error {
	s.log.SetFaults(logserver.Faults{Outage: true})
	time.Sleep(3 * time.Second)
	s.log.SetFaults(logserver.Faults{})
	began := time.Now()
	version, err := s.publish("probe", 2000)
	if err != nil {
		return err
	}
	_, err = await("change after the outage", func() bool { return s.everywhere(version) })
	r.AfterOutage = time.Since(began)
	return err
}

func (s *system) restartEverything() error {
	for i := range s.agents {
		s.agents[i].Kill()
	}
	for i := range s.entries {
		s.entries[i].Kill()
	}
	for i := range s.entries {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	for i := range s.agents {
		s.startAgent(i)
	}
	return nil
}

func restartAll(s *system, r *Report) error {
	began := time.Now()
	if err := s.restartEverything(); err != nil {
		return err
	}
	_, err := await("work after the restart", s.works)
	r.RestartAll = time.Since(began)
	return err
}

func restartAllInOutage(s *system, r *Report) error {
	s.log.SetFaults(logserver.Faults{Outage: true})
	if err := s.restartEverything(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if s.works() {
		return fmt.Errorf("experiment: jobs were accepted although no process can know a class")
	}
	s.log.SetFaults(logserver.Faults{})
	var err error
	r.RestartAllInOutage, err = await("work after restart and outage", s.works)
	return err
}

func rest(s *system, r *Report) error {
	before := s.log.Counts()
	time.Sleep(r.Options.Rest)
	after := s.log.Counts()
	r.RestAppends = float64(after.Appends-before.Appends) / r.Options.Rest.Seconds()
	r.RestReads = float64(after.Reads-before.Reads) / r.Options.Rest.Seconds()
	return nil
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	o := r.Options
	fmt.Fprintf(w, "seed %d, %d entries, %d agents, %d changes a step\n", o.Seed, o.Entries, o.Agents, o.Changes)
	row := func(name string, s Spread) {
		fmt.Fprintf(w, "%-52s p50 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", name, ms(s.P50), ms(s.P99), ms(s.Max))
	}
	row("change in force in every process", r.Quiet)
	row("the same, a third restarted before each 5th change", r.Restarts)
	fmt.Fprintf(w, "%-52s %8.1f ms\n", "change published at the end of an outage of 3 s", ms(r.AfterOutage))
	fmt.Fprintf(w, "%-52s %8.1f ms\n", "every process restarted: jobs complete at all entries", ms(r.RestartAll))
	fmt.Fprintf(w, "%-52s %8.1f ms\n", "the same in an outage, from its end", ms(r.RestartAllInOutage))
	fmt.Fprintf(w, "%-52s %8.2f a change, %.2f a second at rest\n", "appends", r.PerChange, r.RestAppends)
	fmt.Fprintf(w, "%-52s %8.2f a second at rest\n", "reads of the log, whole system", r.RestReads)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
