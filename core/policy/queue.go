package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
)

const (
	// slackBucket is the difference in slack below which classes count as equal.
	slackBucket = 10 * time.Millisecond
	// slackShare: within a class, slack counts as equal up to this part of the
	// target. Started jobs and small ones go first there, since waiting for a
	// large job multiplies a small one's response time.
	slackShare = 8
	// lateShare: one start in lateShare goes to a job that already missed its
	// target, if one waits, so that nothing starves.
	lateShare = 10
	// priorityLead is how much later a task must have come up to be overtaken by one
	// of the next lower priority. It is bounded, so that no class starves.
	priorityLead = 100 * time.Millisecond
	// defaultQuota weighs a team without a quota in the fair shares.
	defaultQuota = 32
)

// jobState is what the queue keeps of a job from its first Enqueue until it
// has ended and none of its attempts is in flight.
type jobState struct {
	job     *Job
	class   *classState
	team    *teamState
	due     time.Duration // latest start that can still meet the target
	waiting []*Task       // Task.Slot holds the position plus one
	placed  int
	started bool
	late    bool
	ended   bool

	teamPos   int // in team.viable or team.late
	expiryPos int

	// blockedAt is since when a gang finds no room, 0 if it does not wait for it.
	blockedAt time.Duration

	racks     [rackBuckets]uint16 // tasks placed by rack
	last      *agentState         // of the task that was placed last
	at        map[*agentState]int // tasks in flight, for a job with Job.PerWorker
	succeeded int
	failedOn  []failure
}

// teamState is one team's part of one class.
type teamState struct {
	class     *classState
	quota     float64
	patience  float64 // part of the usual backlog that new jobs may find, 0 to 1
	inService int
	waiting   int
	viable    indexheap.Heap[*jobState]
	late      indexheap.Heap[*jobState]

	sharePos, duePos, latePos int
}

func (t *teamState) share() float64 { return float64(t.inService) / t.quota }

// classState is one class's part of the queue, with its statistics.
type classState struct {
	class       Class
	published   bool
	est         estimate
	forecast    forecast
	lead        time.Duration // that more urgent classes have over this one
	success     float64       // moving average of jobs complete within the target
	outcomes    ratio         // of tasks
	teams       map[string]*teamState
	waiting     int // tasks
	inService   int // tasks
	yields      bool
	byShare     indexheap.Heap[*teamState]
	byDue       indexheap.Heap[*teamState]
	lateByShare indexheap.Heap[*teamState]

	pos, latePos int
}

func (c *classState) below() bool { return c.success < c.class.Success }

// due is when the class's most urgent job must start, moved back by the lead that
// other classes have.
func (c *classState) due() time.Duration { return c.byDue.Top().viable.Top().due + c.lead }

func (c *classState) lateDue() time.Duration { return c.lateByShare.Top().late.Top().due }

// queue orders the waiting tasks. Its unit is the job, since all tasks of a
// job have the same slack. All operations are O(log n).
type queue struct {
	fair    bool // shares of teams within a class
	slack   bool // order by slack; otherwise by arrival
	jobs    map[*Job]*jobState
	classes indexheap.Heap[*classState] // with a viable job
	late    indexheap.Heap[*classState] // with a late job
	expiry  indexheap.Heap[*jobState]   // viable jobs that have not started
	waiting int
	starts  uint64
	free    []*jobState

	contended bool // the backlog endangers the tightest target
	inService int
	active    int // classes with a task that waits or is in service
}

func newQueue(fair, slack bool) *queue {
	q := &queue{fair: fair, slack: slack, jobs: make(map[*Job]*jobState)}
	q.classes = indexheap.Heap[*classState]{Less: lessClass, Pos: func(c *classState) *int { return &c.pos }}
	q.late = indexheap.Heap[*classState]{
		Less: func(a, b *classState) bool { return a.lateDue() < b.lateDue() },
		Pos:  func(c *classState) *int { return &c.latePos },
	}
	q.expiry = indexheap.Heap[*jobState]{
		Less: func(a, b *jobState) bool { return a.due < b.due },
		Pos:  func(j *jobState) *int { return &j.expiryPos },
	}
	return q
}

