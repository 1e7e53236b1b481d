package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
)

const (
	// minSlackInterval is the width of the intervals within which the slack of
	// classes counts as equal, and the least width for jobs of one class.
	minSlackInterval = 10 * time.Millisecond
	// slackIntervalDivisor divides the target of a class to get the width of the
	// intervals within which the slack of its jobs counts as equal. Within an
	// interval, started jobs and jobs with fewer tasks go first, since waiting for a
	// large job multiplies the response time of a small one.
	slackIntervalDivisor = 8
	// lateStartInterval: one start in each lateStartInterval goes to a job that can no
	// longer meet its target, if one waits, so that late jobs do not starve.
	lateStartInterval = 10
	// delayPerPriority is added to the due time of a class for each priority level
	// above it. The delay is bounded, so that no class starves.
	delayPerPriority = 100 * time.Millisecond
	// defaultQuota is the weight in the fair shares of a team without a quota.
	defaultQuota = 32
)

// jobState is the state of a job from its first Enqueue until the job has ended
// and none of its attempts is in flight.
type jobState struct {
	job      *Job
	class    *classState
	team     *teamState
	due      time.Duration // latest start with which the job can meet its target
	waiting  []*Task       // Task.SchedulerState is the index plus one
	inFlight int           // attempts in flight
	started  bool          // a task was placed
	late     bool          // the target can no longer be met
	ended    bool          // JobDone was called

	teamPos      int // in team.viable or team.late
	unstartedPos int // in queue.unstarted
	// resubmittedPos is the position in queue.resubmitted.
	resubmittedPos int

	parkedPos   int           // in one of the heaps of queue.parked
	returnAt    time.Duration // when the parked job returns to the order
	parkDelay   time.Duration // last delay since a task of the job was placed
	unplaceable bool          // parked, and no connected worker meets its requirements

	// blockedAt is the time since which a gang has found too few free slots; 0 if
	// it is not blocked.
	blockedAt time.Duration

	racks      [rackBuckets]uint16 // number of tasks placed, by rackBucket
	lastAgent  *agentState         // agent of the task placed last
	inFlightAt map[*agentState]int // tasks in flight by agent, only if Job.MaxPerWorker is set
	succeeded  int
	failedOn   []failure
	refusedBy  []refusals
}

// teamState holds the jobs of one team in one class.
type teamState struct {
	class         *classState
	quota         float64
	backlogFactor float64                   // multiplies the backlog at which new jobs are still admitted, 0 to 1
	inService     int                       // tasks
	waiting       int                       // tasks
	resubmitted   int                       // of these, tasks of resubmitted jobs
	viable        indexheap.Heap[*jobState] // waiting jobs that are not late
	late          indexheap.Heap[*jobState]

	sharePos, duePos, latePos int // in the class's byShare, byDue and lateByShare
}

// share returns the team's tasks in service relative to its quota.
func (t *teamState) share() float64 { return float64(t.inService) / t.quota }

// classState holds the jobs and the statistics of one class.
type classState struct {
	class             Class
	published         bool // part of the current settings
	runs              estimate
	forecast          forecast
	priorityDelay     time.Duration // added to the due time, because classes of higher priority go first
	metShare          float64       // moving average of the share of jobs that met the target
	outcomes          ratio         // of tasks
	teams             map[string]*teamState
	offences          []offence
	containedUntil    time.Duration // see containment.go
	containmentPeriod time.Duration // of the current or last containment
	waiting           int           // tasks
	resubmitted       int           // of these, tasks of resubmitted jobs
	shortShare        float64       // moving average of the share of jobs below Class.CallerTimeout
	inService         int           // tasks
	yields            bool          // the class is above its share under contention
	byShare           indexheap.Heap[*teamState]
	byDue             indexheap.Heap[*teamState]
	lateByShare       indexheap.Heap[*teamState]

	pos, latePos int // in queue.classes and queue.late
}

