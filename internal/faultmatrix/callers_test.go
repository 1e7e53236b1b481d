package faultmatrix

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// className is the class of every job.
const className = "render"

// job is a job of a caller. The caller may resubmit it if a submission does not
// complete it; see resubmit.
type job struct {
	name            string
	key             string // empty for an idempotent job
	tasks           [][]byte
	deadline        time.Duration
	need            wire.Capacity
	declaredRunTime time.Duration
	submitCount     int
	done            bool // a submission was complete
}

// submission is one submission of a job to an entry.
type submission struct {
	id               wire.SubmissionID
	job              *job
	entry            *entryNode
	stepAgent        int // agent of the faults injected at steps that concern no agent
	sentAt           time.Duration
	accepted         bool
	ended            bool
	connectionBroken bool
	outcome          entry.JobOutcome // 0 if the connection broke
	reason           string
}

const maxSubmits = 4 // of one job

// payloadOf returns a payload that is unique to the task and contains its run
// time.
func payloadOf(job string, task int, run time.Duration) []byte {
	return fmt.Appendf(nil, "%s/%d/%d", job, task, run.Milliseconds())
}

func runTimeOf(payload []byte) time.Duration {
	text := string(payload)
	ms, err := strconv.Atoi(text[strings.LastIndexByte(text, '/')+1:])
	if err != nil {
		panic(err)
	}
	return time.Duration(ms) * time.Millisecond
}

func resultOf(payload []byte) []byte { return append([]byte("result of "), payload...) }

func sortedIDs[T any](m map[wire.SubmissionID]T) []wire.SubmissionID {
	var ids []wire.SubmissionID
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b wire.SubmissionID) int { return bytes.Compare(a[:], b[:]) })
	return ids
}

// newJob returns a job with random run times. Every second job has a key and is
// not idempotent.
func (sim *simulation) newJob(n int) *job {
	j := &job{name: fmt.Sprint("job-", n), deadline: 3 * time.Second}
	if n%2 == 0 {
		j.key = fmt.Sprintf("%d-%s", sim.log.now().Milliseconds(), j.name)
	}
	for i := range 1 + n%4 {
		run := time.Duration(20+sim.rng.IntN(180)) * time.Millisecond
		j.tasks = append(j.tasks, payloadOf(j.name, i, run))
	}
	return j
}

// submit submits the job to an entry.
func (sim *simulation) submit(j *job, i int) {
	i %= entryCount
	e := sim.entries[i]
	sub := &submission{job: j, entry: e, sentAt: sim.now, stepAgent: sim.rng.IntN(agentCount)}
	binary.BigEndian.PutUint64(sub.id[:], uint64(len(sim.submissions)+1))
	j.submitCount++
	sim.submissions[sub.id] = sub
	sim.openSubmissions++
	if e.dead {
		sim.schedule(networkDelay, func() { sub.breakConnection(sim) })
		return
	}
	sim.runLater(&e.proc, networkDelay, func() { e.accept(sub) })
}

// accept handles the submission when it reaches the entry.
func (e *entryNode) accept(sub *submission) {
	e.submissions[sub.id] = sub
	sub.accepted = true
	e.sim.reachStep(stepAccepted, e.index, sub.stepAgent)
	e.sim.runIn(&e.proc, func() {
		e.step(entry.Submit{
			Submission: sub.id, Class: className, Team: team, Deadline: sub.job.deadline,
			NeedsClaim: sub.job.key != "", Need: sub.job.need, DeclaredRunTime: sub.job.declaredRunTime, Payloads: sub.job.tasks,
		})
	})
}

// handleAnswer handles an answer at the caller, unless its connection broke before.
func (sub *submission) handleAnswer(sim *simulation, a entry.JobAnswer) {
	if sub.ended {
		return
	}
	if sim.answersToLose > 0 {
		sim.answersToLose--
		sub.breakConnection(sim)
		return
	}
	sub.ended = true
	sub.outcome, sub.reason = a.Outcome, a.Reason
	sim.openSubmissions--
	sim.checker.checkResponseTime(sim, sub)
	if a.Outcome == entry.Complete {
		sub.job.done = true
		return
	}
	if a.Outcome == entry.Refused && a.RetryAfter > 0 || a.Outcome == entry.Unknown {
		sim.resubmit(sub)
	}
}