func lessClass(a, b *classState) bool {
	if a.yields != b.yields {
		return b.yields
	}
	ad, bd := a.due(), b.due()
	if ab, bb := ad/slackBucket, bd/slackBucket; ab != bb {
		return ab < bb
	}
	if al, bl := a.below(), b.below(); al != bl {
		return al
	}
	return ad < bd
}

func lessJob(a, b *jobState) bool {
	if ab, bb := a.due/a.class.bucket(), b.due/a.class.bucket(); ab != bb {
		return ab < bb
	}
	if a.started != b.started {
		return a.started
	}
	if a.job.Tasks != b.job.Tasks {
		return a.job.Tasks < b.job.Tasks
	}
	return a.due < b.due
}

// bucket is the difference in slack below which the class's jobs count as equal.
func (c *classState) bucket() time.Duration { return max(slackBucket, c.class.Within/slackShare) }

func lessLateJob(a, b *jobState) bool {
	if a.started != b.started {
		return a.started
	}
	return a.due < b.due
}

func (q *queue) newClass(class Class) *classState {
	c := &classState{class: class, success: 1, teams: make(map[string]*teamState)}
	less := func(a, b *teamState) bool { return a.share() < b.share() }
	if !q.fair {
		less = func(a, b *teamState) bool { return a.viable.Top().due < b.viable.Top().due }
	}
	c.byShare = indexheap.Heap[*teamState]{Less: less, Pos: func(t *teamState) *int { return &t.sharePos }}
	c.byDue = indexheap.Heap[*teamState]{
		Less: func(a, b *teamState) bool { return lessJob(a.viable.Top(), b.viable.Top()) },
		Pos:  func(t *teamState) *int { return &t.duePos },
	}
	c.lateByShare = indexheap.Heap[*teamState]{
		Less: func(a, b *teamState) bool { return a.share() < b.share() },
		Pos:  func(t *teamState) *int { return &t.latePos },
	}
	return c
}

func (c *classState) team(name string, quota int) *teamState {
	t := c.teams[name]
	if t == nil {
		pos := func(j *jobState) *int { return &j.teamPos }
		t = &teamState{class: c, quota: quotaWeight(quota), patience: 1}
		t.viable = indexheap.Heap[*jobState]{Less: lessJob, Pos: pos}
		t.late = indexheap.Heap[*jobState]{Less: lessLateJob, Pos: pos}
		c.teams[name] = t
	}
	return t
}

func quotaWeight(quota int) float64 {
	if quota <= 0 {
		return defaultQuota
	}
	return float64(quota)
}

// add returns the job's state, created on the first call.
func (q *queue) add(job *Job, c *classState, t *teamState, due time.Duration) *jobState {
	j := q.unused()
	*j = jobState{job: job, class: c, team: t, due: due, waiting: j.waiting[:0], failedOn: j.failedOn[:0]}
	if !q.slack {
		j.due = job.Arrived
	}
	q.jobs[job] = j
	return j
}

// unused returns a state to fill, one that was released if there is any.
func (q *queue) unused() *jobState {
	n := len(q.free)
	if n == 0 {
		return new(jobState)
	}
	j := q.free[n-1]
	q.free = q.free[:n-1]
	return j
}

// push adds one waiting task of the job.
func (q *queue) push(j *jobState, t *Task) {
	j.waiting = append(j.waiting, t)
	t.Slot = len(j.waiting)
	q.count(j, 1)
	if len(j.waiting) == 1 {
		q.attach(j)
		return
	}
	q.refresh(j.team)
}

// remove drops one waiting task. A task that does not wait is left alone.
func (q *queue) remove(j *jobState, t *Task) {
	i := t.Slot - 1
	if i < 0 || i >= len(j.waiting) || j.waiting[i] != t {
		return
	}
	last := len(j.waiting) - 1
	j.waiting[i] = j.waiting[last]
	j.waiting[i].Slot = i + 1
	j.waiting[last] = nil
	j.waiting = j.waiting[:last]
	t.Slot = 0
	q.count(j, -1)
	if last == 0 {
		q.detach(j)
		return
	}
	q.refresh(j.team)
}

