package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
	"github.com/limpettrail/limpettrail/core/wire"
)

// newTest returns a scheduler with n agents of 8 slots that count as healthy.
func newTest(n int, o Options) *Adaptive {
	s := New(o)
	s.Configure(0, Settings{Classes: []Class{
		{Name: "c", ResponseTarget: time.Second, TargetShare: 0.99},
		{Name: "d", ResponseTarget: 10 * time.Second, TargetShare: 0.9},
	}})
	for i := range n {
		id := wire.Incarnation(i + 1)
		s.AgentUp(0, AgentInfo{
			Agent: id, Zone: "z", Rack: fmt.Sprint(i / 3), Slots: 8,
			Capacity: wire.Capacity{MilliCores: int64(1000 * (1 + i%2))},
		})
		s.Observe(0, id, wire.Load{Slots: 8, Limit: 8, Successes: 100})
	}
	return s
}

// startAll lets every resubmitted job start, see queue.head.
func startAll(*jobState) bool { return true }

func newTestJob(class string, now time.Duration, tasks int) (*Job, []*Task) {
	j := &Job{Class: class, Tasks: tasks, Arrived: now, Deadline: now + time.Minute}
	var list []*Task
	for i := range tasks {
		list = append(list, &Task{Job: j, Index: i})
	}
	return j, list
}

func enqueue(s *Adaptive, now time.Duration, class string, tasks int) (*Job, []*Task) {
	j, list := newTestJob(class, now, tasks)
	for _, t := range list {
		s.Enqueue(now, t)
	}
	return j, list
}

// Guards against an estimate that relies on too few runs, and against one that does
// not follow changes of a class's run times.
func TestEstimateUsesThePriorFirstAndFollowsChanges(t *testing.T) {
	var e estimate
	for range estimateMinimum - 1 {
		e.observe(time.Second)
	}
	assert.Equal(t, e.meanOrPrior(50*time.Millisecond), 50*time.Millisecond)
	assert.Equal(t, e.p90OrPrior(0), defaultRun)
	e.observe(time.Second)
	assert.Check(t, math.Abs(e.meanOrPrior(0).Seconds()-1) < 0.001)
	for i := range 3000 {
		e.observe(time.Duration(1+i%100) * time.Millisecond)
	}
	for _, q := range []struct{ got, want time.Duration }{
		{e.meanOrPrior(0), 50 * time.Millisecond}, {e.p50, 50 * time.Millisecond},
		{e.p90, 90 * time.Millisecond}, {e.p99, 99 * time.Millisecond},
	} {
		assert.Check(t, math.Abs(math.Log(float64(q.got)/float64(q.want))) < 0.15, "%v, want %v", q.got, q.want)
	}
}

// Guards against lost, duplicated or misordered tasks in the heaps: after any sequence
// of operations each task is returned once, the heaps are in order, and the queue is
// empty at the end.
func TestQueueReturnsEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(true, true)
		classes := []*classState{
			q.newClass(Class{Name: "a", ResponseTarget: time.Second}),
			q.newClass(Class{Name: "b", ResponseTarget: 5 * time.Second}),
		}
		waiting := map[*Task]*jobState{}
		var placed []*jobState
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			q.unparkDue(now)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				c := classes[rapid.IntRange(0, 1).Draw(t, "class")]
				team := c.team(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), 4)
				job, tasks := newTestJob(c.class.Name, now, rapid.IntRange(1, 4).Draw(t, "tasks"))
				j := q.addJob(job, c, team, now+c.class.ResponseTarget)
				for _, task := range tasks {
					q.push(j, task)
					waiting[task] = j
				}
			case 2:
				if j := q.head(now, startAll); j != nil {
					task := q.start(j)
					if waiting[task] != j {
						t.Fatal("a task was returned twice or was never enqueued")
					}
					delete(waiting, task)
					placed = append(placed, j)
				}
			case 3:
				if n := len(placed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "end")
					q.finish(placed[i])
					placed = append(placed[:i], placed[i+1:]...)
				}
			case 4:
				for task, j := range waiting {
					q.remove(j, task)
					q.remove(j, task) // a second call changes nothing
					delete(waiting, task)
					break
				}
			case 5:
				if j := q.head(now, startAll); j != nil {
					q.park(now, 300*time.Millisecond, j, rapid.Bool().Draw(t, "unplaceable"))
				}
			}
			q.setContended(rapid.Bool().Draw(t, "contended"))
			unplaceable := 0
			for _, j := range q.parked.unplaceable.Items {
				unplaceable += len(j.waiting)
			}
			if q.waiting+unplaceable != len(waiting) || q.inService != len(placed) {
				t.Fatalf("%d waiting, want %d; %d in service, want %d", q.waiting, len(waiting), q.inService, len(placed))
			}
			checkHeaps(t, q)
		}
		q.unparkDue(now + time.Second)
		for len(waiting) > 0 {
			j := q.head(now, startAll)
			delete(waiting, q.start(j))
			placed = append(placed, j)
		}
		for _, j := range placed {
			j.ended = true
			q.finish(j)
		}
		if q.head(now, startAll) != nil || q.active != 0 || q.inService != 0 {
			t.Fatal("the queue is not empty after all jobs ended")
		}
	})
}

