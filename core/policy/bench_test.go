package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// benchScheduler returns a scheduler of n agents at about 70% load.
func benchScheduler(n int) *Adaptive {
	s := newTest(n, Options{Seed: 1, Zone: "z"})
	for i := range n {
		s.Observe(time.Second, wire.Incarnation(i+1), wire.Load{
			Slots: 8, Limit: 8, Running: 3 + i%6, Successes: 1000,
		})
	}
	return s
}

// BenchmarkDecision measures the choice of an agent for one task.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{11, 110, 1100, 11000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := benchScheduler(n)
			_, tasks := newTestJob("c", time.Second, 1)
			s.Enqueue(time.Second, tasks[0])
			j := s.queue.jobs[tasks[0].Job]
			b.ReportAllocs()
			for b.Loop() {
				if s.choose(time.Second, j).agent == nil {
					b.Fatal("no agent")
				}
			}
		})
	}
}

// BenchmarkTask measures all calls for one task: Enqueue, Next, AttemptDone, JobDone
// and Observe, while 1,000 other tasks of 85 teams wait.
func BenchmarkTask(b *testing.B) {
	for _, n := range []int{11, 110, 1100, 11000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := benchScheduler(n)
			for i := range 85 {
				s.quotas[fmt.Sprint(i)] = 10
			}
			for i := range 1000 {
				j, tasks := newTestJob("d", time.Second, 1)
				j.Team = fmt.Sprint(i % 85)
				s.Enqueue(time.Second, tasks[0])
			}
			now := time.Second
			r := &wire.Result{Outcome: wire.Succeeded, RunTime: 200_000}
			load := wire.Load{Slots: 8, Limit: 8, Running: 4, Successes: 1000}
			j, tasks := newTestJob("c", now, 1)
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * time.Microsecond
				j.Arrived = now
				s.Enqueue(now, tasks[0])
				p, ok := s.Next(now)
				if !ok {
					b.Fatal("no placement")
				}
				s.AttemptDone(now, p.Agent, p.Task, r)
				s.JobDone(now, p.Task.Job, true)
				load.Successes++
				s.Observe(now, p.Agent, load)
				if p.Task != tasks[0] {
					p.Task.Job.Arrived = now
					s.Enqueue(now, p.Task)
					s.Remove(now, tasks[0])
					s.JobDone(now, j, true)
				}
			}
		})
	}
}

// BenchmarkNextWhileEvacuated measures a decision without waiting tasks, which is made after
// every event, while a third of the agents is evacuated or returns.
func BenchmarkNextWhileEvacuated(b *testing.B) {
	for _, returned := range []bool{false, true} {
		b.Run(fmt.Sprint("returned=", returned), func(b *testing.B) {
			s := newZones(1375, Options{Seed: 1})
			s.SetEvacuatedZones(time.Second, []string{"a"})
			if returned {
				s.SetEvacuatedZones(time.Second, nil)
			}
			for b.Loop() {
				s.Next(time.Second)
			}
		})
	}
}
