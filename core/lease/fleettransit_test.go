package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// fleetCall is a call on its way to the worker. It may arrive at another incarnation than
// the one that it was sent to.
type fleetCall struct {
	at, timeout time.Duration
	action      lease.Action
	token       int64
	unanswered  bool // the agent no longer waits for the answer
	withheld    bool // see lease.Polled.AckWithheld
	lost        bool // it never arrives, with fleet.swarm
	origin      swarmOrigin
}

// carryOutInTransit carries out the calls that arrive, and ends the wait for the answers to
// those that are late. The client raises its token after a poll without an answer.
func (f *fleet) carryOutInTransit(h *fleetHost) {
	calls := h.inTransit
	h.inTransit = nil
	for _, x := range calls {
		if !x.unanswered && f.now >= x.timeout {
			f.leaveUnanswered(h, x)
		}
		if f.now < x.at {
			h.inTransit = append(h.inTransit, x)
			continue
		}
		answer := f.arrive(h, x)
		switch {
		case x.unanswered:
		case answer == nil:
			f.leaveUnanswered(h, x)
		default:
			h.answers = append(h.answers, chainAnswer{at: f.now + f.millis(0, 15), timeout: x.timeout, event: answer, lost: noAnswer(x.action)})
		}
	}
}

func (f *fleet) leaveUnanswered(h *fleetHost, x *fleetCall) {
	x.unanswered = true
	h.answers = append(h.answers, chainAnswer{at: f.now, event: noAnswer(x.action), lost: noAnswer(x.action)})
	if poll, ok := x.action.(lease.CallPoll); ok && poll.AckUpTo > 0 && x.token == h.token {
		h.token++
	}
}

// arrive has the worker carry out a call. It returns nil if there is no answer: the worker
// is restarting, or has seen a higher token.
func (f *fleet) arrive(h *fleetHost, x *fleetCall) lease.Event {
	if f.now < h.downTill || x.token < h.fence {
		return nil
	}
	h.fence = x.token
	action := x.action
	switch call := action.(type) { // a call extends the lease by maxLease at most
	case lease.CallStart:
		call.Deadline = min(call.Deadline, h.worker.now+maxLease)
		action = call
	case lease.CallPoll:
		call.Deadline = min(call.Deadline, h.worker.now+maxLease)
		action = call
		if x.unanswered {
			f.counts.latePolls++
		}
	}
	answer := f.execute(h, action, x.unanswered)
	if polled, ok := answer.(lease.Polled); ok && !x.unanswered {
		if born := int64(polled.Status.Incarnation); h.token < born {
			h.token, h.fence = born, born // the client polls again
			polled = f.execute(h, lease.CallPoll{}, false).(lease.Polled)
		}
		polled.AckWithheld = x.withheld
		answer = polled
	}
	return answer
}

// restartBesideCalls restarts the worker of a host under its name, which takes 60 ms. All that
// it has run or listed is lost, and its clock starts anew.
func (f *fleet) restartBesideCalls(h *fleetHost) {
	if h.announceAt > 0 {
		return
	}
	f.logf("%s restarts with %d runs", h.name, len(h.worker.running))
	f.counts.restarts++
	w := newWorker()
	h.downTill = f.now + 60*time.Millisecond
	w.incarnation = int64(h.downTill / time.Millisecond)
	h.worker, h.acked, h.fence = w, 0, 0
	h.announceAt = h.downTill + f.millis(5, 400)
}

// announceRestart replaces the agent of a worker that announces a new incarnation.
func (f *fleet) announceRestart(h *fleetHost) {
	if h.announceAt == 0 || f.now < h.announceAt {
		return
	}
	h.announceAt = 0
	if h.agent == nil {
		return
	}
	f.logf("%s announces its new incarnation", h.name)
	f.stopAgent(h, 300*time.Millisecond)
}

// startedRun fails if the run is started although an earlier one of its task was done and
// acknowledged.
func (f *fleet) startedRun(run wire.RunRef, late bool) {
	task := run
	task.Run = 0
	f.started[task] = max(f.started[task], run.Run)
	f.lateRuns[run] = late
	if done := f.doneRuns[task]; f.failure == "" && done > 0 && done < run.Run && f.jobNamed(run.Job).stored {
		f.failure = fmt.Sprintf("%v: %v starts after run %d was done and acknowledged", f.now-time.Minute, run, done)
	}
}

// acknowledge records the ended runs up to a number as acknowledged. It fails if one was
// done under the present lease and its task was started again. A late poll, which nobody
// waits for, may discard the end of a late start: neither can be fenced off by a call that
// has not been made yet.
func (f *fleet) acknowledge(h *fleetHost, upTo int, late bool) {
	for _, end := range h.worker.ended[min(h.acked, len(h.worker.ended)):min(max(upTo, h.acked), len(h.worker.ended))] {
		f.logf("the end of %v at %s is acknowledged", end.Run, h.name)
		if end.Kind != lease.EndedSucceeded || h.worker.now > h.worker.lease || h.worker.lapses > h.worker.retained[end.Run] {
			continue
		}
		if late && f.lateRuns[end.Run] && (f.restarts || h.process.runs != nil) {
			f.counts.lateBoth++
			continue
		}
		task := end.Run
		task.Run = 0
		f.doneRuns[task] = end.Run.Run
		if f.failure == "" && f.started[task] > end.Run.Run && f.jobNamed(end.Run.Job).stored {
			f.failure = fmt.Sprintf("%v: the end of %v is acknowledged after run %d was started", f.now-time.Minute, end.Run, f.started[task])
		}
	}
	h.acked = max(h.acked, min(upTo, len(h.worker.ended)))
}

// count reports whether the run, which has succeeded, is the one that counts for its task,
// as in core/durable.
func (f *fleet) count(run wire.RunRef) bool {
	task := run
	task.Run = 0
	if f.counted[task] == 0 && !f.jobNamed(run.Job).failed {
		f.counted[task] = run.Run
	}
	return f.counted[task] == run.Run
}

// Guards against tasks of stored jobs that are started again after their run was done and
// acknowledged: workers restart under their names, and starts and polls that were meant for
// an earlier incarnation are carried out by the next one.
func TestDoneRunsAreNotRepeatedAfterRestartOfWorker(t *testing.T) {
	total := playFleets(t, func(f *fleet) { f.restarts = true })
	assert.Assert(t, total.restarts > 0 && total.latePolls > 0, "%+v", total)
}