func checkHeaps(t *rapid.T, q *queue) {
	checkHeap(t, &q.classes)
	checkHeap(t, &q.late)
	checkHeap(t, &q.unstarted)
	checkHeap(t, &q.resubmitted)
	checkHeap(t, &q.parked.waiting)
	checkHeap(t, &q.parked.unplaceable)
	for _, c := range q.classes.Items {
		checkHeap(t, &c.byShare)
		checkHeap(t, &c.byDue)
	}
}

func checkHeap[T any](t *rapid.T, h *indexheap.Heap[T]) {
	for i, x := range h.Items {
		if *h.Pos(x) != i+1 || i > 0 && h.Less(x, h.Items[(i-1)/2]) {
			t.Fatalf("item %d of %T is out of place", i, h.Items)
		}
	}
}

// Guards against late jobs that delay others, and against late jobs that starve.
func TestLateJobsYieldButKeepAShare(t *testing.T) {
	q := newQueue(true, true)
	c := q.newClass(Class{Name: "a", ResponseTarget: time.Second})
	late, lateTasks := newTestJob("a", 0, 30)
	viable, viableTasks := newTestJob("a", 0, 270)
	lj := q.addJob(late, c, c.team("x", 0), 0)
	vj := q.addJob(viable, c, c.team("x", 0), time.Hour)
	for _, task := range lateTasks {
		q.push(lj, task)
	}
	for _, task := range viableTasks {
		q.push(vj, task)
	}
	count := 0
	for i := 1; i <= 290; i++ {
		j := q.head(time.Second, startAll)
		q.start(j)
		if j == lj {
			count++
		}
		assert.Equal(t, count, i/lateStartInterval)
	}
}

// Guards against a team that exceeds its share of a class at the expense of others.
func TestTeamsShareByQuota(t *testing.T) {
	s := newTest(11, Options{})
	s.Configure(0, Settings{
		Classes: []Class{{Name: "c", ResponseTarget: time.Hour}},
		Teams:   []Team{{Name: "x", Quota: 30}, {Name: "y", Quota: 10}},
	})
	started := map[string]int{}
	for i, team := range []string{"x", "y"} {
		j := &Job{Class: "c", Team: team, Tasks: 200, Arrived: time.Duration(i), Deadline: time.Hour}
		for k := range 200 {
			s.Enqueue(0, &Task{Job: j, Index: k})
		}
	}
	for range 80 {
		p, ok := s.Next(0)
		assert.Assert(t, ok)
		started[p.Task.Job.Team]++
	}
	assert.Equal(t, started["x"], 60)
	assert.Equal(t, started["y"], 20)
}

