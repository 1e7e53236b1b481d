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

// job is one request of a caller, submitted again if it gets lost.
type job struct {
	name     string
	key      string // empty for an idempotent job
	tasks    [][]byte
	deadline time.Duration
	need     wire.Capacity
	declared time.Duration
	tries    int
	done     bool // an attempt was complete
}

// call is one submission of a job.
type call struct {
	id        wire.SubmissionID
	job       *job
	entry     *entryNode
	agentHint int
	sentAt    time.Duration
	accepted  bool
	over      bool
	broken    bool
	outcome   entry.JobOutcome // 0 if broken
	reason    string
}

const maxTries = 4

// payloadOf is unique to the task and states its run time.
func payloadOf(job string, task int, run time.Duration) []byte {
	return fmt.Appendf(nil, "%s/%d/%d", job, task, run.Milliseconds())
}

func taskTime(payload []byte) time.Duration {
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

// newJob draws a job. Every second one is not idempotent.
func (w *world) newJob(n int) *job {
	j := &job{name: fmt.Sprint("job-", n), deadline: 3 * time.Second}
	if n%2 == 0 {
		j.key = fmt.Sprintf("%d-%s", w.log.now().Milliseconds(), j.name)
	}
	for i := range 1 + n%4 {
		run := time.Duration(20+w.rng.IntN(180)) * time.Millisecond
		j.tasks = append(j.tasks, payloadOf(j.name, i, run))
	}
	return j
}

// submit sends the job to an entry.
func (w *world) submit(j *job, i int) {
	i %= entryCount
	e := w.entries[i]
	c := &call{job: j, entry: e, sentAt: w.now, agentHint: w.rng.IntN(agentCount)}
	binary.BigEndian.PutUint64(c.id[:], uint64(len(w.calls)+1))
	j.tries++
	w.calls[c.id] = c
	w.open++
	if e.dead {
		w.after(hop, func() { c.breakOff(w) })
		return
	}
	w.later(&e.proc, hop, func() { e.accept(c) })
}

func (e *entryNode) accept(c *call) {
	e.calls[c.id] = c
	c.accepted = true
	e.w.reach(stepAccepted, e.i, c.agentHint)
	e.w.in(&e.proc, func() {
		e.step(entry.Submit{
			Submission: c.id, Class: className, Team: team, Deadline: c.job.deadline,
			NeedsClaim: c.job.key != "", Need: c.job.need, DeclaredRunTime: c.job.declared, Payloads: c.job.tasks,
		})
	})
}

// ended takes the answer at the caller, unless its connection broke.
func (c *call) ended(w *world, a entry.JobAnswer) {
	if c.over {
		return
	}
	if w.loseAnswers > 0 {
		w.loseAnswers--
		c.breakOff(w)
		return
	}
	c.over = true
	c.outcome, c.reason = a.Outcome, a.Reason
	w.open--
	w.check.took(w, c)
	if a.Outcome == entry.Complete {
		c.job.done = true
		return
	}
	if a.Outcome == entry.Refused && a.RetryAfter > 0 || a.Outcome == entry.Unknown {
		w.resubmit(c)
	}
}

// breakOff ends the call without an answer. The caller submits again.
func (c *call) breakOff(w *world) {
	if c.over {
		return
	}
	c.over, c.broken = true, true
	w.open--
	w.resubmit(c)
}

// resubmit sends the job to the next entry. An idempotent job is not sent
// again after an unknown outcome.
func (w *world) resubmit(c *call) {
	if c.job.tries >= maxTries || c.job.key == "" && c.outcome == entry.Unknown {
		return
	}
	w.open++ // the job is not over
	w.after(400*time.Millisecond, func() {
		w.open--
		w.submit(c.job, c.entry.i+1)
	})
}

func (w *world) changeID() config.ID {
	w.changes++
	return config.ID{byte(w.changes), byte(w.changes >> 8), 1}
}

func changeBody(id config.ID, base int64, within time.Duration) []byte {
	r := config.Record{ID: id, Change: &config.Change{
		Kind: config.KindClass, Name: className, Base: base,
		Value: config.Value{ResponseTargetMicros: within.Microseconds(), TargetShare: 0.9},
	}}
	body, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return body
}

// seedConfig publishes the class before the world starts.
func (w *world) seedConfig() {
	body := changeBody(w.changeID(), 0, time.Second)
	w.log.records[configStream] = append(w.log.records[configStream], logRecord{0, w.log.now(), body})
}

// reference applies every record of the log.
func (w *world) reference() *config.Machine {
	m := config.New(config.Options{})
	for _, r := range w.log.records[configStream] {
		m.Apply(r.offset, r.at, r.body)
	}
	return m
}

// operatorProc is a process that never dies.
var operatorProc proc

// publish appends a change based on the current revision, and appends it again
// with the same identity if the reply is lost.
func (w *world) publish(within time.Duration) {
	base := w.reference().State().Revision(config.Key{Kind: config.KindClass, Name: className})
	body := changeBody(w.changeID(), base, within)
	w.reach(stepAppendSent, w.rng.IntN(entryCount), w.rng.IntN(agentCount))
	w.appendChange(body, 3)
}

func (w *world) appendChange(body []byte, tries int) {
	w.log.append(&operatorProc, configStream, body, func(r reply) {
		if r != appended && tries > 1 {
			w.after(time.Second, func() { w.appendChange(body, tries-1) })
		}
	})
}

// snapshot lets an entry write a snapshot.
func (w *world) snapshot(i int) {
	e := w.entries[i]
	if e.dead || e.paused {
		return
	}
	if body, ok := e.cfg.SnapshotBody(w.changeID()); ok {
		w.reach(stepSnapshot, i, w.rng.IntN(agentCount))
		if !e.dead {
			w.log.append(&e.proc, configStream, body, func(reply) {})
		}
	}
}

// workload schedules jobs, changes and a snapshot.
func (w *world) workload(jobs int) {
	for n := range jobs {
		at := 500*time.Millisecond + time.Duration(n)*110*time.Millisecond
		w.open++
		w.after(at, func() {
			w.open--
			w.submit(w.newJob(n), n%entryCount)
		})
	}
	w.after(700*time.Millisecond, func() { w.publish(900 * time.Millisecond) })
	w.after(1200*time.Millisecond, func() { w.publish(800 * time.Millisecond) })
	w.after(1500*time.Millisecond, func() { w.snapshot(0) })
	w.after(2500*time.Millisecond, func() { w.publish(700 * time.Millisecond) })
}