// breakConnection ends the submission without an answer. The caller resubmits the
// job.
func (sub *submission) breakConnection(sim *simulation) {
	if sub.ended {
		return
	}
	sub.ended, sub.connectionBroken = true, true
	sim.openSubmissions--
	sim.resubmit(sub)
}

// resubmit submits the job to the next entry. A job without a key is not
// resubmitted after an unknown outcome.
func (sim *simulation) resubmit(sub *submission) {
	if sub.job.submitCount >= maxSubmits || sub.job.key == "" && sub.outcome == entry.Unknown {
		return
	}
	sim.openSubmissions++ // the job has not ended
	sim.schedule(400*time.Millisecond, func() {
		sim.openSubmissions--
		sim.submit(sub.job, sub.entry.index+1)
	})
}

// newChangeID returns an ID for the next configuration record.
func (sim *simulation) newChangeID() config.ID {
	sim.changeCount++
	return config.ID{byte(sim.changeCount), byte(sim.changeCount >> 8), 1}
}

// changeBody encodes a change of the class, based on revision base, that sets its
// response target.
func changeBody(id config.ID, base int64, target time.Duration) []byte {
	r := config.Record{ID: id, Change: &config.Change{
		Kind: config.KindClass, Name: className, Base: base,
		Value: config.Value{ResponseTargetMicros: target.Microseconds(), TargetShare: 0.9},
	}}
	body, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return body
}

// appendInitialConfig publishes the class before the simulation starts.
func (sim *simulation) appendInitialConfig() {
	body := changeBody(sim.newChangeID(), 0, time.Second)
	sim.log.records[configStream] = append(sim.log.records[configStream], logRecord{0, sim.log.now(), body})
}

// acceptedConfig returns a machine that has applied all configuration records of
// the log.
func (sim *simulation) acceptedConfig() *config.Machine {
	m := config.New(config.Options{})
	for _, r := range sim.log.records[configStream] {
		m.Apply(r.offset, r.at, r.body)
	}
	return m
}

// operatorProc is the operator's process, which is never killed.
var operatorProc proc

// publish appends a change based on the current revision. It appends the change
// again with the same ID if the append fails or its reply is lost.
func (sim *simulation) publish(target time.Duration) {
	base := sim.acceptedConfig().State().Revision(config.Key{Kind: config.KindClass, Name: className})
	body := changeBody(sim.newChangeID(), base, target)
	sim.reachStep(stepAppendSent, sim.rng.IntN(entryCount), sim.rng.IntN(agentCount))
	sim.appendChange(body, 3)
}

// appendChange appends a change, in at most the given number of attempts.
func (sim *simulation) appendChange(body []byte, attempts int) {
	sim.log.append(&operatorProc, configStream, body, func(r appendResult) {
		if r != appended && attempts > 1 {
			sim.schedule(time.Second, func() { sim.appendChange(body, attempts-1) })
		}
	})
}

// snapshot makes entry i append a snapshot of its configuration.
func (sim *simulation) snapshot(i int) {
	e := sim.entries[i]
	if e.dead || e.paused {
		return
	}
	if body, ok := e.config.SnapshotBody(sim.newChangeID()); ok {
		sim.reachStep(stepSnapshot, i, sim.rng.IntN(agentCount))
		if !e.dead {
			sim.log.append(&e.proc, configStream, body, func(appendResult) {})
		}
	}
}

// scheduleWorkload schedules jobs, configuration changes and a snapshot.
func (sim *simulation) scheduleWorkload(jobs int) {
	for n := range jobs {
		at := 500*time.Millisecond + time.Duration(n)*110*time.Millisecond
		sim.openSubmissions++
		sim.schedule(at, func() {
			sim.openSubmissions--
			sim.submit(sim.newJob(n), n%entryCount)
		})
	}
	sim.schedule(700*time.Millisecond, func() { sim.publish(900 * time.Millisecond) })
	sim.schedule(1200*time.Millisecond, func() { sim.publish(800 * time.Millisecond) })
	sim.schedule(1500*time.Millisecond, func() { sim.snapshot(0) })
	sim.schedule(2500*time.Millisecond, func() { sim.publish(700 * time.Millisecond) })
}