func (q *queue) count(j *jobState, n int) {
	was := j.class.busy()
	q.waiting += n
	j.team.waiting += n
	j.class.waiting += n
	q.noteBusy(j.class, was)
}

// serve counts n more tasks in service.
func (q *queue) serve(j *jobState, n int) {
	was := j.class.busy()
	j.placed += n
	j.team.inService += n
	j.class.inService += n
	q.inService += n
	q.noteBusy(j.class, was)
}

// tasks is the class's work at this entry.
func (c *classState) tasks() int { return c.waiting + c.inService }

func (c *classState) busy() bool { return c.tasks() > 0 }

func (q *queue) noteBusy(c *classState, was bool) {
	if is := c.busy(); is && !was {
		q.active++
	} else if was && !is {
		q.active--
	}
}

// overShare reports whether the class must yield to other classes: there is
// contention and it holds more than an equal share of the slots in service.
// Without this rule, one class that exceeds the capacity brings its jobs' slack
// down to that of every other class and all of them become late.
func (q *queue) overShare(c *classState) bool {
	return q.contended && c.inService*q.active > q.inService
}

// contend sets whether there is contention.
func (q *queue) contend(contended bool) {
	if contended == q.contended {
		return
	}
	q.contended = contended
	for _, c := range q.classes.Items {
		c.yields = q.overShare(c)
	}
	q.classes.Reorder()
}

// attach makes a job with waiting tasks eligible.
func (q *queue) attach(j *jobState) {
	if j.late {
		j.team.late.Put(j)
	} else {
		j.team.viable.Put(j)
		if q.slack && !j.started {
			q.expiry.Put(j)
		}
	}
	q.refresh(j.team)
}

func (q *queue) detach(j *jobState) {
	if j.late {
		j.team.late.Drop(j)
	} else {
		j.team.viable.Drop(j)
	}
	q.expiry.Drop(j)
	q.refresh(j.team)
}

// refresh restores the order of the team and its class after a change.
func (q *queue) refresh(t *teamState) {
	c := t.class
	keep(&c.byShare, t, t.viable.Len() > 0)
	keep(&c.byDue, t, t.viable.Len() > 0)
	keep(&c.lateByShare, t, t.late.Len() > 0)
	c.yields = q.overShare(c)
	keep(&q.classes, c, c.byDue.Len() > 0)
	keep(&q.late, c, c.lateByShare.Len() > 0)
}

func keep[T any](h *indexheap.Heap[T], x T, in bool) {
	if in {
		h.Put(x)
		return
	}
	h.Drop(x)
}

// expire moves the jobs that can no longer meet their target, unless a task of
// them has started: finishing those loses no work.
func (q *queue) expire(now time.Duration) {
	for q.expiry.Len() > 0 && q.expiry.Top().due < now {
		j := q.expiry.Top()
		q.detach(j)
		j.late = true
		q.attach(j)
	}
}

// head returns the job to serve next, or nil.
func (q *queue) head(now time.Duration) *jobState {
	q.expire(now)
	lateTurn := q.starts%lateShare == lateShare-1
	if q.late.Len() > 0 && (lateTurn || q.classes.Len() == 0) {
		return q.late.Top().lateByShare.Top().late.Top()
	}
	if q.classes.Len() == 0 {
		return nil
	}
	return q.classes.Top().byShare.Top().viable.Top()
}

// start removes one task of the job, which is being placed.
func (q *queue) start(j *jobState) *Task {
	t := j.waiting[len(j.waiting)-1]
	q.remove(j, t)
	q.starts++
	q.serve(j, 1)
	if !j.started {
		j.started = true
		q.expiry.Drop(j)
		if len(j.waiting) > 0 {
			q.attach(j)
		}
	}
	q.refresh(j.team)
	return t
}

// finish ends one placed attempt of the job.
func (q *queue) finish(j *jobState) {
	q.serve(j, -1)
	q.refresh(j.team)
	q.release(j)
}

// release forgets a job that has ended once nothing of it is in flight.
func (q *queue) release(j *jobState) {
	if !j.ended || j.placed > 0 || len(j.waiting) > 0 {
		return
	}
	delete(q.jobs, j.job)
	q.free = append(q.free, j)
}
