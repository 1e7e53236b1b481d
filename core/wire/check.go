package wire

import (
	"errors"
	"fmt"
	"slices"
)

// Limits of single fields.
const (
	// MaxNameBytes bounds names, zones, racks, classes and addresses.
	MaxNameBytes = 256
	// MaxSlots bounds the slots of one upstream.
	MaxSlots = 4096
	// MaxLabels bounds the labels of one worker.
	MaxLabels = 32
	// MaxNeighbours bounds the classes in one report of neighbours.
	MaxNeighbours = 8
	// MaxRun bounds the number of a run, so that adding to it cannot overflow.
	MaxRun = 1 << 40
)

// Check returns an error if a received hello exceeds a limit.
func (h *AgentHello) Check() error {
	if h.Slots < 0 || h.Slots > MaxSlots {
		return fmt.Errorf("wire: agent hello has %d slots, allowed are 0 to %d", h.Slots, MaxSlots)
	}
	if err := checkNames(h.Name, h.Zone, h.Rack, h.Pool); err != nil {
		return err
	}
	if len(h.Labels) > MaxLabels {
		return fmt.Errorf("wire: agent hello has %d labels, at most %d are allowed", len(h.Labels), MaxLabels)
	}
	if err := checkNames(h.Labels...); err != nil {
		return err
	}
	if err := checkFinishedRuns(h.FinishedRuns); err != nil {
		return err
	}
	return checkEntries(h.Entries)
}

func checkFinishedRuns(runs []FinishedRun) error {
	if len(runs) > MaxFinishedRuns {
		return fmt.Errorf("wire: %d finished runs, at most %d are allowed", len(runs), MaxFinishedRuns)
	}
	for i := range runs {
		if err := errors.Join(runs[i].Run.Check(), checkCheckpoint(runs[i].Checkpoint)); err != nil {
			return err
		}
	}
	return nil
}

func checkCheckpoint(checkpoint string) error {
	if len(checkpoint) > MaxCheckpointBytes {
		return fmt.Errorf("wire: checkpoint name of %d bytes, at most %d are allowed", len(checkpoint), MaxCheckpointBytes)
	}
	return nil
}

// Check returns an error if a received run exceeds a limit.
func (r *RunRef) Check() error {
	if r.Step < 0 || r.Step >= MaxTasksPerJob || r.Index < 0 || r.Index >= MaxTasksPerJob {
		return fmt.Errorf("wire: run of task %d in step %d, both must be 0 to %d", r.Index, r.Step, MaxTasksPerJob-1)
	}
	if r.Occurrence < 0 || r.Occurrence >= MaxOccurrences {
		return fmt.Errorf("wire: run of occurrence %d, must be 0 to %d", r.Occurrence, MaxOccurrences-1)
	}
	if r.Run < 0 || r.Run > MaxRun {
		return fmt.Errorf("wire: run with number %d, must be 0 to %d", r.Run, MaxRun)
	}
	return checkNames(r.Job)
}

// Check returns an error if a received hello exceeds a limit.
func (h *EntryHello) Check() error {
	if err := checkNames(h.Name, h.Zone); err != nil {
		return err
	}
	return checkEntries(h.Entries)
}

// Check returns an error if a received frame exceeds a limit.
func (f *ToAgent) Check() error {
	for i := range f.Starts {
		run := f.Starts[i].Ref()
		if err := run.Check(); err != nil {
			return err
		}
		if err := checkNames(f.Starts[i].Class); err != nil {
			return err
		}
		if err := checkCheckpoint(f.Starts[i].Checkpoint); err != nil {
			return err
		}
	}
	for _, runs := range [...][]RunRef{f.AcknowledgedRuns, f.SupersededRuns} {
		for i := range runs {
			if err := runs[i].Check(); err != nil {
				return err
			}
		}
	}
	if err := errors.Join(f.Config.check(), f.Evacuations.check()); err != nil {
		return err
	}
	return checkEntries(f.Entries)
}

// Check returns an error if a received frame exceeds a limit or has a result with
// an invalid outcome.
func (f *ToEntry) Check() error {
	for i := range f.Results {
		if outcome := f.Results[i].Outcome; outcome < Succeeded || outcome > Unknown {
			return fmt.Errorf("wire: result with invalid outcome: %v", outcome)
		}
		if err := checkCheckpoint(f.Results[i].Checkpoint); err != nil {
			return err
		}
		if err := checkNeighbours(f.Results[i].Neighbours); err != nil {
			return err
		}
	}
	if err := checkFinishedRuns(f.FinishedRuns); err != nil {
		return err
	}
	load := &f.Load
	for _, n := range [...]int{load.Running, load.Queued, load.Slots, load.Limit} {
		if n < 0 || n > MaxSlots {
			return fmt.Errorf("wire: load with running, queued, slots or limit of %d, each must be 0 to %d", n, MaxSlots)
		}
	}
	if err := checkNeighbours(load.Classes); err != nil {
		return err
	}
	return errors.Join(f.Config.check(), f.Evacuations.check())
}

// check returns an error if the zones exceed a limit or are not sorted, on which Contains
// relies.
func (e *Evacuations) check() error {
	switch {
	case e == nil:
		return nil
	case len(e.Zones) > MaxEvacuatedZones:
		return fmt.Errorf("wire: %d evacuated zones, at most %d are allowed", len(e.Zones), MaxEvacuatedZones)
	case e.AsOf < 0 || !slices.IsSorted(e.Zones):
		return fmt.Errorf("wire: evacuations as of offset %d with zones %q, want an offset from 0 and sorted zones", e.AsOf, e.Zones)
	}
	return checkNames(e.Zones...)
}

func checkNeighbours(list []Neighbour) error {
	if len(list) > MaxNeighbours {
		return fmt.Errorf("wire: %d neighbours, at most %d are allowed", len(list), MaxNeighbours)
	}
	for i := range list {
		if list[i].Slots < 0 || list[i].Slots > 1000*MaxSlots {
			return fmt.Errorf("wire: neighbour with %d thousandths of a slot, must be 0 to %d", list[i].Slots, 1000*MaxSlots)
		}
		if err := checkNames(list[i].Class); err != nil {
			return err
		}
	}
	return nil
}

func (c *ConfigState) check() error {
	if c != nil && len(c.State) > MaxConfigBytes {
		return fmt.Errorf("wire: configuration of %d bytes, at most %d are allowed", len(c.State), MaxConfigBytes)
	}
	return nil
}

func checkEntries(entries []EntryAddr) error {
	if len(entries) > MaxKnownEntries {
		return fmt.Errorf("wire: list of %d entries, at most %d are allowed", len(entries), MaxKnownEntries)
	}
	for i := range entries {
		if err := checkNames(entries[i].Peer, entries[i].Zone); err != nil {
			return err
		}
	}
	return nil
}

func checkNames(names ...string) error {
	for _, n := range names {
		if len(n) > MaxNameBytes {
			return fmt.Errorf("wire: name of %d bytes, at most %d are allowed", len(n), MaxNameBytes)
		}
	}
	return nil
}