// belowTarget reports whether fewer jobs of the class met the target than required.
func (c *classState) belowTarget() bool { return c.metShare < c.class.TargetShare }

// due returns when the most urgent job of the class must start, plus the priority
// delay of the class.
func (c *classState) due() time.Duration { return c.byDue.Top().viable.Top().due + c.priorityDelay }

// lateDue returns the due time of the late job to serve first, of the team with the
// smallest share.
func (c *classState) lateDue() time.Duration { return c.lateByShare.Top().late.Top().due }

// queue orders the waiting tasks. It orders them by job, since all tasks of a job
// have the same slack. All operations are O(log n).
type queue struct {
	fair      bool // fair shares of teams within a class
	bySlack   bool // order by slack instead of arrival
	jobs      map[*Job]*jobState
	classes   indexheap.Heap[*classState] // classes with a viable job
	late      indexheap.Heap[*classState] // classes with a late job
	unstarted indexheap.Heap[*jobState]   // viable jobs that have not started
	// resubmitted holds the resubmitted jobs that have not started, of all classes.
	resubmitted indexheap.Heap[*jobState]
	parked      parkedJobs
	waiting     int // tasks
	starts      uint64
	released    []*jobState // released states, for reuse

	contended bool // the backlog is long compared with the shortest target
	inService int  // tasks
	active    int  // classes with a task that is waiting or in service
}

func newQueue(fair, slack bool) *queue {
	q := &queue{fair: fair, bySlack: slack, jobs: make(map[*Job]*jobState), parked: newParkedJobs()}
	q.classes = indexheap.Heap[*classState]{Less: lessClass, Pos: func(c *classState) *int { return &c.pos }}
	q.late = indexheap.Heap[*classState]{
		Less: func(a, b *classState) bool { return a.lateDue() < b.lateDue() },
		Pos:  func(c *classState) *int { return &c.latePos },
	}
	q.unstarted = indexheap.Heap[*jobState]{
		Less: func(a, b *jobState) bool { return a.due < b.due },
		Pos:  func(j *jobState) *int { return &j.unstartedPos },
	}
	q.resubmitted = indexheap.Heap[*jobState]{Less: lessResubmitted, Pos: func(j *jobState) *int { return &j.resubmittedPos }}
	return q
}

// lessClass orders classes: those that need not yield first, then by the interval of
// the due time. Within an interval, classes below their target go first.
func lessClass(a, b *classState) bool {
	if a.yields != b.yields {
		return b.yields
	}
	aDue, bDue := a.due(), b.due()
	if aInterval, bInterval := aDue/minSlackInterval, bDue/minSlackInterval; aInterval != bInterval {
		return aInterval < bInterval
	}
	if aBelow, bBelow := a.belowTarget(), b.belowTarget(); aBelow != bBelow {
		return aBelow
	}
	return aDue < bDue
}

// lessJob orders jobs of one class by the interval of the due time; see
// slackIntervalDivisor for the order within an interval.
func lessJob(a, b *jobState) bool {
	if aInterval, bInterval := a.due/a.class.slackInterval(), b.due/a.class.slackInterval(); aInterval != bInterval {
		return aInterval < bInterval
	}
	if a.started != b.started {
		return a.started
	}
	if a.job.Tasks != b.job.Tasks {
		return a.job.Tasks < b.job.Tasks
	}
	return a.due < b.due
}

// slackInterval returns the width of the intervals within which the slack of the
// class's jobs counts as equal.
func (c *classState) slackInterval() time.Duration {
	return max(minSlackInterval, c.class.ResponseTarget/slackIntervalDivisor)
}

// lessLateJob orders late jobs: started jobs first, since completing them wastes no
// work, then by due time.
func lessLateJob(a, b *jobState) bool {
	if a.started != b.started {
		return a.started
	}
	return a.due < b.due
}

