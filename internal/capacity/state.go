package capacity

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// configMaxItems is above the system's own limit, so that the slope can be
	// measured over a larger range.
	configMaxItems  = 20_000
	configChanges   = 20
	claimsPerRecord = 100
	// sampleLogMillis is a realistic log time, in milliseconds.
	sampleLogMillis = 1_700_000_000_000
	placementTasks  = 50_000 // tasks in one placement measurement
)

var configChange = experiment{
	name: "config", sizeUnit: "items", sizes: []int{100, 300, 1000, 10_000},
	title: "configuration with that many classes: encoded state, memory, and one change applied and encoded",
	measure: func(_ context.Context, _ Options, items int) ([]reading, error) {
		before := usageAfterGC()
		m := config.New(config.Options{MaxItems: configMaxItems})
		var offset, base int64
		for i := range items {
			if err := applyClass(m, offset, fmt.Sprintf("class-%05d", i), 0); err != nil {
				return nil, err
			}
			offset++
		}
		heap := usageDelta(before, usageAfterGC()).heap
		stateBytes := 0
		base = 1 // the revision of class-00000: its offset plus 1
		changesStart := currentUsage()
		for range configChanges {
			if err := applyClass(m, offset, "class-00000", base); err != nil {
				return nil, err
			}
			offset++
			base = offset
			m.State().Settings()
			stateBytes = len(m.State().Encode())
		}
		d := usageDelta(changesStart, currentUsage())
		deltaReadings, err := configDeltaCost(items, m.State().Encode())
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(m)
		out := []reading{
			{"state B", float64(stateBytes)}, {"heap B", heap}, {"cpu us/change", d.cpu / configChanges},
		}
		return append(out, deltaReadings...), nil
	},
}

// configDeltaCost measures the cost of the last change to an encoded state for an
// agent that has the previous version. It returns no readings for more items than
// the system admits.
func configDeltaCost(items int, state []byte) ([]reading, error) {
	if items > config.DefaultMaxItems {
		return nil, nil
	}
	s, err := config.DecodeState(state)
	if err != nil {
		return nil, err
	}
	body, ok := config.Delta(state, s.Version()-1)
	if !ok {
		return nil, fmt.Errorf("no delta to version %d", s.Version())
	}
	before := currentUsage()
	for range configChanges {
		if _, err := config.Merge(state, body); err != nil {
			return nil, err
		}
	}
	d := usageDelta(before, currentUsage())
	f := encodeFrame(&wire.ToAgent{Config: &wire.ConfigState{Version: s.Version(), State: body, BaseVersion: s.Version() - 1}, Stamp: sampleStamp})
	return []reading{{"delta frame B", float64(len(f))}, {"merge us/change", d.cpu / configChanges}}, nil
}

// applyClass applies a change of the named class, based on revision base, at the
// given offset of the log.
func applyClass(m *config.Machine, offset int64, name string, base int64) error {
	r := config.Record{Change: &config.Change{
		Kind: config.KindClass, Name: name, Base: base,
		Value: config.Value{ResponseTargetMicros: 800_000, TargetShare: 0.99},
	}}
	binary.BigEndian.PutUint64(r.ID[:], uint64(offset)*0x9E3779B97F4A7C15+1)
	binary.BigEndian.PutUint64(r.ID[8:], uint64(offset)*0xC2B2AE3D27D4EB4F+1)
	body, err := r.Encode()
	if err != nil {
		return err
	}
	results := m.Apply(offset, time.Duration(sampleLogMillis+offset)*time.Millisecond, body)
	if len(results) != 1 || results[0].Outcome != config.Accepted {
		return fmt.Errorf("change at offset %d was not accepted: %v", offset, results)
	}
	return nil
}