// Guards against retries that exceed a tenth of the starts, and against denying a
// retry that is possible before the deadline.
func TestRetriesWaitForTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget{tokens: retryBurst}
		now, starts := time.Duration(0), 0
		granted := []time.Duration{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "start") {
				b.recordStart(now)
				starts++
				continue
			}
			granted = append(granted, now+b.reserve(now))
		}
		used := 0
		for _, at := range granted {
			if at <= now {
				used++
			}
		}
		limit := retryBurst + minRetryRate*now.Seconds() + retryShare*float64(starts)
		// The delay of a retry is computed from the rate at that time, which may fall
		// afterwards.
		if float64(used) > 1.5*limit+1 {
			t.Fatalf("%d retries, want at most %.1f", used, limit)
		}
	})
	s := newTest(3, Options{})
	task := &Task{Job: &Job{Deadline: time.Hour}, NotRunAttempts: 1}
	var last time.Duration
	for range 100 {
		delay, ok := s.Retry(0, task, wire.ReasonBusy)
		assert.Assert(t, ok)
		assert.Check(t, delay >= last)
		last = delay
	}
	assert.Check(t, last > time.Second)
	task.Job.Deadline = time.Millisecond
	_, ok := s.Retry(0, task, wire.ReasonBusy)
	assert.Check(t, !ok, "retry allowed after the deadline")
}

// Guards against suspending or ejecting so many agents that the others are
// overloaded: whatever the outcomes, it is at most three and at most a third of the
// agents, and never all.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "agents")
		s := newTest(n, Options{Seed: 1})
		loads := make([]wire.Load, n)
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			job, _ := enqueue(s, now, "c", 1)
			for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
				i := int(p.Agent) - 1
				r := &wire.Result{Outcome: wire.Succeeded, RunTime: 1000}
				loads[i].Slots, loads[i].Limit = 8, 8
				if rapid.IntRange(0, 3).Draw(t, "fails") > 0 && i%2 == 0 {
					r.Outcome = wire.Failed
					loads[i].Failures++
				} else {
					loads[i].Successes++
				}
				s.AttemptDone(now, p.Agent, p.Task, r)
				s.JobDone(now, job, r.Outcome == wire.Succeeded)
				s.Observe(now, p.Agent, loads[i])
			}
			unavailable := 0
			for _, a := range s.connected {
				if a.health.ejected || a.health.suspended {
					unavailable++
				}
			}
			if unavailable != s.unavailable || unavailable > 3 || unavailable*3 > n || unavailable >= n {
				t.Fatalf("%d of %d agents suspended or ejected, counted %d", unavailable, n, s.unavailable)
			}
		}
	})
}

// Guards against an ejected agent that is never readmitted, or is readmitted without
// a trial.
func TestEjectedAgentGetsOneTrial(t *testing.T) {
	s := newTest(6, Options{Seed: 1})
	a := s.connected[2]
	a.health.eject(0, 0)
	s.unavailable = 1
	enqueue(s, 0, "c", 100)
	for p, ok := s.Next(0); ok; p, ok = s.Next(0) {
		assert.Check(t, p.Agent != a.info.Agent)
	}
	now := 3 * time.Second
	var trial *Task
	for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
		if p.Agent == a.info.Agent {
			assert.Check(t, trial == nil, "two trials at once")
			trial = p.Task
		}
	}
	assert.Assert(t, trial != nil)
	s.AttemptDone(now, a.info.Agent, trial, &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
	assert.Equal(t, s.Ejected(), 0)
}

// Guards against a job that fits no free agent and blocks jobs behind it that do.
func TestUnplaceableJobDoesNotBlockOthers(t *testing.T) {
	s := newTest(2, Options{}) // agent 1 has one core, agent 2 has two
	s.Observe(0, 2, wire.Load{Slots: 8, Limit: 8, Running: 8, Queued: 8, Successes: 100})
	big, _ := newTestJob("c", 0, 1)
	big.Need.MilliCores = 2000
	s.Enqueue(0, &Task{Job: big})
	small, _ := enqueue(s, 0, "d", 1)
	p, ok := s.Next(0)
	assert.Assert(t, ok)
	assert.Equal(t, p.Task.Job, small)
	assert.Equal(t, s.queue.waiting, 1)
}