func (q *queue) newClass(class Class) *classState {
	c := &classState{class: class, metShare: 1, teams: make(map[string]*teamState)}
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

// team returns the state of the team in the class, created on the first call.
func (c *classState) team(name string, quota int) *teamState {
	t := c.teams[name]
	if t == nil {
		pos := func(j *jobState) *int { return &j.teamPos }
		t = &teamState{class: c, quota: quotaWeight(quota), backlogFactor: 1}
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

// addJob creates the state of a job.
func (q *queue) addJob(job *Job, c *classState, t *teamState, due time.Duration) *jobState {
	j := q.newJobState()
	*j = jobState{job: job, class: c, team: t, due: due, waiting: j.waiting[:0], failedOn: j.failedOn[:0]}
	if !q.bySlack {
		j.due = job.Arrived
	}
	q.jobs[job] = j
	return j
}

// newJobState returns a state to fill in, a released one if there is any.
func (q *queue) newJobState() *jobState {
	n := len(q.released)
	if n == 0 {
		return new(jobState)
	}
	j := q.released[n-1]
	q.released = q.released[:n-1]
	return j
}

// push adds a waiting task of the job.
func (q *queue) push(j *jobState, t *Task) {
	q.unpark(j)
	j.waiting = append(j.waiting, t)
	t.SchedulerState = len(j.waiting)
	q.addWaiting(j, 1)
	if len(j.waiting) == 1 {
		q.attach(j)
		return
	}
	q.refresh(j.team)
}

// remove removes a waiting task. It does nothing if the task is not waiting.
func (q *queue) remove(j *jobState, t *Task) {
	i := t.SchedulerState - 1
	if i < 0 || i >= len(j.waiting) || j.waiting[i] != t {
		return
	}
	q.unpark(j)
	last := len(j.waiting) - 1
	j.waiting[i] = j.waiting[last]
	j.waiting[i].SchedulerState = i + 1
	j.waiting[last] = nil
	j.waiting = j.waiting[:last]
	t.SchedulerState = 0
	q.addWaiting(j, -1)
	if last == 0 {
		q.detach(j)
		return
	}
	q.refresh(j.team)
}

func (q *queue) addWaiting(j *jobState, n int) {
	wasBusy := j.class.busy()
	q.waiting += n
	j.team.waiting += n
	j.class.waiting += n
	if j.job.Resubmitted {
		j.team.resubmitted += n
		j.class.resubmitted += n
	}
	q.updateActive(j.class, wasBusy)
}

// addInService adds n to the number of the job's tasks in service.
func (q *queue) addInService(j *jobState, n int) {
	wasBusy := j.class.busy()
	j.inFlight += n
	j.team.inService += n
	j.class.inService += n
	q.inService += n
	q.updateActive(j.class, wasBusy)
}

// tasks returns the number of the class's tasks at this entry.
func (c *classState) tasks() int { return c.waiting + c.inService }

func (c *classState) busy() bool { return c.tasks() > 0 }

func (q *queue) updateActive(c *classState, wasBusy bool) {
	if isBusy := c.busy(); isBusy && !wasBusy {
		q.active++
	} else if wasBusy && !isBusy {
		q.active--
	}
}

// overShare reports whether the class must yield to other classes: there is
// contention and it has more than an equal share of the tasks in service. Without
// this rule, the slack of a class whose load exceeds the capacity falls to that of
// the other classes, and the jobs of all classes become late.
func (q *queue) overShare(c *classState) bool {
	return q.contended && c.inService*q.active > q.inService
}

// setContended sets whether there is contention between classes.
func (q *queue) setContended(contended bool) {
	if contended == q.contended {
		return
	}
	q.contended = contended
	for _, c := range q.classes.Items {
		c.yields = q.overShare(c)
	}
	q.classes.Reorder()
}

// attach adds a job with waiting tasks to the heaps.
func (q *queue) attach(j *jobState) {
	switch {
	case j.inResubmitted():
		q.resubmitted.Put(j)
	case j.late:
		j.team.late.Put(j)
	default:
		j.team.viable.Put(j)
		if q.bySlack && !j.started {
			q.unstarted.Put(j)
		}
	}
	q.refresh(j.team)
}

// detach removes a job from the heaps.
func (q *queue) detach(j *jobState) {
	switch {
	case j.inResubmitted():
		q.resubmitted.Remove(j)
	case j.late:
		j.team.late.Remove(j)
	default:
		j.team.viable.Remove(j)
	}
	q.unstarted.Remove(j)
	q.refresh(j.team)
}

// refresh restores the heap order of the team and its class after a change.
func (q *queue) refresh(t *teamState) {
	c := t.class
	putOrRemove(&c.byShare, t, t.viable.Len() > 0)
	putOrRemove(&c.byDue, t, t.viable.Len() > 0)
	putOrRemove(&c.lateByShare, t, t.late.Len() > 0)
	c.yields = q.overShare(c)
	putOrRemove(&q.classes, c, c.byDue.Len() > 0)
	putOrRemove(&q.late, c, c.lateByShare.Len() > 0)
}

// putOrRemove puts x into the heap if in is true, and removes it otherwise.
func putOrRemove[T any](h *indexheap.Heap[T], x T, in bool) {
	if in {
		h.Put(x)
		return
	}
	h.Remove(x)
}

// markLate marks jobs that can no longer meet their target as late. A job of which a
// task has started is not marked: completing it wastes no work.
func (q *queue) markLate(now time.Duration) {
	for q.unstarted.Len() > 0 && q.unstarted.Top().due < now {
		j := q.unstarted.Top()
		q.detach(j)
		j.late = true
		q.attach(j)
	}
}

// head returns the job to serve next, or nil if no job waits that may start. mayStart
// reports whether the first resubmitted job may.
func (q *queue) head(now time.Duration, mayStart func(*jobState) bool) *jobState {
	q.markLate(now)
	lateTurn := q.starts%lateStartInterval == lateStartInterval-1
	if lateTurn || q.classes.Len() == 0 {
		if j := q.lateHead(mayStart); j != nil {
			return j
		}
	}
	if q.classes.Len() == 0 {
		return nil
	}
	return q.classes.Top().byShare.Top().viable.Top()
}

// lateHead returns the job to serve next of those that cannot meet their target: the late
// one or the resubmitted one, whichever has the earlier deadline. Late jobs that have
// started go first.
func (q *queue) lateHead(mayStart func(*jobState) bool) *jobState {
	var late *jobState
	if q.late.Len() > 0 {
		late = q.late.Top().lateByShare.Top().late.Top()
	}
	if q.resubmitted.Len() == 0 || late != nil && (late.started || late.job.Deadline < q.resubmitted.Top().job.Deadline) {
		return late
	}
	if j := q.resubmitted.Top(); mayStart(j) {
		return j
	}
	return late
}

// start removes one waiting task of the job and counts it as in service.
func (q *queue) start(j *jobState) *Task {
	t := j.waiting[len(j.waiting)-1]
	q.remove(j, t)
	q.starts++
	q.addInService(j, 1)
	if !j.started {
		if len(j.waiting) > 0 {
			q.detach(j)
		}
		j.started = true
		j.late = j.late || j.job.Resubmitted
		if len(j.waiting) > 0 {
			q.attach(j)
		}
	}
	q.refresh(j.team)
	return t
}

// finish records the end of an attempt of the job.
func (q *queue) finish(j *jobState) {
	q.addInService(j, -1)
	q.refresh(j.team)
	q.release(j)
}

// release removes a job that has ended and has no task waiting or in flight.
func (q *queue) release(j *jobState) {
	if !j.ended || j.inFlight > 0 || len(j.waiting) > 0 {
		return
	}
	delete(q.jobs, j.job)
	q.released = append(q.released, j)
}
