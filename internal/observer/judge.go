package observer

import (
	"fmt"
	"time"
)

// AnswerBound is how long after its deadline a request may still be answered:
// the entry's settle bound of 1 s, and time for the answer of a large job to
// be written and read on a busy machine.
const AnswerBound = 3 * time.Second

// Promise names what a violation breaks. P1 to P5 are those of docs/design.md.
type Promise string

// Promises that Judge checks.
const (
	StartedOnce   Promise = "P1"
	NeverPartial  Promise = "P2"
	OwnAnswer     Promise = "P3"
	NotRunIsTrue  Promise = "P4"
	KeyRunsOnce   Promise = "P5"
	AnswerInTime  Promise = "deadline"
	AnswerOnce    Promise = "one_answer"
	AnswerFromRun Promise = "answer_from_run"
)

// Violation is one broken promise.
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

// Judge returns every violation in the record. Call it after all callers ended.
func (o *Observer) Judge() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := judge{
		started: make(map[taskID]Start), keys: make(map[taskID]Start),
		submissions: make(map[string]int), noStarts: o.noStarts,
	}
	for _, s := range o.starts {
		j.start(s)
	}
	for _, r := range o.requests {
		j.request(r)
	}
	return j.found
}

type judge struct {
	found       []Violation
	started     map[taskID]Start
	keys        map[taskID]Start
	submissions map[string]int // starts by submission
	noStarts    bool
}

func (j *judge) fail(p Promise, format string, args ...any) {
	j.found = append(j.found, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

func (j *judge) start(s Start) {
	id := taskID{s.Submission, s.Task}
	if first, dup := j.started[id]; dup {
		j.fail(StartedOnce, "submission %s task %d started at %s and at %s", s.Submission, s.Task, first.Upstream, s.Upstream)
	}
	j.started[id] = s
	j.submissions[s.Submission]++
	if s.Key == "" {
		return
	}
	keyed := taskID{s.Key, s.Task}
	if first, dup := j.keys[keyed]; dup {
		j.fail(KeyRunsOnce, "key %s task %d ran for submission %s and for %s", s.Key, s.Task, first.Submission, s.Submission)
	}
	j.keys[keyed] = s
}

func (j *judge) request(r *request) {
	if r.ended != 1 {
		j.fail(AnswerOnce, "request %s ended %d times", r.Name, r.ended)
		return
	}
	if limit := r.Deadline + AnswerBound; r.answer.Took > limit {
		j.fail(AnswerInTime, "request %s took %s, allowed %s", r.Name, r.answer.Took, limit)
	}
	switch r.answer.Ending {
	case Complete:
		j.complete(r)
	case NotRun:
		j.notRun(r)
		j.noResults(r)
	default:
		j.noResults(r)
	}
}

func (j *judge) complete(r *request) {
	a := r.answer
	if len(a.Results) != len(r.Digests) {
		j.fail(NeverPartial, "request %s has %d tasks, its answer %d results", r.Name, len(r.Digests), len(a.Results))
		return
	}
	for i, want := range r.Digests {
		if a.Results[i] != want {
			j.fail(OwnAnswer, "request %s task %d: result is for payload %s, want %s", r.Name, i, a.Results[i], want)
			continue
		}
		if j.noStarts {
			continue
		}
		if s, ok := j.startOf(r, i); !ok || s.Digest != want {
			j.fail(AnswerFromRun, "request %s task %d: no upstream saw this payload for submission %s", r.Name, i, a.Submission)
		}
	}
}

// startOf finds the start that a result must come from. The answer of a keyed
// request may be that of an earlier submission with the same key.
func (j *judge) startOf(r *request, task int) (Start, bool) {
	if r.Key != "" {
		s, ok := j.keys[taskID{r.Key, task}]
		return s, ok
	}
	s, ok := j.started[taskID{r.answer.Submission, task}]
	return s, ok
}

// notRun checks the submission named in the reply.
func (j *judge) notRun(r *request) {
	if n := j.submissions[r.answer.Submission]; r.answer.Submission != "" && n > 0 {
		j.fail(NotRunIsTrue, "request %s was reported as not run, submission %s has %d starts", r.Name, r.answer.Submission, n)
	}
}

func (j *judge) noResults(r *request) {
	if len(r.answer.Results) > 0 {
		j.fail(NeverPartial, "request %s ended as %s with %d results", r.Name, r.answer.Ending, len(r.answer.Results))
	}
}