// Guards against starts that queue at a full agent while others are free, and against
// useless refusals when all agents are full.
func TestAcceptedWaitDependsOnFreeSlots(t *testing.T) {
	s := newTest(3, Options{})
	for range 1000 { // without refusals the accepted wait decreases
		s.adjustWait(&wire.Result{Outcome: wire.Succeeded})
	}
	enqueue(s, 0, "c", 100)
	first, _ := s.Next(0)
	last := first
	for p, ok := first, true; ok; p, ok = s.Next(0) {
		last = p
	}
	assert.Check(t, first.MaxWait <= 10*time.Millisecond, "%v", first.MaxWait)
	assert.Check(t, last.MaxWait >= 4*defaultRun/8, "%v", last.MaxWait)
	queued := math.Ceil(lookAhead - minFreeSlots) // whole tasks at each agent
	assert.Equal(t, s.inFlight, 3*(8+int(queued)))
}

// Guards against state that callers can grow by sending arbitrary team names.
func TestUnknownTeamsShareOneState(t *testing.T) {
	s := newTest(1, Options{})
	for i := range 1000 {
		j, tasks := newTestJob("c", 0, 1)
		j.Team = fmt.Sprint(i)
		s.Enqueue(0, tasks[0])
	}
	assert.Equal(t, len(s.classes["c"].teams), 1)
}

// Guards against wrong refusals and a missing or wrong RetryAfter.
func TestAdmissionRefusals(t *testing.T) {
	s := newTest(2, Options{MaxWaiting: 50})
	job := func(change func(*Job)) AdmitResult {
		j, _ := newTestJob("c", 0, 1)
		change(j)
		return s.Admit(0, j)
	}
	check := func(got AdmitResult, want Refusal, retry bool) {
		t.Helper()
		assert.Equal(t, got.Refusal.String(), want.String())
		assert.Equal(t, got.RetryAfter > 0, retry)
	}
	check(job(func(*Job) {}), Admitted, false)
	check(job(func(j *Job) { j.Class = "x" }), RefusedUnknownClass, false)
	check(job(func(j *Job) { j.Need.MilliCores = 9000 }), RefusedNeverFits, false)
	check(job(func(j *Job) { j.Tasks = 51 }), RefusedOverload, true)
	for range estimateMinimum {
		s.classes["c"].runs.observe(time.Second)
	}
	check(job(func(j *Job) { j.Deadline = 500 * time.Millisecond }), RefusedDeadline, false)
	enqueue(s, 0, "c", 40)
	for _, ok := s.Next(0); ok; _, ok = s.Next(0) {
	}
	check(job(func(*Job) {}), RefusedOverload, true)
	s.AgentDown(0, 1)
	s.AgentDown(0, 2)
	check(job(func(*Job) {}), RefusedNoUpstream, true)
}

// Guards against unknown names of schedulers and parts that are silently ignored.
func TestUnknownNamesAreRejected(t *testing.T) {
	for _, name := range []string{NameAdaptive, NameLeastBusy} {
		s, err := ByName(name, 1, "z")
		assert.NilError(t, err)
		assert.Check(t, s != nil)
	}
	_, err := ByName("fastest", 1, "z")
	assert.ErrorContains(t, err, `"fastest"`)
	part, err := PartByName("look-ahead")
	assert.NilError(t, err)
	assert.Equal(t, part, PartLookAhead)
	_, err = PartByName("luck")
	assert.ErrorContains(t, err, `"luck"`)
}

// Guards against refusals in the first burst after a start. Until its first success
// each agent gets one task at a time, which must not be taken as its capacity.
func TestFirstBurstIsNotRefusedBeforeAnyRunTimeIsKnown(t *testing.T) {
	s := New(Options{Seed: 1, Zone: "z"})
	s.Configure(0, Settings{Classes: []Class{{Name: "c", ResponseTarget: 5 * time.Second, TargetShare: 0.9}}})
	for i := range 2 {
		s.AgentUp(0, AgentInfo{Agent: wire.Incarnation(i + 1), Name: fmt.Sprint(i), Zone: "z", Rack: "r", Slots: 8, Load: wire.Load{Slots: 8, Limit: 8}})
	}
	for i := range 40 {
		job := &Job{Submission: wire.SubmissionID{byte(i)}, Class: "c", Tasks: 1, Deadline: 3 * time.Second}
		assert.Equal(t, s.Admit(0, job).Refusal, Admitted, "job %d", i)
		s.Enqueue(0, &Task{Job: job})
		for {
			if _, ok := s.Next(0); !ok {
				break
			}
		}
	}
}
