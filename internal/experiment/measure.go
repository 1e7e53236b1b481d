package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpettrail/limpettrail/internal/standin/logserver"
)

// Options set the size of the measurement. Zero values take the defaults. Those of
// Entries and Agents are the current size of the system.
type Options struct {
	Entries int // default 3
	Agents  int // default 11
	Changes int // configuration changes per step; default 100
	Seed    uint64
	// IdleTime is how long the idle system's appends and reads are counted.
	// Default 10 s.
	IdleTime time.Duration
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
	if o.IdleTime <= 0 {
		o.IdleTime = 10 * time.Second
	}
	return o
}

// Report holds the figures of one run. Unless stated otherwise, times are measured
// from the start of the change or of the restart.
type Report struct {
	Options Options
	// Propagation is the time until a change is in effect in every process.
	Propagation               Percentiles // with all processes up
	PropagationDuringRestarts Percentiles // while a third of the processes restart
	// PropagationAfterOutage is that time for a change that is published at the
	// end of an outage of the log.
	PropagationAfterOutage time.Duration
	// RecoveryAfterRestart is the time after a restart of all processes until
	// every entry completes a job.
	RecoveryAfterRestart time.Duration
	RecoveryAfterOutage  time.Duration // after a restart during an outage of the log, from the end of the outage
	IdleReadRate         float64       // reads of the log per second by the whole system while idle
	IdleAppendRate       float64       // appends to the log per second by the whole system while idle
	AppendsPerChange     float64       // appends to the log for each change
}

// Percentiles summarises a distribution of times.
type Percentiles struct{ P50, P99, Max time.Duration }

