package entry_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// modelCaller sends one job until it is answered or gives up.
type modelCaller struct {
	job        string
	submission wire.SubmissionID // 0 if none is in progress
	leftAt     time.Duration     // when it left, 0 if it waits
	unnoticed  time.Duration     // for which the entry has to run until it knows that it left
	resendAt   time.Duration     // 0 if it does not send again
	elsewhere  bool              // it sends the job to another entry
	sends      int
}

// answered passes an answer to the caller. If it does not tell the outcome, the caller
// sends the job again.
func (w *resendWorld) answered(x entry.Answer) {
	c := w.byID[x.Submission]
	if c == nil {
		w.storedAnswers++
		return
	}
	delete(w.byID, x.Submission)
	if c.submission != x.Submission {
		return
	}
	c.submission = wire.SubmissionID{}
	if c.leftAt > 0 {
		return
	}
	switch x.Answer.Outcome {
	case entry.Failed, entry.Unknown:
		w.log("%v: %s is answered as %v %s", w.now, c.job, x.Answer.Outcome, x.Answer.Reason)
		c.resendAt = w.now + resendDelay
		c.elsewhere = w.draw(1) == 1
	}
}

// submit has a new caller send a job.
func (w *resendWorld) submit() *modelCaller {
	c := &modelCaller{job: fmt.Sprintf("job%d", len(w.callers))}
	w.callers = append(w.callers, c)
	w.send(c)
	return c
}

func (w *resendWorld) newID() (id wire.SubmissionID) {
	w.submissions++
	binary.BigEndian.PutUint64(id[:], w.submissions)
	return id
}

func (w *resendWorld) send(c *modelCaller) {
	c.sends++
	c.resendAt, c.leftAt, c.unnoticed = 0, 0, 0
	c.submission = w.newID()
	w.byID[c.submission] = c
	deadline := time.Duration(500+w.draw(4000)) * time.Millisecond
	w.queue = append(w.queue, entry.Submit{
		Submission: c.submission, Class: "c", Deadline: deadline, ReceivedAt: w.now, MaxFailedRuns: 3, Job: c.job, Payloads: make([][]byte, 1),
	})
}

// leave breaks the caller's connection. The caller sends the job again later.
func (w *resendWorld) leave(c *modelCaller) {
	w.log("%v: the caller of %s leaves", w.now, c.job)
	c.leftAt, c.unnoticed = w.now, noticeTime
	c.resendAt = w.now + resendDelay
	c.elsewhere = w.draw(1) == 1
}

// runCallers lets the entry notice that callers have left, and callers send their jobs
// again.
func (w *resendWorld) runCallers() {
	for _, c := range w.callers {
		if c.unnoticed > 0 && w.now >= w.pausedUntil {
			c.unnoticed -= modelStep
			if c.unnoticed == 0 {
				w.queue = append(w.queue, entry.CancelJob{Submission: c.submission})
			}
		}
		if c.resendAt == 0 || w.now < c.resendAt {
			continue
		}
		switch {
		case c.elsewhere:
			c.resendAt = 0
			w.requireNoRun(c.job, "at another entry")
			w.otherRuns[c.job] = w.now + time.Duration(w.draw(3000))*time.Millisecond
		case w.now >= w.pausedUntil && c.unnoticed == 0:
			w.resendHere(c)
		}
	}
}

// resendHere sends the job to the same entry. While an earlier submission is in
// progress, the entry lets the caller wait for its answer.
func (w *resendWorld) resendHere(c *modelCaller) {
	if _, inProgress := w.byID[c.submission]; inProgress {
		c.leftAt, c.resendAt = 0, 0
		return
	}
	w.send(c)
}

// submitStored has the entry drive a stored job.
func (w *resendWorld) submitStored() {
	w.queue = append(w.queue, entry.Submit{
		Submission: w.newID(), Class: "c", MaxFailedRuns: 100, Job: fmt.Sprintf("stored%d", w.submissions), Payloads: make([][]byte, 1), Stored: true,
	})
}

// waitingCallers returns the callers that wait for an answer.
func (w *resendWorld) waitingCallers() (out []*modelCaller) {
	for _, id := range slices.SortedFunc(maps.Keys(w.byID), func(a, b wire.SubmissionID) int { return slices.Compare(a[:], b[:]) }) {
		if c := w.byID[id]; c.submission == id && c.leftAt == 0 {
			out = append(out, c)
		}
	}
	return out
}
