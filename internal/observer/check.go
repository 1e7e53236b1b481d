package observer

import (
	"fmt"
	"time"
)

// AnswerGrace is how long after its deadline a request may still be answered:
// the entry's default settle timeout of 1 s, plus time to write and read the answer
// of a large job on a busy machine.
const AnswerGrace = 3 * time.Second

// Promise is a promise of the dispatcher that a run can violate. P1 to P5 are
// those of docs/design.md.
type Promise string

// Promises that Check checks.
const (
	// StartedOnce: no task of a submission is started twice.
	StartedOnce Promise = "P1"
	// NeverPartial: an answer has the results of all tasks or of none.
	NeverPartial Promise = "P2"
	// ResultsMatchTasks: each result is the one for the payload of its task.
	ResultsMatchTasks Promise = "P3"
	// NotRunMeansNotStarted: no task of a submission that was reported as not run
	// was started.
	NotRunMeansNotStarted Promise = "P4"
	// KeyRunsOnce: no task is started twice for the same key.
	KeyRunsOnce Promise = "P5"
	// AnswerInTime: the answer comes by the deadline plus AnswerGrace.
	AnswerInTime Promise = "deadline"
	// AnswerOnce: each request gets exactly one answer.
	AnswerOnce Promise = "one_answer"
	// AnswerFromRun: each result comes from a recorded start with its payload.
	AnswerFromRun Promise = "answer_from_run"
)

// Violation is one violated promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

type taskID struct {
	owner string // submission or key
	task  int
}

// Check returns every violation in the record. Call it after every caller has
// finished.
func (o *Observer) Check() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := checker{
		byTask: make(map[taskID]Start), byKey: make(map[taskID]Start),
		startCounts: make(map[string]int), skipStarts: o.skipStarts,
	}
	for _, s := range o.starts {
		c.checkStart(s)
	}
	for _, r := range o.requests {
		c.checkRequest(r)
	}
	return c.violations
}

// checker collects the violations found in one record.
type checker struct {
	violations  []Violation
	byTask      map[taskID]Start // the latest start, by submission and task
	byKey       map[taskID]Start // the latest start, by key and task
	startCounts map[string]int   // by submission
	skipStarts  bool
}

func (c *checker) report(p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkStart(s Start) {
	id := taskID{s.Submission, s.Task}
	if earlier, duplicate := c.byTask[id]; duplicate {
		c.report(StartedOnce, "submission %s task %d started at %s and at %s", s.Submission, s.Task, earlier.Upstream, s.Upstream)
	}
	c.byTask[id] = s
	c.startCounts[s.Submission]++
	if s.Key == "" {
		return
	}
	keyedID := taskID{s.Key, s.Task}
	if earlier, duplicate := c.byKey[keyedID]; duplicate {
		c.report(KeyRunsOnce, "key %s task %d ran for submission %s and for %s", s.Key, s.Task, earlier.Submission, s.Submission)
	}
	c.byKey[keyedID] = s
}

func (c *checker) checkRequest(r *request) {
	if r.answers != 1 {
		c.report(AnswerOnce, "request %s has %d answers, want 1", r.Name, r.answers)
		return
	}
	if limit := r.Deadline + AnswerGrace; r.answer.Elapsed > limit {
		c.report(AnswerInTime, "request %s took %s, allowed %s", r.Name, r.answer.Elapsed, limit)
	}
	switch r.answer.Outcome {
	case Complete:
		c.checkComplete(r)
	case NotRun:
		c.checkNotRun(r)
		c.checkNoResults(r)
	default:
		c.checkNoResults(r)
	}
}

func (c *checker) checkComplete(r *request) {
	a := r.answer
	if len(a.Results) != len(r.Digests) {
		c.report(NeverPartial, "request %s has %d tasks, but its answer has %d results", r.Name, len(r.Digests), len(a.Results))
		return
	}
	for i, want := range r.Digests {
		if a.Results[i] != want {
			c.report(ResultsMatchTasks, "request %s task %d: result is for payload %s, want %s", r.Name, i, a.Results[i], want)
			continue
		}
		if c.skipStarts {
			continue
		}
		if s, ok := c.startOf(r, i); !ok || s.Digest != want {
			c.report(AnswerFromRun, "request %s task %d: no upstream recorded a start with this payload for submission %s", r.Name, i, a.Submission)
		}
	}
}

// startOf returns the start that the result of a task must come from. A keyed
// request may get the answer of an earlier submission with the same key.
func (c *checker) startOf(r *request, task int) (Start, bool) {
	if r.Key != "" {
		s, ok := c.byKey[taskID{r.Key, task}]
		return s, ok
	}
	s, ok := c.byTask[taskID{r.answer.Submission, task}]
	return s, ok
}

// checkNotRun checks that the submission named in the answer was never started.
// An answer without a submission is not checked.
func (c *checker) checkNotRun(r *request) {
	if n := c.startCounts[r.answer.Submission]; r.answer.Submission != "" && n > 0 {
		c.report(NotRunMeansNotStarted, "request %s was reported as not run, but submission %s has %d starts", r.Name, r.answer.Submission, n)
	}
}

func (c *checker) checkNoResults(r *request) {
	if len(r.answer.Results) > 0 {
		c.report(NeverPartial, "request %s ended as %s with %d results", r.Name, r.answer.Outcome, len(r.answer.Results))
	}
}