// Run takes the measurement. If a step fails, the report holds the figures of the
// earlier steps.
func Run(o Options) (Report, error) {
	o = o.withDefaults()
	r := Report{Options: o}
	s, err := startSystem(o.Entries, o.Agents)
	if err != nil {
		return r, err
	}
	defer s.stop()
	steps := []func(*system, *Report) error{publishClass, measurePropagation, measureDuringRestarts, measureAfterOutage, measureRestart, measureRestartInOutage, measureIdle}
	for _, step := range steps {
		if err := step(s, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// publishClass publishes the class of the jobs that later steps submit, and waits
// until every entry completes such a job.
func publishClass(s *system, _ *Report) error {
	if _, err := s.publish("probe", 1000); err != nil {
		return err
	}
	_, err := await("every entry to complete a first job", s.everyEntryServes)
	return err
}

// measurePropagation measures changes while all processes are up, and the appends
// that a change costs.
func measurePropagation(s *system, r *Report) error {
	before := s.log.Counts().Appends
	var err error
	r.Propagation, err = s.measureChanges(r.Options.Changes, func(int) error { return nil })
	r.AppendsPerChange = float64(s.log.Counts().Appends-before) / float64(r.Options.Changes)
	return err
}

// measureDuringRestarts restarts a third of the entries and agents before every
// fifth change, so that processes join while the change propagates.
func measureDuringRestarts(s *system, r *Report) error {
	const changesPerRestart = 5
	rng := rand.New(rand.NewPCG(r.Options.Seed, 1))
	var err error
	r.PropagationDuringRestarts, err = s.measureChanges(r.Options.Changes, func(n int) error {
		if n%changesPerRestart != 0 {
			return nil
		}
		for _, i := range randomIndexes(rng, (len(s.agents)+2)/3, len(s.agents)) {
			s.restartAgent(i)
		}
		for _, i := range randomIndexes(rng, (len(s.entries)+2)/3, len(s.entries)) {
			if err := s.restartEntry(i); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

// measureChanges publishes n changes one after another and measures the time until
// each is in effect everywhere. It calls before with the index of each change.
func (s *system) measureChanges(n int, before func(int) error) (Percentiles, error) {
	h := hdrhistogram.New(1, waitTimeout.Microseconds(), 3)
	for i := range n {
		if err := before(i); err != nil {
			return Percentiles{}, err
		}
		start := time.Now()
		// The target differs from the previous one, so that each change counts.
		version, err := s.publish("probe", 1000+i%2+2*(i%3)+7*(i%5))
		if err != nil {
			return Percentiles{}, err
		}
		if _, err := await("a change to be in effect", func() bool { return s.inEffectEverywhere(version) }); err != nil {
			return Percentiles{}, err
		}
		h.RecordValue(time.Since(start).Microseconds())
	}
	micros := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Percentiles{P50: micros(h.ValueAtQuantile(50)), P99: micros(h.ValueAtQuantile(99)), Max: micros(h.Max())}, nil
}

// measureAfterOutage publishes a change at the end of an outage of the log and
// measures the time until it is in effect everywhere.
func measureAfterOutage(s *system, r *Report) error {
	s.log.SetFaults(logserver.Faults{Outage: true})
	time.Sleep(3 * time.Second)
	s.log.SetFaults(logserver.Faults{})
	start := time.Now()
	version, err := s.publish("probe", 2000)
	if err != nil {
		return err
	}
	_, err = await("a change after the outage to be in effect", func() bool { return s.inEffectEverywhere(version) })
	r.PropagationAfterOutage = time.Since(start)
	return err
}

// restartAll kills all agents and entries before it starts them again.
func (s *system) restartAll() error {
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

// measureRestart restarts all processes and measures the time until every entry
// completes a job.
func measureRestart(s *system, r *Report) error {
	start := time.Now()
	if err := s.restartAll(); err != nil {
		return err
	}
	_, err := await("every entry to complete a job after the restart", s.everyEntryServes)
	r.RecoveryAfterRestart = time.Since(start)
	return err
}

// measureRestartInOutage restarts all processes during an outage of the log and
// measures the time from the end of the outage until every entry completes a job.
// It fails if every entry completes a job before that, since no restarted process
// can have a configuration.
func measureRestartInOutage(s *system, r *Report) error {
	s.log.SetFaults(logserver.Faults{Outage: true})
	if err := s.restartAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if s.everyEntryServes() {
		return fmt.Errorf("experiment: every entry completed a job during the log outage, although no restarted process can have a configuration")
	}
	s.log.SetFaults(logserver.Faults{})
	var err error
	r.RecoveryAfterOutage, err = await("every entry to complete a job after the restart and the outage", s.everyEntryServes)
	return err
}

// measureIdle counts the appends and reads of the idle system.
func measureIdle(s *system, r *Report) error {
	before := s.log.Counts()
	time.Sleep(r.Options.IdleTime)
	after := s.log.Counts()
	r.IdleAppendRate = float64(after.Appends-before.Appends) / r.Options.IdleTime.Seconds()
	r.IdleReadRate = float64(after.Reads-before.Reads) / r.Options.IdleTime.Seconds()
	return nil
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	o := r.Options
	fmt.Fprintf(w, "seed %d, %d entries, %d agents, %d changes per step\n", o.Seed, o.Entries, o.Agents, o.Changes)
	row := func(name string, s Percentiles) {
		fmt.Fprintf(w, "%-52s p50 %8.1f ms  p99 %8.1f ms  max %8.1f ms\n", name, ms(s.P50), ms(s.P99), ms(s.Max))
	}
	row("change in effect in every process", r.Propagation)
	row("the same, a third restarted before each 5th change", r.PropagationDuringRestarts)
	fmt.Fprintf(w, "%-52s %8.1f ms\n", "change published at the end of an outage of 3 s", ms(r.PropagationAfterOutage))
	fmt.Fprintf(w, "%-52s %8.1f ms\n", "every process restarted: jobs complete at all entries", ms(r.RecoveryAfterRestart))
	fmt.Fprintf(w, "%-52s %8.1f ms\n", "the same in an outage, from its end", ms(r.RecoveryAfterOutage))
	fmt.Fprintf(w, "%-52s %8.2f per change, %.2f per second while idle\n", "appends", r.AppendsPerChange, r.IdleAppendRate)
	fmt.Fprintf(w, "%-52s %8.2f per second while idle\n", "reads of the log, whole system", r.IdleReadRate)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
