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
	// configMaxItems admits more items than the system does, for the slope.
	configMaxItems  = 20_000
	configChanges   = 20
	claimsPerRecord = 100
	// logTime is a log time of today in milliseconds.
	logTimeMillis = 1_700_000_000_000
	benchLife     = 50_000 // task lives in one placement measurement
)

var configChange = experiment{
	name: "config", size: "items", sizes: []int{100, 300, 1000, 10_000},
	title: "configuration with that many classes: whole state, memory, and one change applied and encoded",
	measure: func(_ context.Context, _ Options, items int) ([]reading, error) {
		before := settled()
		m := config.New(config.Options{MaxItems: configMaxItems})
		var offset, base int64
		for i := range items {
			if err := applyClass(m, offset, fmt.Sprintf("class-%05d", i), 0); err != nil {
				return nil, err
			}
			offset++
		}
		heap := since(before, settled()).heap
		size := 0
		base = 1
		started := sample()
		for range configChanges {
			if err := applyClass(m, offset, "class-00000", base); err != nil {
				return nil, err
			}
			offset++
			base = offset
			m.State().Settings()
			size = len(m.State().Encode())
		}
		d := since(started, sample())
		agents, err := deltaCost(items, m.State().Encode())
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(m)
		out := []reading{
			{"state B", float64(size)}, {"heap B", heap}, {"cpu us/change", d.cpu / configChanges},
		}
		return append(out, agents...), nil
	},
}

// deltaCost measures what the last change to an encoded state costs an agent
// that has the version before it. More items than the system admits have none.
func deltaCost(items int, state []byte) ([]reading, error) {
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
	before := sample()
	for range configChanges {
		if _, err := config.Merge(state, body); err != nil {
			return nil, err
		}
	}
	d := since(before, sample())
	f := frame(&wire.ToAgent{Config: &wire.ConfigState{Version: s.Version(), State: body, BaseVersion: s.Version() - 1}, Stamp: stampSample})
	return []reading{{"delta frame B", float64(len(f))}, {"merge us/change", d.cpu / configChanges}}, nil
}

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
	verdicts := m.Apply(offset, time.Duration(logTimeMillis+offset)*time.Millisecond, body)
	if len(verdicts) != 1 || verdicts[0].Outcome != config.Accepted {
		return fmt.Errorf("change %d not accepted: %v", offset, verdicts)
	}
	return nil
}

var claimTable = experiment{
	name: "claims", size: "claims", sizes: []int{10_000, 100_000, 400_000},
	title: fmt.Sprintf("claim table with that many live claims, read in records of %d", claimsPerRecord),
	measure: func(_ context.Context, _ Options, n int) ([]reading, error) {
		before := settled()
		t := claims.New(claims.Options{})
		var log float64
		var spent time.Duration
		for i := 0; i < n; i += claimsPerRecord {
			body, err := claimRecord(i, min(claimsPerRecord, n-i)).Encode()
			if err != nil {
				return nil, err
			}
			log += float64(len(body))
			began := time.Now()
			t.Apply(t.Next(), logTimeMillis*time.Millisecond, body)
			spent += time.Since(began)
		}
		heap := since(before, settled()).heap
		if t.Len() != n {
			return nil, fmt.Errorf("%d of %d claims live", t.Len(), n)
		}
		return []reading{
			{"heap B", heap}, {"log B", log}, {"apply us", float64(spent.Nanoseconds()) / 1e3},
		}, nil
	},
}

func claimRecord(first, n int) *claims.Record {
	r := &claims.Record{Entry: wire.Incarnation(1 + first/claimsPerRecord%48), Peer: "10.20.30.40:7000"}
	for j := range n {
		c := claims.Claim{CreatedMillis: logTimeMillis}
		binary.LittleEndian.PutUint64(c.Hash[:], uint64(first+j)*0x9E3779B97F4A7C15)
		binary.LittleEndian.PutUint64(c.Submission[:], uint64(first+j))
		r.Claims = append(r.Claims, c)
	}
	return r
}

var placement = experiment{
	name: "placement", size: "agents", sizes: []int{11, 110, 1100, 11_000}, log: true,
	title: "policy for the life of one task (enqueue, place, result, load report), and its heap, with that many agents",
	measure: func(_ context.Context, _ Options, agents int) ([]reading, error) {
		before := settled()
		s := newScheduler(agents)
		heap := since(before, settled()).heap
		d, err := taskLives(s)
		if err != nil {
			return nil, err
		}
		return []reading{
			{"cpu us", d.cpu / benchLife}, {"allocs", d.allocs / benchLife}, {"heap B/agent", heap / float64(agents)},
		}, nil
	},
}

// newScheduler returns a scheduler of agents at about 70% load.
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

func taskLives(s *policy.Adaptive) (difference, error) {
	j := &policy.Job{Class: className, Tasks: 1, Deadline: time.Hour}
	t := &policy.Task{Job: j}
	r := &wire.Result{Outcome: wire.Succeeded, RunTime: 200_000}
	load := wire.Load{Slots: benchSlots, Limit: benchSlots, Running: 4, Successes: 1000}
	now := time.Second
	before := sample()
	for range benchLife {
		now += 10 * time.Microsecond
		j.Arrived = now
		s.Enqueue(now, t)
		p, ok := s.Next(now)
		if !ok {
			return difference{}, fmt.Errorf("no agent was chosen")
		}
		s.AttemptDone(now, p.Agent, t, r)
		s.JobDone(now, j, true)
		load.Successes++
		s.Observe(now, p.Agent, load)
	}
	return since(before, sample()), nil
}