var claimTable = experiment{
	name: "claims", sizeUnit: "claims", sizes: []int{10_000, 100_000, 400_000},
	title: fmt.Sprintf("claim table with that many live claims, read in records of %d", claimsPerRecord),
	measure: func(_ context.Context, _ Options, n int) ([]reading, error) {
		before := usageAfterGC()
		t := claims.New(claims.Options{})
		var logBytes float64
		var applyTime time.Duration
		for i := 0; i < n; i += claimsPerRecord {
			body, err := claimRecord(i, min(claimsPerRecord, n-i)).Encode()
			if err != nil {
				return nil, err
			}
			logBytes += float64(len(body))
			start := time.Now()
			t.Apply(t.Next(), sampleLogMillis*time.Millisecond, body)
			applyTime += time.Since(start)
		}
		heap := usageDelta(before, usageAfterGC()).heap
		if t.Len() != n {
			return nil, fmt.Errorf("%d of %d claims are live", t.Len(), n)
		}
		return []reading{
			{"heap B", heap}, {"log B", logBytes}, {"apply us", float64(applyTime.Nanoseconds()) / 1e3},
		}, nil
	},
}

// claimRecord returns a log record of n claims, numbered from first.
func claimRecord(first, n int) *claims.Record {
	r := &claims.Record{Entry: wire.Incarnation(1 + first/claimsPerRecord%48), Peer: "10.20.30.40:7000"}
	for j := range n {
		c := claims.Claim{CreatedMillis: sampleLogMillis}
		binary.LittleEndian.PutUint64(c.Hash[:], uint64(first+j)*0x9E3779B97F4A7C15)
		binary.LittleEndian.PutUint64(c.Submission[:], uint64(first+j))
		r.Claims = append(r.Claims, c)
	}
	return r
}

var placement = experiment{
	name: "placement", sizeUnit: "agents", sizes: []int{11, 110, 1100, 11_000}, logScale: true,
	title: "policy per task (enqueue, place, result, load report), and its heap, with that many agents",
	measure: func(_ context.Context, _ Options, agents int) ([]reading, error) {
		before := usageAfterGC()
		s := newScheduler(agents)
		heap := usageDelta(before, usageAfterGC()).heap
		d, err := placeTasks(s)
		if err != nil {
			return nil, err
		}
		return []reading{
			{"cpu us", d.cpu / placementTasks}, {"allocs", d.allocs / placementTasks}, {"heap B/agent", heap / float64(agents)},
		}, nil
	},
}

// newScheduler returns a scheduler whose agents are at about 70% load.
func newScheduler(agents int) *policy.Adaptive {
	s := policy.New(policy.Options{Seed: 1, Zone: "zone-0"})
	s.Configure(0, policy.Settings{Classes: []policy.Class{{Name: className, ResponseTarget: time.Second, TargetShare: 0.99}}})
	for i := range agents {
		s.AgentUp(0, policy.AgentInfo{
			Agent: wire.Incarnation(i + 1), Name: fmt.Sprintf("worker-%05d", i), Zone: "zone-0",
			Rack: fmt.Sprintf("rack-%d", i/3), Slots: benchSlots,
			Load: wire.Load{Slots: benchSlots, Limit: benchSlots},
		})
		s.Observe(time.Second, wire.Incarnation(i+1), wire.Load{
			Slots: benchSlots, Limit: benchSlots, Running: 3 + i%6, Successes: 1000,
		})
	}
	return s
}

// placeTasks takes placementTasks tasks, one after another, from the queue to their
// result and returns the cost of all.
func placeTasks(s *policy.Adaptive) (delta, error) {
	j := &policy.Job{Class: className, Tasks: 1, Deadline: time.Hour}
	t := &policy.Task{Job: j}
	r := &wire.Result{Outcome: wire.Succeeded, RunTime: 200_000}
	load := wire.Load{Slots: benchSlots, Limit: benchSlots, Running: 4, Successes: 1000}
	now := time.Second
	before := currentUsage()
	for range placementTasks {
		now += 10 * time.Microsecond
		j.Arrived = now
		s.Enqueue(now, t)
		p, ok := s.Next(now)
		if !ok {
			return delta{}, fmt.Errorf("scheduler placed no task")
		}
		s.AttemptDone(now, p.Agent, t, r)
		s.JobDone(now, j, true)
		load.Successes++
		s.Observe(now, p.Agent, load)
	}
	return usageDelta(before, currentUsage()), nil
}
